#pragma once

#include <cstdint>
#include <functional>
#include <utility>
#include <vector>

#include "findings.h"

namespace hawthorn::soak {

/// Actions that are due later, by the clock of the run.
class Agenda {
 public:
  explicit Agenda(const Findings& findings) : findings_(findings) {}

  void After(int64_t delay, std::function<void()> act) {
    due_.push_back({findings_.Now() + delay, std::move(act)});
  }

  /// Does what is due at `now`; actions may add others.
  void RunDue(int64_t now) {
    std::vector<Due> rest;
    std::vector<Due> due;
    for (Due& it : std::exchange(due_, {})) {
      (it.at <= now ? due : rest).push_back(std::move(it));
    }
    for (const Due& it : due) {
      it.act();
    }
    due_.insert(due_.end(), rest.begin(), rest.end());
  }

 private:
  struct Due {
    int64_t at;
    std::function<void()> act;
  };

  const Findings& findings_;
  std::vector<Due> due_;
};

}  // namespace hawthorn::soak
