#pragma once

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "ledger.pb.h"

namespace hawthorn::programs {

/// Decides when a request that was part of crashes is condemned.
template <typename T>
concept PoisonRule = requires(std::span<const uint32_t> running_together) {
  /// Takes the number of requests that ran together at each crash, the oldest
  /// crash first.
  { T::IsCondemned(running_together) } -> std::same_as<bool>;
  /// Whether the other requests are no longer suspected of the crashes that a
  /// condemned one was part of.
  { T::kClearsOthers } -> std::convertible_to<bool>;
};

/// For upstreams that can run a suspected request alone: condemns it when a
/// later upstream crashes while it runs alone.
struct RanAloneRule {
  static bool IsCondemned(std::span<const uint32_t> running_together);
  static constexpr bool kClearsOthers = true;
};

/// For upstreams that many instances share, so that no request ever runs alone
/// for sure: condemns a request that was part of three crashes.
struct ThreeCrashesRule {
  static constexpr size_t kCrashLimit = 3;
  static bool IsCondemned(std::span<const uint32_t> running_together);
  /// A harmless request can be part of the same three crashes and be condemned
  /// first; the evidence against the others must then stay.
  static constexpr bool kClearsOthers = false;
};

/// Requests that crash upstreams (poison requests), by fingerprint. Each
/// request that ran on a crashed upstream is suspected; further crashes condemn
/// it by the rule. A crash is one incarnation of an upstream, however many
/// reports tell of it. A success clears a suspected request.
template <PoisonRule Rule>
class BasicPoisonRegister {
 public:
  /// How a request may be dispatched.
  enum class RequestStatus {
    kClear,
    kSuspected,  ///< It was part of a crash.
    kCondemned,  ///< It must be refused.
  };

  /// Maximum number of crashes kept; beyond it, the oldest one is dropped.
  static constexpr size_t kMaxCrashes = 4096;
  /// Maximum number of requests of all crashes together; beyond it, the oldest
  /// crash is dropped.
  static constexpr size_t kMaxEvidence = 65536;

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

  /// Number of crashes that the request was part of.
  size_t CrashesOf(uint64_t fingerprint) const;
  size_t crash_count() const { return crashes_.size(); }
  /// Number of requests of all crashes together.
  size_t evidence_count() const { return evidence_; }

  /// Wall time in milliseconds at which the request is no longer condemned; 0
  /// if it is not.
  int64_t CondemnedUntilMs(uint64_t fingerprint) const;

  /// All fingerprints with evidence, in ascending order.
  std::vector<schema::PoisonEntry> List() const;

  /// Writes the crashes to a snapshot of a ledger or of a deployment.
  template <typename Snapshot>
  void WriteTo(Snapshot* snapshot) const;
  template <typename Snapshot>
  void ReadFrom(const Snapshot& snapshot);

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

  /// Drops the oldest crashes beyond the bounds.
  void DropOldest();

  /// Order numbers count crashes from the oldest on.
  uint64_t next_order_ = 1;
  absl::btree_map<uint64_t, Crash> crashes_;
  absl::flat_hash_map<UpstreamIncarnation, uint64_t> by_upstream_;
  absl::btree_map<uint64_t, absl::btree_set<uint64_t>> by_fingerprint_;
  size_t evidence_ = 0;
};

extern template class BasicPoisonRegister<RanAloneRule>;
extern template class BasicPoisonRegister<ThreeCrashesRule>;

using PoisonRegister = BasicPoisonRegister<RanAloneRule>;

}  // namespace hawthorn::programs
