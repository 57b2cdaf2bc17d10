#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "core/error.h"

namespace hawthorn::programs {

/// Parts of a program id. The text form is "ZONE.TIME.RANDOM": the home zone,
/// the creation time in milliseconds since the Unix epoch, and random
/// characters that make the id unguessable.
struct ProgramId {
  std::string zone;
  int64_t created_ms = 0;
  std::string random;

  auto operator<=>(const ProgramId&) const = default;
};

/// Longest text form, in bytes.
inline constexpr size_t kMaxProgramIdBytes = 120;
/// Fewest random characters.
inline constexpr size_t kMinProgramIdRandom = 8;

/// Text form of `id`.
std::string ToString(const ProgramId& id);

/// Reads a text form. Zone and random part consist of letters, digits and
/// "-"; the time is decimal without leading zeros. Error: kInvalidArgument.
core::Result<ProgramId> ParseProgramId(std::string_view text);

}  // namespace hawthorn::programs
