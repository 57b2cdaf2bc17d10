#include <cmath>
#include <cstdlib>
#include <optional>

#include "logging/log.h"
#include "relay/relay.h"

// The relay's table of upstreams: what the group records of each, and what they
// say of themselves in responses.
namespace hawthorn::relay {

namespace {

/// Text form of a request limit for log records.
std::string LimitText(std::optional<double> per_second) {
  return per_second ? std::to_string(*per_second) : "none";
}

}  // namespace

void Relay::SetUpstream(const schema::UpstreamEntry& entry) {
  const std::string& id = entry.upstream();
  const auto address = transport::ParseAddress(entry.address());
  if (!entry.gone() && !core::IsOk(address)) {
    parts_.metrics.Count("relay_unusable_entries");
    logging::Log(
        logging::LogLevel::kWarn, "unusable entry of an upstream",
        {{"upstream", id}, {"reason", core::ErrorOf(address).message}});
  }
  if (entry.gone() || !core::IsOk(address)) {
    RemoveUpstream(id);
    return;
  }
  Upstream& upstream = upstreams_[id];
  if (upstream.entry.address() != entry.address() ||
      upstream.entry.started_at_ms() != entry.started_at_ms()) {
    links_.Forget(id);
    paths_.Remove(id);
  }
  TakeRecordedLimit(upstream.entry, entry);
  upstream.entry = entry;
  upstream.address = core::Value(address);
  UpdateScheduler(upstream);
  logging::Log(
      logging::LogLevel::kInfo, "upstream changed",
      {{"upstream", id},
       {"service", entry.service()},
       {"version", entry.software_version()},
       {"address", entry.address()},
       {"draining", IsDraining(entry) ? "true" : "false"},
       {"known_by", !IsDraining(entry) ? ""
                    : entry.draining() ? "record"
                                       : "response"},
       {"limit", LimitText(request_limits_.Of(id, entry.started_at_ms()))},
       {"revision", std::to_string(entry.revision())}});
  SchedulePump();
}

void Relay::TakeRecordedLimit(const schema::UpstreamEntry& before,
                              const schema::UpstreamEntry& entry) {
  const auto limit_of = [](const schema::UpstreamEntry& it) {
    const double limit = it.request_limit();
    return it.has_request_limit() && std::isfinite(limit) && limit >= 0
               ? std::optional(limit)
               : std::nullopt;
  };
  const std::optional<double> limit = limit_of(entry);
  const bool same_incarnation = before.started_at_ms() == entry.started_at_ms();
  if (same_incarnation && limit_of(before) == limit) {
    return;
  }
  if (limit) {
    request_limits_.OnNamed(entry.upstream(), entry.started_at_ms(), *limit,
                            parts_.clock.Now());
  } else if (same_incarnation) {
    request_limits_.Forget(entry.upstream());
  }
}

void Relay::ReportLimit(const Upstream& upstream, std::optional<double> limit) {
  const schema::UpstreamEntry& entry = upstream.entry;
  const bool is_known = limit.has_value() == entry.has_request_limit() &&
                        std::abs(limit.value_or(0) - entry.request_limit()) <=
                            entry.request_limit() * kReportedLimitChange;
  if (is_known || !parts_.on_limit) {
    return;
  }
  schema::UpstreamLimit report;
  report.mutable_incarnation()->set_upstream(entry.upstream());
  report.mutable_incarnation()->set_started_at_ms(entry.started_at_ms());
  if (limit) {
    report.set_requests_per_second(*limit);
  }
  parts_.on_limit(report);
}

void Relay::RemoveUpstream(const std::string& id) {
  if (upstreams_.erase(id) == 0) {
    return;
  }
  links_.Forget(id);
  paths_.Remove(id);
  silence_.Remove(id);
  request_limits_.Forget(id);
  speed_reports_.Forget(id);
  scheduler_.RemoveUpstream(core::UpstreamId(id));
  logging::Log(logging::LogLevel::kInfo, "upstream removed",
               {{"upstream", id}});
}

void Relay::RetainUpstreams(const std::set<std::string>& known) {
  std::vector<std::string> gone;
  for (const auto& [id, upstream] : upstreams_) {
    if (!known.contains(id)) {
      gone.push_back(id);
    }
  }
  for (const std::string& id : gone) {
    RemoveUpstream(id);
  }
}

void Relay::SetInstanceCount(size_t instances) {
  const core::TimePoint now = parts_.clock.Now();
  if (instances_.Update(instances, now)) {
    scheduler_.SetInstanceCount(instances_.value(), now);
  }
}

void Relay::UpdateScheduler(const Upstream& upstream) {
  scheduling::UpstreamState state;
  state.id = core::UpstreamId(upstream.entry.upstream());
  state.service = core::ServiceId(upstream.entry.service());
  state.zone = core::ZoneId(upstream.entry.zone());
  state.max_running = upstream.entry.max_running();
  state.software_version = upstream.entry.software_version();
  state.leaving = IsDraining(upstream.entry);
  state.request_limit = request_limits_.Of(upstream.entry.upstream(),
                                           upstream.entry.started_at_ms());
  const ServiceSettings* service =
      table_ ? table_->FindService(upstream.entry.service()) : nullptr;
  if (service != nullptr && service->engine) {
    state.cache_tokens = service->engine->cache_tokens;
  }
  scheduler_.SetUpstream(state, parts_.clock.Now());
}

uint64_t Relay::StartTimeOf(const std::string& upstream) const {
  const auto it = upstreams_.find(upstream);
  return it == upstreams_.end() ? 0 : it->second.entry.started_at_ms();
}

std::string Relay::VersionOf(const std::string& upstream) const {
  const auto it = upstreams_.find(upstream);
  return it == upstreams_.end() ? "" : it->second.entry.software_version();
}

bool Relay::IsDraining(const schema::UpstreamEntry& entry) const {
  return entry.draining() ||
         drain_marks_.Contains(entry.upstream(), entry.started_at_ms());
}

bool Relay::IsDraining(const RelayCall& call) const {
  return drain_marks_.Contains(call.summary().last_upstream,
                               call.upstream_started_at_ms());
}

void Relay::MarkDraining(const RelayCall& call) {
  const std::string& upstream = call.summary().last_upstream;
  const uint64_t started_at_ms = call.upstream_started_at_ms();
  if (!drain_marks_.Add(upstream, started_at_ms)) {
    return;
  }
  parts_.metrics.Count("relay_upstreams_draining");
  const auto it = upstreams_.find(upstream);
  const bool is_current = it != upstreams_.end() &&
                          it->second.entry.started_at_ms() == started_at_ms;
  logging::Log(
      logging::LogLevel::kInfo, "upstream draining",
      {{"upstream", upstream},
       {"started_at_ms", std::to_string(started_at_ms)},
       {"known_by", "response"},
       {"request", call.head().request_id},
       {"announced",
        is_current && it->second.entry.draining() ? "true" : "false"}});
  if (is_current) {
    links_.Forget(upstream);
    UpdateScheduler(it->second);
  }
  if (parts_.on_draining) {
    parts_.on_draining(upstream, started_at_ms);
  }
}

void Relay::UpdateRequestLimit(const RelayCall& call,
                               const ResponseInfo& response) {
  const std::string& upstream = call.summary().last_upstream;
  const uint64_t started_at_ms = call.upstream_started_at_ms();
  const auto it = upstreams_.find(upstream);
  if (it == upstreams_.end() ||
      it->second.entry.started_at_ms() != started_at_ms) {
    return;
  }
  if (response.has_malformed_limit) {
    parts_.metrics.Count("relay_malformed_limits");
    logging::Log(logging::LogLevel::kWarn, "malformed request limit",
                 {{"upstream", upstream}, {"request", call.head().request_id}});
  }
  const std::optional<double> before =
      request_limits_.Of(upstream, started_at_ms);
  const bool is_own = response.request_id == call.head().request_id;
  const bool changed =
      response.request_limit
          ? request_limits_.OnNamed(upstream, started_at_ms,
                                    *response.request_limit, parts_.clock.Now())
          : is_own && !response.has_malformed_limit &&
                request_limits_.OnNotNamed(upstream, started_at_ms,
                                           call.sent_at());
  if (!changed) {
    return;
  }
  logging::Log(logging::LogLevel::kInfo, "upstream limit changed",
               {{"upstream", upstream},
                {"started_at_ms", std::to_string(started_at_ms)},
                {"limit", LimitText(response.request_limit)},
                {"before", LimitText(before)},
                {"known_by", "response"},
                {"request", call.head().request_id}});
  UpdateScheduler(it->second);
  ReportLimit(it->second, response.request_limit);
  SchedulePump();
}

void Relay::OnResponseHead(const RelayCall& call,
                           const ResponseInfo& response) {
  const std::string& upstream = call.summary().last_upstream;
  // A wrong upstream speaks for itself, not for the one that the call was
  // meant for.
  if (!response.wrong_upstream) {
    if (response.draining) {
      MarkDraining(call);
    }
    UpdateRequestLimit(call, response);
    TakeSlowdown(call, response);
  }
  if (!response.running) {
    return;
  }
  scheduling::LoadReport report;
  report.taken_at = parts_.clock.Now();
  report.running = *response.running;
  report.waiting = response.waiting;
  scheduler_.OnReport(core::UpstreamId(upstream), report);
}

}  // namespace hawthorn::relay
