#pragma once

#include <chrono>
#include <string>
#include <utility>

#include "core/error.h"

namespace hawthorn::cluster {

/// Suggested retry delay while an instance cannot serve: about the duration of
/// an election.
inline constexpr std::chrono::milliseconds kUnavailableRetryAfter{300};

/// Error of a request that was not run because this instance cannot serve it at
/// present.
inline core::Error Unavailable(std::string message) {
  return core::Error{core::ErrorCode::kUnavailable, std::move(message),
                     core::Execution::kNotRun, kUnavailableRetryAfter};
}

}  // namespace hawthorn::cluster
