#include "main/http/upstream_api.h"

#include <QJsonArray>
#include <algorithm>

#include "control/key.h"
#include "main/http/json.h"
#include "main/http/json_fields.h"
#include "transport/http_status.h"

namespace hawthorn::main {

namespace {

constexpr char kPath[] = "/v1/upstreams";
constexpr char kBearer[] = "Bearer ";
/// Number of times that an upstream renews within one lease period.
constexpr int kRenewalsPerLease = 3;

}  // namespace

UpstreamApi::UpstreamApi(Parts parts, std::string key,
                         std::chrono::milliseconds lease,
                         std::function<void()> on_change)
    : parts_(parts),
      key_(std::move(key)),
      lease_(lease),
      on_change_(std::move(on_change)) {}

void UpstreamApi::Refuse(const transport::HttpRequest& request,
                         const core::Error& error) {
  parts_.http.Respond(request.id, StatusOf(error.code), ErrorHeaders(error),
                      ToJson(ErrorObject(error)) + "\n");
}

void UpstreamApi::Reply(const transport::HttpRequest& request,
                        const QJsonObject& body) {
  parts_.http.Respond(request.id, transport::status::kOk, JsonHeaders(),
                      ToJson(body) + "\n");
}

bool UpstreamApi::OnRequest(const transport::HttpRequest& request) {
  const bool matches = request.path == kPath ||
                       request.path.starts_with(std::string(kPath) + "/");
  if (!matches) {
    return false;
  }
  if (!control::EqualsInConstantTime(request.Header("authorization"),
                                     kBearer + key_)) {
    Refuse(request, NotRun(core::ErrorCode::kUnauthenticated,
                           "the key of upstreams is missing or wrong"));
    return true;
  }
  const std::string rest = request.path.substr(sizeof kPath - 1);
  const size_t slash = rest.rfind('/');
  const std::string action =
      slash == std::string::npos ? "" : rest.substr(slash + 1);
  const core::UpstreamId upstream(slash == std::string::npos || slash == 0
                                      ? ""
                                      : rest.substr(1, slash - 1));
  const bool post = request.method == "POST";
  if (post && rest.empty()) {
    Announce(request);
  } else if (post && action == "renew") {
    Renew(request, upstream);
  } else if (post && action == "leave") {
    Leave(request, upstream);
  } else if (post && action == "events") {
    HandleCacheEvents(request, upstream);
  } else {
    Refuse(request, NotRun(core::ErrorCode::kNotFound, "no such route"));
  }
  return true;
}

void UpstreamApi::Announce(const transport::HttpRequest& request) {
  const auto parsed = ParseObject(request.body);
  if (!core::IsOk(parsed)) {
    Refuse(request, core::ErrorOf(parsed));
    return;
  }
  JsonFields fields(core::Value(parsed));
  membership::Announcement announcement;
  announcement.upstream = core::UpstreamId(fields.RequiredText("upstream"));
  announcement.service = core::ServiceId(fields.RequiredText("service"));
  announcement.zone = core::ZoneId(fields.RequiredText("zone"));
  announcement.address = fields.RequiredText("address");
  announcement.max_running =
      static_cast<uint32_t>(fields.RequiredNumber("max_running"));
  announcement.cache_tokens = fields.Number("cache_tokens", 0);
  announcement.verifies_fencing = fields.Flag("verifies_fencing");
  announcement.announced_at = parts_.clock.WallNow();
  const core::Status status = fields.Finish();
  if (!core::IsOk(status)) {
    Refuse(request, core::ErrorOf(status));
    return;
  }
  const auto incarnation =
      parts_.directory.Announce(announcement, parts_.clock.Now());
  if (!core::IsOk(incarnation)) {
    Refuse(request, core::ErrorOf(incarnation));
    return;
  }
  on_change_();
  Reply(request,
        {{"incarnation", static_cast<qint64>(core::Value(incarnation))},
         {"lease_ms", static_cast<qint64>(lease_.count())},
         {"renew_every_ms",
          static_cast<qint64>(lease_.count() / kRenewalsPerLease)}});
}

void UpstreamApi::Renew(const transport::HttpRequest& request,
                        const core::UpstreamId& upstream) {
  const auto parsed = ParseObject(request.body);
  if (!core::IsOk(parsed)) {
    Refuse(request, core::ErrorOf(parsed));
    return;
  }
  JsonFields fields(core::Value(parsed));
  membership::UpstreamLoad load;
  load.running = static_cast<uint32_t>(fields.Number("running", 0));
  load.waiting = static_cast<uint32_t>(fields.Number("waiting", 0));
  load.cached_tokens = fields.Number("cached_tokens", 0);
  const core::Status status = fields.Finish();
  if (!core::IsOk(status)) {
    Refuse(request, core::ErrorOf(status));
    return;
  }
  const auto renewed =
      parts_.directory.Renew(upstream, load, parts_.clock.Now());
  if (!core::IsOk(renewed)) {
    Refuse(request, core::ErrorOf(renewed));
    return;
  }
  on_change_();
  Reply(request, {{"lease_ms", static_cast<qint64>(lease_.count())}});
}

void UpstreamApi::Leave(const transport::HttpRequest& request,
                        const core::UpstreamId& upstream) {
  const core::Status status =
      parts_.directory.Leave(upstream, parts_.clock.Now());
  if (!core::IsOk(status)) {
    Refuse(request, core::ErrorOf(status));
    return;
  }
  on_change_();
  Reply(request, {{"leaving", true}});
}

void UpstreamApi::HandleCacheEvents(const transport::HttpRequest& request,
                                    const core::UpstreamId& upstream) {
  const auto parsed = ParseObject(request.body);
  if (!core::IsOk(parsed)) {
    Refuse(request, core::ErrorOf(parsed));
    return;
  }
  JsonFields fields(core::Value(parsed));
  const QJsonArray events = fields.Array("events");
  core::Status status = fields.Finish();
  bool needs_listing = false;
  for (const auto& it : events) {
    JsonFields event(it.toObject());
    scheduling::CacheEvent cache;
    cache.sequence = static_cast<uint64_t>(event.RequiredNumber("sequence"));
    cache.stored = event.Flag("stored");
    cache.prefix.hash =
        std::strtoull(event.RequiredText("prefix").c_str(), nullptr, 16);
    cache.prefix.tokens = event.RequiredNumber("tokens");
    status = core::IsOk(status) ? event.Finish("events.") : status;
    if (!core::IsOk(status)) {
      break;
    }
    needs_listing |=
        parts_.scheduler.OnCacheEvent(upstream, cache, parts_.clock.Now()) ==
        scheduling::CacheSync::kNeedsListing;
  }
  if (!core::IsOk(status)) {
    Refuse(request, core::ErrorOf(status));
    return;
  }
  Reply(request, {{"needs_listing", needs_listing}});
}

}  // namespace hawthorn::main
