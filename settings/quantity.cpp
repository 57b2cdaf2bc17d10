#include "settings/quantity.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <array>
#include <limits>
#include <span>

namespace hawthorn::settings {
namespace {

struct Suffix {
  const char* text;
  int64_t factor;
};

// Largest first, so that FormatQuantity finds the shortest form.
constexpr std::array<Suffix, 4> kDurationSuffixes = {
    {{"h", 3'600'000}, {"m", 60'000}, {"s", 1'000}, {"ms", 1}}};
constexpr std::array<Suffix, 4> kSizeSuffixes = {
    {{"GiB", int64_t{1} << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}, {"B", 1}}};
constexpr std::array<Suffix, 1> kNoSuffix = {{{"", 1}}};

std::span<const Suffix> SuffixesOf(schema::Unit unit) {
  switch (unit) {
    case schema::UNIT_MILLISECONDS:
      return kDurationSuffixes;
    case schema::UNIT_BYTES:
      return kSizeSuffixes;
    default:
      return kNoSuffix;
  }
}

}  // namespace

std::variant<int64_t, QuantityError> ParseQuantity(std::string_view text,
                                                   schema::Unit unit) {
  const size_t sign = text.starts_with('-') ? 1 : 0;
  size_t end = text.find_first_not_of("0123456789", sign);
  if (end == std::string_view::npos) {
    end = text.size();
  }
  if (end == sign) {
    return QuantityError::kMalformed;
  }
  const std::string_view suffix = text.substr(end);
  if (suffix.empty() && unit != schema::UNIT_NONE) {
    return QuantityError::kMissingUnit;
  }
  int64_t number = 0;
  if (!absl::SimpleAtoi(std::string(text.substr(0, end)), &number)) {
    return QuantityError::kOutOfRange;
  }
  for (const Suffix& it : SuffixesOf(unit)) {
    if (suffix != it.text) {
      continue;
    }
    const int64_t bound = std::numeric_limits<int64_t>::max() / it.factor;
    if (number > bound || number < -bound) {
      return QuantityError::kOutOfRange;
    }
    return number * it.factor;
  }
  return unit == schema::UNIT_NONE ? QuantityError::kMalformed
                                   : QuantityError::kUnknownUnit;
}

std::string FormatQuantity(int64_t value, schema::Unit unit) {
  const std::span<const Suffix> suffixes = SuffixesOf(unit);
  for (const Suffix& it : suffixes) {
    if (value != 0 && value % it.factor == 0) {
      return absl::StrCat(value / it.factor, it.text);
    }
  }
  return absl::StrCat(value, suffixes.back().text);
}

std::string QuantityExample(schema::Unit unit) {
  switch (unit) {
    case schema::UNIT_MILLISECONDS:
      return "a duration such as 250ms, 30s, 5m or 2h";
    case schema::UNIT_BYTES:
      return "a size such as 512B, 64KiB, 8MiB or 1GiB";
    default:
      return "a whole number";
  }
}

}  // namespace hawthorn::settings
