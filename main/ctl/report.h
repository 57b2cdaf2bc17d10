#pragma once

#include "core/error.h"

namespace hawthorn::ctl {

/// Prints `error` to standard error and returns its exit code.
int Report(const core::Error& error);

}  // namespace hawthorn::ctl
