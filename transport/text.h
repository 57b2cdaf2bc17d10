#pragma once

#include <string_view>

namespace hawthorn::transport {

/// Returns `text` without leading and trailing spaces and tabs, as RFC 9110
/// specifies for field values.
constexpr std::string_view Trim(std::string_view text) {
  constexpr std::string_view kBlank = " \t";
  const size_t first = text.find_first_not_of(kBlank);
  if (first == std::string_view::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(kBlank) - first + 1);
}

}  // namespace hawthorn::transport
