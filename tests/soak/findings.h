#pragma once

#include <QElapsedTimer>
#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <map>
#include <string>
#include <vector>

namespace hawthorn::soak {

/// What was seen of a request: it was run by a service with that much time
/// left, or, without a service, there was no route for it.
struct RouteEffect {
  std::string service;
  int64_t time_left_ms = 0;
};

/// What the run has seen of one request.
struct RequestRecord {
  std::string kind;
  int runs = 0;
  /// One for each run.
  std::vector<RouteEffect> effects;
  /// The caller was promised that the request has not run and never will.
  bool refused = false;
};

/// Broken promises, fault counts and requests of a run.
class Findings {
 public:
  Findings() { timer_.start(); }

  /// Milliseconds since the start of the run.
  int64_t Now() const { return timer_.elapsed(); }

  void Add(const std::string& promise, const std::string& what) {
    std::printf("%8.3f s  BROKEN %s: %s\n", static_cast<double>(Now()) / 1000,
                promise.c_str(), what.c_str());
    broken_.push_back(promise + ": " + what);
  }

  /// Notes that a fault fired; it disturbs the deployment until `until`.
  void Fired(const std::string& fault, const std::string& target,
             int64_t until) {
    std::printf("%8.3f s  %s %s\n", static_cast<double>(Now()) / 1000,
                fault.c_str(), target.c_str());
    ++faults_[fault];
    disturbed_until_ = std::max(disturbed_until_, until);
  }

  /// Whether no process was disturbed in the last `span` milliseconds.
  bool CalmFor(int64_t span) const { return Now() - disturbed_until_ > span; }

  /// Checks what the whole run has seen of each request.
  void CheckRuns() {
    for (const auto& [id, request] : requests_) {
      if (request.refused && request.runs > 0) {
        Add("a refusal says not run", id + " ran");
      }
      if (request.kind == "once" && request.runs > 1) {
        Add("at most once",
            id + " ran " + std::to_string(request.runs) + " times");
      }
    }
  }

  RequestRecord& Request(const std::string& id) { return requests_[id]; }
  const std::map<std::string, RequestRecord>& requests() const {
    return requests_;
  }
  const std::vector<std::string>& broken() const { return broken_; }
  const std::map<std::string, int>& faults() const { return faults_; }

  /// Ends of requests by status; 0 stands for a connection that ended.
  std::map<int, int> statuses;

 private:
  QElapsedTimer timer_;
  std::vector<std::string> broken_;
  std::map<std::string, int> faults_;
  std::map<std::string, RequestRecord> requests_;
  int64_t disturbed_until_ = 0;
};

}  // namespace hawthorn::soak
