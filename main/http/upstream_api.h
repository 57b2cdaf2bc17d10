#pragma once

#include <functional>
#include <string>

#include "core/clock.h"
#include "main/threads/sinks.h"
#include "membership/upstream_directory.h"
#include "scheduling/scheduler.h"
#include "transport/http_server.h"

namespace hawthorn::main {

/// HTTP API for upstreams: announce, renew the lease with a load report, leave,
/// and report numbered cache events. Runs on the decision thread.
class UpstreamApi {
 public:
  struct Parts {
    const core::Clock& clock;
    membership::UpstreamDirectory& directory;
    scheduling::Scheduler& scheduler;
    HttpSink& http;
  };

  /// `on_change` is called after every change of the directory.
  UpstreamApi(Parts parts, std::string key, std::chrono::milliseconds lease,
              std::function<void()> on_change);

  /// Handles `request` if its path belongs to this API; otherwise returns
  /// false.
  bool OnRequest(const transport::HttpRequest& request);

 private:
  void Announce(const transport::HttpRequest& request);
  void Renew(const transport::HttpRequest& request,
             const core::UpstreamId& upstream);
  void Leave(const transport::HttpRequest& request,
             const core::UpstreamId& upstream);
  void HandleCacheEvents(const transport::HttpRequest& request,
                         const core::UpstreamId& upstream);
  void Refuse(const transport::HttpRequest& request, const core::Error& error);
  void Reply(const transport::HttpRequest& request, const QJsonObject& body);

  Parts parts_;
  std::string key_;
  std::chrono::milliseconds lease_;
  std::function<void()> on_change_;
};

}  // namespace hawthorn::main
