#include "scheduling/quota_allocator.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace hawthorn::scheduling {

namespace {

/// Length of the window in which an organisation's requests are limited.
constexpr double kWindowSeconds = 5;
constexpr double kExcessPart = 0.1;
constexpr double kExcessRequests = 20;
/// Makes up for sums of fractions that end just below a whole number.
constexpr double kRounding = 1e-6;
/// Part of the capacity below which nothing is lent.
constexpr double kWellFilled = 0.5;
/// Lent with each grant, whatever the demand: most organisations send each
/// instance less than one request a second.
constexpr double kLeastLent = 1;
/// Interval of looking for silent instances.
constexpr std::chrono::milliseconds kWriteOffInterval{200};

double SecondsBetween(core::TimePoint from, core::TimePoint to) {
  return std::chrono::duration<double>(to - from).count();
}

std::chrono::nanoseconds Nanoseconds(double seconds) {
  return std::chrono::nanoseconds(static_cast<int64_t>(seconds * 1e9));
}

}  // namespace

double QuotaAllocator::AllowedExcess(const QuotaLimit& limit) {
  return kExcessPart * (kWindowSeconds * limit.rate + limit.burst) +
         kExcessRequests;
}

double QuotaAllocator::Capacity(const QuotaLimit& limit) {
  return limit.burst + kCapacityPart * AllowedExcess(limit);
}

double QuotaAllocator::LendingBound(const QuotaLimit& limit) {
  return kLentPart * AllowedExcess(limit);
}

double QuotaAllocator::Reserve(const QuotaLimit& limit) {
  return kReservePart * AllowedExcess(limit);
}

void QuotaAllocator::BeginTerm(uint64_t term, core::TimePoint now) {
  *this = QuotaAllocator();
  term_ = term;
  term_began_ = now;
}

double QuotaAllocator::CapacityNow(const Bucket& bucket,
                                   core::TimePoint now) const {
  return IsSettling(now) ? Reserve(bucket.limit) : Capacity(bucket.limit);
}

void QuotaAllocator::Fill(Bucket* bucket, core::TimePoint now) const {
  // During the settling time the level is limited to the reserve; what the rate
  // brings across its end counts from the end only.
  const core::TimePoint end = term_began_ + kSettling;
  if (bucket->filled_at < end && now > end) {
    bucket->level =
        std::min(bucket->level + SecondsBetween(bucket->filled_at, end) *
                                     bucket->limit.rate,
                 Reserve(bucket->limit));
    bucket->filled_at = end;
  }
  if (now > bucket->filled_at) {
    bucket->level +=
        SecondsBetween(bucket->filled_at, now) * bucket->limit.rate;
    bucket->filled_at = now;
  }
  const double room =
      std::max(0.0, CapacityNow(*bucket, now) -
                        static_cast<double>(bucket->outstanding));
  if (bucket->level >= room) {
    bucket->level = room;
    bucket->last_full = now;
  }
}

void QuotaAllocator::SetLimits(uint64_t version, const QuotaLimits& limits,
                               core::TimePoint now) {
  version_ = version;
  const bool begins_empty = !std::exchange(has_limits_, true);
  std::erase_if(buckets_, [&](const auto& it) {
    const auto found = limits.find(it.first);
    return found == limits.end() || !found->second.IsLimited();
  });
  for (auto& [id, instance] : instances_) {
    std::erase_if(instance.holdings, [this](const auto& it) {
      return !buckets_.contains(it.first);
    });
  }
  for (const auto& [organisation, limit] : limits) {
    if (!limit.IsLimited()) {
      continue;
    }
    const auto [it, is_new] = buckets_.try_emplace(organisation);
    Bucket& bucket = it->second;
    if (is_new) {
      bucket.filled_at = now;
      // Requests that were counted before are not refunded.
      bucket.last_full = now;
      bucket.limit = limit;
      bucket.level = begins_empty ? 0 : CapacityNow(bucket, now);
    }
    Fill(&bucket, now);
    bucket.limit = limit;
    Fill(&bucket, now);
  }
}

uint64_t QuotaAllocator::outstanding() const {
  uint64_t sum = 0;
  for (const auto& [organisation, bucket] : buckets_) {
    sum += bucket.outstanding;
  }
  return sum;
}

void QuotaAllocator::WriteOff(Instance* instance) {
  for (auto& [organisation, holding] : instance->holdings) {
    const auto bucket = buckets_.find(organisation);
    if (bucket != buckets_.end()) {
      bucket->second.outstanding -=
          std::min(bucket->second.outstanding, holding.outstanding);
    }
    holding.outstanding = 0;
  }
}

void QuotaAllocator::WriteOffSilent(core::TimePoint now) {
  if (now < next_write_off_) {
    return;
  }
  next_write_off_ = now + kWriteOffInterval;
  // Room that the write-off makes must not be filled with credit of the time
  // before it.
  for (auto& [organisation, bucket] : buckets_) {
    Fill(&bucket, now);
  }
  for (auto& [id, instance] : instances_) {
    if (now >= instance.heard_at + kQuotaWriteOff) {
      WriteOff(&instance);
    }
  }
}

