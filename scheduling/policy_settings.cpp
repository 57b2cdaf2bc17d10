#include "scheduling/policy_settings.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <array>
#include <utility>

namespace hawthorn::scheduling {
namespace {

constexpr std::array<std::pair<const char*, PolicyKind>, 5> kNames = {{
    {"fcfs", PolicyKind::kFcfs},
    {"las", PolicyKind::kLas},
    {"fair", PolicyKind::kFair},
    {"prefix", PolicyKind::kPrefix},
    {"combined", PolicyKind::kCombined},
}};

core::Error InvalidPolicy(const std::string& text) {
  core::Error error;
  error.code = core::ErrorCode::kInvalidArgument;
  error.message =
      absl::StrCat("unknown policy \"", text,
                   "\"; allowed: ", absl::StrJoin(PolicyNames(), ", "),
                   ", each with an optional latency weight from 0 to 1 as in "
                   "\"combined:0.8\"");
  return error;
}

}  // namespace

std::vector<std::string> PolicyNames() {
  std::vector<std::string> names;
  names.reserve(kNames.size());
  for (const auto& [name, kind] : kNames) {
    names.emplace_back(name);
  }
  return names;
}

std::string ToString(PolicyKind kind) {
  for (const auto& [name, it] : kNames) {
    if (it == kind) {
      return name;
    }
  }
  return "unknown";
}

core::Result<PolicySettings> ParsePolicy(const std::string& text) {
  const size_t colon = text.find(':');
  const std::string head = text.substr(0, colon);
  PolicySettings settings;
  if (colon != std::string::npos) {
    const bool is_number =
        absl::SimpleAtod(text.substr(colon + 1), &settings.latency_weight);
    const double weight = settings.latency_weight;
    if (!is_number || !(weight >= 0 && weight <= 1)) {
      return InvalidPolicy(text);
    }
  }
  for (const auto& [name, kind] : kNames) {
    if (name == head) {
      settings.kind = kind;
      return settings;
    }
  }
  return InvalidPolicy(text);
}

}  // namespace hawthorn::scheduling
