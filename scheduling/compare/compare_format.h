#pragma once

#include <string>

#include "scheduling/compare/policy_comparison.h"

namespace hawthorn::scheduling::compare {

/// Table for a terminal. Each value is the mean over the seeds; ratios are
/// shown with their minimum and maximum.
std::string FormatTable(const CompareReport& report);

/// The report as one JSON object.
std::string FormatJson(const CompareReport& report);

/// SVG plot of the cumulative distributions of program latency.
std::string FormatSvg(const CompareReport& report);

}  // namespace hawthorn::scheduling::compare
