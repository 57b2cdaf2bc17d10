#include <catch2/catch.hpp>
#include <chrono>
#include <optional>
#include <string>

#include "scheduling/quota_allocator.h"
#include "scheduling/quota_stock.h"

namespace hawthorn::scheduling {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr core::TimePoint kStart{std::chrono::hours(1)};
const QuotaLimit kLimit{10, 10};

/// A leader that is no longer settling, with full buckets.
QuotaAllocator SettledLeader(const QuotaLimits& limits) {
  QuotaAllocator leader;
  leader.BeginTerm(3, kStart - std::chrono::hours(1));
  leader.SetLimits(1, limits, kStart - std::chrono::hours(1));
  return leader;
}

QuotaReport Wanting(uint64_t sequence, uint32_t wanted, uint32_t used = 0) {
  QuotaReport report;
  report.term = 3;
  report.sequence = sequence;
  report.demands.push_back({"o", used, 0, 0, milliseconds(0), wanted});
  return report;
}

uint32_t Granted(const core::Result<QuotaAnswer>& answer) {
  return core::Value(answer).credits.at(0).granted;
}

bool IsRefused(const std::optional<core::Status>& status,
               core::ErrorCode code) {
  return status && !core::IsOk(*status) && core::ErrorOf(*status).code == code;
}

/// Carries the report that is due to the leader and the answer back.
void Exchange(QuotaStock* stock, QuotaAllocator* leader, core::TimePoint now) {
  const auto report = stock->TakeReport(now);
  REQUIRE(report);
  const auto answer = leader->Answer("i", *report, now);
  REQUIRE(core::IsOk(answer));
  stock->OnAnswer(report->sequence, core::Value(answer), now);
}

// A report whose reply was lost is sent again. Counting it twice would take
// credit from the organisation, or grant it twice.
TEST_CASE("A repeated quota report is answered as before and counted once") {
  QuotaAllocator leader = SettledLeader({{"o", kLimit}});
  const auto first = leader.Answer("i", Wanting(1, 5), kStart);
  const auto again =
      leader.Answer("i", Wanting(1, 5), kStart + milliseconds(1));
  CHECK(core::Value(first) == core::Value(again));
  const auto capacity = static_cast<uint32_t>(QuotaAllocator::Capacity(kLimit));
  CHECK(Granted(leader.Answer("i", Wanting(2, 100), kStart)) ==
        capacity - Granted(first));
  CHECK(Granted(first) >= 5);
  const auto late = leader.Answer("i", Wanting(1, 5), kStart);
  CHECK(core::ErrorOf(late).code == core::ErrorCode::kOutOfOrder);
}

// The refusal must name the time at which the rate brings the next credit, and
// instances that ask in between must not all be told the same time.
TEST_CASE("A refusal names the time until there will be credit") {
  QuotaAllocator leader = SettledLeader({{"o", {2, 0}}});
  leader.Answer("i", Wanting(1, 1000), kStart);
  const auto answer = leader.Answer("j", Wanting(1, 1), kStart);
  CHECK(Granted(answer) == 0);
  const milliseconds wait = core::Value(answer).credits.at(0).retry_after;
  CHECK(wait > milliseconds(0));
  CHECK(wait <= milliseconds(500));
  CHECK(Granted(leader.Answer("j", Wanting(2, 1), kStart + wait)) == 1);
}

// A new leader does not know what the instances still hold of the previous
// term. If it granted a full burst at once, the window would see two.
TEST_CASE("A new leader accumulates only the reserve while it settles") {
  QuotaAllocator leader;
  leader.BeginTerm(3, kStart);
  leader.SetLimits(1, {{"o", kLimit}}, kStart);
  CHECK(Granted(leader.Answer("i", Wanting(1, 5), kStart)) == 0);
  const core::TimePoint later = kStart + milliseconds(3900);
  const auto answer = leader.Answer("i", Wanting(2, 100), later);
  CHECK(core::Value(answer).settling);
  CHECK(Granted(answer) ==
        static_cast<uint32_t>(QuotaAllocator::Reserve(kLimit)));
}

// An instance that was cut off or stopped keeps what it was lent. Without the
// write-off the organisation would lose it for ever.
TEST_CASE("Credit lent to a silent instance is written off") {
  QuotaAllocator leader = SettledLeader({{"o", {100, 100}}});
  core::TimePoint now = kStart;
  for (uint64_t n = 1; n <= 5; ++n, now += milliseconds(100)) {
    leader.Answer("i", Wanting(n, 3), now);
  }
  REQUIRE(leader.outstanding() > 0);
  leader.Answer("j", Wanting(1, 0), now + kQuotaWriteOff);
  CHECK(leader.outstanding() == 0);
}

// Credit that lies at instances can be used at once. If the bucket refilled
// beside it, a rush would get both.
TEST_CASE("Lent credit and the level together stay within the capacity") {
  const QuotaLimit limit{100, 100};
  QuotaAllocator leader = SettledLeader({{"o", limit}});
  core::TimePoint now = kStart;
  for (uint64_t n = 1; n <= 5; ++n, now += milliseconds(100)) {
    leader.Answer("i", Wanting(n, 3), now);
  }
  const uint64_t lent = leader.outstanding();
  REQUIRE(lent > 0);
  CHECK(static_cast<double>(lent) <= QuotaAllocator::LendingBound(limit));
  const auto rush = leader.Answer("j", Wanting(1, 1000), now + seconds(3));
  CHECK(Granted(rush) + lent <= QuotaAllocator::Capacity(limit));
}

// A request that was refused before it reached an upstream must not cost the
// organisation credit, and old refunds must not pile up beyond the capacity.
TEST_CASE("A refund counts unless the bucket was full since") {
  QuotaAllocator leader = SettledLeader({{"o", {1, 0}}});
  leader.Answer("i", Wanting(1, 1000), kStart);
  QuotaReport refund = Wanting(2, 3);
  refund.demands[0].refunded = 3;
  refund.demands[0].refund_age = milliseconds(0);
  CHECK(Granted(leader.Answer("i", refund, kStart + milliseconds(1))) == 3);
  const core::TimePoint refilled = kStart + seconds(100);
  leader.Answer("i", Wanting(3, 1000), refilled);
  refund.sequence = 4;
  refund.demands[0].refund_age = seconds(99);
  CHECK(Granted(leader.Answer("i", refund, refilled)) == 0);
}

// An instance may learn a configuration before a new leader has applied it. The
// leader must not answer by limits that are out of date.
TEST_CASE("A leader with an older configuration answers nothing") {
  QuotaAllocator leader = SettledLeader({{"o", kLimit}});
  QuotaReport report = Wanting(1, 1);
  report.configuration_version = 2;
  CHECK(core::ErrorOf(leader.Answer("i", report, kStart)).code ==
        core::ErrorCode::kUnavailable);
  leader.SetLimits(2, {{"o", {1, 1}}}, kStart);
  report.demands[0].wanted = 1000;
  CHECK(Granted(leader.Answer("i", report, kStart)) ==
        static_cast<uint32_t>(QuotaAllocator::Capacity({1, 1})));
}

// A machine that was frozen must not send requests with credit that the leader
// has written off meanwhile.
TEST_CASE("Lent credit expires while the instance is frozen") {
  QuotaAllocator leader = SettledLeader({{"o", {100, 100}}});
  QuotaStock stock(1);
  stock.SetLimits(1, {{"o", {100, 100}}}, kStart);
  core::TimePoint now = kStart;
  for (QuotaStock::Ticket n = 1; stock.held() < 2; ++n) {
    REQUIRE(n < 100);
    if (!stock.Take("o", n, now)) {
      Exchange(&stock, &leader, now);
    }
    now += milliseconds(10);
  }
  REQUIRE(stock.Take("o", 100, now));
  REQUIRE(stock.held() > 0);
  CHECK_FALSE(stock.Take("o", 101, now + kQuotaLifetime));
  CHECK(stock.held() == 0);
}

// Credit of an earlier leader is not part of the new one's accounts, so that
// using both would exceed the limit.
TEST_CASE("Credit of an earlier term is dropped when the next one is known") {
  QuotaStock stock(1);
  stock.SetLimits(1, {{"o", kLimit}}, kStart);
  const auto answered = [&](QuotaStock::Ticket ticket, QuotaAnswer answer) {
    const milliseconds late(static_cast<int64_t>(ticket));
    REQUIRE_FALSE(stock.Take("o", ticket, kStart));
    const auto report = stock.TakeReport(kStart + late);
    REQUIRE(report);
    stock.OnAnswer(report->sequence, answer, kStart + late);
  };
  answered(1, {3, 1, false, {{"o", 3, milliseconds(0)}}});
  REQUIRE(stock.held() == 2);
  REQUIRE(stock.Take("o", 2, kStart));
  REQUIRE(stock.Take("o", 3, kStart));
  answered(4, {3, 1, false, {{"o", 5, milliseconds(0)}}});
  REQUIRE(stock.held() == 4);
  stock.OnNewLeader();
  const core::TimePoint later = kStart + milliseconds(800);
  const auto report = stock.TakeReport(later);
  REQUIRE(report);
  stock.OnAnswer(report->sequence, {4, 1, true, {}}, later);
  CHECK(stock.held() == 0);
  // An answer of the deposed leader changes nothing.
  CHECK_FALSE(stock.Take("o", 5, later));
  const auto next = stock.TakeReport(later);
  REQUIRE(next);
  CHECK(next->term == 4);
  stock.OnAnswer(next->sequence, {3, 1, false, {{"o", 5, {}}}}, later);
  CHECK(stock.held() == 0);
  CHECK(stock.waiting() == 1);
}

// Requests that wait when the leader is lost must neither wait for ever nor be
// refused while the new leader can still answer.
TEST_CASE("Waiting requests go to a new leader at once and time out") {
  QuotaStock stock(1);
  stock.SetLimits(1, {{"o", kLimit}}, kStart);
  REQUIRE_FALSE(stock.Take("o", 1, kStart));
  const auto first = stock.TakeReport(kStart);
  REQUIRE(first);
  CHECK_FALSE(stock.TakeReport(kStart + milliseconds(50)));
  stock.OnNewLeader();
  const auto again = stock.TakeReport(kStart + milliseconds(50));
  REQUIRE(again);
  CHECK(*again == *first);
  CHECK(stock.TakeDecisions(kStart + milliseconds(299)).empty());
  const auto decisions = stock.TakeDecisions(kStart + milliseconds(300));
  REQUIRE(decisions.size() == 1);
  CHECK(IsRefused(decisions[0].status, core::ErrorCode::kUnavailable));
  CHECK(core::ErrorOf(decisions[0].status).retry_after);
}

// The answer for a request that has timed out arrives late: its credit must go
// back and not be used by a later request of another window.
TEST_CASE("Credit that comes too late for its request is refunded") {
  QuotaAllocator leader = SettledLeader({{"o", kLimit}});
  QuotaStock stock(1);
  stock.SetLimits(1, {{"o", kLimit}}, kStart);
  stock.Take("o", 1, kStart);
  const auto report = stock.TakeReport(kStart);
  const auto answer = leader.Answer("i", *report, kStart);
  const core::TimePoint late = kStart + milliseconds(400);
  CHECK(stock.TakeDecisions(late).size() == 1);
  stock.OnAnswer(report->sequence, core::Value(answer), late);
  // Only what was lent beyond the request is kept.
  CHECK(stock.held() == Granted(answer) - 1);
  const auto next = stock.TakeReport(late + milliseconds(700));
  REQUIRE(next);
  CHECK(next->demands.at(0).refunded == 1);
}

// While the leader has no credit, each further request would cost a message.
TEST_CASE("Requests are refused without a message until there is credit") {
  QuotaStock stock(1);
  stock.SetLimits(1, {{"o", kLimit}}, kStart);
  stock.Take("o", 1, kStart);
  const auto report = stock.TakeReport(kStart);
  stock.OnAnswer(report->sequence, {3, 1, false, {{"o", 0, milliseconds(80)}}},
                 kStart);
  const auto decisions = stock.TakeDecisions(kStart);
  REQUIRE(decisions.size() == 1);
  CHECK(IsRefused(decisions[0].status, core::ErrorCode::kLimitExceeded));
  const auto refused = stock.Take("o", 2, kStart + milliseconds(50));
  REQUIRE(IsRefused(refused, core::ErrorCode::kLimitExceeded));
  CHECK(core::ErrorOf(*refused).retry_after == milliseconds(30));
  CHECK_FALSE(stock.TakeReport(kStart + milliseconds(50)));
  CHECK_FALSE(stock.Take("o", 3, kStart + milliseconds(80)));
  // Another organisation is not affected, nor one without a limit.
  CHECK(stock.Take("free", 4, kStart));
}

}  // namespace
}  // namespace hawthorn::scheduling
