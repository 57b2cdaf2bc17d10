#pragma once

#include <cstdint>
#include <string_view>

namespace hawthorn::programs {

/// Fingerprint of a request that stays the same under cosmetic changes by the
/// caller; never 0. Two requests with equal fingerprints count as the same one
/// when upstreams crash.
///
/// Ignored in JSON: the order of an object's members, white space between
/// tokens, and members whose names are identifiers or times by custom (for
/// example "id", "request_id", "trace-id", "timestamp").
/// Ignored in all text: the amount of white space, and words that look like
/// generated identifiers: 10 and more digits, or 16 to 64 letters, digits and
/// "-_:.+" with at least 4 digits. A date such as 2026-12-03 is content.
uint64_t RequestFingerprint(std::string_view messages,
                            std::string_view service);

}  // namespace hawthorn::programs
