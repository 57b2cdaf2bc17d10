#pragma once

#include <QObject>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "operator.h"

namespace hawthorn::soak {

/// Sends requests on changed routes directly to entry instances and checks that
/// they are handled by a configuration that may be in force.
class RouteProbe {
 public:
  RouteProbe(Findings& findings, Fleet& fleet, Operator& configurations,
             uint64_t seed)
      : findings_(findings),
        fleet_(fleet),
        operator_(configurations),
        random_(seed) {}

  void Start();
  void Stop() { stopping_ = true; }
  void PrintCounts() const;

 private:
  struct Sent {
    std::string id;
    std::string route;
    Instance* entry = nullptr;
    /// Start of the process of the entry instance.
    int starts = 0;
    int64_t at = 0;
  };
  /// What a process was seen to know of the configuration.
  struct Known {
    uint64_t version = 0;
    int64_t at = 0;
  };

  void Send();
  void OnResult(const Sent& sent, int status);
  void Check(const Sent& sent, const RouteEffect& effect);
  void CheckApplied(const Sent& sent, const RouteEffect& effect,
                    const std::string& what);
  void CheckNoRegress(const Sent& sent, const RouteEffect& effect,
                      const std::string& what);

  Findings& findings_;
  Fleet& fleet_;
  Operator& operator_;
  std::mt19937_64 random_;
  std::vector<std::shared_ptr<Exchange>> exchanges_;
  /// By instance and start.
  std::map<std::pair<std::string, int>, std::vector<Known>> known_;
  uint64_t next_ = 0;
  bool stopping_ = false;
  /// Ends the timers with this object.
  QObject timers_;
  /// Probes with a clear outcome, and those that a bound held for.
  int clear_ = 0;
  int bound_calm_ = 0;
  int bound_outer_ = 0;
};

}  // namespace hawthorn::soak
