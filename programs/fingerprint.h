#pragma once

#include <cstdint>
#include <string_view>

namespace hawthorn::programs {

/// Fingerprint of a request that does not depend on cosmetic differences; never
/// 0. Requests with equal fingerprints count as the same request when upstreams
/// crash.
///
/// Ignored in JSON: the order of an object's members, white space between
/// tokens, and members that by convention hold an identifier or a time (for
/// example "id", "request_id", "trace-id", "timestamp").
/// Ignored in all text: the amount of white space, and words that look like
/// generated identifiers: 10 and more digits, or 16 to 64 letters, digits and
/// "-_:.+" with at least 4 digits. A date such as 2026-12-03 is kept.
uint64_t RequestFingerprint(std::string_view messages,
                            std::string_view service);

}  // namespace hawthorn::programs
