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

/// Maximum length of the text form, in bytes.
inline constexpr size_t kMaxProgramIdBytes = 120;
/// Minimum number of random characters.
inline constexpr size_t kMinProgramIdRandom = 8;

/// Text form of `id`.
std::string ToString(const ProgramId& id);

/// Parses the text form. The zone and the random part consist of letters,
/// digits and "-"; the time is decimal without leading zeros. Error:
/// kInvalidArgument.
core::Result<ProgramId> ParseProgramId(std::string_view text);

}  // namespace hawthorn::programs
