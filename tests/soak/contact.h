#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

#include "fleet.h"

namespace hawthorn::soak {

/// Tells for which instances the time bounds of the rules hold.
class Contact {
 public:
  Contact(Findings& findings, Fleet& fleet)
      : findings_(findings), fleet_(fleet) {}

  /// Looks at the core; to be called often. `sync_time` is what the disk that
  /// all processes share takes to sync.
  void Observe(std::chrono::milliseconds sync_time);

  /// Time after an acknowledgement from which on a request that was sent to
  /// `it` at `sent` and has ended now must be handled by the configuration, or
  /// nothing if no bound holds. With an unstable core the bound holds only for
  /// what was acknowledged since `core_up_since()`.
  std::optional<int64_t> ApplyBound(const Instance& it, int64_t sent) const;
  bool CoreStable(int64_t since) const;
  /// Since when more than half of the core has run and was connected.
  int64_t core_up_since() const { return core_up_since_; }
  /// Since when the core is stable; `Now` if it is not.
  int64_t core_stable_since() const { return core_stable_since_; }

 private:
  Findings& findings_;
  Fleet& fleet_;
  int64_t core_up_since_ = 0;
  /// Nothing is known before the first look.
  int64_t core_stable_since_ = INT64_MAX;
  int64_t disk_slow_at_ = -1'000'000;
};

}  // namespace hawthorn::soak
