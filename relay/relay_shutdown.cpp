#include "relay/relay.h"

namespace hawthorn::relay {

void Relay::SetShutdownDeadline(core::TimePoint deadline) {
  shutdown_deadline_ = deadline - kFinalResponseTime;
  // A call that ends leaves the set.
  const std::set<RelayCall*> calls = calls_;
  for (RelayCall* call : calls) {
    call->EndBy(*shutdown_deadline_);
  }
}

}  // namespace hawthorn::relay
