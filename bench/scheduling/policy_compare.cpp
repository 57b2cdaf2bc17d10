#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/strings/numbers.h>

#include <fstream>
#include <iostream>
#include <sstream>
#include <string>
#include <vector>

#include "scheduling/compare/compare_format.h"
#include "scheduling/compare/policy_comparison.h"

ABSL_FLAG(std::string, profile, "", "quetzal or peachtree");
ABSL_FLAG(std::string, traffic, "", "file with recorded traffic");
ABSL_FLAG(std::vector<std::string>, policies,
          std::vector<std::string>({"fcfs", "combined"}),
          "policies; ratios are relative to the first");
ABSL_FLAG(std::vector<std::string>, feedback, {},
          "indexes of policies with feedback control of reliability");
ABSL_FLAG(std::vector<std::string>, loads, std::vector<std::string>({"0.85"}),
          "loads as fractions of the capacity");
ABSL_FLAG(std::string, capacity_policy, "fcfs",
          "policy whose sustained rate defines load 1");
ABSL_FLAG(double, capacity, 0,
          "programs per second at load 1; 0 to measure it");
ABSL_FLAG(uint64_t, seed, 1, "first seed");
ABSL_FLAG(uint64_t, seeds, 1, "number of seeds");
ABSL_FLAG(std::string, fault, "none",
          "fault injected during the middle third of the run");
ABSL_FLAG(uint64_t, threads, 4, "number of runs executed in parallel");
ABSL_FLAG(bool, json, false, "print JSON in place of a table");
ABSL_FLAG(std::string, svg, "", "file for a plot of the distributions");

namespace {

using hawthorn::scheduling::compare::CompareOptions;
using hawthorn::scheduling::compare::CompareReport;

bool ReadFlags(CompareOptions& options) {
  options.profile = absl::GetFlag(FLAGS_profile);
  options.policies = absl::GetFlag(FLAGS_policies);
  options.capacity_policy = absl::GetFlag(FLAGS_capacity_policy);
  options.capacity = absl::GetFlag(FLAGS_capacity);
  options.fault = absl::GetFlag(FLAGS_fault);
  options.threads = absl::GetFlag(FLAGS_threads);
  options.seeds.clear();
  for (uint64_t n = 0; n < absl::GetFlag(FLAGS_seeds); ++n) {
    options.seeds.push_back(absl::GetFlag(FLAGS_seed) + n);
  }
  options.loads.clear();
  for (const std::string& text : absl::GetFlag(FLAGS_loads)) {
    double load = 0;
    if (!absl::SimpleAtod(text, &load) || load <= 0) {
      std::cerr << "loads: \"" << text << "\" is not a positive number\n";
      return false;
    }
    options.loads.push_back(load);
  }
  for (const std::string& text : absl::GetFlag(FLAGS_feedback)) {
    size_t index = 0;
    if (!absl::SimpleAtoi(text, &index)) {
      std::cerr << "feedback: \"" << text << "\" is not an index\n";
      return false;
    }
    options.feedback.push_back(index);
  }
  return true;
}

bool ReadTraffic(const std::string& path, std::string& text) {
  const std::ifstream file(path);
  std::ostringstream content;
  content << file.rdbuf();
  text = content.str();
  return file.good() && !text.empty();
}

}  // namespace

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  CompareOptions options;
  if (!ReadFlags(options)) {
    return 2;
  }
  const std::string path = absl::GetFlag(FLAGS_traffic);
  if (!path.empty() && !ReadTraffic(path, options.traffic)) {
    std::cerr << "cannot read " << path << "\n";
    return 1;
  }
  const auto result = RunComparison(options);
  if (!hawthorn::core::IsOk(result)) {
    std::cerr << hawthorn::core::ErrorOf(result).message << "\n";
    return 2;
  }
  const CompareReport& report = hawthorn::core::Value(result);
  std::cout << (absl::GetFlag(FLAGS_json) ? FormatJson(report)
                                          : FormatTable(report));
  const std::string svg = absl::GetFlag(FLAGS_svg);
  if (!svg.empty()) {
    std::ofstream(svg) << FormatSvg(report);
  }
  return 0;
}
