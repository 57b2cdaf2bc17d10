#pragma once

#include <string>

#include "scheduling/compare/policy_comparison.h"

namespace hawthorn::scheduling::compare {

/// Table for a terminal; each figure is the mean over the seeds, ratios with
/// their least and largest value.
std::string FormatTable(const CompareReport& report);

/// The report as one JSON object.
std::string FormatJson(const CompareReport& report);

/// SVG picture with the cumulative distributions of program latency.
std::string FormatSvg(const CompareReport& report);

}  // namespace hawthorn::scheduling::compare
