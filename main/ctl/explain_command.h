#pragma once

#include <string>
#include <vector>

#include "main/ctl/commands.h"

namespace hawthorn::ctl {

/// Reads the log files of any number of processes and prints every record about
/// the given request, program, upstream or machine, sorted by time. Arguments:
/// the id, then the files.
int Explain(const Options& options, const std::vector<std::string>& arguments);

}  // namespace hawthorn::ctl
