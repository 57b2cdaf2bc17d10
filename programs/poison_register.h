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

/// Requests that crash upstreams (poison requests), by fingerprint. Each
/// request that ran on a crashed upstream is suspected and must run alone from
/// then on. A suspected request is condemned when an upstream crashes while it
/// runs alone. The other requests are then no longer suspected of the crashes
/// that the condemned one was part of. A success clears a suspected request.
class PoisonRegister {
 public:
  /// How a request may be dispatched.
  enum class RequestStatus {
    kClear,
    kSuspected,  ///< It must run alone on an upstream.
    kCondemned,  ///< It must be refused.
  };

  /// Maximum number of crashes kept; beyond it, the oldest one is dropped.
  static constexpr size_t kMaxCrashes = 4096;

  /// Adds a report. Returns false if this request was already reported for the
  /// crash.
  bool Report(const schema::ReportCrash& report, int64_t expires_ms);

  /// Clears a suspected request after it ran successfully.
  void Succeeded(uint64_t fingerprint);

  /// Clears the fingerprint; 0 clears all.
  void Clear(uint64_t fingerprint);

  /// Removes crashes that expire at or before `now_ms`.
  void Expire(int64_t now_ms);

  RequestStatus StatusOf(uint64_t fingerprint) const;

  /// Wall time in milliseconds at which the request is no longer condemned; 0
  /// if it is not.
  int64_t CondemnedUntilMs(uint64_t fingerprint) const;

  /// All fingerprints with evidence, in ascending order.
  std::vector<schema::PoisonEntry> List() const;

  void WriteTo(schema::LedgerSnapshot* snapshot) const;
  void ReadFrom(const schema::LedgerSnapshot& snapshot);

 private:
  using UpstreamIncarnation = std::pair<std::string, uint64_t>;

  struct Crash {
    UpstreamIncarnation upstream;
    /// Largest known number of requests that ran on the upstream.
    uint32_t running_together = 0;
    absl::btree_set<uint64_t> fingerprints;
    int64_t expires_ms = 0;
  };

  /// Whether a request that was part of these crashes is condemned.
  bool IsCondemned(const absl::btree_set<uint64_t>& orders) const;
  /// Clears the other suspects of the crashes of a condemned request.
  void ClearOtherSuspects(uint64_t fingerprint);
  void Unlink(uint64_t fingerprint, uint64_t order);
  void DropCrash(uint64_t order);

  /// Order numbers count crashes from the oldest on.
  uint64_t next_order_ = 1;
  absl::btree_map<uint64_t, Crash> crashes_;
  absl::flat_hash_map<UpstreamIncarnation, uint64_t> by_upstream_;
  absl::btree_map<uint64_t, absl::btree_set<uint64_t>> by_fingerprint_;
};

}  // namespace hawthorn::programs
