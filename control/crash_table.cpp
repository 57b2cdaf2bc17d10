#include "control/crash_table.h"

namespace hawthorn::control {

namespace {

/// Adds or removes `digest`; returns whether the set changed.
bool SetMember(std::set<uint64_t>* set, uint64_t digest, bool member) {
  return member ? set->insert(digest).second : set->erase(digest) > 0;
}

}  // namespace

void CrashTable::Report(const schema::ReportCrash& report, int64_t now_ms) {
  const size_t crashes = crashes_.crash_count();
  const size_t evidence = crashes_.evidence_count();
  const bool is_new = crashes_.Report(report, now_ms + kRetentionMs);
  // The register drops its oldest crashes when it is full.
  const bool dropped = crashes_.crash_count() < crashes ||
                       crashes_.evidence_count() < evidence + (is_new ? 1 : 0);
  Update(report.fingerprint());
  if (dropped) {
    UpdateAll();
  }
  revision_ += evidence_.Report(report, false, now_ms) ? 1 : 0;
}

void CrashTable::Succeeded(uint64_t digest) {
  crashes_.Succeeded(digest);
  Update(digest);
  revision_ += evidence_.Succeeded(digest) ? 1 : 0;
}

void CrashTable::EndRefusals(int64_t now_ms) {
  revision_ += evidence_.EndRefusals(now_ms) ? 1 : 0;
}

std::set<uint64_t> CrashTable::AllRefused() const {
  std::set<uint64_t> all = poison_;
  for (const auto& [digest, refusal] : evidence_.refused()) {
    all.insert(digest);
  }
  return all;
}

std::set<uint64_t> CrashTable::AllSuspected() const {
  std::set<uint64_t> all = suspected_;
  all.insert(evidence_.suspected().begin(), evidence_.suspected().end());
  return all;
}

void CrashTable::Expire(int64_t now_ms) {
  const size_t crashes = crashes_.crash_count();
  crashes_.Expire(now_ms);
  if (crashes_.crash_count() < crashes) {
    UpdateAll();
  }
  revision_ += evidence_.Expire(now_ms) ? 1 : 0;
}

void CrashTable::Update(uint64_t digest) {
  const size_t crashes = crashes_.CrashesOf(digest);
  const bool poison_changed =
      SetMember(&poison_, digest, crashes >= Rule::kCrashLimit);
  const bool suspected_changed =
      SetMember(&suspected_, digest, crashes + 1 == Rule::kCrashLimit);
  revision_ += poison_changed || suspected_changed ? 1 : 0;
}

void CrashTable::UpdateAll() {
  std::set<uint64_t> digests = poison_;
  digests.insert(suspected_.begin(), suspected_.end());
  for (const uint64_t it : digests) {
    Update(it);
  }
}

void CrashTable::Save(schema::DeploymentSnapshot* snapshot) const {
  crashes_.WriteTo(snapshot);
  evidence_.Save(snapshot);
  snapshot->set_crash_revision(revision_);
}

void CrashTable::Load(const schema::DeploymentSnapshot& snapshot) {
  crashes_.ReadFrom(snapshot);
  evidence_.Load(snapshot);
  poison_.clear();
  suspected_.clear();
  for (const schema::SnapshotCrash& crash : snapshot.crashes()) {
    for (const uint64_t it : crash.fingerprints()) {
      Update(it);
    }
  }
  revision_ = snapshot.crash_revision();
}

}  // namespace hawthorn::control
