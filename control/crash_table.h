#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "schema/generated/deployment.pb.h"

namespace hawthorn::control {

/// Requests whose upstreams crashed while running them, by a digest of their
/// content. Deterministic.
class CrashTable {
 public:
  /// Number of crashed upstreams at which a request counts as a poison request,
  /// which every instance refuses.
  static constexpr uint32_t kCrashLimit = 3;
  /// How long a request is kept after its last crash, in ms on the group's
  /// clock. Longer than any program runs.
  static constexpr int64_t kRetentionMs = 600'000;
  /// Maximum number of requests kept; beyond it, the one with the oldest last
  /// crash is removed.
  static constexpr size_t kMaxRequests = 1024;

  void Report(uint64_t digest, int64_t now_ms);
  void Expire(int64_t now_ms);

  /// Number of crashed upstreams counted for a request; 0 if it is not known.
  uint32_t CrashesOf(uint64_t digest) const;
  /// Digests of the poison requests, in ascending order.
  std::vector<uint64_t> PoisonDigests() const;
  /// Changes whenever PoisonDigests() does.
  uint64_t revision() const { return revision_; }

  void Save(schema::DeploymentSnapshot* snapshot) const;
  void Load(const schema::DeploymentSnapshot& snapshot);

 private:
  struct CrashCount {
    uint32_t upstreams = 0;
    int64_t last_ms = 0;
  };

  void Erase(std::map<uint64_t, CrashCount>::iterator it);

  std::map<uint64_t, CrashCount> requests_;
  uint64_t revision_ = 0;
};

}  // namespace hawthorn::control
