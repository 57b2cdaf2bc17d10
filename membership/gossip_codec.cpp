#include "membership/gossip_codec.h"

#include <xxhash.h>

#include <algorithm>
#include <initializer_list>

namespace hawthorn::membership::detail {

uint32_t HashOf(const core::InstanceId& instance) {
  return XXH32(instance.text().data(), instance.text().size(), 0);
}

void AppendHeartbeat(const Heartbeat& heartbeat, schema::Heartbeats& batch) {
  batch.add_instance(HashOf(heartbeat.instance));
  batch.add_incarnation(heartbeat.incarnation);
  batch.add_heartbeat(heartbeat.number);
  batch.add_age_ms(
      static_cast<uint32_t>(std::max<int64_t>(0, heartbeat.age.count())));
  batch.add_report_version(heartbeat.report_version);
  batch.add_export_version(heartbeat.export_version);
  batch.add_revision_offset(
      static_cast<int64_t>(heartbeat.revision - batch.base_revision()));
  batch.add_draining(heartbeat.draining);
}

std::vector<HashedHeartbeat> ReadHeartbeats(const schema::Heartbeats& batch) {
  const int count = batch.instance_size();
  for (const int size :
       {batch.incarnation_size(), batch.heartbeat_size(), batch.age_ms_size(),
        batch.report_version_size(), batch.export_version_size(),
        batch.revision_offset_size(), batch.draining_size()}) {
    if (size != count) {
      return {};
    }
  }
  std::vector<HashedHeartbeat> heartbeats;
  for (int n = 0; n < count; ++n) {
    Heartbeat it;
    it.incarnation = batch.incarnation(n);
    it.number = batch.heartbeat(n);
    it.age = std::chrono::milliseconds(batch.age_ms(n));
    it.report_version = batch.report_version(n);
    it.export_version = batch.export_version(n);
    it.revision =
        batch.base_revision() + static_cast<uint64_t>(batch.revision_offset(n));
    it.draining = batch.draining(n);
    heartbeats.push_back({batch.instance(n), it});
  }
  return heartbeats;
}

RecordSetChanges ReadChanges(const schema::RecordSetDelta& delta) {
  RecordSetChanges changes;
  changes.since = delta.since();
  changes.version = delta.version();
  changes.full = delta.full();
  for (const schema::UpstreamRecord& record : delta.records()) {
    changes.records.push_back({FromMessage(record), record.set_version()});
  }
  return changes;
}

}  // namespace hawthorn::membership::detail
