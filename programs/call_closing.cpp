#include "programs/call_closing.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace hawthorn::programs::detail {
namespace {

OrganisationSlices::Spending ToSpending(const PendingCall& call,
                                        const CallAmounts& amounts) {
  return {amounts.tokens, amounts.cost, call.limited_tokens, call.limited_cost};
}

void AddAttainedTokens(LedgerState* state, Program* program, int64_t tokens) {
  for (Program* it = program; it != nullptr;
       it = state->programs.BySerial(it->parent_serial)) {
    it->attained_tokens += tokens;
  }
}

CallRecord MakeRecord(PendingCall* call, const schema::FinishCall& finish,
                      const CallAmounts& charged) {
  CallRecord record;
  record.messages = std::move(call->messages);
  record.messages.shrink_to_fit();
  record.answer = finish.answer();
  record.digest = call->digest;
  record.used_tokens = call->spent_tokens + charged.tokens;
  record.used_cost = call->spent_cost + charged.cost;
  record.upstream_status = finish.upstream_status();
  record.attempt = static_cast<uint16_t>(call->attempt);
  record.kind = static_cast<uint8_t>(call->kind);
  record.outcome = static_cast<uint8_t>(finish.outcome());
  if (finish.outcome() == schema::OUTCOME_NOT_RUN && call->may_have_run) {
    record.outcome = schema::OUTCOME_UNKNOWN;
  }
  if (!finish.error_code().empty() || !finish.error_message().empty()) {
    record.error = std::make_unique<CallError>(
        CallError{finish.error_code(), finish.error_message()});
  }
  return record;
}

}  // namespace

BudgetAmounts ReservedBy(const PendingCall& call) {
  const int64_t turns = call.kind == schema::CALL_KIND_MODEL ? 1 : 0;
  return {call.reserve_tokens, turns, 1, call.reserve_cost};
}

schema::FinishCall CloseCall(LedgerState* state, Program* program,
                             const schema::FinishCall& finish,
                             const CallAmounts& charged) {
  PendingCall& call = *program->pending;
  const BudgetAmounts reserved = ReservedBy(call);
  BudgetAmounts used{charged.tokens, reserved.turns, 1, charged.cost};
  CallRecord record = MakeRecord(&call, finish, charged);
  if (record.outcome == schema::OUTCOME_NOT_RUN) {
    used.turns = 0;
  }
  if (record.outcome == schema::OUTCOME_RAN) {
    state->poison.Succeeded(call.fingerprint);
  }
  program->budget.Settle(reserved, used);
  state->slices.Settle(
      program->organisation,
      ToSpending(call, {call.reserve_tokens, call.reserve_cost}),
      ToSpending(call, charged), state->now_ms);
  AddAttainedTokens(state, program, charged.tokens);
  PropagateOverdraft(state, program);
  const uint32_t number = program->next_number();
  state->programs.Close(program, std::move(record));
  return program->OutcomeOf(number);
}

schema::FinishCall CloseAfterOwnerLoss(LedgerState* state, Program* program) {
  schema::FinishCall finish;
  finish.set_outcome(schema::OUTCOME_UNKNOWN);
  finish.set_error_code("owner_lost");
  finish.set_error_message("the instance that ran the call is gone");
  const PendingCall& call = *program->pending;
  return CloseCall(state, program, finish,
                   {call.reserve_tokens, call.reserve_cost});
}

void ChargeAttempt(LedgerState* state, Program* program,
                   const CallAmounts& charged) {
  PendingCall& call = *program->pending;
  call.spent_tokens += charged.tokens;
  call.spent_cost += charged.cost;
  program->budget.Settle({}, {charged.tokens, 0, 0, charged.cost});
  state->slices.Settle(program->organisation, {}, ToSpending(call, charged),
                       state->now_ms);
  AddAttainedTokens(state, program, charged.tokens);
  PropagateOverdraft(state, program);
}

void PropagateOverdraft(LedgerState* state, Program* program) {
  Program* it = program;
  while (it->parent_serial != 0) {
    Program* const parent = state->programs.BySerial(it->parent_serial);
    const BudgetAmounts overdraft = it->budget.TakeOverdraft();
    if (parent == nullptr || overdraft == BudgetAmounts{}) {
      return;
    }
    parent->budget.AddCarved(overdraft);
    it = parent;
  }
}

Program* RootOf(const LedgerState& state, Program* program) {
  Program* root = program;
  while (Program* const parent = state.programs.BySerial(root->parent_serial)) {
    root = parent;
  }
  return root;
}

}  // namespace hawthorn::programs::detail
