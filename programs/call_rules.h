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
  /// Who runs the next attempt.
  struct NextAttempt {
    std::string owner;
    uint64_t intent = 0;
  };

  static std::string FindFault(const Program& program,
                               const schema::BeginCall& begin);
  schema::LedgerReply BeginAgain(Program* program,
                                 const schema::BeginCall& begin);
  schema::LedgerReply BeginNew(Program* program,
                               const schema::BeginCall& begin);
  schema::LedgerReply Poisonous(uint64_t fingerprint) const;
  schema::LedgerReply Dispatch(Program* program) const;
  schema::LedgerReply Reopen(Program* program, const NextAttempt& next);
  schema::LedgerReply RefuseRetry(Program* program) const;
  schema::LedgerReply GiveUp(Program* program, schema::LedgerReply reply);
  void LoseOwner(Program* program);

  LedgerState& state_;
  LifecycleRules& lifecycle_;
};

}  // namespace hawthorn::programs::detail
