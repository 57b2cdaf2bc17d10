#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "schema/generated/deployment.pb.h"

namespace hawthorn::control {

/// The software versions of each service whose upstreams may have begun streams
/// that callers may still take up, those of departed upstreams included. Every
/// upstream is recorded before it gets a call, so that no version is missing.
/// Deterministic.
class VersionTable {
 public:
  /// How long a version is kept after its last upstream has gone, in ms on the
  /// group's clock: as long as the programs whose streams it may have begun.
  static constexpr int64_t kRetentionMs = 600'000;

  /// An upstream of this version is, or was until now, recorded.
  void Observe(const schema::UpstreamEntry& entry, int64_t now_ms);
  /// Drops versions that were not seen for too long.
  void Expire(int64_t now_ms);
  /// The only version of the services; nullopt if there are several, or none,
  /// or if earlier ones may not be recorded.
  std::optional<std::string> Only(
      const google::protobuf::RepeatedPtrField<std::string>& services,
      int64_t now_ms) const;

  void Save(schema::DeploymentSnapshot* snapshot) const;
  /// A snapshot without versions tells only those of the upstreams it lists.
  void Load(const schema::DeploymentSnapshot& snapshot);

 private:
  /// When each service and version was last seen.
  std::map<std::pair<std::string, std::string>, int64_t> last_seen_ms_;
  /// Time from which all versions that matter are recorded.
  int64_t complete_ms_ = 0;
};

}  // namespace hawthorn::control
