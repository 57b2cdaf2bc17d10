#pragma once

#include <cstdint>
#include <random>
#include <string>

#include "agenda.h"
#include "fleet.h"

namespace hawthorn::soak {

/// Disturbs the machines with a disk by a seeded plan of its own: disks that
/// stall, links that are cut one way, machines that are replaced, and all
/// processes killed at once.
class CoreFaults {
 public:
  CoreFaults(Findings& findings, Fleet& fleet, Agenda& agenda, uint64_t seed)
      : findings_(findings),
        fleet_(fleet),
        agenda_(agenda),
        random_(seed),
        offset_(static_cast<int64_t>(random_() % kPeriodMs)) {}

  /// Starts the next fault if it is due.
  void Step();
  /// Whether the plan leaves machines with a disk alone now, so that promises
  /// that need a stable core are checked.
  bool IsCalm() const;
  /// Kills all processes and starts them again.
  void CutPower();

 private:
  /// Out of each period, the last part is calm.
  static constexpr int64_t kPeriodMs = 18'000;
  static constexpr int64_t kCalmMs = 7500;

  void Stall(Instance& it);
  void CutOff(Instance& it);
  void Replace(Instance& it);
  void Note(const std::string& fault, const std::string& target, int64_t span);
  int64_t Between(int64_t low, int64_t high);

  Findings& findings_;
  Fleet& fleet_;
  Agenda& agenda_;
  std::mt19937_64 random_;
  /// Where in a period the run begins.
  int64_t offset_;
  /// The group of the core needs some time to grow.
  int64_t next_ = 4000;
  int replaced_ = 0;
};

}  // namespace hawthorn::soak
