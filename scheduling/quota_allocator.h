#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

#include "core/clock.h"
#include "core/error.h"
#include "scheduling/quota.h"

namespace hawthorn::scheduling {

/// Token buckets of the organisations at the leader. Credit for a request that
/// waits is consumed when it is granted. Credit that is lent in advance counts
/// as outstanding until the instance reports it as used. Level and outstanding
/// credit together never exceed the capacity, so that any span sees at most
/// the capacity and what the rate brings in it. Reads no clock.
class QuotaAllocator {
 public:
  /// Requests beyond the limit that may pass in a window of 5 s: a tenth of the
  /// limit's requests and 20.
  static double AllowedExcess(const QuotaLimit& limit);
  /// The burst and kCapacityPart of the allowed excess.
  static double Capacity(const QuotaLimit& limit);
  /// Outstanding credit up to which more is lent.
  static double LendingBound(const QuotaLimit& limit);
  /// Credit that a new leader lets accumulate while instances may still use
  /// that of the previous one.
  static double Reserve(const QuotaLimit& limit);

  /// Parts of the allowed excess. The capacity and the reserve may be used in
  /// one window, so that their sum is below 1. Lent credit keeps the level down
  /// twice: while it is held, and while its use is not reported. Twice the lent
  /// part is therefore less than the capacity's part, so that lending never
  /// leaves an organisation within its limit without credit.
  static constexpr double kCapacityPart = 0.7;
  static constexpr double kLentPart = 0.3;
  static constexpr double kReservePart = 0.2;
  /// Credit of the previous leader expires within kQuotaLifetime.
  static constexpr std::chrono::seconds kSettling = kQuotaWriteOff;
  /// Longest wait that is told beyond the time until there is credit, so that
  /// instances of an organisation over its limit do not all ask at once.
  static constexpr std::chrono::milliseconds kMaxSpread{250};
  /// Demand within this time is lent in advance.
  static constexpr std::chrono::seconds kLendingHorizon{1};

  /// Starts with empty buckets as the leader of `term`.
  void BeginTerm(uint64_t term, core::TimePoint now);
  /// Applies the limits of a configuration. Buckets of organisations that were
  /// not limited before begin full, except in the first call of a term.
  void SetLimits(uint64_t version, const QuotaLimits& limits,
                 core::TimePoint now);
  /// Answers a report of an instance. Fails with kOutOfOrder if a later report
  /// was answered already, and with kUnavailable if the instance knows a
  /// configuration that is not known here yet.
  core::Result<QuotaAnswer> Answer(const std::string& instance,
                                   const QuotaReport& report,
                                   core::TimePoint now);

  uint64_t term() const { return term_; }
  uint64_t configuration_version() const { return version_; }
  bool IsSettling(core::TimePoint now) const {
    return now < term_began_ + kSettling;
  }
  /// Credit that is lent to all instances.
  uint64_t outstanding() const;
  size_t organisation_count() const { return buckets_.size(); }

 private:
  struct Bucket {
    QuotaLimit limit;
    double level = 0;
    uint64_t outstanding = 0;
    core::TimePoint filled_at;
    /// Last time at which credit was lost, as the bucket was full.
    core::TimePoint last_full;
    /// Time that was told to the instance that was refused last.
    core::TimePoint next_slot;
  };

  /// What one instance has of one organisation.
  struct Holding {
    uint64_t outstanding = 0;
    /// Requests counted within about kLendingHorizon.
    double recent = 0;
    core::TimePoint seen_at;
  };

  struct Instance {
    uint64_t incarnation = 0;
    uint64_t sequence = 0;
    core::TimePoint heard_at;
    QuotaAnswer last_answer;
    std::map<std::string, Holding> holdings;
  };

  double CapacityNow(const Bucket& bucket, core::TimePoint now) const;
  /// Adds the credit since the last call and limits the level.
  void Fill(Bucket* bucket, core::TimePoint now) const;
  /// Counts all that was lent to the instance as used.
  void WriteOff(Instance* instance);
  void WriteOffSilent(core::TimePoint now);
  /// Applies what the instance reports.
  void Settle(const QuotaDemand& demand, Bucket* bucket, Holding* holding,
              core::TimePoint now) const;
  QuotaCredit Grant(const QuotaDemand& demand, Bucket* bucket, Holding* holding,
                    core::TimePoint now) const;
  std::chrono::milliseconds WaitFor(Bucket* bucket, core::TimePoint now) const;

  uint64_t term_ = 0;
  uint64_t version_ = 0;
  bool has_limits_ = false;
  core::TimePoint term_began_;
  core::TimePoint next_write_off_;
  std::map<std::string, Bucket> buckets_;
  std::map<std::string, Instance> instances_;
};

}  // namespace hawthorn::scheduling
