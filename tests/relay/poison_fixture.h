#pragma once

#include <QElapsedTimer>
#include <QObject>
#include <QTimer>
#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "control/deployment_state.h"
#include "relay_fixture.h"

namespace hawthorn::relay {

/// Three relays that share upstreams and the state of a deployment. Reports are
/// committed at once, and each relay then gets the list of poison requests.
class SharedDeployment : public QObject {
 public:
  SharedDeployment();

  /// Adds an upstream that serves every request except those whose path is
  /// kPoisonPath: they crash it.
  void AddUpstream();
  /// Number of upstreams that were added.
  size_t upstreams() const { return upstreams_.size(); }
  /// Stops an upstream that may run requests.
  void Crash(size_t upstream) { upstreams_.at(upstream)->Stop(); }
  /// Number of upstreams that crashed under kPoisonPath.
  size_t crashes() const { return crashes_; }
  /// Number of requests that the upstreams received in all.
  size_t RequestCount() const;
  /// Number of crash reports that were committed.
  size_t reports() const { return reports_; }
  /// Answers of upstreams to kSlowPath are withheld while set.
  bool withhold_answers = false;
  /// Reports are lost while set, as there is no leader.
  bool has_leader = true;

  /// Sends a request at a relay and returns the status of its response; 0 if
  /// none comes.
  int Send(size_t relay, const std::string& path, const std::string& program,
           const std::string& body = "hi");
  /// What the caller of the latest request received.
  const std::string& last_response() const {
    return callers_.back()->received();
  }
  /// Sends a request at a relay without waiting for the response.
  void Start(size_t relay, const std::string& path, const std::string& program,
             const std::string& body = "hi");

  const control::DeploymentState& state() const { return state_; }

  /// Time that an upstream runs a request which crashes it.
  static constexpr std::chrono::milliseconds kCrashDelay{40};
  static constexpr const char* kPoisonPath = "/read/poison";
  static constexpr const char* kSlowPath = "/read/slow";

 private:
  void Commit(schema::DeploymentCommand command);

  control::DeploymentState state_;
  std::array<RelayFixture, 3> relays_;
  std::vector<std::unique_ptr<ScriptedUpstream>> upstreams_;
  std::vector<std::unique_ptr<Caller>> callers_;
  QElapsedTimer since_commit_;
  uint64_t index_ = 0;
  size_t crashes_ = 0;
  size_t reports_ = 0;
};

}  // namespace hawthorn::relay
