#include "main/ctl/policy_command.h"

#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

#include "main/ctl/report.h"
#include "scheduling/compare/compare_format.h"
#include "scheduling/compare/policy_comparison.h"

namespace hawthorn::ctl {

namespace compare = scheduling::compare;

int ComparePolicies(const Options& options, const std::vector<std::string>&) {
  compare::CompareOptions wanted;
  wanted.policies = options.policies;
  wanted.seeds = {static_cast<uint64_t>(options.seed)};
  wanted.threads = std::max(1U, std::thread::hardware_concurrency() / 2);
  if (std::filesystem::exists(options.traffic)) {
    std::ifstream in(options.traffic);
    std::ostringstream text;
    text << in.rdbuf();
    wanted.traffic = text.str();
  } else {
    wanted.profile = options.traffic;
  }
  std::cerr << "comparing " << options.policies.size()
            << " policies on the same traffic ...\n";
  const auto report = compare::RunComparison(wanted);
  if (!core::IsOk(report)) {
    return Report(core::ErrorOf(report));
  }
  const compare::CompareReport& result = core::Value(report);
  std::cout << (options.json ? compare::FormatJson(result)
                             : compare::FormatTable(result));
  if (!options.out.empty()) {
    std::ofstream out(options.out);
    out << compare::FormatSvg(result);
    std::cerr << "wrote " << options.out << "\n";
  }
  return kExitOk;
}

}  // namespace hawthorn::ctl
