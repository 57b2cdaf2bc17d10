#pragma once

#include <string>
#include <vector>

#include "main/ctl/commands.h"

// Commands that read and change the configuration.
namespace hawthorn::ctl {

int ConfigGet(const Options& options, const std::vector<std::string>&);
int ConfigDiff(const Options& options,
               const std::vector<std::string>& arguments);
int ConfigApply(const Options& options,
                const std::vector<std::string>& arguments);
int ConfigHistory(const Options& options, const std::vector<std::string>&);
int ConfigWait(const Options& options,
               const std::vector<std::string>& arguments);

}  // namespace hawthorn::ctl
