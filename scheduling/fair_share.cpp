#include "scheduling/fair_share.h"

#include <algorithm>
#include <iterator>

namespace hawthorn::scheduling {
namespace {

/// Cost of an output token, in prompt tokens.
constexpr double kOutputTokenCost = 8;
/// Share of the allowed output tokens that calls use on average.
constexpr double kOutputShare = 0.5;

}  // namespace

double FairShare::Charge(const CallRequest& call, double tokens) {
  const double weight =
      std::max<uint32_t>(1, call.organisation_weight) *
      static_cast<double>(std::max<uint32_t>(1, call.class_weight));
  if (finish_tags_.size() >= kMaxFlows) {
    Prune();
  }
  std::string flow = call.organisation.text();
  flow += '\n';
  flow += call.service_class;
  double& finish = finish_tags_[std::move(flow)];
  const double start = std::max(virtual_time_, finish);
  finish = start + tokens / weight;
  return start;
}

void FairShare::OnDispatched(double start_tag) {
  virtual_time_ = std::max(virtual_time_, start_tag);
}

void FairShare::Prune() {
  std::erase_if(finish_tags_, [this](const auto& flow) {
    return flow.second <= virtual_time_;
  });
  if (finish_tags_.size() < kMaxFlows) {
    return;
  }
  finish_tags_.clear();
}

double ExpectedCost(const CallRequest& call) {
  const double output =
      static_cast<double>(call.max_output_tokens) * kOutputShare;
  return static_cast<double>(call.prompt_tokens) + output * kOutputTokenCost;
}

}  // namespace hawthorn::scheduling
