#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace hawthorn::programs {

/// Options of a ledger. All replicas of a zone must use equal options.
/// Times are in milliseconds.
struct LedgerOptions {
  /// Home zone of the ledger; program ids of other zones are refused. If empty,
  /// every zone is accepted.
  std::string zone;
  /// Maximum attempts of a model or idempotent call, including the first.
  uint32_t max_attempts = 4;
  /// How long the whole history of an ended program is kept.
  int64_t history_retention_ms = 600'000;
  /// How long the outcomes of an ended program are kept.
  int64_t retention_ms = 86'400'000;
  /// Idle expiry of a program that is created without one.
  int64_t default_idle_expiry_ms = 3'600'000;
  /// Time after which a crash no longer counts against a request.
  int64_t poison_expiry_ms = 3'600'000;
  /// Maximum by which the time in a program id may be ahead of the ledger's.
  int64_t max_clock_skew_ms = 300'000;
  /// Maximum nesting depth of sub-agents.
  uint32_t max_depth = 16;

  auto operator<=>(const LedgerOptions&) const = default;
};

}  // namespace hawthorn::programs
