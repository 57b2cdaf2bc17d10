#include "membership/upstream_directory.h"

#include <algorithm>
#include <utility>

namespace hawthorn::membership {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

core::Error MakeError(core::ErrorCode code, std::string message) {
  core::Error error;
  error.code = code;
  error.message = std::move(message);
  return error;
}

core::Error UnknownUpstreamError(const core::UpstreamId& upstream) {
  return MakeError(core::ErrorCode::kNotFound,
                   "upstream '" + upstream.text() +
                       "' is not registered; it must announce itself");
}

std::optional<core::Error> CheckAnnouncement(const Announcement& it) {
  const char* missing = nullptr;
  if (it.upstream.empty()) {
    missing = "upstream";
  } else if (it.service.empty()) {
    missing = "service";
  } else if (it.zone.empty()) {
    missing = "zone";
  } else if (it.address.empty()) {
    missing = "address";
  } else if (it.max_running == 0) {
    missing = "max_running above 0";
  }
  if (missing == nullptr) {
    return std::nullopt;
  }
  return MakeError(core::ErrorCode::kInvalidArgument,
                   std::string("announcement lacks ") + missing);
}

UpstreamRecord RecordOf(const Announcement& it) {
  UpstreamRecord record;
  record.upstream = it.upstream;
  record.service = it.service;
  record.zone = it.zone;
  record.address = it.address;
  record.max_running = it.max_running;
  record.cache_tokens = it.cache_tokens;
  record.verifies_fencing = it.verifies_fencing;
  record.incarnation =
      std::max<int64_t>(0, it.announced_at.time_since_epoch().count());
  record.version = 1;
  return record;
}

}  // namespace

UpstreamDirectory::UpstreamDirectory(core::InstanceId self, core::ZoneId zone,
                                     uint32_t incarnation,
                                     UpstreamTimings timings)
    : self_(std::move(self)), zone_(std::move(zone)), timings_(timings) {
  sets_[{self_, false}].incarnation = incarnation;
  sets_[{self_, true}].incarnation = incarnation;
}

core::Result<uint64_t> UpstreamDirectory::Announce(
    const Announcement& announcement, core::TimePoint now) {
  if (const auto error = CheckAnnouncement(announcement)) {
    return *error;
  }
  if (renewed_at_.size() >= kMaxReported &&
      !renewed_at_.contains(announcement.upstream)) {
    return MakeError(core::ErrorCode::kLimitExceeded,
                     "too many upstreams at this instance");
  }
  UpstreamRecord record = RecordOf(announcement);
  if (const auto known = Find(record.upstream)) {
    record.incarnation = std::max(record.incarnation, known->incarnation + 1);
  }
  record.incarnation = std::max<uint64_t>(record.incarnation, 1);
  const uint64_t incarnation = record.incarnation;
  renewed_at_[record.upstream] = now;
  PutLocal(std::move(record), now);
  return incarnation;
}

core::Result<RenewalOutcome> UpstreamDirectory::Renew(
    const core::UpstreamId& upstream, const UpstreamLoad& load,
    core::TimePoint now) {
  const Candidate best = FindBest(upstream, now);
  if (best.record == nullptr || best.record->phase == Phase::kGone) {
    return UnknownUpstreamError(upstream);
  }
  UpstreamRecord record = *best.record;
  if (record.reporter == self_) {
    renewed_at_[upstream] = now;
    local().set.SetLoad(record.slot, load);
    return RenewalOutcome(Renewed{});
  }
  if (!IsReporterAlive(record.reporter, now)) {
    record.load = load;
    TakeOver(std::move(record), now);
    return RenewalOutcome(Renewed{});
  }
  std::vector<PendingRenewal>& queue = pending_renewals_[record.reporter];
  std::erase_if(queue, [&](const auto& it) { return it.upstream == upstream; });
  queue.push_back({upstream, record.incarnation, load});
  return RenewalOutcome(Forwarded{record.reporter});
}

core::Status UpstreamDirectory::Leave(const core::UpstreamId& upstream,
                                      core::TimePoint now) {
  const Candidate best = FindBest(upstream, now);
  if (best.record == nullptr || best.record->phase == Phase::kGone) {
    return UnknownUpstreamError(upstream);
  }
  if (best.record->phase == Phase::kLeaving) {
    return std::monostate();
  }
  UpstreamRecord record = *best.record;
  record.phase = Phase::kLeaving;
  TakeOver(std::move(record), now);
  return std::monostate();
}

void UpstreamDirectory::Expire(core::TimePoint now) {
  std::vector<core::UpstreamId> expired;
  for (const auto& [upstream, at] : renewed_at_) {
    if (now - at >= timings_.upstream_lease) {
      expired.push_back(upstream);
    }
  }
  for (const core::UpstreamId& upstream : expired) {
    renewed_at_.erase(upstream);
    UpstreamRecord record = *local().set.Find(upstream);
    record.phase = Phase::kGone;
    ++record.version;
    PutLocal(std::move(record), now);
  }
  for (auto& [key, known] : sets_) {
    known.set.Prune(now);
  }
}

std::vector<Route> UpstreamDirectory::Routable(const core::ServiceId& service,
                                               core::TimePoint now) const {
  std::vector<Route> routes;
  for (const auto& [upstream, best] : Candidates(now)) {
    const UpstreamRecord& record = *best.record;
    if (record.service == service && record.phase == Phase::kActive &&
        best.confirmed) {
      routes.push_back({record, record.zone != zone_});
    }
  }
  std::stable_partition(routes.begin(), routes.end(),
                        [](const Route& route) { return !route.crosses_zone; });
  return routes;
}

