#include "scheduling/program_cache.h"

#include <algorithm>
#include <cmath>
#include <functional>

namespace hawthorn::scheduling {
namespace {

/// Time constant of the smoothed write rate of an engine's cache.
constexpr double kChurnSeconds = 20;

}  // namespace

void ProgramCache::OnProduced(const core::ProgramId& program,
                              const core::UpstreamId& upstream,
                              const PrefixSegment& prefix, int64_t written,
                              core::TimePoint now) {
  Engine& engine = engines_[upstream];
  const double gap =
      std::chrono::duration<double>(now - engine.last_write).count();
  engine.churn = engine.churn * std::exp(-gap / kChurnSeconds) +
                 static_cast<double>(written) / kChurnSeconds;
  engine.last_write = now;
  Release(program);
  const auto [it, added] = programs_.try_emplace(program);
  Program& record = it->second;
  if (added) {
    order_.push_back(program);
    record.order = std::prev(order_.end());
  }
  order_.splice(order_.end(), order_, record.order);
  std::erase_if(record.copies, [&upstream](const CachedPrefix& copy) {
    return copy.upstream == upstream;
  });
  record.copies.push_back({upstream, prefix});
  if (record.copies.size() > kMaxCopies) {
    record.copies.erase(record.copies.begin());
  }
  if (programs_.size() > kMaxPrograms) {
    const core::ProgramId oldest = order_.front();
    Forget(oldest);
  }
}

std::optional<CachedPrefix> ProgramCache::Latest(
    const core::ProgramId& program) const {
  const auto it = programs_.find(program);
  if (it == programs_.end() || it->second.copies.empty()) {
    return std::nullopt;
  }
  return it->second.copies.back();
}

void ProgramCache::Hold(const core::ProgramId& program,
                        core::TimePoint lease_end) {
  const auto it = programs_.find(program);
  if (it == programs_.end() || it->second.copies.empty()) {
    return;
  }
  Release(program);
  const CachedPrefix& latest = it->second.copies.back();
  engines_[latest.upstream].held += latest.prefix.tokens;
  it->second.lease_end = lease_end;
  leases_.emplace_back(lease_end, program);
  std::push_heap(leases_.begin(), leases_.end(), std::greater<>());
}

void ProgramCache::Release(const core::ProgramId& program) {
  const auto it = programs_.find(program);
  if (it == programs_.end() || !it->second.lease_end) {
    return;
  }
  const CachedPrefix& latest = it->second.copies.back();
  engines_[latest.upstream].held -= latest.prefix.tokens;
  it->second.lease_end.reset();
}

std::vector<CachedPrefix> ProgramCache::Forget(const core::ProgramId& program) {
  Release(program);
  const auto it = programs_.find(program);
  if (it == programs_.end()) {
    return {};
  }
  std::vector<CachedPrefix> copies = std::move(it->second.copies);
  order_.erase(it->second.order);
  programs_.erase(it);
  return copies;
}

void ProgramCache::RemoveUpstream(const core::UpstreamId& upstream) {
  for (auto& [id, program] : programs_) {
    if (program.lease_end && program.copies.back().upstream == upstream) {
      Release(id);
    }
    std::erase_if(program.copies, [&upstream](const CachedPrefix& copy) {
      return copy.upstream == upstream;
    });
  }
  engines_.erase(upstream);
}

void ProgramCache::ExpireHolds(core::TimePoint now) {
  while (!leases_.empty() && leases_.front().first <= now) {
    const auto [end, id] = leases_.front();
    std::pop_heap(leases_.begin(), leases_.end(), std::greater<>());
    leases_.pop_back();
    const auto it = programs_.find(id);
    if (it != programs_.end() && it->second.lease_end == end) {
      Release(id);
    }
  }
}

int64_t ProgramCache::HeldTokens(const core::UpstreamId& upstream,
                                 core::TimePoint now) {
  ExpireHolds(now);
  const auto it = engines_.find(upstream);
  return it == engines_.end() ? 0 : it->second.held;
}

double ProgramCache::ChurnTokensPerSecond(
    const core::UpstreamId& upstream) const {
  const auto it = engines_.find(upstream);
  return it == engines_.end() ? 0 : it->second.churn;
}

}  // namespace hawthorn::scheduling
