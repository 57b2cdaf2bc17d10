#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "core/clock.h"

namespace hawthorn::control {

/// Id of an operator's change or order: its creation time and a random part,
/// "1764800000000-5f1c...". The time tells pruned ids from new ones. Ordered by
/// time, then by text.
struct OperationId {
  int64_t wall_ms = 0;
  std::string text;

  auto operator<=>(const OperationId&) const = default;
};

/// Parses an operation id; std::nullopt if `text` is not one.
std::optional<OperationId> ParseOperationId(std::string_view text);

/// Makes an id from the time and a random number. The caller generates a new
/// number for each operation and keeps it for resends.
std::string MakeOperationId(core::WallTime now, uint64_t random);

}  // namespace hawthorn::control
