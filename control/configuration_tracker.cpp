#include "control/configuration_tracker.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

#include "control/configuration_patch.h"

namespace hawthorn::control {
namespace {

using schema::ConfigurationUpdate;
using schema::RevisionRecord;
using schema::VersionedConfiguration;

core::Error OutOfOrder(std::string message) {
  core::Error error;
  error.code = core::ErrorCode::kOutOfOrder;
  error.message = std::move(message);
  return error;
}

}  // namespace

ConfigurationTracker::ConfigurationTracker(TrackedPeer self,
                                           std::vector<TrackedPeer> peers,
                                           TrackerTimes times,
                                           core::TimePoint now)
    : self_(std::move(self)), times_(times), started_(now) {
  for (TrackedPeer& it : peers) {
    peers_[it.instance].zone = std::move(it.zone);
  }
}

void ConfigurationTracker::NoteLink(const std::string& instance, bool is_up,
                                    core::TimePoint now) {
  const auto it = peers_.find(instance);
  if (it == peers_.end()) {
    return;
  }
  it->second.is_up = is_up;
  if (!is_up) {
    it->second.revision.reset();
  }
  if (HighestReachable() <= revision()) {
    behind_since_.reset();
  } else if (!behind_since_.has_value()) {
    behind_since_ = now;
  }
}

void ConfigurationTracker::NoteRevision(const std::string& instance,
                                        uint64_t revision,
                                        core::TimePoint now) {
  const auto it = peers_.find(instance);
  if (it == peers_.end()) {
    return;
  }
  // Messages may be reordered; a peer's revision never decreases.
  const uint64_t known = it->second.revision.value_or(0);
  it->second.revision = std::max(known, revision);
  it->second.is_up = true;
  if (revision > this->revision() && !behind_since_.has_value()) {
    behind_since_ = now;
  }
}

uint64_t ConfigurationTracker::HighestReachable() const {
  uint64_t highest = 0;
  for (const auto& [instance, peer] : peers_) {
    if (peer.is_up) {
      highest = std::max(highest, peer.revision.value_or(0));
    }
  }
  return highest;
}

std::vector<std::string> ConfigurationTracker::PeersAhead(
    bool in_local_zone) const {
  std::vector<std::string> ahead;
  for (const auto& [instance, peer] : peers_) {
    const bool is_ahead = peer.is_up && peer.revision.value_or(0) > revision();
    if (is_ahead && (peer.zone == self_.zone) == in_local_zone) {
      ahead.push_back(instance);
    }
  }
  return ahead;
}

// Number of reachable instances of the local zone with a lower id.
size_t ConfigurationTracker::RankInZone() const {
  return static_cast<size_t>(
      std::count_if(peers_.begin(), peers_.end(), [&](const auto& it) {
        return it.second.zone == self_.zone && it.second.is_up &&
               it.first < self_.instance;
      }));
}

std::optional<std::string> ConfigurationTracker::NextPull(core::TimePoint now) {
  if (!behind_since_.has_value() ||
      (pulled_at_.has_value() && now < *pulled_at_ + times_.pull_timeout)) {
    return std::nullopt;
  }
  std::vector<std::string> candidates = PeersAhead(true);
  if (candidates.empty()) {
    const size_t steps = std::min(RankInZone(), times_.max_relay_steps);
    if (now < *behind_since_ + steps * times_.relay_delay) {
      return std::nullopt;
    }
    candidates = PeersAhead(false);
  }
  if (candidates.empty()) {
    return std::nullopt;
  }
  pulled_at_ = now;
  // Instances start with different peers, and rotate to the next one after a
  // pull without a reply.
  const size_t position = RankInZone() + pull_count_;
  ++pull_count_;
  return candidates[position % candidates.size()];
}

core::Status ConfigurationTracker::ApplyUpdate(
    const ConfigurationUpdate& update) {
  pulled_at_.reset();
  if (update.has_whole()) {
    if (update.whole().revision() > revision()) {
      current_ = update.whole();
      history_ = RevisionHistory();
    }
  } else {
    core::Status status = ApplyChanges(update);
    if (!core::IsOk(status)) {
      needs_whole_ = true;
      return status;
    }
  }
  needs_whole_ = false;
  if (HighestReachable() <= revision()) {
    behind_since_.reset();
  }
  return std::monostate{};
}

core::Status ConfigurationTracker::ApplyChanges(
    const ConfigurationUpdate& update) {
  uint64_t next = revision() + 1;
  for (const RevisionRecord& it : update.changes()) {
    if (it.revision() < next) {
      continue;
    }
    if (it.revision() > next || !it.has_forward()) {
      return OutOfOrder(absl::StrCat("a change to revision ", it.revision(),
                                     " does not follow ", next - 1));
    }
    if (!CheckPatch(current_.configuration(), it.forward()).empty()) {
      return OutOfOrder(absl::StrCat("the change to revision ", it.revision(),
                                     " does not fit the one before"));
    }
    ApplyPatch(it.forward(), current_.mutable_configuration());
    current_.set_revision(it.revision());
    current_.set_author(it.author());
    current_.set_operation(it.operation());
    current_.set_wall_ms(it.wall_ms());
    history_.Add(it);
    ++next;
  }
  return std::monostate{};
}

void ConfigurationTracker::UpdateFromLocal(const ControlState& state) {
  if (state.revision() > revision()) {
    ApplyUpdate(state.UpdateFrom(revision()));
  }
}

ConfigurationUpdate ConfigurationTracker::UpdateFrom(uint64_t revision) const {
  return history_.UpdateFrom(revision, current_);
}

bool ConfigurationTracker::IsReady(core::TimePoint now) {
  if (is_ready_) {
    return true;
  }
  const bool has_settled = now >= started_ + times_.settle;
  const bool all_reported =
      std::all_of(peers_.begin(), peers_.end(), [&](const auto& it) {
        return it.second.is_up ? it.second.revision.has_value() : has_settled;
      });
  is_ready_ =
      revision() > 0 && all_reported && revision() >= HighestReachable();
  return is_ready_;
}

}  // namespace hawthorn::control
