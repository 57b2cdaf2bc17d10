#pragma once

#include "core/error.h"

namespace hawthorn::ctl {

/// Prints `error` to the standard error and returns the exit code for it.
int Report(const core::Error& error);

}  // namespace hawthorn::ctl
