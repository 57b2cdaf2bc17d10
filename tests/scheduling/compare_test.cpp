#include <catch2/catch.hpp>
#include <chrono>
#include <string>

#include "scheduling/compare/compare_format.h"
#include "scheduling/compare/idle_latency.h"
#include "scheduling/compare/policy_comparison.h"

namespace hawthorn::scheduling::compare {
namespace {

CompareOptions SmallRun() {
  CompareOptions options;
  options.profile = "peachtree";
  options.capacity = 1;
  options.loads = {0.6};
  options.duration = std::chrono::seconds(120);
  options.warm_up = std::chrono::seconds(20);
  return options;
}

TEST_CASE("the same seed reproduces a comparison exactly") {
  const auto first = RunComparison(SmallRun());
  const auto again = RunComparison(SmallRun());
  REQUIRE(FormatJson(core::Value(first)) == FormatJson(core::Value(again)));
  CompareOptions other = SmallRun();
  other.seeds = {2};
  const auto different = RunComparison(other);
  REQUIRE(FormatJson(core::Value(first)) != FormatJson(core::Value(different)));
}

TEST_CASE(
    "no policy is faster than an idle system, and affinity wastes less cache") {
  const auto result = RunComparison(SmallRun());
  const CompareReport& report = core::Value(result);
  REQUIRE(report.rows.size() == 2);
  for (const CompareRow& row : report.rows) {
    REQUIRE(row.programs > 20);
    REQUIRE(row.mean_stretch.min >= 1);
  }
  REQUIRE(report.rows[1].waste_ratio.max < 1);
  REQUIRE(FormatTable(report).find("combined") != std::string::npos);
  REQUIRE(FormatSvg(report).find("<polyline") != std::string::npos);
}

TEST_CASE("each fault of a comparison is injected") {
  for (const char* fault :
       {"dies", "slow-failure", "slows-down", "reports-stop", "cache-gap"}) {
    CompareOptions options = SmallRun();
    options.fault = fault;
    const auto result = RunComparison(options);
    for (const CompareRow& row : core::Value(result).rows) {
      INFO(fault << " with " << row.policy);
      REQUIRE(row.fault_events > 0);
      REQUIRE(row.programs > 20);
    }
  }
  CompareOptions flood = SmallRun();
  const uint64_t without_fault =
      core::Value(RunComparison(flood)).rows[0].programs;
  flood.fault = "flood";
  REQUIRE(core::Value(RunComparison(flood)).rows[0].programs > without_fault);
}

TEST_CASE("feedback control keeps serving while an upstream fails") {
  CompareOptions options = SmallRun();
  options.policies = {"combined", "combined"};
  options.feedback = {1};
  options.fault = "dies";
  const auto result = RunComparison(options);
  const CompareRow& row = core::Value(result).rows[1];
  REQUIRE(row.policy == "combined+feedback");
  REQUIRE(row.fault_events > 0);
  REQUIRE(row.failed_share.max < 0.5);
}

TEST_CASE("written traffic is read back unchanged") {
  const Profile profile = Profiles()[0];
  const Traffic traffic =
      GenerateTraffic(profile, 0.5, std::chrono::seconds(120), 3);
  const std::string text = FormatTraffic(traffic);
  const auto read = ParseTraffic(text);
  REQUIRE(core::IsOk(read));
  const Traffic& copy = core::Value(read);
  REQUIRE(copy.programs.size() == traffic.programs.size());
  double before = 0;
  double after = 0;
  for (size_t n = 0; n < copy.programs.size(); ++n) {
    before += IdleLatency(traffic, profile, n).count();
    after += IdleLatency(copy, profile, n).count();
  }
  REQUIRE(before == Approx(after));
  CompareOptions options = SmallRun();
  options.profile = "";
  options.traffic = text;
  const auto result = RunComparison(options);
  REQUIRE(core::Value(result).profile == "quetzal");
}

TEST_CASE("invalid traffic and options are refused, traffic with its line") {
  const auto bad = ParseTraffic("\n{\"program\":\"p\"}\n");
  REQUIRE(core::ErrorOf(bad).message.find("line 2") != std::string::npos);
  const auto orphan =
      ParseTraffic("{\"program\":\"p\",\"service\":\"s\",\"parent\":\"none\"}");
  REQUIRE(core::ErrorOf(orphan).message.find("none") != std::string::npos);
  CompareOptions options = SmallRun();
  options.policies = {"unknown"};
  REQUIRE_FALSE(core::IsOk(RunComparison(options)));
  options = SmallRun();
  options.fault = "unknown";
  REQUIRE_FALSE(core::IsOk(RunComparison(options)));
}

}  // namespace
}  // namespace hawthorn::scheduling::compare
