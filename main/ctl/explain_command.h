#pragma once

#include <string>
#include <vector>

#include "main/ctl/commands.h"

namespace hawthorn::ctl {

/// Reads log files of any number of processes and prints every record that is
/// about a request or program, in the order of their times. Arguments: the id,
/// then the files.
int Explain(const Options& options, const std::vector<std::string>& arguments);

}  // namespace hawthorn::ctl
