#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "options.pb.h"

// Numbers with a unit, as YAML files write them.
namespace hawthorn::settings {

/// Why a text is no number of the wanted unit.
enum class QuantityError {
  kMalformed,
  kMissingUnit,
  kUnknownUnit,
  /// The number does not fit into 64 bits or is no whole number of the base
  /// unit.
  kOutOfRange,
};

/// Reads a whole number with the suffix that `unit` asks for. Returns
/// milliseconds for a duration, bytes for a size and the number itself where
/// the field has no unit.
std::variant<int64_t, QuantityError> ParseQuantity(std::string_view text,
                                                   schema::Unit unit);

/// Writes `value` with the largest suffix that leaves a whole number.
std::string FormatQuantity(int64_t value, schema::Unit unit);

/// What `unit` allows, for example "a duration such as 250ms, 30s, 5m or 2h".
std::string QuantityExample(schema::Unit unit);

}  // namespace hawthorn::settings
