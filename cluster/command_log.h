#pragma once

#include <optional>

#include "control/crash_table.h"
#include "core/error.h"
#include "schema/generated/deployment.pb.h"

// Metrics and log records of the deployment group's commands.
namespace hawthorn::cluster {

/// Name of the kind of a command, used as the class of a histogram.
const char* KindOf(const schema::DeploymentCommand& command);

/// The claim in a command, without the settlements that the command also
/// contains.
std::optional<schema::TokenReservation> ClaimOf(
    const schema::DeploymentCommand& command);

/// Logs the result of a claim: at debug level if granted, else at info or
/// warning level.
void LogClaim(const schema::TokenReservation& claim,
              const core::Result<schema::DeploymentReply>& result);

/// Logs a crash report that was committed, and what it led to.
void LogCrashReport(const schema::ReportCrash& report,
                    const control::CrashTable& crashes);

}  // namespace hawthorn::cluster
