#pragma once

#include <string>

#include "core/error.h"
#include "schema/generated/peer.pb.h"

// Errors of the links and their representation in messages.
namespace hawthorn::peer {

/// Returns an error without a retry_after.
core::Error MakeError(core::ErrorCode code, std::string message,
                      core::Execution execution);

/// Converts `error` to its message.
schema::Failure ToFailure(const core::Error& error);

/// Converts a message to an error. Unknown codes become kInternal, and an
/// unknown execution becomes kUnknown.
core::Error FromFailure(const schema::Failure& failure);

}  // namespace hawthorn::peer
