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
  /// Flows kept; those whose finish tag is not ahead of virtual time are
  /// removed first.
  static constexpr size_t kMaxFlows = 65536;

  /// Charges `tokens` to the flow of `call` and returns the call's start tag.
  double Charge(const CallRequest& call, double tokens);

  /// Advances virtual time to the start tag of a dispatched call.
  void OnDispatched(double start_tag);

  /// Start tag that a new flow would get.
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
