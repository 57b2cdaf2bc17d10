#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/clock.h"
#include "scheduling/policy.h"

namespace hawthorn::scheduling {

/// Queue of the calls of one service, ordered by a policy, with an index of
/// their deadlines.
class CallQueue {
 public:
  /// Rank, then sequence number of arrival, which makes the position unique.
  using Position = std::pair<double, uint64_t>;

  explicit CallQueue(AnyPolicy policy);

  /// Adds a call; `home` is the upstream that has cached its longest prefix.
  void Push(const CallRequest& request, std::optional<size_t> home,
            core::TimePoint now);
  /// Removes a call without dispatching it; false if it is not queued.
  bool Erase(CallId call);
  /// Removes a call that is being dispatched and notifies the policy.
  void TakeForDispatch(CallId call);
  /// Replaces the policy and recomputes the rank of all queued calls.
  void SetPolicy(AnyPolicy policy);

  PlacementRules placement() const { return placement_; }
  bool empty() const { return order_.empty(); }
  size_t size() const { return order_.size(); }
  /// Number of queued calls of `organisation`.
  size_t CountOf(const core::OrganisationId& organisation) const;
  size_t interactive() const { return interactive_; }
  size_t isolated() const { return isolated_; }
  /// The queued call; null if it is not queued.
  QueuedCall* Find(CallId call);

  /// Visits calls in order until `visit` returns false.
  template <typename Visit>
  void ForEach(Visit visit) {
    for (const auto& [position, call] : order_) {
      if (!visit(*call)) {
        return;
      }
    }
  }

  /// First call in order whose home is `upstream`; null if there is none.
  QueuedCall* FirstAtHome(size_t upstream);

  /// Queued calls whose deadline is at or before `now`.
  std::vector<CallId> Expired(core::TimePoint now) const;
  std::optional<core::TimePoint> NextDeadline() const;

 private:
  struct Ranked {
    Position position;
    QueuedCall* call;
    bool operator<(const Ranked& other) const {
      return position < other.position;
    }
  };

  void Link(QueuedCall& call);
  void Unlink(std::unordered_map<CallId, QueuedCall>::iterator it);

  AnyPolicy policy_;
  PlacementRules placement_;
  std::unordered_map<CallId, QueuedCall> calls_;
  std::set<Ranked> order_;
  std::unordered_map<size_t, std::set<Ranked>> by_home_;
  std::set<std::pair<core::TimePoint, CallId>> deadlines_;
  std::unordered_map<core::OrganisationId, size_t> by_organisation_;
  size_t interactive_ = 0;
  size_t isolated_ = 0;
  uint64_t next_sequence_ = 0;
};

}  // namespace hawthorn::scheduling
