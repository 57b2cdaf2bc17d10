#pragma once

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "ledger.pb.h"

namespace hawthorn::programs {

/// Requests that crash upstreams, by fingerprint. A request that ran alone on
/// an upstream that died is evidence; requests that ran together are only
/// suspected, and are to run alone from then on. A request is condemned when it
/// crashed an upstream alone after it had been part of another death; it then
/// explains the deaths that it was part of, and the others are no longer
/// suspected of them. A success clears a suspected request.
class PoisonRegister {
 public:
  /// What may be done with a request.
  enum class Standing {
    kClear,
    kSuspected,  ///< Run it alone on an upstream.
    kCondemned,  ///< Refuse it.
  };

  /// Most deaths that are kept; beyond it the oldest one is dropped.
  static constexpr size_t kMaxCrashes = 4096;

  /// Adds a report. Returns false if the death was known with this request.
  bool Report(const schema::ReportCrash& report, int64_t expires_ms);

  /// Clears a suspected request after it ran to its end.
  void Succeeded(uint64_t fingerprint);

  /// Clears one fingerprint; 0 clears all.
  void Clear(uint64_t fingerprint);

  /// Drops deaths that expire at or before `now_ms`.
  void Expire(int64_t now_ms);

  Standing StandingOf(uint64_t fingerprint) const;

  /// Time at which a condemned request may be tried again.
  int64_t CondemnedUntilMs(uint64_t fingerprint) const;

  /// All fingerprints with evidence, in ascending order.
  std::vector<schema::PoisonEntry> List() const;

  void WriteTo(schema::LedgerSnapshot* snapshot) const;
  void ReadFrom(const schema::LedgerSnapshot& snapshot);

 private:
  using UpstreamLife = std::pair<std::string, uint64_t>;

  struct Crash {
    UpstreamLife upstream;
    /// Most requests that are known to have run there.
    uint32_t running_together = 0;
    absl::btree_set<uint64_t> fingerprints;
    int64_t expires_ms = 0;
  };

  bool IsCondemned(const absl::btree_set<uint64_t>& orders) const;
  void AbsolveNeighbours(uint64_t fingerprint);
  void Unlink(uint64_t fingerprint, uint64_t order);
  void Drop(uint64_t order);

  uint64_t next_order_ = 1;
  absl::btree_map<uint64_t, Crash> crashes_;
  absl::flat_hash_map<UpstreamLife, uint64_t> by_upstream_;
  absl::btree_map<uint64_t, absl::btree_set<uint64_t>> by_fingerprint_;
};

}  // namespace hawthorn::programs
