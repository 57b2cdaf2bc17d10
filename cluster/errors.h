#pragma once

#include <chrono>
#include <string>
#include <utility>

#include "core/error.h"

namespace hawthorn::cluster {

/// Wait that is suggested while an instance cannot serve: about an election.
inline constexpr std::chrono::milliseconds kUnavailableRetryAfter{300};

/// An error of something that was not run because this instance cannot serve
/// it now.
inline core::Error Unavailable(std::string message) {
  return core::Error{core::ErrorCode::kUnavailable, std::move(message),
                     core::Execution::kNotRun, kUnavailableRetryAfter};
}

}  // namespace hawthorn::cluster
