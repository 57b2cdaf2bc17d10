#include "membership/gossip_codec.h"

#include <xxhash.h>

#include <algorithm>
#include <initializer_list>

namespace hawthorn::membership::detail {

namespace {

/// Unit of ages in messages, in milliseconds.
constexpr int64_t kAgeUnitMs = 10;

/// Element `n`, or 0 if the array was omitted.
template <typename T>
T At(const google::protobuf::RepeatedField<T>& values, int n) {
  return values.empty() ? T() : values.Get(n);
}

}  // namespace

uint32_t HashOf(const core::InstanceId& instance) {
  return XXH32(instance.text().data(), instance.text().size(), 0);
}

void AppendHeartbeat(const Heartbeat& heartbeat, schema::Heartbeats& batch) {
  batch.add_instance(HashOf(heartbeat.instance));
  batch.add_incarnation(heartbeat.incarnation);
  batch.add_heartbeat(heartbeat.number);
  const int64_t age = std::max<int64_t>(0, heartbeat.age.count());
  batch.add_age_10ms(
      static_cast<uint32_t>((age + kAgeUnitMs - 1) / kAgeUnitMs));
  batch.add_report_version(heartbeat.report_version);
  batch.add_export_version(heartbeat.export_version);
  batch.add_revision_offset(
      static_cast<int64_t>(heartbeat.revision - batch.base_revision()));
  batch.add_draining(heartbeat.draining);
}

void DropZeros(schema::Heartbeats& batch) {
  const auto drop = [](auto* values) {
    if (std::all_of(values->begin(), values->end(),
                    [](auto value) { return value == 0; })) {
      values->Clear();
    }
  };
  drop(batch.mutable_report_version());
  drop(batch.mutable_export_version());
  drop(batch.mutable_revision_offset());
  drop(batch.mutable_draining());
}

std::vector<HashedHeartbeat> ReadHeartbeats(const schema::Heartbeats& batch) {
  const int count = batch.instance_size();
  for (const int size : {batch.incarnation_size(), batch.heartbeat_size(),
                         batch.age_10ms_size()}) {
    if (size != count) {
      return {};
    }
  }
  for (const int size :
       {batch.report_version_size(), batch.export_version_size(),
        batch.revision_offset_size(), batch.draining_size()}) {
    if (size != count && size != 0) {
      return {};
    }
  }
  std::vector<HashedHeartbeat> heartbeats;
  for (int n = 0; n < count; ++n) {
    Heartbeat it;
    it.incarnation = batch.incarnation(n);
    it.number = batch.heartbeat(n);
    it.age = std::chrono::milliseconds(batch.age_10ms(n) * kAgeUnitMs);
    it.report_version = At(batch.report_version(), n);
    it.export_version = At(batch.export_version(), n);
    it.revision = batch.base_revision() +
                  static_cast<uint64_t>(At(batch.revision_offset(), n));
    it.draining = At(batch.draining(), n);
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
