#include "programs/poison_register.h"

#include <algorithm>

namespace hawthorn::programs {

bool PoisonRegister::Report(const schema::ReportCrash& report,
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
  const auto known = static_cast<uint32_t>(crash.fingerprints.size());
  crash.running_together =
      std::max({crash.running_together, report.running_together(), known});
  if (StatusOf(report.fingerprint()) == RequestStatus::kCondemned) {
    ClearOtherSuspects(report.fingerprint());
  }
  if (crashes_.size() > kMaxCrashes) {
    DropCrash(crashes_.begin()->first);
  }
  return is_new;
}

void PoisonRegister::Succeeded(uint64_t fingerprint) {
  if (StatusOf(fingerprint) == RequestStatus::kSuspected) {
    Clear(fingerprint);
  }
}

void PoisonRegister::Clear(uint64_t fingerprint) {
  if (fingerprint == 0) {
    crashes_.clear();
    by_upstream_.clear();
    by_fingerprint_.clear();
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

void PoisonRegister::Expire(int64_t now_ms) {
  while (!crashes_.empty() && crashes_.begin()->second.expires_ms <= now_ms) {
    DropCrash(crashes_.begin()->first);
  }
}

PoisonRegister::RequestStatus PoisonRegister::StatusOf(
    uint64_t fingerprint) const {
  const auto it = by_fingerprint_.find(fingerprint);
  if (it == by_fingerprint_.end()) {
    return RequestStatus::kClear;
  }
  return IsCondemned(it->second) ? RequestStatus::kCondemned
                                 : RequestStatus::kSuspected;
}

int64_t PoisonRegister::CondemnedUntilMs(uint64_t fingerprint) const {
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

std::vector<schema::PoisonEntry> PoisonRegister::List() const {
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

void PoisonRegister::WriteTo(schema::LedgerSnapshot* snapshot) const {
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

void PoisonRegister::ReadFrom(const schema::LedgerSnapshot& snapshot) {
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
    }
  }
}

bool PoisonRegister::IsCondemned(
    const absl::btree_set<uint64_t>& orders) const {
  if (orders.size() < 2) {
    return false;
  }
  return std::any_of(std::next(orders.begin()), orders.end(),
                     [this](uint64_t order) {
                       return crashes_.at(order).running_together <= 1;
                     });
}

void PoisonRegister::ClearOtherSuspects(uint64_t fingerprint) {
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

void PoisonRegister::Unlink(uint64_t fingerprint, uint64_t order) {
  const auto it = by_fingerprint_.find(fingerprint);
  it->second.erase(order);
  if (it->second.empty()) {
    by_fingerprint_.erase(it);
  }
}

void PoisonRegister::DropCrash(uint64_t order) {
  const auto it = crashes_.find(order);
  for (const uint64_t fingerprint : it->second.fingerprints) {
    Unlink(fingerprint, order);
  }
  by_upstream_.erase(it->second.upstream);
  crashes_.erase(it);
}

}  // namespace hawthorn::programs
