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

// The concept of a scheduling policy and a holder for any of them.
namespace hawthorn::scheduling {

/// A call in the queue.
struct QueuedCall {
  CallRequest request;
  core::TimePoint enqueued;
  /// Order of arrival.
  uint64_t sequence = 0;
  /// Position in the queue; set once, when the call is queued.
  double rank = 0;
  /// Start tag in the fair queue; 0 for policies without one.
  double share_tag = 0;
  /// Upstream that held its longest prefix when it was queued.
  std::optional<size_t> home;
};

/// How an upstream is chosen for a call.
struct PlacementRules {
  /// Prefer upstreams that hold the prompt's prefix.
  bool affinity = false;
  /// Load of a preferred upstream above the least loaded one, as a fraction
  /// of its window.
  double imbalance_bound = 0;
  /// Largest difference in rank by which a call whose prefix is on a free
  /// upstream may go before the head of the queue.
  double home_rank_slack = 0;
  /// Drop the prefixes of programs that ended, and hold through pauses.
  bool manages_cache = false;
};

/// A policy ranks calls and gives placement rules. Calls of a smaller rank go
/// first; a rank never changes while the call is queued, so that the queue
/// stays an ordered index. A rank must grow without bound with the time of
/// arrival, so that nothing starves.
template <typename P>
concept SchedulingPolicy = requires(P policy, const P constant,
                                    QueuedCall& call) {
  { policy.Rank(call) } -> std::same_as<double>;
  { policy.OnDispatched(call) } -> std::same_as<void>;
  { constant.placement() } -> std::same_as<PlacementRules>;
};

/// Holds a policy of any type.
class AnyPolicy {
 public:
  template <SchedulingPolicy P>
  explicit AnyPolicy(P policy)
      : model_(std::make_unique<Model<P>>(std::move(policy))) {}

  /// Rank of a call that enters the queue.
  double Rank(QueuedCall& call) { return model_->Rank(call); }
  /// Tells the policy that a call has left the queue for an upstream.
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

/// Makes the policy that `settings` names.
AnyPolicy MakePolicy(const PolicySettings& settings);

/// Seconds on the clock of `now`; the unit of most ranks.
double ToSeconds(core::TimePoint now);

}  // namespace hawthorn::scheduling
