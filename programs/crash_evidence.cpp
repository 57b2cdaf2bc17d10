#include "programs/crash_evidence.h"

#include <algorithm>
#include <optional>

namespace hawthorn::programs {

bool CrashEvidence::Report(const schema::ReportCrash& report, bool with_content,
                           int64_t now_ms) {
  const auto [crash, is_new] = incarnations_.try_emplace(
      Incarnation{report.upstream(), report.incarnation()},
      std::pair(next_order_, now_ms - report.age_ms()));
  next_order_ += is_new ? 1 : 0;
  const auto [order, at_ms] = crash->second;
  // The finest first.
  std::vector<std::pair<uint64_t, Kind>> grains;
  if (with_content) {
    grains.emplace_back(report.fingerprint(), Kind::kContent);
  }
  for (auto it = report.prefixes().rbegin(); it != report.prefixes().rend();
       ++it) {
    grains.emplace_back(*it, Kind::kPrefix);
  }
  if (report.target_digest() != 0) {
    grains.emplace_back(report.target_digest(), Kind::kTarget);
  }
  size_t most_crashes = 0;
  bool is_refused = false;
  for (const auto& [digest, kind] : grains) {
    Grain& grain = grains_[digest];
    grain.kind = kind;
    grain.target = report.target();
    Crash& it = grain.crashes[order];
    it.at_ms = at_ms;
    it.sent_ms = std::max(it.sent_ms, at_ms - report.running_ms());
    it.contents.insert(report.fingerprint());
    most_crashes = std::max(most_crashes, grain.crashes.size());
    is_refused = is_refused || refused_.contains(digest);
  }
  const auto before = std::pair(refused_.size(), suspected_.size());
  for (const auto& [digest, kind] : grains) {
    Grain& grain = grains_.at(digest);
    // The finest grain that is part of all the crashes explains them.
    if (!is_refused && grain.crashes.size() == most_crashes &&
        IsGuilty(grain)) {
      Refuse(digest, &grain, now_ms);
      is_refused = true;
    } else if (!refused_.contains(digest)) {
      suspected_.insert(digest);
    }
  }
  DropOldest();
  return before != std::pair(refused_.size(), suspected_.size());
}

bool CrashEvidence::IsGuilty(const Grain& grain) const {
  if (grain.crashes.empty()) {
    return false;
  }
  std::set<uint64_t> contents;
  size_t in_sequence = 0;
  std::optional<int64_t> last_ms;
  for (const auto& [order, crash] : grain.crashes) {
    contents.insert(crash.contents.begin(), crash.contents.end());
    if (!last_ms || (crash.sent_ms + kSlackMs >= *last_ms &&
                     crash.at_ms - *last_ms >= kTogetherMs)) {
      ++in_sequence;
      last_ms = crash.at_ms;
    }
  }
  const size_t since_first = next_order_ - grain.crashes.begin()->first;
  return in_sequence >= kCrashLimit &&
         (grain.kind == Kind::kContent || contents.size() >= kContentLimit) &&
         grain.crashes.size() * 100 >= since_first * kCoveragePercent;
}

void CrashEvidence::Refuse(uint64_t digest, Grain* grain, int64_t now_ms) {
  const int64_t span =
      std::min(kLongestRefusalMs,
               kFirstRefusalMs << std::min(grain->refusals, uint32_t{8}));
  ++grain->refusals;
  refused_[digest] = {grain->kind, grain->target, now_ms + span};
  suspected_.erase(digest);
}

bool CrashEvidence::Succeeded(uint64_t digest) {
  if (refused_.contains(digest)) {
    return false;
  }
  grains_.erase(digest);
  return suspected_.erase(digest) > 0;
}

bool CrashEvidence::EndRefusals(int64_t now_ms) {
  bool changed = false;
  for (auto it = refused_.begin(); it != refused_.end();) {
    if (it->second.until_ms > now_ms) {
      ++it;
      continue;
    }
    suspected_.insert(it->first);
    it = refused_.erase(it);
    changed = true;
  }
  return changed;
}

bool CrashEvidence::Expire(int64_t now_ms) {
  bool changed = false;
  std::erase_if(incarnations_, [now_ms](const auto& it) {
    return it.second.second + kRetentionMs < now_ms;
  });
  std::erase_if(grains_, [&](const auto& it) {
    const bool is_old =
        it.second.crashes.rbegin()->second.at_ms + kRetentionMs < now_ms &&
        !refused_.contains(it.first);
    changed = changed || is_old;
    if (is_old) {
      suspected_.erase(it.first);
    }
    return is_old;
  });
  return changed;
}

void CrashEvidence::DropOldest() {
  while (grains_.size() > kMaxGrains) {
    const auto oldest = std::min_element(
        grains_.begin(), grains_.end(), [](const auto& a, const auto& b) {
          return a.second.crashes.rbegin()->first <
                 b.second.crashes.rbegin()->first;
        });
    refused_.erase(oldest->first);
    suspected_.erase(oldest->first);
    grains_.erase(oldest);
  }
}

void CrashEvidence::Save(schema::DeploymentSnapshot* snapshot) const {
  schema::SnapshotEvidence* out = snapshot->mutable_evidence();
  out->set_next_order(next_order_);
  for (const auto& [key, crash] : incarnations_) {
    schema::CrashedIncarnation* it = out->add_incarnations();
    it->set_upstream(key.first);
    it->set_started_at_ms(key.second);
    it->set_order(crash.first);
    it->set_at_ms(crash.second);
  }
  for (const auto& [digest, grain] : grains_) {
    schema::GrainEvidence* it = out->add_grains();
    it->set_digest(digest);
    it->set_kind(static_cast<uint32_t>(grain.kind));
    it->set_target(grain.target);
    it->set_refusals(grain.refusals);
    const auto refused = refused_.find(digest);
    if (refused != refused_.end()) {
      it->set_refused_until_ms(refused->second.until_ms);
    }
    for (const auto& [order, crash] : grain.crashes) {
      schema::GrainCrash* entry = it->add_crashes();
      entry->set_order(order);
      entry->set_at_ms(crash.at_ms);
      entry->set_sent_ms(crash.sent_ms);
      entry->mutable_contents()->Add(crash.contents.begin(),
                                     crash.contents.end());
    }
  }
}

void CrashEvidence::Load(const schema::DeploymentSnapshot& snapshot) {
  *this = CrashEvidence();
  const schema::SnapshotEvidence& in = snapshot.evidence();
  next_order_ = std::max<uint64_t>(in.next_order(), 1);
  for (const schema::CrashedIncarnation& it : in.incarnations()) {
    incarnations_[{it.upstream(), it.started_at_ms()}] = {it.order(),
                                                          it.at_ms()};
  }
  for (const schema::GrainEvidence& it : in.grains()) {
    if (it.crashes().empty()) {
      continue;
    }
    Grain& grain = grains_[it.digest()];
    grain.kind = static_cast<Kind>(std::min<uint32_t>(it.kind(), 2));
    grain.target = it.target();
    grain.refusals = it.refusals();
    for (const schema::GrainCrash& entry : it.crashes()) {
      grain.crashes[entry.order()] = {
          entry.at_ms(),
          entry.sent_ms(),
          {entry.contents().begin(), entry.contents().end()}};
    }
    if (it.refused_until_ms() > 0) {
      refused_[it.digest()] = {grain.kind, grain.target, it.refused_until_ms()};
    } else {
      suspected_.insert(it.digest());
    }
  }
}

const char* CrashEvidence::ToString(Kind kind) {
  switch (kind) {
    case Kind::kContent:
      return "content";
    case Kind::kPrefix:
      return "prompt prefix";
    case Kind::kTarget:
      return "target";
  }
  return "";
}

}  // namespace hawthorn::programs
