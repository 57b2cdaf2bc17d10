#include "scheduling/combined_policy.h"

#include <algorithm>

namespace hawthorn::scheduling {
namespace {

/// Head start of interactive calls, in seconds.
constexpr double kInteractiveHeadStart = 30;
/// Seconds of delay for each token that the program attained, at a latency
/// weight of 1.
constexpr double kDelayPerAttainedToken = 1.0 / 100000;
constexpr double kMaxAttainedDelay = 120;
/// Seconds of delay for each token by which a flow is ahead of its share.
constexpr double kDelayPerShareToken = 1.0 / 4000;
constexpr double kMaxShareDelay = 60;
constexpr double kMinImbalanceBound = 0.3;
constexpr double kMaxImbalanceBound = 0.8;
constexpr double kMinHomeRankSlack = 30;
constexpr double kMaxHomeRankSlack = 130;

}  // namespace

CombinedPolicy::CombinedPolicy(double latency_weight)
    : latency_weight_(std::clamp(latency_weight, 0.0, 1.0)) {}

double CombinedPolicy::Rank(QueuedCall& call) {
  call.share_tag = share_.Charge(call.request, ExpectedCost(call.request));
  const double ahead = call.share_tag - share_.virtual_time();
  const double share_delay =
      std::min(kMaxShareDelay, ahead * kDelayPerShareToken);
  const double attained = static_cast<double>(call.request.attained_tokens);
  const double attained_delay =
      std::min(kMaxAttainedDelay, attained * kDelayPerAttainedToken);
  const double head_start =
      call.request.interactive ? kInteractiveHeadStart : 0;
  return ToSeconds(call.enqueued) + share_delay +
         latency_weight_ * attained_delay - head_start;
}

void CombinedPolicy::OnDispatched(QueuedCall& call) {
  share_.OnDispatched(call.share_tag);
}

PlacementRules CombinedPolicy::placement() const {
  PlacementRules rules;
  rules.affinity = true;
  rules.imbalance_bound =
      kMaxImbalanceBound -
      latency_weight_ * (kMaxImbalanceBound - kMinImbalanceBound);
  rules.home_rank_slack =
      kMaxHomeRankSlack -
      latency_weight_ * (kMaxHomeRankSlack - kMinHomeRankSlack);
  rules.manages_cache = true;
  return rules;
}

}  // namespace hawthorn::scheduling
