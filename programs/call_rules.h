#pragma once

#include <string>

#include "ledger.pb.h"
#include "programs/ledger_state.h"
#include "programs/lifecycle_rules.h"

namespace hawthorn::programs::detail {

/// Rules for calls: their order, attempts and outcomes.
class CallRules {
 public:
  CallRules(LedgerState* state, LifecycleRules* lifecycle)
      : state_(*state), lifecycle_(*lifecycle) {}

  schema::LedgerReply Begin(const schema::BeginCall& begin);
  schema::LedgerReply Retry(const schema::RetryCall& retry);
  schema::LedgerReply Finish(const schema::FinishCall& finish);
  schema::LedgerReply OwnerLost(const schema::OwnerLost& lost);

 private:
  /// Owner and intent of the next attempt.
  struct NextAttempt {
    std::string owner;
    uint64_t intent = 0;
  };

  /// Returns the reason why `begin` is invalid, or an empty string.
  static std::string Validate(const Program& program,
                              const schema::BeginCall& begin);
  /// Handles a Begin for a call that is open or has an outcome.
  schema::LedgerReply BeginResent(Program* program,
                                  const schema::BeginCall& begin);
  schema::LedgerReply BeginNew(Program* program,
                               const schema::BeginCall& begin);
  schema::LedgerReply RefusePoisonous(uint64_t fingerprint) const;
  /// Accepts the current attempt and tells the owner how to dispatch it.
  schema::LedgerReply DispatchAttempt(Program* program) const;
  /// Starts the next attempt, or closes the call if no retry is allowed.
  schema::LedgerReply StartNextAttempt(Program* program,
                                       const NextAttempt& next);
  /// Returns the refusal of another attempt, or an accepted verdict.
  schema::LedgerReply CheckRetry(Program* program) const;
  /// Closes the call as not run and adds its outcome to the refusal `reply`.
  schema::LedgerReply GiveUp(Program* program, schema::LedgerReply reply);
  void HandleLostOwner(Program* program);

  LedgerState& state_;
  LifecycleRules& lifecycle_;
};

}  // namespace hawthorn::programs::detail
