#include "cluster/leader_contact.h"

namespace hawthorn::cluster {

void LeaderContact::OnNewLeader() {
  unanswered_.clear();
  is_silent_ = false;
  answered_at_.reset();
}

uint64_t LeaderContact::OnSent(core::TimePoint now) {
  unanswered_.emplace(++last_number_, now);
  return last_number_;
}

void LeaderContact::OnAnswer(uint64_t number, core::TimePoint now) {
  // Those of a previous leader say nothing of this one.
  if (unanswered_.erase(number) > 0) {
    is_silent_ = false;
    answered_at_ = now;
  }
}

void LeaderContact::OnNoAnswer(uint64_t number) {
  if (unanswered_.erase(number) > 0) {
    is_silent_ = true;
  }
}

bool LeaderContact::MaySend(core::TimePoint now) const {
  return unanswered_.empty() ||
         (!is_silent_ && now - unanswered_.begin()->second < kPatience);
}

}  // namespace hawthorn::cluster
