#pragma once

#include <functional>
#include <string>

#include "core/clock.h"
#include "main/threads/sinks.h"
#include "membership/upstream_directory.h"
#include "scheduling/scheduler.h"
#include "transport/http_server.h"

namespace hawthorn::main {

/// The HTTP interface of upstreams: announce, renew with a load report,
/// leave, and numbered cache events. Runs in the thread of decisions.
class UpstreamApi {
 public:
  struct Parts {
    const core::Clock& clock;
    membership::UpstreamDirectory& directory;
    scheduling::Scheduler& scheduler;
    HttpSink& http;
  };

  /// `on_change` runs after the directory changed.
  UpstreamApi(Parts parts, std::string key, std::chrono::milliseconds lease,
              std::function<void()> on_change);

  /// Answers `request` if its path belongs to this interface.
  bool OnRequest(const transport::HttpRequest& request);

 private:
  void Announce(const transport::HttpRequest& request);
  void Renew(const transport::HttpRequest& request,
             const core::UpstreamId& upstream);
  void Leave(const transport::HttpRequest& request,
             const core::UpstreamId& upstream);
  void TakeEvents(const transport::HttpRequest& request,
                  const core::UpstreamId& upstream);
  void Refuse(const transport::HttpRequest& request, const core::Error& error);
  void Reply(const transport::HttpRequest& request, const QJsonObject& body);

  Parts parts_;
  std::string key_;
  std::chrono::milliseconds lease_;
  std::function<void()> on_change_;
};

}  // namespace hawthorn::main
