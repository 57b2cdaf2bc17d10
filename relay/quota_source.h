#pragma once

#include <functional>
#include <string>

#include "core/clock.h"
#include "core/error.h"

namespace hawthorn::relay {

/// Credit for the requests of organisations whose rate is limited over all
/// instances together.
class QuotaSource {
 public:
  /// Receives success, or the reason why the request may not be sent:
  /// kLimitExceeded with the time at which there will be credit, or
  /// kUnavailable if nobody could tell whether there is.
  using TakeCallback = std::function<void(const core::Status&)>;

  virtual ~QuotaSource() = default;

  /// Takes credit for one request of `organisation`, whose rate is limited.
  /// `callback` is called exactly once, from within this call if the credit is
  /// at hand.
  virtual void Take(const std::string& organisation, TakeCallback callback) = 0;
  /// Gives back the credit of a request that was not sent to any upstream.
  /// `taken_at` is when the request asked for it.
  virtual void GiveBack(const std::string& organisation,
                        core::TimePoint taken_at) = 0;
};

}  // namespace hawthorn::relay
