#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/clock.h"

// Credit for the requests of organisations whose rate is limited: what an
// instance and the leader tell each other.
namespace hawthorn::scheduling {

/// Requests that an organisation may send over all instances together.
struct QuotaLimit {
  /// Requests a second; 0 is no limit.
  double rate = 0;
  /// Requests beyond the rate that may be sent at once.
  double burst = 0;

  bool IsLimited() const { return rate > 0; }
  auto operator<=>(const QuotaLimit&) const = default;
};

/// Limits by organisation; those without a limit are left out.
using QuotaLimits = std::map<std::string, QuotaLimit>;

/// What an instance reports of one organisation and asks for.
struct QuotaDemand {
  std::string organisation;
  /// Lent credit that was used.
  uint32_t used = 0;
  /// Lent credit that is returned unused.
  uint32_t returned = 0;
  /// Counted requests that were not sent to any upstream after all.
  uint32_t refunded = 0;
  /// Time since the earliest of these was counted.
  std::chrono::milliseconds refund_age{0};
  /// Requests that wait for credit.
  uint32_t wanted = 0;

  bool operator==(const QuotaDemand&) const = default;
};

struct QuotaReport {
  /// Term that the reported credit belongs to; 0 if there is none.
  uint64_t term = 0;
  uint64_t configuration_version = 0;
  /// Rises with each new report. A report that is sent again keeps it.
  uint64_t sequence = 0;
  /// Start of the process of the instance, which begins its own sequence.
  uint64_t incarnation = 0;
  std::vector<QuotaDemand> demands;

  bool operator==(const QuotaReport&) const = default;
};

struct QuotaCredit {
  std::string organisation;
  /// Credit for the waiting requests first; what is beyond them is lent.
  uint32_t granted = 0;
  /// Time until there will be credit; 0 if all that was wanted is granted.
  std::chrono::milliseconds retry_after{0};

  bool operator==(const QuotaCredit&) const = default;
};

struct QuotaAnswer {
  uint64_t term = 0;
  uint64_t configuration_version = 0;
  /// The leader was elected recently. Missing credit does not mean that the
  /// organisation is over its limit.
  bool settling = false;
  std::vector<QuotaCredit> credits;

  bool operator==(const QuotaAnswer&) const = default;
};

/// Time without an acknowledged report after which lent credit expires at an
/// instance, counted from the sending of the last such report.
inline constexpr std::chrono::seconds kQuotaLifetime{3};
/// Time without a report after which the leader writes off what it lent to an
/// instance. Longer than kQuotaLifetime, so that the instance has stopped using
/// it.
inline constexpr std::chrono::seconds kQuotaWriteOff{4};

}  // namespace hawthorn::scheduling
