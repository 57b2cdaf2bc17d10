#include "scheduling/quota_stock.h"

#include <algorithm>
#include <utility>

namespace hawthorn::scheduling {

namespace {

core::Status LimitReached(core::TimePoint until, core::TimePoint now) {
  return core::Error{
      core::ErrorCode::kLimitExceeded,
      "the organisation is over its request limit", core::Execution::kNotRun,
      std::max(std::chrono::ceil<std::chrono::milliseconds>(until - now),
               std::chrono::milliseconds(1))};
}

core::Status NoAnswer() {
  return core::Error{core::ErrorCode::kUnavailable,
                     "no answer from the leader about the request limit",
                     core::Execution::kNotRun, QuotaStock::kNoAnswerRetryAfter};
}

}  // namespace

void QuotaStock::SetLimits(uint64_t version, const QuotaLimits& limits,
                           core::TimePoint now) {
  if (version < version_) {
    return;
  }
  version_ = version;
  for (auto it = holdings_.begin(); it != holdings_.end();) {
    const auto found = limits.find(it->first);
    if (found != limits.end() && found->second.IsLimited()) {
      ++it;
      continue;
    }
    for (const Waiter& waiter : it->second.waiters) {
      decisions_.push_back({waiter.ticket, std::monostate{}});
    }
    it = holdings_.erase(it);
  }
  for (const auto& [organisation, limit] : limits) {
    if (!limit.IsLimited()) {
      continue;
    }
    const auto [it, is_new] = holdings_.try_emplace(organisation);
    Holding& holding = it->second;
    if (!is_new && holding.limit != limit) {
      holding.returned += std::exchange(holding.stock, 0);
      holding.refused_until = {};
      holding.ask_at = {};
      next_report_ = now;
    }
    holding.limit = limit;
  }
}

void QuotaStock::ExpireStock(core::TimePoint now) {
  if (now < stock_expires_) {
    return;
  }
  for (auto& [organisation, holding] : holdings_) {
    holding.used += std::exchange(holding.stock, 0);
  }
}

void QuotaStock::DropCredit() {
  for (auto& [organisation, holding] : holdings_) {
    holding.stock = 0;
    holding.used = 0;
    holding.returned = 0;
    holding.refunded = 0;
    holding.refused_until = {};
    holding.ask_at = {};
  }
}

std::optional<core::Status> QuotaStock::Take(const std::string& organisation,
                                             Ticket ticket,
                                             core::TimePoint now) {
  const auto it = holdings_.find(organisation);
  if (it == holdings_.end()) {
    return std::monostate{};
  }
  Holding& holding = it->second;
  holding.last_taken = now;
  if (holding.stock > 0 && now >= stock_expires_) {
    ExpireStock(now);
  }
  if (holding.stock > 0) {
    --holding.stock;
    ++holding.used;
    return std::monostate{};
  }
  if (now < holding.refused_until) {
    return LimitReached(holding.refused_until, now);
  }
  holding.waiters.push_back({ticket, now});
  return std::nullopt;
}

void QuotaStock::Refund(Holding* holding, uint32_t count,
                        core::TimePoint taken_at) {
  if (count == 0) {
    return;
  }
  holding->refunds_since = holding->refunded == 0
                               ? taken_at
                               : std::min(holding->refunds_since, taken_at);
  holding->refunded += count;
}

void QuotaStock::GiveBack(const std::string& organisation,
                          core::TimePoint taken_at, core::TimePoint now) {
  const auto it = holdings_.find(organisation);
  if (it == holdings_.end()) {
    return;
  }
  // The leader decides whether it still counts, so that it is not used again
  // here.
  Refund(&it->second, 1, taken_at);
  next_report_ = std::min(next_report_, now + kResendAfter);
}

bool QuotaStock::HasWaiters() const {
  return std::any_of(holdings_.begin(), holdings_.end(),
                     [](const auto& it) { return !it.second.waiters.empty(); });
}

core::TimePoint QuotaStock::ResendTime() const {
  return open_->last_sent + (HasWaiters() ? kResendAfter : kReportInterval);
}

bool QuotaStock::IsDue(const Holding& holding, core::TimePoint now) const {
  return (!holding.waiters.empty() && now >= holding.ask_at) ||
         (holding.HasReport() && now >= next_report_);
}

QuotaDemand QuotaStock::DemandOf(const std::string& organisation,
                                 Holding* holding, core::TimePoint now) const {
  if (holding->waiters.empty() && now >= holding->last_taken + kIdleAfter) {
    holding->returned += std::exchange(holding->stock, 0);
  }
  QuotaDemand demand;
  demand.organisation = organisation;
  demand.used = std::exchange(holding->used, 0);
  demand.returned = std::exchange(holding->returned, 0);
  demand.refunded = std::exchange(holding->refunded, 0);
  if (demand.refunded > 0) {
    demand.refund_age = std::chrono::ceil<std::chrono::milliseconds>(
        now - holding->refunds_since);
  }
  if (now >= holding->ask_at) {
    demand.wanted = static_cast<uint32_t>(holding->waiters.size());
  }
  return demand;
}

std::optional<QuotaReport> QuotaStock::TakeReport(core::TimePoint now) {
  ExpireStock(now);
  if (open_ && now >= open_->first_sent + kQuotaLifetime) {
    // Whether the leader has applied it is not known. Term 0 makes it write off
    // what it lent.
    open_.reset();
    term_ = 0;
    DropCredit();
  }
  if (open_) {
    if (now < ResendTime()) {
      return std::nullopt;
    }
    open_->last_sent = now;
    return open_->report;
  }
  if (std::none_of(holdings_.begin(), holdings_.end(),
                   [&](const auto& it) { return IsDue(it.second, now); })) {
    return std::nullopt;
  }
  OpenReport open;
  open.first_sent = now;
  open.last_sent = now;
  open.report.term = term_;
  open.report.configuration_version = version_;
  open.report.sequence = ++sequence_;
  open.report.incarnation = incarnation_;
  for (auto& [organisation, holding] : holdings_) {
    if (holding.HasReport() || !holding.waiters.empty()) {
      open.report.demands.push_back(DemandOf(organisation, &holding, now));
    }
  }
  next_report_ = now + kReportInterval;
  open_ = std::move(open);
  return open_->report;
}

void QuotaStock::OnAnswer(uint64_t sequence, const QuotaAnswer& answer,
                          core::TimePoint now) {
  if (!open_ || open_->report.sequence != sequence || answer.term < term_) {
    return;
  }
  const OpenReport sent = *std::exchange(open_, std::nullopt);
  ExpireStock(now);
  if (answer.term != term_) {
    DropCredit();
    term_ = answer.term;
  }
  stock_expires_ = sent.first_sent + kQuotaLifetime;
  for (const QuotaCredit& credit : answer.credits) {
    ApplyCredit(credit, sent, answer.settling, now);
  }
  ExpireStock(now);
}

void QuotaStock::ApplyCredit(const QuotaCredit& credit, const OpenReport& sent,
                             bool settling, core::TimePoint now) {
  const auto it = holdings_.find(credit.organisation);
  const auto demand = std::find_if(
      sent.report.demands.begin(), sent.report.demands.end(),
      [&](const auto& d) { return d.organisation == credit.organisation; });
  if (it == holdings_.end() || demand == sent.report.demands.end()) {
    return;
  }
  Holding& holding = it->second;
  uint32_t for_waiting = std::min(credit.granted, demand->wanted);
  const uint32_t lent = credit.granted - for_waiting;
  // Requests that have waited for too long are refused, whatever came.
  while (for_waiting > 0 && !holding.waiters.empty()) {
    const Waiter waiter = holding.waiters.front();
    holding.waiters.pop_front();
    if (now >= waiter.since + kMaxWait) {
      decisions_.push_back({waiter.ticket, NoAnswer()});
      continue;
    }
    --for_waiting;
    decisions_.push_back({waiter.ticket, std::monostate{}});
  }
  // The leader counts this credit as used, so that it is not kept here.
  Refund(&holding, for_waiting, sent.first_sent);
  holding.stock += lent;
  while (holding.stock > 0 && now < stock_expires_ &&
         !holding.waiters.empty()) {
    --holding.stock;
    ++holding.used;
    decisions_.push_back({holding.waiters.front().ticket, std::monostate{}});
    holding.waiters.pop_front();
  }
  if (credit.retry_after.count() == 0) {
    return;
  }
  const core::TimePoint until = now + credit.retry_after;
  if (settling) {
    holding.ask_at = until;
    return;
  }
  holding.refused_until = until;
  for (const Waiter& waiter : holding.waiters) {
    decisions_.push_back({waiter.ticket, LimitReached(until, now)});
  }
  holding.waiters.clear();
}

void QuotaStock::OnNewLeader() {
  if (open_) {
    open_->last_sent = {};
  }
  for (auto& [organisation, holding] : holdings_) {
    holding.ask_at = {};
  }
}

std::vector<QuotaStock::Decision> QuotaStock::TakeDecisions(
    core::TimePoint now) {
  for (auto& [organisation, holding] : holdings_) {
    while (!holding.waiters.empty() &&
           now >= holding.waiters.front().since + kMaxWait) {
      decisions_.push_back({holding.waiters.front().ticket, NoAnswer()});
      holding.waiters.pop_front();
    }
  }
  return std::exchange(decisions_, {});
}

std::optional<core::TimePoint> QuotaStock::NextWakeUp(
    core::TimePoint now) const {
  std::optional<core::TimePoint> next;
  const auto add = [&next](core::TimePoint time) {
    next = next ? std::min(*next, time) : time;
  };
  if (!decisions_.empty()) {
    return now;
  }
  for (const auto& [organisation, holding] : holdings_) {
    if (!holding.waiters.empty()) {
      add(holding.waiters.front().since + kMaxWait);
      if (!open_) {
        add(holding.ask_at);
      }
    }
    if (!open_ && holding.HasReport()) {
      add(next_report_);
    }
  }
  if (open_) {
    add(std::min(ResendTime(), open_->first_sent + kQuotaLifetime));
  }
  return next;
}

uint64_t QuotaStock::held() const {
  uint64_t sum = 0;
  for (const auto& [organisation, holding] : holdings_) {
    sum += holding.stock;
  }
  return sum;
}

size_t QuotaStock::waiting() const {
  size_t sum = 0;
  for (const auto& [organisation, holding] : holdings_) {
    sum += holding.waiters.size();
  }
  return sum;
}

}  // namespace hawthorn::scheduling
