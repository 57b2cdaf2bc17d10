#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>

#include "scheduling/call.h"

namespace hawthorn::scheduling {

/// Start-time fair queueing over flows; a flow is an organisation's traffic
/// of one class. Tags are in tokens divided by weight.
class FairShare {
 public:
  /// Flows kept; those that owe nothing are forgotten first.
  static constexpr size_t kMaxFlows = 65536;

  /// Start tag of a call that costs `tokens`; charges its flow.
  double Charge(const CallRequest& call, double tokens);

  /// Moves virtual time forward to the start tag of a call in service.
  void OnDispatched(double start_tag);

  /// Least start tag that a new flow would get.
  double virtual_time() const { return virtual_time_; }
  size_t flows() const { return finish_tags_.size(); }

 private:
  void Prune();

  std::unordered_map<std::string, double> finish_tags_;
  double virtual_time_ = 0;
};

/// Expected cost of a call in tokens.
double ExpectedCost(const CallRequest& call);

}  // namespace hawthorn::scheduling
