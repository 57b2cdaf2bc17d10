#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <deque>
#include <string>
#include <thread>
#include <vector>

#include "core/bounded_ring.h"
#include "core/clock.h"
#include "core/error.h"
#include "core/finding.h"
#include "core/metrics.h"

namespace hawthorn::core {
namespace {

using std::chrono::milliseconds;

TEST_CASE("bounded ring behaves as a bounded queue") {
  rc::prop("any sequence of pushes and pops matches a deque", [] {
    const size_t capacity = *rc::gen::inRange<size_t>(1, 9);
    BoundedRing<int> ring(capacity);
    std::deque<int> model;
    for (const int step : *rc::gen::arbitrary<std::vector<int>>()) {
      if (step % 3 == 0) {
        const std::optional<int> popped = ring.TryPop();
        RC_ASSERT(popped.has_value() == !model.empty());
        if (popped) {
          RC_ASSERT(*popped == model.front());
          model.pop_front();
        }
        continue;
      }
      int value = step;
      RC_ASSERT(ring.TryPush(std::move(value)) == (model.size() < capacity));
      if (model.size() < capacity) {
        model.push_back(step);
      }
    }
    RC_ASSERT(ring.size() == model.size());
  });
}

TEST_CASE("a closed ring refuses pushes and can still be emptied") {
  BoundedRing<std::string> ring(2);
  REQUIRE(ring.TryPush("kept"));
  ring.Close();
  std::string late = "late";
  REQUIRE_FALSE(ring.TryPush(std::move(late)));
  REQUIRE(late == "late");
  REQUIRE(ring.Pop(milliseconds(0)) == "kept");
  REQUIRE_FALSE(ring.Pop(milliseconds(0)).has_value());
}

TEST_CASE("no element is lost between threads") {
  constexpr int kCount = 20000;
  BoundedRing<int> ring(16);
  std::vector<int> received;
  std::thread consumer([&] {
    while (received.size() < kCount) {
      if (auto value = ring.Pop(milliseconds(50))) {
        received.push_back(*value);
      }
    }
  });
  for (int n = 0; n < kCount; ++n) {
    int value = n;
    while (!ring.TryPush(std::move(value))) {
      std::this_thread::yield();
    }
  }
  consumer.join();
  for (int n = 0; n < kCount; ++n) {
    REQUIRE(received[n] == n);
  }
}

TEST_CASE("findings are reported in the order of their positions") {
  FindingList list;
  list.Add({"a.yaml", 7, 3}, "unknown key 'zoen'", "zone");
  list.Add({"a.yaml", 2, 1}, "value out of range", "1 to 9");
  REQUIRE(list.Report() ==
          "a.yaml:2:1: value out of range; allowed: 1 to 9\n"
          "a.yaml:7:3: unknown key 'zoen'; allowed: zone\n");
}

TEST_CASE("histograms are kept for each organisation and class") {
  Metrics metrics;
  metrics.Observe({OrganisationId("quetzal"), "chat"}, milliseconds(3));
  metrics.Observe({OrganisationId("quetzal"), "chat"}, milliseconds(40));
  metrics.Observe({OrganisationId("forge"), "quote"}, milliseconds(1));
  const auto histograms = metrics.Histograms();
  REQUIRE(histograms.size() == 2);
  const Histogram& chat = histograms.at({OrganisationId("quetzal"), "chat"});
  REQUIRE(chat.count() == 2);
  REQUIRE(chat.QuantileMs(0.5) == 5);
  REQUIRE(chat.QuantileMs(1.0) == 40);
  REQUIRE(metrics.Exposition().find("organisation=\"forge\",class=\"quote\"") !=
          std::string::npos);
}

TEST_CASE("the number of histograms is bounded") {
  Metrics metrics;
  for (size_t n = 0; n < Metrics::kMaxHistograms + 50; ++n) {
    metrics.Observe({OrganisationId(std::to_string(n)), "chat"},
                    milliseconds(1));
  }
  REQUIRE(metrics.Histograms().size() == Metrics::kMaxHistograms + 1);
}

TEST_CASE("the manual clock ignores negative steps") {
  ManualClock clock;
  const TimePoint start = clock.Now();
  clock.Advance(milliseconds(5));
  clock.Advance(milliseconds(-9));
  REQUIRE(clock.Now() - start == milliseconds(5));
}

}  // namespace
}  // namespace hawthorn::core
