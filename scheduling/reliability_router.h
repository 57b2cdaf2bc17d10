#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "core/clock.h"

namespace hawthorn::scheduling {

/// Feedback control of the load shares of a pool's members by their measured
/// reliability, after Filieri, Ghezzi, Leva and Maggio, "Reliability-driven
/// dynamic binding via feedback control" (SEAMS 2012). The members are the
/// leaves of a balanced binary tree. Each inner node is a proportional-integral
/// controller that adjusts the probability of its first branch until the node's
/// reliability reaches the set point. Each level of the tree runs once in
/// kLevelRatio periods of the level below it.
class ReliabilityRouter {
 public:
  static constexpr std::chrono::milliseconds kPeriod{1000};
  /// Periods of a level in one period of the level above.
  static constexpr uint64_t kLevelRatio = 2;
  static constexpr double kSetPoint = 0.99;
  /// Minimum probability of a branch, so that a recovery can be observed.
  static constexpr double kMinBranch = 0.02;

  void Add(size_t member);
  void Remove(size_t member);
  /// Records the result of a call at a member.
  void Record(size_t member, bool success);
  /// Runs the controllers if a period has ended. Returns true if it has.
  bool Update(core::TimePoint now);
  std::optional<core::TimePoint> NextUpdate() const;
  /// Share of the calls for `member`, relative to an equal share of 1.
  double RelativeShare(size_t member) const;

 private:
  struct Node {
    /// The branches cover the members [begin, middle) and [middle, end).
    size_t begin = 0;
    size_t middle = 0;
    size_t end = 0;
    size_t level = 0;
    double integral = 0;
    double probability = 0;
  };
  struct Member {
    uint64_t successes = 0;
    uint64_t failures = 0;
    double reliability = 1;
    double share = 1;
  };

  void Rebuild();
  void Build(size_t begin, size_t end);
  void Control(Node& node);
  double Reliability(size_t begin, size_t end) const;
  void ComputeShares();

  std::vector<size_t> order_;
  std::unordered_map<size_t, Member> members_;
  /// In post-order: children come before their parents.
  std::vector<Node> nodes_;
  std::optional<core::TimePoint> next_;
  uint64_t period_ = 0;
};

}  // namespace hawthorn::scheduling
