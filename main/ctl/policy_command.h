#pragma once

#include <string>
#include <vector>

#include "main/ctl/commands.h"

namespace hawthorn::ctl {

/// Compares scheduling policies on the same traffic and prints a table, or
/// JSON with --json; --out is the file for the plot.
int ComparePolicies(const Options& options, const std::vector<std::string>&);

}  // namespace hawthorn::ctl
