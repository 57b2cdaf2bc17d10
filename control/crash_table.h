#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "schema/generated/deployment.pb.h"

namespace hawthorn::control {

/// Requests whose upstreams ended while they ran them, by a digest of their
/// content. Deterministic.
class CrashTable {
 public:
  /// Upstreams that one request may end before it is refused everywhere.
  static constexpr uint32_t kCrashLimit = 3;
  /// Time after its last crash at which a request is forgotten, in ms on the
  /// group's clock. Longer than any program lasts.
  static constexpr int64_t kMemoryMs = 600'000;
  /// Requests that are remembered; the one that crashed longest ago goes.
  static constexpr size_t kMaxRequests = 1024;

  void Report(uint64_t digest, int64_t now_ms);
  void Forget(int64_t now_ms);

  /// Digests of requests that are refused, in ascending order.
  std::vector<uint64_t> Harmful() const;
  /// Changes whenever Harmful() does.
  uint64_t revision() const { return revision_; }

  void Save(schema::DeploymentSnapshot* snapshot) const;
  void Load(const schema::DeploymentSnapshot& snapshot);

 private:
  struct Crashed {
    uint32_t upstreams = 0;
    int64_t last_ms = 0;
  };

  void Erase(std::map<uint64_t, Crashed>::iterator it);

  std::map<uint64_t, Crashed> requests_;
  uint64_t revision_ = 0;
};

}  // namespace hawthorn::control
