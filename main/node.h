#pragma once

#include <functional>
#include <memory>
#include <string>

#include "core/clock.h"
#include "core/metrics.h"
#include "main/calls/call_controller.h"
#include "main/calls/catalog.h"
#include "main/calls/upstream_registry.h"
#include "main/groups/group_client.h"
#include "main/http/caller_api.h"
#include "main/http/operator_api.h"
#include "main/http/upstream_api.h"
#include "main/threads/events.h"
#include "main/threads/sinks.h"
#include "main/threads/timers.h"
#include "membership/upstream_directory.h"
#include "scheduling/scheduler.h"
#include "settings.pb.h"

namespace hawthorn::main {

/// Keys that an instance reads from files.
struct Secrets {
  std::string peer_key;
  std::string operator_key;
  std::string upstream_key;
};

/// Request handling of one instance: routes the events of the other threads to
/// the APIs and the call controller. Owned by the decision thread.
class Node {
 public:
  struct Parts {
    const core::Clock& clock;
    core::Metrics& metrics;
    GroupClient& groups;
    HttpSink& http;
    UpstreamSink& upstreams;
    Timers& timers;
    membership::UpstreamDirectory& directory;
    /// Generates identifiers.
    std::function<uint64_t()> random;
  };

  /// `run` identifies this run of the instance; it changes with each start.
  Node(Parts parts, const schema::Settings& settings, const Secrets& secrets,
       std::string run);

  void Handle(Event event);

  /// Runs due timers and periodic tasks; must be called every few milliseconds.
  void Tick();

  /// Applies a configuration; one that is not newer than the current one is
  /// ignored.
  void SetConfiguration(const schema::VersionedConfiguration& configuration);

  /// Sets whether the instance accepts calls.
  void SetReady(bool ready) { ready_ = ready; }

  /// Sets the number of instances in this zone that share its upstreams.
  void SetInstanceCount(size_t instances);

  /// Registers a status report or command for operators.
  void RegisterOperatorHandler(const std::string& name,
                               OperatorApi::Handler handler);

  std::shared_ptr<const Catalog> catalog() const { return catalog_; }
  bool draining() const { return draining_; }
  /// Whether the node is draining and has no open calls.
  bool Drained() const { return draining_ && calls_->open_calls() == 0; }
  /// Ends the calls that are open when the time for draining is over.
  void EndCalls() { calls_->EndAll(); }
  /// Answers the callers of calls whose outcome could not be recorded.
  void RefuseCalls() { calls_->RefuseOpenCalls(); }
  size_t open_calls() const { return calls_->open_calls(); }
  std::string health() const;
  const std::string& run() const { return run_; }

 private:
  void OnRequest(const transport::HttpRequest& request);
  void RegisterNodeHandlers();
  QJsonObject Status() const;
  QJsonObject Upstreams() const;
  QJsonObject MetricsObject() const;

  Parts parts_;
  schema::Settings settings_;
  std::string run_;
  std::shared_ptr<const Catalog> catalog_;
  std::unique_ptr<scheduling::Scheduler> scheduler_;
  std::unique_ptr<UpstreamRegistry> registry_;
  std::unique_ptr<CallController> calls_;
  std::unique_ptr<CallerApi> callers_;
  std::unique_ptr<UpstreamApi> upstream_api_;
  std::unique_ptr<OperatorApi> operators_;
  core::TimePoint next_sync_;
  bool ready_ = false;
  bool draining_ = false;
};

}  // namespace hawthorn::main
