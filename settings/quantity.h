#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "options.pb.h"

// Conversion of numbers with a unit to and from their text in YAML files.
namespace hawthorn::settings {

/// Why a text is not a valid number with the expected unit.
enum class QuantityError {
  kMalformed,
  kMissingUnit,
  kUnknownUnit,
  /// The number in the base unit does not fit into 64 bits.
  kOutOfRange,
};

/// Parses a whole number with a suffix of `unit`. Returns milliseconds for a
/// duration, bytes for a size, and the number itself for UNIT_NONE.
std::variant<int64_t, QuantityError> ParseQuantity(std::string_view text,
                                                   schema::Unit unit);

/// Formats `value` with the largest suffix that gives a whole number.
std::string FormatQuantity(int64_t value, schema::Unit unit);

/// Description of the texts that `unit` allows, for example "a duration such as
/// 250ms, 30s, 5m or 2h".
std::string QuantityExample(schema::Unit unit);

}  // namespace hawthorn::settings
