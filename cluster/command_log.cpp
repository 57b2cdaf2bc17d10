#include "cluster/command_log.h"

#include <string>

#include "logging/log.h"

namespace hawthorn::cluster {

using logging::Log;
using logging::LogLevel;

const char* KindOf(const schema::DeploymentCommand& command) {
  using Command = schema::DeploymentCommand;
  switch (command.body_case()) {
    case Command::kPublish:
      return "publish";
    case Command::kUpstream:
      return "upstream";
    case Command::kReserve:
      return "claim";
    case Command::kSettle:
      return "settle";
    case Command::kInstance:
    case Command::kForgetInstance:
    case Command::kRetire:
      return "instance";
    case Command::kForgetUpstream:
      return "forget_upstream";
    case Command::kReportCrash:
      return "crashed_request";
    case Command::kDrainingUpstream:
      return "draining_upstream";
    case Command::kUpstreamLimit:
      return "upstream_limit";
    case Command::kSucceededRequest:
      return "succeeded_request";
    case Command::BODY_NOT_SET:
      break;
  }
  return "none";
}

std::optional<schema::TokenReservation> ClaimOf(
    const schema::DeploymentCommand& command) {
  if (!command.has_reserve()) {
    return std::nullopt;
  }
  schema::TokenReservation claim;
  claim.set_program(command.reserve().program());
  claim.set_request(command.reserve().request());
  claim.set_budget(command.reserve().budget());
  claim.set_tokens(command.reserve().tokens());
  return claim;
}

void LogClaim(const schema::TokenReservation& claim,
              const core::Result<schema::DeploymentReply>& result) {
  const bool known = core::IsOk(result);
  const bool granted = known && core::Value(result).granted();
  const LogLevel level = granted ? LogLevel::kDebug
                         : known ? LogLevel::kInfo
                                 : LogLevel::kWarn;
  if (!logging::IsLogEnabled(level)) {
    return;
  }
  Log(level, granted ? "claim granted" : "claim refused",
      {{"request", claim.request()},
       {"program", claim.program()},
       {"budget", std::to_string(claim.budget())},
       {"most_tokens", std::to_string(claim.tokens())},
       {"budget_remaining",
        known ? std::to_string(core::Value(result).remaining()) : "unknown"},
       {"reason", granted ? ""
                  : known ? "budget spent"
                          : core::ErrorOf(result).message}});
}

void LogCrashReport(const schema::ReportCrash& report,
                    const control::CrashTable& crashes) {
  const uint64_t content = report.fingerprint();
  std::string grain = crashes.poison().contains(content) ? "content" : "";
  const auto& refused = crashes.evidence().refused();
  for (const uint64_t it : report.prefixes()) {
    grain = refused.contains(it) ? "prompt prefix" : grain;
  }
  grain = refused.contains(report.target_digest()) ? "target" : grain;
  Log(LogLevel::kInfo, "crash report committed",
      {{"digest", std::to_string(content)},
       {"target", report.target()},
       {"upstream", report.upstream()},
       {"running_calls", std::to_string(report.running_together())},
       {"refused_grain", grain},
       {"crashes", std::to_string(crashes.CrashesOf(content))}});
}

}  // namespace hawthorn::cluster
