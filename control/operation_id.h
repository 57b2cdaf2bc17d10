#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "core/clock.h"

namespace hawthorn::control {

/// Id of an operator's change or order: the wall time of its making and a
/// random part, "1764800000000-5f1c...". The time lets a pruned id be told
/// from a new one. Ordered by time, then by text.
struct OperationId {
  int64_t wall_ms = 0;
  std::string text;

  auto operator<=>(const OperationId&) const = default;
};

/// Reads an operation id; nothing if `text` is none.
std::optional<OperationId> ParseOperationId(std::string_view text);

/// Makes an id from the time and a random part, which the caller draws anew
/// for each operation and keeps for its resends.
std::string MakeOperationId(core::WallTime now, uint64_t random);

}  // namespace hawthorn::control
