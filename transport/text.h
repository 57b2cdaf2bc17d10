#pragma once

#include <algorithm>
#include <cctype>
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

/// Whether `text` is a token, as the name of a header field is (RFC 9110,
/// section 5.6.2).
inline bool IsToken(std::string_view text) {
  constexpr std::string_view kExtra = "!#$%&'*+-.^_`|~";
  return !text.empty() && std::all_of(text.begin(), text.end(), [&](char it) {
    return std::isalnum(static_cast<unsigned char>(it)) != 0 ||
           kExtra.find(it) != std::string_view::npos;
  });
}

/// Whether `text` has a byte that no field value may hold (RFC 9110, section
/// 5.5).
inline bool HasControlByte(std::string_view text) {
  return std::any_of(text.begin(), text.end(), [](char it) {
    const auto byte = static_cast<unsigned char>(it);
    return (byte < 0x20 && it != '\t') || byte == 0x7f;
  });
}

}  // namespace hawthorn::transport
