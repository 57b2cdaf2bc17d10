#include "scheduling/reliability_router.h"

#include <algorithm>

namespace hawthorn::scheduling {
namespace {

/// Controller parameters of equation (22) of the paper.
constexpr double kGain = 0.5;
constexpr double kIntegralShare = 0.5;
/// Smoothing factor of a member's reliability, applied each period.
constexpr double kSmoothing = 0.5;

}  // namespace

void ReliabilityRouter::Add(size_t member) {
  if (!members_.try_emplace(member).second) {
    return;
  }
  order_.push_back(member);
  Rebuild();
}

void ReliabilityRouter::Remove(size_t member) {
  if (members_.erase(member) == 0) {
    return;
  }
  std::erase(order_, member);
  Rebuild();
}

void ReliabilityRouter::Record(size_t member, bool success) {
  const auto it = members_.find(member);
  if (it == members_.end()) {
    return;
  }
  if (success) {
    ++it->second.successes;
  } else {
    ++it->second.failures;
  }
}

void ReliabilityRouter::Rebuild() {
  nodes_.clear();
  if (order_.size() > 1) {
    Build(0, order_.size());
  }
  ComputeShares();
}

void ReliabilityRouter::Build(size_t begin, size_t end) {
  if (end - begin < 2) {
    return;
  }
  Node node;
  node.begin = begin;
  node.end = end;
  node.middle = begin + (end - begin + 1) / 2;
  Build(begin, node.middle);
  Build(node.middle, end);
  for (size_t n = end - begin; n > 2; n = (n + 1) / 2) {
    ++node.level;
  }
  node.probability = static_cast<double>(node.middle - begin) /
                     static_cast<double>(end - begin);
  node.integral = node.probability;
  nodes_.push_back(node);
}

bool ReliabilityRouter::Update(core::TimePoint now) {
  if (!next_) {
    next_ = now + kPeriod;
    return false;
  }
  if (now < *next_) {
    return false;
  }
  next_ = now + kPeriod;
  ++period_;
  for (auto& [id, member] : members_) {
    const uint64_t total = member.successes + member.failures;
    if (total > 0) {
      const double rate =
          static_cast<double>(member.successes) / static_cast<double>(total);
      member.reliability += kSmoothing * (rate - member.reliability);
    }
    member.successes = 0;
    member.failures = 0;
  }
  for (Node& node : nodes_) {
    uint64_t periods = 1;
    for (size_t n = 0; n < node.level; ++n) {
      periods *= kLevelRatio;
    }
    if (period_ % periods == 0) {
      Control(node);
    }
  }
  ComputeShares();
  return true;
}

void ReliabilityRouter::Control(Node& node) {
  const double first = Reliability(node.begin, node.middle);
  const double second = Reliability(node.middle, node.end);
  const double measured =
      node.probability * first + (1 - node.probability) * second;
  const double neutral = static_cast<double>(node.middle - node.begin) /
                         static_cast<double>(node.end - node.begin);
  const double error = kSetPoint - measured;
  if (error <= 0 || first == second) {
    node.integral += kGain * (1 - kIntegralShare) * (neutral - node.integral);
    node.probability = node.integral;
    return;
  }
  const double sign = first > second ? 1 : -1;
  const auto bounded = [](double p) {
    return std::clamp(p, kMinBranch, 1 - kMinBranch);
  };
  node.integral =
      bounded(node.integral + sign * kGain * (1 - kIntegralShare) * error);
  node.probability = bounded(node.integral + sign * kGain * error);
}

double ReliabilityRouter::Reliability(size_t begin, size_t end) const {
  double weighted = 0;
  double shares = 0;
  for (size_t n = begin; n < end; ++n) {
    const Member& member = members_.at(order_[n]);
    weighted += member.share * member.reliability;
    shares += member.share;
  }
  return shares > 0 ? weighted / shares : 1;
}

void ReliabilityRouter::ComputeShares() {
  for (auto& [id, member] : members_) {
    member.share = static_cast<double>(order_.size());
  }
  if (order_.size() == 1) {
    return;
  }
  for (const Node& node : nodes_) {
    for (size_t n = node.begin; n < node.end; ++n) {
      const double branch =
          n < node.middle ? node.probability : 1 - node.probability;
      members_[order_[n]].share *= branch;
    }
  }
}

std::optional<core::TimePoint> ReliabilityRouter::NextUpdate() const {
  return next_;
}

double ReliabilityRouter::RelativeShare(size_t member) const {
  const auto it = members_.find(member);
  return it == members_.end() ? 1 : it->second.share;
}

}  // namespace hawthorn::scheduling
