#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "scheduling/quota.h"

namespace hawthorn::relay {

/// SHA-256 of a caller's key. Keys themselves are not kept.
using KeyDigest = std::array<uint8_t, 32>;

KeyDigest DigestOfKey(std::string_view key);

/// Longest key that is accepted.
inline constexpr size_t kMaxKeyBytes = 1024;

/// Callers that share keys and a request limit.
struct Organisation {
  std::string name;
  scheduling::QuotaLimit limit;
  /// Replaces the priority of the route.
  std::optional<uint32_t> priority;

  bool operator==(const Organisation&) const = default;
};

/// The organisations of one configuration, by key.
class OrganisationTable {
 public:
  /// Adds an organisation. Returns false, and adds nothing, if another one has
  /// its name.
  bool Add(Organisation organisation);
  /// Adds a key of the organisation that was added last. Returns the one that
  /// has the key already, or null.
  const Organisation* AddKey(const KeyDigest& digest);
  /// Returns the organisation whose key this is, or null.
  const Organisation* Find(std::string_view key) const;
  const std::vector<Organisation>& all() const { return organisations_; }
  /// Limits of those that have one.
  scheduling::QuotaLimits Limits() const;

  bool operator==(const OrganisationTable&) const = default;

 private:
  struct DigestHash {
    size_t operator()(const KeyDigest& digest) const;
  };
  /// Takes the same time wherever the digests differ.
  struct DigestEqual {
    bool operator()(const KeyDigest& a, const KeyDigest& b) const;
  };

  std::vector<Organisation> organisations_;
  std::map<std::string, size_t> names_;
  /// Index of the organisation by key.
  std::unordered_map<KeyDigest, size_t, DigestHash, DigestEqual> keys_;
};

}  // namespace hawthorn::relay
