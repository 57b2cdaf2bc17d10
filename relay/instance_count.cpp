#include "relay/instance_count.h"

#include <algorithm>
#include <utility>

namespace hawthorn::relay {

bool InstanceCount::Update(size_t instances, core::TimePoint now) {
  if (instances == 0) {
    return false;
  }
  if (instances >= value_) {
    lower_ = 0;
    return std::exchange(value_, instances) != instances;
  }
  if (lower_ == 0) {
    lower_since_ = now;
  }
  lower_ = std::max(lower_, instances);
  if (now - lower_since_ < kHold) {
    return false;
  }
  value_ = std::exchange(lower_, 0);
  return true;
}

}  // namespace hawthorn::relay