core::Result<QuotaAnswer> QuotaAllocator::Answer(const std::string& instance,
                                                 const QuotaReport& report,
                                                 core::TimePoint now) {
  if (report.configuration_version > version_) {
    return core::Error{core::ErrorCode::kUnavailable,
                       "configuration " +
                           std::to_string(report.configuration_version) +
                           " is not known here yet",
                       core::Execution::kNotRun,
                       {}};
  }
  WriteOffSilent(now);
  Instance& sender = instances_[instance];
  if (sender.incarnation != report.incarnation) {
    WriteOff(&sender);
    sender.incarnation = report.incarnation;
    sender.sequence = 0;
  }
  if (report.sequence < sender.sequence) {
    return core::Error{core::ErrorCode::kOutOfOrder,
                       "a later report was answered already",
                       core::Execution::kNotRun,
                       {}};
  }
  sender.heard_at = now;
  if (report.sequence == sender.sequence) {
    return sender.last_answer;
  }
  sender.sequence = report.sequence;
  const bool is_current = report.term == term_;
  if (!is_current) {
    WriteOff(&sender);
  }
  QuotaAnswer answer;
  answer.term = term_;
  answer.configuration_version = version_;
  answer.settling = IsSettling(now);
  for (const QuotaDemand& demand : report.demands) {
    const auto it = buckets_.find(demand.organisation);
    if (it == buckets_.end()) {
      // Not limited, or no longer.
      answer.credits.push_back({demand.organisation, demand.wanted, {}});
      continue;
    }
    Holding& holding = sender.holdings[demand.organisation];
    Fill(&it->second, now);
    if (is_current) {
      Settle(demand, &it->second, &holding, now);
    }
    if (demand.wanted > 0) {
      answer.credits.push_back(Grant(demand, &it->second, &holding, now));
    }
  }
  sender.last_answer = answer;
  return answer;
}

void QuotaAllocator::Settle(const QuotaDemand& demand, Bucket* bucket,
                            Holding* holding, core::TimePoint now) const {
  const uint64_t used = std::min<uint64_t>(demand.used, holding->outstanding);
  const uint64_t returned =
      std::min<uint64_t>(demand.returned, holding->outstanding - used);
  holding->outstanding -= used + returned;
  bucket->outstanding -= std::min(bucket->outstanding, used + returned);
  bucket->level += static_cast<double>(returned);
  // If the bucket has been full since the request was counted, its credit would
  // have been lost by now.
  if (now - demand.refund_age > bucket->last_full) {
    bucket->level += demand.refunded;
  }
  Fill(bucket, now);
}

QuotaCredit QuotaAllocator::Grant(const QuotaDemand& demand, Bucket* bucket,
                                  Holding* holding, core::TimePoint now) const {
  const double age = SecondsBetween(holding->seen_at, now) /
                     std::chrono::duration<double>(kLendingHorizon).count();
  const double expected =
      (holding->recent + demand.used) * std::exp(-std::max(0.0, age));
  holding->recent = expected + demand.wanted;
  holding->seen_at = now;

  QuotaCredit credit;
  credit.organisation = demand.organisation;
  credit.granted = static_cast<uint32_t>(
      std::min<double>(demand.wanted, std::floor(bucket->level + kRounding)));
  bucket->level = std::max(0.0, bucket->level - credit.granted);
  if (credit.granted < demand.wanted) {
    credit.retry_after = WaitFor(bucket, now);
    return credit;
  }
  const double spare = bucket->level - kWellFilled * Capacity(bucket->limit);
  const double lendable =
      LendingBound(bucket->limit) - static_cast<double>(bucket->outstanding);
  const double lent =
      IsSettling(now)
          ? 0
          : std::floor(std::min(
                {std::max(kLeastLent, std::round(expected)), spare, lendable}));
  if (lent > 0) {
    credit.granted += static_cast<uint32_t>(lent);
    bucket->level -= lent;
    bucket->outstanding += static_cast<uint64_t>(lent);
    holding->outstanding += static_cast<uint64_t>(lent);
  }
  return credit;
}

std::chrono::milliseconds QuotaAllocator::WaitFor(Bucket* bucket,
                                                  core::TimePoint now) const {
  const double rate = bucket->limit.rate;
  const auto until_credit =
      Nanoseconds(std::max(0.0, 1 - bucket->level) / rate);
  // Each instance that is refused is told a later time, by which the rate has
  // brought credit for those before it too.
  const core::TimePoint last = now + kMaxSpread;
  bucket->next_slot =
      std::min(std::max(bucket->next_slot, now) + Nanoseconds(1 / rate), last);
  const auto wait =
      std::max<std::chrono::nanoseconds>(until_credit, bucket->next_slot - now);
  return std::max(std::chrono::ceil<std::chrono::milliseconds>(wait),
                  std::chrono::milliseconds(1));
}

}  // namespace hawthorn::scheduling
