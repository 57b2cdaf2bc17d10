#pragma once

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <utility>

#include "core/clock.h"
#include "scheduling/call.h"
#include "scheduling/policy_settings.h"

// The SchedulingPolicy concept and AnyPolicy, a type-erased policy.
namespace hawthorn::scheduling {

/// A call in the queue.
struct QueuedCall {
  CallRequest request;
  core::TimePoint enqueued;
  /// Sequence number of arrival.
  uint64_t sequence = 0;
  /// Position in the queue; set when the call is queued and when the policy is
  /// replaced.
  double rank = 0;
  /// Start tag in the fair queue; 0 for policies without one.
  double share_tag = 0;
  /// Upstream that had cached its longest prefix when it was queued.
  std::optional<size_t> home;
};

/// Rules by which an upstream is chosen for a call.
struct PlacementRules {
  /// Prefer upstreams that have cached a prefix of the prompt.
  bool affinity = false;
  /// How much more loaded than the least loaded upstream a preferred one may
  /// be, as a fraction of its window.
  double imbalance_bound = 0;
  /// Largest difference in rank by which a call may overtake the head of the
  /// queue because a free upstream has cached its prefix.
  double home_rank_slack = 0;
  /// Drop the prefixes of ended programs, and hold prefixes during tool pauses.
  bool manages_cache = false;
};

/// A policy ranks calls and provides placement rules. Calls with a smaller rank
/// go first. The rank of a queued call changes only when the policy is
/// replaced, so that the queue can be an ordered index. A rank must grow
/// without bound with the time of arrival, so that no call starves.
template <typename P>
concept SchedulingPolicy = requires(P policy, const P constant,
                                    QueuedCall& call) {
  { policy.Rank(call) } -> std::same_as<double>;
  { policy.OnDispatched(call) } -> std::same_as<void>;
  { constant.placement() } -> std::same_as<PlacementRules>;
};

/// Type-erased SchedulingPolicy.
class AnyPolicy {
 public:
  template <SchedulingPolicy P>
  explicit AnyPolicy(P policy)
      : model_(std::make_unique<Model<P>>(std::move(policy))) {}

  /// Computes the rank of a call that enters the queue.
  double Rank(QueuedCall& call) { return model_->Rank(call); }
  /// Notifies the policy that a call was dispatched to an upstream.
  void OnDispatched(QueuedCall& call) { model_->OnDispatched(call); }
  PlacementRules placement() const { return model_->placement(); }

 private:
  class Concept {
   public:
    virtual ~Concept() = default;
    virtual double Rank(QueuedCall& call) = 0;
    virtual void OnDispatched(QueuedCall& call) = 0;
    virtual PlacementRules placement() const = 0;
  };

  template <SchedulingPolicy P>
  class Model final : public Concept {
   public:
    explicit Model(P policy) : policy_(std::move(policy)) {}
    double Rank(QueuedCall& call) override { return policy_.Rank(call); }
    void OnDispatched(QueuedCall& call) override { policy_.OnDispatched(call); }
    PlacementRules placement() const override { return policy_.placement(); }

   private:
    P policy_;
  };

  std::unique_ptr<Concept> model_;
};

/// Creates the policy that `settings` selects.
AnyPolicy MakePolicy(const PolicySettings& settings);

/// `now` in seconds since the epoch of its clock; the unit of most ranks.
double ToSeconds(core::TimePoint now);

}  // namespace hawthorn::scheduling
