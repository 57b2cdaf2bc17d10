#include "membership/upstream_record.h"

#include <tuple>

namespace hawthorn::membership {

namespace {

auto Rank(const UpstreamRecord& record) {
  return std::tuple(record.incarnation, record.phase, record.version);
}

Phase PhaseOf(const schema::UpstreamRecord& message) {
  if (message.gone()) {
    return Phase::kGone;
  }
  return message.leaving() ? Phase::kLeaving : Phase::kActive;
}

}  // namespace

bool Supersedes(const UpstreamRecord& a, const UpstreamRecord& b) {
  if (Rank(a) != Rank(b)) {
    return Rank(a) > Rank(b);
  }
  return a > b;
}

UpstreamRecord Merge(const UpstreamRecord& a, const UpstreamRecord& b) {
  return Supersedes(b, a) ? b : a;
}

schema::UpstreamRecord ToMessage(const UpstreamRecord& record,
                                 std::chrono::milliseconds lease,
                                 uint64_t set_version) {
  schema::UpstreamRecord message;
  message.set_upstream(record.upstream.text());
  message.set_set_version(set_version);
  message.set_incarnation(record.incarnation);
  message.set_version(record.version);
  message.set_leaving(record.phase == Phase::kLeaving);
  message.set_gone(record.phase == Phase::kGone);
  message.set_moved(record.moved);
  message.set_service(record.service.text());
  message.set_zone(record.zone.text());
  message.set_reporter(record.reporter.text());
  message.set_slot(record.slot);
  message.set_address(record.address);
  message.set_max_running(record.max_running);
  message.set_cache_tokens(record.cache_tokens);
  message.set_verifies_fencing(record.verifies_fencing);
  message.set_lease_ms(lease.count());
  message.set_running(record.load.running);
  message.set_waiting(record.load.waiting);
  message.set_cached_tokens(record.load.cached_tokens);
  return message;
}

UpstreamRecord FromMessage(const schema::UpstreamRecord& message) {
  UpstreamRecord record;
  record.upstream = core::UpstreamId(message.upstream());
  record.service = core::ServiceId(message.service());
  record.zone = core::ZoneId(message.zone());
  record.address = message.address();
  record.max_running = message.max_running();
  record.cache_tokens = message.cache_tokens();
  record.verifies_fencing = message.verifies_fencing();
  record.incarnation = message.incarnation();
  record.phase = PhaseOf(message);
  record.version = message.version();
  record.reporter = core::InstanceId(message.reporter());
  record.moved = message.moved();
  record.slot = message.slot();
  record.load = {.running = message.running(),
                 .waiting = message.waiting(),
                 .cached_tokens = message.cached_tokens()};
  return record;
}

}  // namespace hawthorn::membership
