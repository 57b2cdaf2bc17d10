#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace hawthorn::programs {

/// Rules of a ledger. All replicas of one zone must run with equal options.
/// Times are in milliseconds.
struct LedgerOptions {
  /// Home zone of the ledger; ids of other zones are refused. Empty accepts
  /// every zone.
  std::string zone;
  /// Attempts of a model or idempotent call, the first one included.
  uint32_t max_attempts = 4;
  /// Time that the whole history of an ended program is kept.
  int64_t history_retention_ms = 600'000;
  /// Time that the outcomes of an ended program are kept.
  int64_t retention_ms = 86'400'000;
  /// Idle expiry of a program that was created without one.
  int64_t default_idle_expiry_ms = 3'600'000;
  /// Time after which a crash no longer counts against a request.
  int64_t poison_expiry_ms = 3'600'000;
  /// Furthest that the time in a program id may lie ahead of the ledger's.
  int64_t max_clock_skew_ms = 300'000;
  /// Deepest nesting of sub-agents.
  uint32_t max_depth = 16;

  auto operator<=>(const LedgerOptions&) const = default;
};

}  // namespace hawthorn::programs
