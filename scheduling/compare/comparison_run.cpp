#include "scheduling/compare/comparison_run.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <algorithm>
#include <cmath>
#include <numeric>

#include "scheduling/compare/simulation.h"

namespace hawthorn::scheduling::compare {

std::vector<std::string> FaultNames() {
  return {"none",         "dies",      "slow-failure", "slows-down",
          "reports-stop", "cache-gap", "flood"};
}

core::Result<Fault> ParseFault(const std::string& text) {
  const std::vector<std::string> names = FaultNames();
  const auto it = std::find(names.begin(), names.end(), text);
  if (it == names.end()) {
    core::Error error;
    error.code = core::ErrorCode::kInvalidArgument;
    error.message = absl::StrCat("unknown fault \"", text,
                                 "\"; allowed: ", absl::StrJoin(names, ", "));
    return error;
  }
  return static_cast<Fault>(it - names.begin());
}

RunResult RunTraffic(const Traffic& traffic, const RunOptions& options) {
  return Simulation(traffic, options).Run();
}

double Mean(const std::vector<double>& samples) {
  if (samples.empty()) {
    return 0;
  }
  const double sum = std::accumulate(samples.begin(), samples.end(), 0.0);
  return sum / static_cast<double>(samples.size());
}

double Quantile(const std::vector<double>& sorted, double q) {
  if (sorted.empty()) {
    return 0;
  }
  const double position = q * static_cast<double>(sorted.size() - 1);
  return sorted[static_cast<size_t>(std::lround(position))];
}

}  // namespace hawthorn::scheduling::compare
