// Requests of callers: the route, the organisation, and what is refused at
// once.
#include <xxhash.h>

#include <utility>

#include "logging/log.h"
#include "relay/relay.h"
#include "relay/request_digest.h"
#include "transport/http_status.h"

namespace hawthorn::relay {

namespace {

namespace status = transport::status;

/// Retry-After in seconds while no configuration is known.
constexpr const char* kUnconfiguredRetryAfter = "0.3";
/// Retry-After in seconds of a poison request: the shortest time for which a
/// grain is refused.
constexpr const char* kPoisonRetryAfter = "30";

/// Returns the hash and the length of the prompt up to the end of each part.
std::vector<scheduling::PrefixSegment> PrefixSegments(const CallHead& head) {
  std::vector<scheduling::PrefixSegment> segments;
  uint64_t hash = XXH64(head.model.data(), head.model.size(), 0);
  int64_t tokens = 0;
  for (const PromptPart& part : head.prompt_parts) {
    hash = XXH64(part.id.data(), part.id.size(), hash);
    tokens += part.tokens;
    segments.push_back({hash, tokens});
  }
  return segments;
}

}  // namespace

void Relay::OnRequest(transport::HttpSession& session,
                      transport::RelayRequest request) {
  if (!table_) {
    parts_.metrics.Count("relay_refused_unconfigured");
    session.Respond(status::kServiceUnavailable,
                    {{"Retry-After", kUnconfiguredRetryAfter}},
                    "no configuration is known yet");
    return;
  }
  CallHead head = parts_.codec.DecodeCall(request);
  const Route* route = table_->Find(request.host, request.target);
  if (route == nullptr) {
    parts_.metrics.Count("relay_no_route");
    logging::Log(logging::LogLevel::kInfo, "call without a route",
                 {{"request", head.request_id},
                  {"host", request.host},
                  {"target", request.target},
                  {"configuration", std::to_string(table_version_)}});
    session.Respond(status::kNotFound, {},
                    "no route matches the host and path");
    return;
  }
  if (route->services.empty()) {
    parts_.metrics.Count("relay_refused_unusable_route");
    session.Respond(status::kServiceUnavailable,
                    {{"Retry-After", kUnconfiguredRetryAfter}},
                    "this instance cannot use the route");
    return;
  }
  std::optional<CallOrganisation> organisation =
      Authenticate(session, *route, &head);
  if (!organisation) {
    return;
  }
  if (head.request_id.empty()) {
    session.Respond(status::kBadRequest, {}, "the request id is missing");
    return;
  }
  if (!head.fault.empty()) {
    parts_.metrics.Count("relay_malformed_requests");
    logging::Log(logging::LogLevel::kWarn, "malformed request",
                 {{"route", route->name}, {"reason", head.fault}});
    session.Respond(status::kBadRequest, {}, head.fault);
    return;
  }
  if (parts_.buffers != nullptr && parts_.buffers->IsOver()) {
    RefuseForBuffers(session, head);
    return;
  }
  std::vector<scheduling::PrefixSegment> segments = PrefixSegments(head);
  if (const std::string grain = RefusedGrain(request, segments);
      !grain.empty()) {
    parts_.metrics.Count("relay_refused_harmful");
    logging::Log(logging::LogLevel::kWarn, "call refused",
                 {{"request", head.request_id},
                  {"program", head.program},
                  {"target", TargetNameOf(request)},
                  {"grain", grain},
                  {"reason", kPoisonReason}});
    session.Respond(status::kServiceUnavailable,
                    {{"Retry-After", kPoisonRetryAfter}}, kPoisonReason);
    return;
  }
  // A resumed stream goes on at the service that began it.
  const std::string& key = !head.program.empty() ? head.program
                           : !head.resumed_request.empty()
                               ? head.resumed_request
                               : head.request_id;
  std::string service = RouteTable::PickService(*route, key);
  const ServiceSettings* settings = table_->FindService(service);
  RelayCall::Parts parts{*this,
                         session,
                         std::move(request),
                         std::move(head),
                         std::move(segments),
                         *route,
                         std::move(service),
                         settings != nullptr && settings->engine
                             ? settings->engine->tokens_per_event
                             : 1,
                         parts_.progress_timeout,
                         std::move(*organisation),
                         parts_.buffers};
  if (parts.organisation.priority) {
    parts.route.priority = *parts.organisation.priority;
  }
  auto* call = new RelayCall(std::move(parts), this);
  calls_.insert(call);
  call->Start();
}

std::optional<CallOrganisation> Relay::Authenticate(
    transport::HttpSession& session, const Route& route, CallHead* head) {
  const std::string key = std::exchange(head->api_key, {});
  CallOrganisation caller;
  if (!table_->has_organisations()) {
    return caller;
  }
  caller.has_organisations = true;
  const Organisation* found = table_->FindOrganisation(key);
  if (found != nullptr) {
    caller.name = found->name;
    caller.is_limited = found->limit.IsLimited();
    caller.priority = found->priority;
  } else if (!route.is_public) {
    parts_.metrics.Count(key.empty() ? "relay_key_missing"
                                     : "relay_key_unknown");
    logging::Log(logging::LogLevel::kDebug, "caller without a valid key",
                 {{"request", head->request_id}, {"route", route.name}});
    session.Respond(status::kUnauthorized, {},
                    "the key is missing or not known");
    return std::nullopt;
  }
  return caller;
}

void Relay::RefuseForBuffers(transport::HttpSession& session,
                             const CallHead& head) {
  parts_.metrics.Count("relay_refused_buffers");
  logging::Log(logging::LogLevel::kWarn, "call refused",
               {{"request", head.request_id},
                {"program", head.program},
                {"reason", "the buffers of the instance are full"},
                {"buffered", std::to_string(parts_.buffers->used())},
                {"limit", std::to_string(parts_.buffers->limit())}});
  session.Respond(status::kServiceUnavailable,
                  {{"Retry-After", transport::HttpSession::kFullRetryAfter}},
                  "the buffers of the instance are full");
}

std::string Relay::RefusedGrain(
    const transport::RelayRequest& request,
    const std::vector<scheduling::PrefixSegment>& segments) {
  if (poison_.empty()) {
    return "";
  }
  const auto kind = poison_.Find(DigestsOf(request, segments), NowMs());
  return kind ? programs::CrashEvidence::ToString(*kind) : "";
}

}  // namespace hawthorn::relay
