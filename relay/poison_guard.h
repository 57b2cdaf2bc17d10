#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "programs/crash_evidence.h"
#include "relay/request_digest.h"
#include "schema/generated/deployment.pb.h"

namespace hawthorn::relay {

/// Why a poison request is refused.
inline constexpr const char* kPoisonReason =
    "the request ends upstreams that run it";

/// Requests that this instance refuses because they crash upstreams: those that
/// the group lists, and those that speak against themselves by the crashes that
/// this instance saw, with or without a leader. Deterministic.
class PoisonGuard {
 public:
  using Kind = programs::CrashEvidence::Kind;

  /// Takes the list of the group. Returns whether it changed.
  bool SetListed(std::set<uint64_t> refused, std::set<uint64_t> suspected);
  /// Takes a crash that this instance saw.
  void OnCrash(const schema::ReportCrash& report, int64_t now_ms);
  /// The finest grain at which the request is refused.
  std::optional<Kind> Find(const RequestDigests& digests, int64_t now_ms);
  /// An upstream ran the request to its end. Returns the digests that the group
  /// suspects, each of them once.
  std::vector<uint64_t> OnSuccess(const RequestDigests& digests);

  /// Whether no request is refused.
  bool empty() const { return listed_.empty() && seen_.refused().empty(); }
  /// Whether successes matter.
  bool has_suspects() const {
    return !suspected_.empty() || !seen_.suspected().empty();
  }
  size_t listed() const { return listed_.size(); }
  size_t suspected() const { return suspected_.size(); }

 private:
  std::set<uint64_t> listed_;
  std::set<uint64_t> suspected_;
  programs::CrashEvidence seen_;
};

}  // namespace hawthorn::relay
