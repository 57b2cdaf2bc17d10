#pragma once

#include <cstddef>
#include <cstdint>
#include <set>

#include "programs/crash_evidence.h"
#include "programs/poison_register.h"
#include "schema/generated/deployment.pb.h"

namespace hawthorn::control {

/// Requests whose upstreams crashed while running them, by a digest of their
/// content. Deterministic.
class CrashTable {
 public:
  using Rule = programs::ThreeCrashesRule;
  using Register = programs::BasicPoisonRegister<Rule>;

  /// How long a crash is kept, in ms on the group's clock. Longer than any
  /// program runs.
  static constexpr int64_t kRetentionMs = 600'000;

  void Report(const schema::ReportCrash& report, int64_t now_ms);
  /// Clears a suspected request after an upstream ran it to its end.
  void Succeeded(uint64_t digest);
  void Expire(int64_t now_ms);
  /// Ends refusals of coarser grains that are over.
  void EndRefusals(int64_t now_ms);

  /// Number of crashed upstreams that ran the request.
  size_t CrashesOf(uint64_t digest) const { return crashes_.CrashesOf(digest); }
  /// Poison requests, which every instance refuses.
  const std::set<uint64_t>& poison() const { return poison_; }
  /// Requests that are one crash short of becoming poison requests.
  const std::set<uint64_t>& suspected() const { return suspected_; }
  /// What the crashes tell at coarser grains than a whole request.
  const programs::CrashEvidence& evidence() const { return evidence_; }
  /// Digests at all grains that every instance refuses, and those whose success
  /// clears them.
  std::set<uint64_t> AllRefused() const;
  std::set<uint64_t> AllSuspected() const;
  /// Changes whenever one of these sets does.
  uint64_t revision() const { return revision_; }
  size_t crash_count() const { return crashes_.crash_count(); }

  void Save(schema::DeploymentSnapshot* snapshot) const;
  void Load(const schema::DeploymentSnapshot& snapshot);

 private:
  /// Brings the two sets in line with the register for one request, or for all.
  void Update(uint64_t digest);
  void UpdateAll();

  Register crashes_;
  programs::CrashEvidence evidence_;
  std::set<uint64_t> poison_;
  std::set<uint64_t> suspected_;
  uint64_t revision_ = 0;
};

}  // namespace hawthorn::control
