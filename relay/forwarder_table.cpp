#include "relay/forwarder_table.h"

#include <algorithm>
#include <tuple>

namespace hawthorn::relay {

bool ForwarderTable::IsProven(const Forwarder& it, core::TimePoint now) {
  return it.succeeded_at && now - *it.succeeded_at < kProvenTime;
}

bool ForwarderTable::HasFailed(const Forwarder& it, core::TimePoint now) {
  return it.failed_at && now - *it.failed_at < kFailureTime;
}

std::vector<std::string> ForwarderTable::Set(
    const std::vector<ForwarderInfo>& listed, core::TimePoint now) {
  for (auto& [id, it] : forwarders_) {
    if (!it.unlisted_since) {
      it.unlisted_since = now;
    }
  }
  for (const ForwarderInfo& info : listed) {
    Forwarder& it = forwarders_[info.instance];
    it.zone = info.zone;
    it.unlisted_since.reset();
  }
  std::vector<std::string> dropped;
  std::erase_if(forwarders_, [&](const auto& it) {
    const bool is_dropped = it.second.unlisted_since && it.second.open == 0 &&
                            now - *it.second.unlisted_since >= kRetention;
    if (is_dropped) {
      dropped.push_back(it.first);
    }
    return is_dropped;
  });
  return dropped;
}

std::optional<std::string> ForwarderTable::Choose(
    const std::set<std::string>& excluded, core::TimePoint now) const {
  std::optional<std::string> best;
  int64_t best_cost = 0;
  for (const auto& [id, it] : forwarders_) {
    if (excluded.contains(id) || HasFailed(it, now)) {
      continue;
    }
    const int64_t cost = it.open + (IsProven(it, now) ? 0 : kUnprovenCost) +
                         (it.zone == zone_ ? 0 : kOtherZoneCost);
    if (!best || cost < best_cost) {
      best = id;
      best_cost = cost;
    }
  }
  return best;
}

std::vector<std::string> ForwarderTable::ChooseProbes(size_t count,
                                                      core::TimePoint now) {
  const auto key = [now](const Forwarder* it) {
    return std::tuple(HasFailed(*it, now), !IsProven(*it, now), it->last_probe);
  };
  std::vector<std::pair<std::string, Forwarder*>> near;
  std::vector<std::pair<std::string, Forwarder*>> far;
  for (auto& [id, it] : forwarders_) {
    (it.zone == zone_ ? near : far).emplace_back(id, &it);
  }
  for (auto* list : {&near, &far}) {
    std::sort(list->begin(), list->end(), [&](const auto& a, const auto& b) {
      return key(a.second) < key(b.second);
    });
  }
  std::vector<std::string> chosen;
  for (size_t n = 0; n < std::max(near.size(), far.size()); ++n) {
    for (auto* list : {&far, &near}) {
      if (n < list->size() && chosen.size() < count) {
        chosen.push_back((*list)[n].first);
        (*list)[n].second->last_probe = ++probes_;
      }
    }
  }
  return chosen;
}

void ForwarderTable::OnStarted(const std::string& instance) {
  const auto it = forwarders_.find(instance);
  if (it != forwarders_.end()) {
    ++it->second.open;
  }
}

void ForwarderTable::OnEnded(const std::string& instance) {
  const auto it = forwarders_.find(instance);
  if (it != forwarders_.end() && it->second.open > 0) {
    --it->second.open;
  }
}

void ForwarderTable::OnSuccess(const std::string& instance,
                               core::TimePoint now) {
  const auto it = forwarders_.find(instance);
  if (it != forwarders_.end()) {
    it->second.succeeded_at = now;
    it->second.failed_at.reset();
  }
}

void ForwarderTable::OnFailure(const std::string& instance,
                               core::TimePoint now) {
  const auto it = forwarders_.find(instance);
  if (it != forwarders_.end()) {
    it->second.failed_at = now;
    it->second.succeeded_at.reset();
  }
}

}  // namespace hawthorn::relay
