#pragma once

#include <optional>

#include "core/error.h"
#include "schema/generated/deployment.pb.h"

// How commands of the deployment's group show in metrics and log records.
namespace hawthorn::cluster {

/// Word for the kind of a command, as the class of a histogram.
const char* KindOf(const schema::DeploymentCommand& command);

/// The claim in a command, without the settlements that travel with it.
std::optional<schema::TokenReservation> ClaimOf(
    const schema::DeploymentCommand& command);

/// Writes the record of a decided claim: a refused one always, a granted one at
/// debug level.
void LogClaim(const schema::TokenReservation& claim,
              const core::Result<schema::DeploymentReply>& result);

}  // namespace hawthorn::cluster