std::optional<UpstreamRecord> UpstreamDirectory::Find(
    const core::UpstreamId& upstream) const {
  const Candidate best = FindBest(upstream, core::TimePoint());
  if (best.record == nullptr) {
    return std::nullopt;
  }
  return *best.record;
}

std::vector<UpstreamRecord> UpstreamDirectory::All() const {
  std::vector<UpstreamRecord> records;
  for (const auto& [upstream, best] : Candidates(core::TimePoint())) {
    records.push_back(*best.record);
  }
  return records;
}

bool UpstreamDirectory::IsRoutable(const core::UpstreamId& upstream,
                                   core::TimePoint now) const {
  const Candidate best = FindBest(upstream, now);
  return best.record != nullptr && best.confirmed &&
         best.record->phase == Phase::kActive;
}

std::vector<ServiceLoad> UpstreamDirectory::ZoneLoad(
    core::TimePoint now) const {
  std::map<core::ServiceId, ServiceLoad> loads;
  for (const auto& [upstream, best] : Candidates(now)) {
    const UpstreamRecord& record = *best.record;
    if (record.zone != zone_ || record.phase != Phase::kActive ||
        !best.confirmed) {
      continue;
    }
    ServiceLoad& load = loads[record.service];
    load.service = record.service;
    ++load.upstreams;
    load.max_running += record.max_running;
    load.running += record.load.running;
    load.waiting += record.load.waiting;
  }
  std::vector<ServiceLoad> result;
  result.reserve(loads.size());
  for (const auto& [service, load] : loads) {
    result.push_back(load);
  }
  return result;
}

void UpstreamDirectory::SetAliveCheck(
    std::function<bool(const core::InstanceId&)> is_alive) {
  is_alive_ = std::move(is_alive);
}

milliseconds UpstreamDirectory::RemainingLease(const core::UpstreamId& upstream,
                                               core::TimePoint now) const {
  const auto it = renewed_at_.find(upstream);
  if (it == renewed_at_.end()) {
    return milliseconds(0);
  }
  const auto left = it->second + timings_.upstream_lease - now;
  return std::max(milliseconds(0), duration_cast<milliseconds>(left));
}

bool UpstreamDirectory::IsConfirmed(const SetKey& key, const KnownSet& known,
                                    core::TimePoint now) const {
  const milliseconds lease =
      key.exported ? timings_.export_lease : timings_.reporter_lease;
  return known.set.confirmed_at() != core::TimePoint() &&
         now - known.set.confirmed_at() < lease;
}

bool UpstreamDirectory::IsReporterAlive(const core::InstanceId& reporter,
                                        core::TimePoint now) const {
  const auto it = sets_.find({reporter, false});
  if (it == sets_.end() ||
      now - it->second.set.confirmed_at() >= timings_.takeover_after) {
    return false;
  }
  return is_alive_ == nullptr || is_alive_(reporter);
}

void UpstreamDirectory::UpdateBest(const UpstreamRecord& record, bool confirmed,
                                   Candidate& best) const {
  if (best.record == nullptr) {
    best = {&record, confirmed};
    return;
  }
  const bool same_phase = best.record->incarnation == record.incarnation &&
                          best.record->phase == record.phase;
  const bool wins = Supersedes(record, *best.record);
  // Within one phase, either confirmation is enough. So the upstream stays
  // routable while a new reporter takes over.
  const bool trusted = same_phase ? confirmed || best.confirmed
                       : wins     ? confirmed
                                  : best.confirmed;
  best.record = wins ? &record : best.record;
  best.confirmed = trusted;
}

UpstreamDirectory::Candidate UpstreamDirectory::FindBest(
    const core::UpstreamId& upstream, core::TimePoint now) const {
  Candidate best;
  for (const auto& [key, known] : sets_) {
    const bool is_local = key.source == self_;
    const UpstreamRecord* record = known.set.Find(upstream);
    if (record == nullptr || record->moved || (is_local && key.exported)) {
      continue;
    }
    const bool confirmed = is_local ? RemainingLease(upstream, now).count() > 0
                                    : IsConfirmed(key, known, now);
    UpdateBest(*record, confirmed, best);
  }
  return best;
}

std::map<core::UpstreamId, UpstreamDirectory::Candidate>
UpstreamDirectory::Candidates(core::TimePoint now) const {
  std::map<core::UpstreamId, Candidate> candidates;
  for (const auto& [key, known] : sets_) {
    const bool is_local = key.source == self_;
    if (is_local && key.exported) {
      continue;
    }
    const bool set_confirmed = IsConfirmed(key, known, now);
    for (const auto& [upstream, item] : known.set.records()) {
      if (item.record.moved) {
        continue;
      }
      const bool confirmed =
          is_local ? RemainingLease(upstream, now).count() > 0 : set_confirmed;
      UpdateBest(item.record, confirmed, candidates[upstream]);
    }
  }
  return candidates;
}

void UpstreamDirectory::PutLocal(UpstreamRecord record, core::TimePoint now) {
  record.reporter = self_;
  record.moved = false;
  record.slot = next_slot_++;
  local().set.Put(record, now);
  updates_.push_back({{self_, false}, local().set.version()});
}

void UpstreamDirectory::TakeOver(UpstreamRecord record, core::TimePoint now) {
  ++record.version;
  const UpstreamLoad load = record.load;
  const core::UpstreamId upstream = record.upstream;
  renewed_at_[upstream] = now;
  PutLocal(std::move(record), now);
  local().set.SetLoad(next_slot_ - 1, load);
}

}  // namespace hawthorn::membership
