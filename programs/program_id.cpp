#include "programs/program_id.h"

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <vector>

namespace hawthorn::programs {
namespace {

bool IsWord(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
    return absl::ascii_isalnum(static_cast<unsigned char>(c)) || c == '-';
  });
}

core::Error InvalidId(const char* why) {
  return {core::ErrorCode::kInvalidArgument,
          absl::StrCat("program id: ", why, "; the form is ZONE.TIME.RANDOM"),
          core::Execution::kNotRun, std::nullopt};
}

}  // namespace

std::string ToString(const ProgramId& id) {
  return absl::StrCat(id.zone, ".", id.created_ms, ".", id.random);
}

core::Result<ProgramId> ParseProgramId(std::string_view text) {
  if (text.size() > kMaxProgramIdBytes) {
    return InvalidId("too long");
  }
  const std::vector<std::string> parts =
      absl::StrSplit(absl::string_view(text.data(), text.size()), '.');
  if (parts.size() != 3 || !IsWord(parts[0]) || !IsWord(parts[2])) {
    return InvalidId("wrong parts");
  }
  ProgramId id{parts[0], 0, parts[2]};
  if (!absl::SimpleAtoi(parts[1], &id.created_ms) || id.created_ms < 0 ||
      absl::StrCat(id.created_ms) != parts[1]) {
    return InvalidId("wrong time");
  }
  if (id.random.size() < kMinProgramIdRandom) {
    return InvalidId("too few random characters");
  }
  return id;
}

}  // namespace hawthorn::programs
