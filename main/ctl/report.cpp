#include "main/ctl/report.h"

#include <iostream>

#include "main/ctl/commands.h"

namespace hawthorn::ctl {

int Report(const core::Error& error) {
  std::cerr << "hawthornctl: " << ToString(error.code) << ": " << error.message
            << " (" << ToString(error.execution) << ")\n";
  switch (error.code) {
    case core::ErrorCode::kUnavailable:
      return kExitUnreachable;
    case core::ErrorCode::kConflict:
      return kExitConflict;
    default:
      return kExitRefused;
  }
}

}  // namespace hawthorn::ctl
