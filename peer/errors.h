#pragma once

#include <string>

#include "core/error.h"
#include "schema/generated/peer.pb.h"

// Errors of the links and their message form.
namespace hawthorn::peer {

/// Builds an error without a time to retry.
core::Error MakeError(core::ErrorCode code, std::string message,
                      core::Execution execution);

/// Message form of `error`.
schema::Failure ToFailure(const core::Error& error);

/// Reads the message form; unknown codes become kInternal and an unknown
/// execution kUnknown.
core::Error FromFailure(const schema::Failure& failure);

}  // namespace hawthorn::peer
