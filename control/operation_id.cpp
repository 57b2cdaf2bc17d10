#include "control/operation_id.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_format.h>

#include "settings/rule_check.h"

namespace hawthorn::control {

std::optional<OperationId> ParseOperationId(std::string_view text) {
  const size_t dash = text.find('-');
  if (!settings::IsId(text) || dash == std::string_view::npos || dash == 0 ||
      dash + 1 == text.size()) {
    return std::nullopt;
  }
  const std::string time(text.substr(0, dash));
  OperationId id;
  id.text = std::string(text);
  if (time.find_first_not_of("0123456789") != std::string::npos ||
      !absl::SimpleAtoi(time, &id.wall_ms)) {
    return std::nullopt;
  }
  return id;
}

std::string MakeOperationId(core::WallTime now, uint64_t random) {
  return absl::StrFormat("%d-%016x", now.time_since_epoch().count(), random);
}

}  // namespace hawthorn::control
