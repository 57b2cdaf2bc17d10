#include "programs/poison_register.h"

#include <algorithm>

#include "schema/generated/deployment.pb.h"

namespace hawthorn::programs {

bool RanAloneRule::IsCondemned(std::span<const uint32_t> running_together) {
  return running_together.size() >= 2 &&
         std::any_of(std::next(running_together.begin()),
                     running_together.end(),
                     [](uint32_t together) { return together <= 1; });
}

bool ThreeCrashesRule::IsCondemned(std::span<const uint32_t> running_together) {
  return running_together.size() >= kCrashLimit;
}

template <PoisonRule Rule>
bool BasicPoisonRegister<Rule>::Report(const schema::ReportCrash& report,
                                       int64_t expires_ms) {
  const UpstreamIncarnation upstream{report.upstream(), report.incarnation()};
  const auto [it, added] = by_upstream_.try_emplace(upstream, next_order_);
  if (added) {
    crashes_[next_order_].upstream = upstream;
    crashes_[next_order_].expires_ms = expires_ms;
    ++next_order_;
  }
  const uint64_t order = it->second;
  Crash& crash = crashes_[order];
  const bool is_new = crash.fingerprints.insert(report.fingerprint()).second;
  by_fingerprint_[report.fingerprint()].insert(order);
  evidence_ += is_new ? 1 : 0;
  const auto known = static_cast<uint32_t>(crash.fingerprints.size());
  crash.running_together =
      std::max({crash.running_together, report.running_together(), known});
  if constexpr (Rule::kClearsOthers) {
    if (StatusOf(report.fingerprint()) == RequestStatus::kCondemned) {
      ClearOtherSuspects(report.fingerprint());
    }
  }
  DropOldest();
  return is_new;
}

template <PoisonRule Rule>
void BasicPoisonRegister<Rule>::Succeeded(uint64_t fingerprint) {
  if (StatusOf(fingerprint) == RequestStatus::kSuspected) {
    Clear(fingerprint);
  }
}

template <PoisonRule Rule>
void BasicPoisonRegister<Rule>::Clear(uint64_t fingerprint) {
  if (fingerprint == 0) {
    crashes_.clear();
    by_upstream_.clear();
    by_fingerprint_.clear();
    evidence_ = 0;
    return;
  }
  const auto it = by_fingerprint_.find(fingerprint);
  if (it == by_fingerprint_.end()) {
    return;
  }
  const absl::btree_set<uint64_t> orders = it->second;
  for (const uint64_t order : orders) {
    Unlink(fingerprint, order);
    // The crash is kept while it has other suspects.
    Crash& crash = crashes_[order];
    crash.fingerprints.erase(fingerprint);
    if (crash.fingerprints.empty()) {
      DropCrash(order);
    }
  }
}

template <PoisonRule Rule>
void BasicPoisonRegister<Rule>::Expire(int64_t now_ms) {
  while (!crashes_.empty() && crashes_.begin()->second.expires_ms <= now_ms) {
    DropCrash(crashes_.begin()->first);
  }
}

template <PoisonRule Rule>
typename BasicPoisonRegister<Rule>::RequestStatus
BasicPoisonRegister<Rule>::StatusOf(uint64_t fingerprint) const {
  const auto it = by_fingerprint_.find(fingerprint);
  if (it == by_fingerprint_.end()) {
    return RequestStatus::kClear;
  }
  return IsCondemned(it->second) ? RequestStatus::kCondemned
                                 : RequestStatus::kSuspected;
}

template <PoisonRule Rule>
size_t BasicPoisonRegister<Rule>::CrashesOf(uint64_t fingerprint) const {
  const auto it = by_fingerprint_.find(fingerprint);
  return it == by_fingerprint_.end() ? 0 : it->second.size();
}

template <PoisonRule Rule>
int64_t BasicPoisonRegister<Rule>::CondemnedUntilMs(
    uint64_t fingerprint) const {
  const auto it = by_fingerprint_.find(fingerprint);
  if (it == by_fingerprint_.end()) {
    return 0;
  }
  // Crashes expire from the oldest on, so they are left out in this order until
  // the remaining ones no longer condemn the request.
  absl::btree_set<uint64_t> orders = it->second;
  int64_t until_ms = 0;
  while (IsCondemned(orders)) {
    until_ms = crashes_.at(*orders.begin()).expires_ms;
    orders.erase(orders.begin());
  }
  return until_ms;
}

template <PoisonRule Rule>
std::vector<schema::PoisonEntry> BasicPoisonRegister<Rule>::List() const {
  std::vector<schema::PoisonEntry> result;
  for (const auto& [fingerprint, orders] : by_fingerprint_) {
    schema::PoisonEntry& entry = result.emplace_back();
    entry.set_fingerprint(fingerprint);
    entry.set_condemned(IsCondemned(orders));
    for (const uint64_t order : orders) {
      const Crash& crash = crashes_.at(order);
      schema::CrashEvidence* const evidence = entry.add_evidence();
      evidence->set_upstream(crash.upstream.first);
      evidence->set_incarnation(crash.upstream.second);
      evidence->set_alone(crash.running_together <= 1);
      entry.set_expires_wall_ms(crash.expires_ms);
    }
  }
  return result;
}

template <PoisonRule Rule>
template <typename Snapshot>
void BasicPoisonRegister<Rule>::WriteTo(Snapshot* snapshot) const {
  snapshot->set_next_crash_order(next_order_);
  for (const auto& [order, crash] : crashes_) {
    schema::SnapshotCrash* const out = snapshot->add_crashes();
    out->set_upstream(crash.upstream.first);
    out->set_incarnation(crash.upstream.second);
    out->set_running_together(crash.running_together);
    out->mutable_fingerprints()->Add(crash.fingerprints.begin(),
                                     crash.fingerprints.end());
    out->set_order(order);
    out->set_expires_ms(crash.expires_ms);
  }
}

template <PoisonRule Rule>
template <typename Snapshot>
void BasicPoisonRegister<Rule>::ReadFrom(const Snapshot& snapshot) {
  Clear(0);
  next_order_ = snapshot.next_crash_order();
  for (const schema::SnapshotCrash& it : snapshot.crashes()) {
    Crash& crash = crashes_[it.order()];
    crash.upstream = {it.upstream(), it.incarnation()};
    crash.running_together = it.running_together();
    crash.fingerprints.insert(it.fingerprints().begin(),
                              it.fingerprints().end());
    crash.expires_ms = it.expires_ms();
    by_upstream_[crash.upstream] = it.order();
    for (const uint64_t fingerprint : crash.fingerprints) {
      by_fingerprint_[fingerprint].insert(it.order());
      ++evidence_;
    }
  }
}

template <PoisonRule Rule>
bool BasicPoisonRegister<Rule>::IsCondemned(
    const absl::btree_set<uint64_t>& orders) const {
  std::vector<uint32_t> running_together;
  running_together.reserve(orders.size());
  for (const uint64_t order : orders) {
    running_together.push_back(crashes_.at(order).running_together);
  }
  return Rule::IsCondemned(running_together);
}

template <PoisonRule Rule>
void BasicPoisonRegister<Rule>::ClearOtherSuspects(uint64_t fingerprint) {
  const absl::btree_set<uint64_t>& orders = by_fingerprint_[fingerprint];
  for (const uint64_t order : orders) {
    Crash& crash = crashes_[order];
    const absl::btree_set<uint64_t> suspects = crash.fingerprints;
    for (const uint64_t it : suspects) {
      if (it != fingerprint && StatusOf(it) == RequestStatus::kSuspected) {
        Unlink(it, order);
        crash.fingerprints.erase(it);
      }
    }
  }
}

template <PoisonRule Rule>
void BasicPoisonRegister<Rule>::Unlink(uint64_t fingerprint, uint64_t order) {
  const auto it = by_fingerprint_.find(fingerprint);
  evidence_ -= it->second.erase(order);
  if (it->second.empty()) {
    by_fingerprint_.erase(it);
  }
}

template <PoisonRule Rule>
void BasicPoisonRegister<Rule>::DropOldest() {
  while (crashes_.size() > kMaxCrashes ||
         (evidence_ > kMaxEvidence && crashes_.size() > 1)) {
    DropCrash(crashes_.begin()->first);
  }
}

template <PoisonRule Rule>
void BasicPoisonRegister<Rule>::DropCrash(uint64_t order) {
  const auto it = crashes_.find(order);
  for (const uint64_t fingerprint : it->second.fingerprints) {
    Unlink(fingerprint, order);
  }
  by_upstream_.erase(it->second.upstream);
  crashes_.erase(it);
}

template class BasicPoisonRegister<RanAloneRule>;
template class BasicPoisonRegister<ThreeCrashesRule>;

template void PoisonRegister::WriteTo(schema::LedgerSnapshot*) const;
template void PoisonRegister::ReadFrom(const schema::LedgerSnapshot&);
template void BasicPoisonRegister<ThreeCrashesRule>::WriteTo(
    schema::DeploymentSnapshot*) const;
template void BasicPoisonRegister<ThreeCrashesRule>::ReadFrom(
    const schema::DeploymentSnapshot&);

}  // namespace hawthorn::programs
