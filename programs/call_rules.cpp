#include "programs/call_rules.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <memory>
#include <utility>

#include "programs/call_closing.h"

namespace hawthorn::programs::detail {
namespace {

using RequestStatus = PoisonRegister::RequestStatus;

schema::LedgerReply Recorded(const Program& program, uint32_t number) {
  schema::LedgerReply reply = MakeReply(schema::VERDICT_RECORDED);
  *reply.mutable_recorded() = program.OutcomeOf(number);
  reply.set_attempt(reply.recorded().attempt());
  return reply;
}

schema::LedgerReply Stale(const Program& program, uint32_t number) {
  schema::LedgerReply reply =
      MakeReply(schema::VERDICT_STALE, "the attempt is not the current one");
  if (program.FindRecord(number) != nullptr) {
    *reply.mutable_recorded() = program.OutcomeOf(number);
  }
  return reply;
}

bool IsPending(const Program& program, uint32_t number) {
  return program.pending && number == program.next_number();
}

std::unique_ptr<PendingCall> MakePending(const schema::BeginCall& begin) {
  auto call = std::make_unique<PendingCall>();
  call->messages = begin.messages();
  call->service = begin.service();
  call->owner = begin.owner();
  call->digest = DigestOf(begin);
  call->fingerprint = begin.fingerprint();
  call->intent = begin.intent();
  call->reserve_tokens = begin.reserve_tokens();
  call->reserve_cost = begin.reserve_cost();
  call->kind = begin.kind();
  call->limited_tokens = begin.limited_tokens();
  call->limited_cost = begin.limited_cost();
  return call;
}

}  // namespace

schema::LedgerReply CallRules::Begin(const schema::BeginCall& begin) {
  Program* const program =
      state_.programs.Find(begin.organisation(), begin.program());
  if (program == nullptr) {
    return NotFound();
  }
  if (begin.number() < program->next_number() ||
      IsPending(*program, begin.number())) {
    return BeginResent(program, begin);
  }
  return BeginNew(program, begin);
}

schema::LedgerReply CallRules::Retry(const schema::RetryCall& retry) {
  Program* const program =
      state_.programs.Find(retry.organisation(), retry.program());
  if (program == nullptr) {
    return NotFound();
  }
  if (!IsPending(*program, retry.number())) {
    return Stale(*program, retry.number());
  }
  PendingCall& call = *program->pending;
  const bool resent = retry.intent() != 0 && retry.intent() == call.intent &&
                      retry.owner() == call.owner &&
                      retry.failed_attempt() + 1 == call.attempt;
  if (resent) {
    return DispatchAttempt(program);
  }
  if (retry.failed_attempt() != call.attempt) {
    return Stale(*program, retry.number());
  }
  if (retry.owner().empty() || retry.used_tokens() < 0 ||
      retry.used_cost() < 0) {
    return MakeReply(schema::VERDICT_INVALID,
                     "a retry needs an owner and amounts of at least 0");
  }
  CallAmounts charged{retry.used_tokens(), retry.used_cost()};
  const bool not_run = retry.failed_outcome() == schema::OUTCOME_NOT_RUN;
  if (call.owner.empty() && !not_run) {
    charged.tokens = std::max(charged.tokens, call.reserve_tokens);
    charged.cost = std::max(charged.cost, call.reserve_cost);
  }
  call.may_have_run = call.may_have_run || !not_run;
  ChargeAttempt(&state_, program, charged);
  return StartNextAttempt(program, {retry.owner(), retry.intent()});
}

schema::LedgerReply CallRules::Finish(const schema::FinishCall& finish) {
  Program* const program =
      state_.programs.Find(finish.organisation(), finish.program());
  if (program == nullptr) {
    return NotFound();
  }
  const CallRecord* const record = program->FindRecord(finish.number());
  if (record != nullptr) {
    const bool same = record->attempt == finish.attempt() &&
                      record->outcome == finish.outcome() &&
                      record->answer == finish.answer();
    return same ? Recorded(*program, finish.number())
                : Stale(*program, finish.number());
  }
  if (!IsPending(*program, finish.number()) ||
      finish.attempt() != program->pending->attempt) {
    return Stale(*program, finish.number());
  }
  if (finish.outcome() == schema::OUTCOME_UNSPECIFIED ||
      finish.used_tokens() < 0 || finish.used_cost() < 0) {
    return MakeReply(schema::VERDICT_INVALID,
                     "an outcome and amounts of at least 0 are needed");
  }
  CallAmounts charged{finish.used_tokens(), finish.used_cost()};
  if (finish.outcome() == schema::OUTCOME_UNKNOWN) {
    const PendingCall& call = *program->pending;
    charged.tokens = std::max(charged.tokens, call.reserve_tokens);
    charged.cost = std::max(charged.cost, call.reserve_cost);
  }
  schema::LedgerReply reply = MakeReply(schema::VERDICT_ACCEPTED);
  *reply.mutable_recorded() = CloseCall(&state_, program, finish, charged);
  reply.set_attempt(finish.attempt());
  reply.set_attained_tokens(RootOf(state_, program)->attained_tokens);
  lifecycle_.MarkActive(program);
  return reply;
}

schema::LedgerReply CallRules::OwnerLost(const schema::OwnerLost& lost) {
  if (lost.owner().empty()) {
    return MakeReply(schema::VERDICT_INVALID, "an owner is needed");
  }
  for (const uint64_t serial : state_.programs.OwnedBy(lost.owner())) {
    HandleLostOwner(state_.programs.BySerial(serial));
  }
  return MakeReply(schema::VERDICT_ACCEPTED);
}

std::string CallRules::Validate(const Program& program,
                                const schema::BeginCall& begin) {
  if (begin.kind() == schema::CALL_KIND_UNSPECIFIED) {
    return "a call needs a kind";
  }
  if (begin.number() == 0 || begin.owner().empty() || begin.intent() == 0) {
    return "a call needs a number from 1 on, an owner and an intent";
  }
  if (begin.reserve_tokens() < 0 || begin.reserve_cost() < 0) {
    return "a reservation is negative";
  }
  const bool needs_tokens = begin.kind() == schema::CALL_KIND_MODEL &&
                            program.budget.limit().tokens != 0;
  if (needs_tokens && begin.reserve_tokens() == 0) {
    return "a model call of a program with a budget reserves tokens";
  }
  return "";
}

schema::LedgerReply CallRules::BeginResent(Program* program,
                                           const schema::BeginCall& begin) {
  const CallRecord* const record = program->FindRecord(begin.number());
  const CallDigest digest = DigestOf(begin);
  const CallDigest& known =
      record != nullptr ? record->digest : program->pending->digest;
  if (begin.number() == 0 || digest != known) {
    return MakeReply(schema::VERDICT_CONFLICT,
                     "the call number was used with other content");
  }
  if (record != nullptr) {
    return Recorded(*program, begin.number());
  }
  PendingCall& call = *program->pending;
  if (call.owner == begin.owner() && call.intent == begin.intent()) {
    return DispatchAttempt(program);
  }
  if (!call.owner.empty()) {
    schema::LedgerReply reply = MakeReply(schema::VERDICT_JOIN);
    reply.set_attempt(call.attempt);
    return reply;
  }
  const std::string problem = Validate(*program, begin);
  if (!problem.empty()) {
    return MakeReply(schema::VERDICT_INVALID, problem);
  }
  call.may_have_run = true;
  ChargeAttempt(&state_, program, {call.reserve_tokens, call.reserve_cost});
  return StartNextAttempt(program, {begin.owner(), begin.intent()});
}

schema::LedgerReply CallRules::BeginNew(Program* program,
                                        const schema::BeginCall& begin) {
  if (program->ended) {
    return MakeReply(schema::VERDICT_ENDED, program->reason);
  }
  const std::string problem = Validate(*program, begin);
  if (!problem.empty()) {
    return MakeReply(schema::VERDICT_INVALID, problem);
  }
  if (program->pending || begin.number() != program->next_number()) {
    return MakeReply(
        schema::VERDICT_OUT_OF_ORDER,
        absl::StrCat("the next call has the number ", program->next_number(),
                     program->pending ? " and is under way" : ""));
  }
  if (program->pause) {
    return MakeReply(schema::VERDICT_PAUSED,
                     absl::StrCat("waiting for tool ", program->pause->tool));
  }
  if (state_.poison.StatusOf(begin.fingerprint()) ==
      RequestStatus::kCondemned) {
    return RefusePoisonous(begin.fingerprint());
  }
  std::unique_ptr<PendingCall> call = MakePending(begin);
  const BudgetAmounts wanted = ReservedBy(*call);
  const std::string spent = program->budget.Exhausted(wanted);
  if (!spent.empty()) {
    lifecycle_.EndTree(program, spent);
    return MakeReply(schema::VERDICT_BUDGET, spent);
  }
  const std::string refusal = program->budget.Reserve(wanted);
  if (!refusal.empty()) {
    return MakeReply(schema::VERDICT_BUDGET, refusal);
  }
  const std::string limit =
      state_.slices.Reserve(program->organisation,
                            {begin.reserve_tokens(), begin.reserve_cost(),
                             begin.limited_tokens(), begin.limited_cost()},
                            state_.now_ms);
  if (!limit.empty()) {
    program->budget.Settle(wanted, {});
    schema::LedgerReply reply =
        MakeReply(schema::VERDICT_ORGANISATION_LIMIT, limit);
    reply.set_retry_after_ms(UntilNextDayMs(state_.now_ms));
    return reply;
  }
  state_.programs.Open(program, std::move(call));
  lifecycle_.MarkActive(program);
  return DispatchAttempt(program);
}

schema::LedgerReply CallRules::RefusePoisonous(uint64_t fingerprint) const {
  schema::LedgerReply reply =
      MakeReply(schema::VERDICT_POISONOUS,
                "requests like this one have crashed their upstreams");
  reply.set_retry_after_ms(state_.poison.CondemnedUntilMs(fingerprint) -
                           state_.now_ms);
  return reply;
}

schema::LedgerReply CallRules::DispatchAttempt(Program* program) const {
  const PendingCall& call = *program->pending;
  schema::LedgerReply reply = MakeReply(schema::VERDICT_ACCEPTED);
  reply.set_attempt(call.attempt);
  reply.set_history_tokens(program->history_tokens);
  reply.set_service_class(program->service_class);
  reply.set_attained_tokens(RootOf(state_, program)->attained_tokens);
  reply.set_isolate(state_.poison.StatusOf(call.fingerprint) !=
                    RequestStatus::kClear);
  return reply;
}

schema::LedgerReply CallRules::StartNextAttempt(Program* program,
                                                const NextAttempt& next) {
  const schema::LedgerReply refusal = CheckRetry(program);
  if (refusal.verdict() != schema::VERDICT_ACCEPTED) {
    return GiveUp(program, refusal);
  }
  PendingCall& call = *program->pending;
  ++call.attempt;
  call.intent = next.intent;
  state_.programs.SetOwner(program, next.owner);
  lifecycle_.MarkActive(program);
  return DispatchAttempt(program);
}

schema::LedgerReply CallRules::CheckRetry(Program* program) const {
  const PendingCall& call = *program->pending;
  if (call.kind == schema::CALL_KIND_NON_IDEMPOTENT) {
    return MakeReply(schema::VERDICT_RETRIES_EXHAUSTED,
                     "a non-idempotent call is dispatched at most once");
  }
  if (program->ended) {
    return MakeReply(schema::VERDICT_ENDED, program->reason);
  }
  if (call.attempt >= state_.options.max_attempts) {
    return MakeReply(schema::VERDICT_RETRIES_EXHAUSTED,
                     absl::StrCat("all ", call.attempt, " attempts failed"));
  }
  if (state_.poison.StatusOf(call.fingerprint) == RequestStatus::kCondemned) {
    return RefusePoisonous(call.fingerprint);
  }
  const std::string budget = program->budget.Overdrawn();
  if (!budget.empty()) {
    return MakeReply(schema::VERDICT_BUDGET, budget);
  }
  const std::string limit =
      state_.slices.Overdrawn(program->organisation, call.limited_tokens,
                              call.limited_cost, state_.now_ms);
  if (!limit.empty()) {
    return MakeReply(schema::VERDICT_ORGANISATION_LIMIT, limit);
  }
  return MakeReply(schema::VERDICT_ACCEPTED);
}

schema::LedgerReply CallRules::GiveUp(Program* program,
                                      schema::LedgerReply reply) {
  schema::FinishCall finish;
  finish.set_outcome(schema::OUTCOME_NOT_RUN);
  finish.set_error_code(
      reply.verdict() == schema::VERDICT_POISONOUS ? "poisonous" : "given_up");
  finish.set_error_message(reply.message());
  // The failed attempts are charged already.
  *reply.mutable_recorded() = CloseCall(&state_, program, finish, {});
  reply.set_attempt(reply.recorded().attempt());
  lifecycle_.MarkActive(program);
  return reply;
}

void CallRules::HandleLostOwner(Program* program) {
  PendingCall& call = *program->pending;
  const bool final = call.kind == schema::CALL_KIND_NON_IDEMPOTENT ||
                     program->ended ||
                     call.attempt >= state_.options.max_attempts;
  if (final) {
    CloseAfterOwnerLoss(&state_, program);
  } else {
    call.may_have_run = true;
    state_.programs.SetOwner(program, "");
  }
  lifecycle_.MarkActive(program);
}

}  // namespace hawthorn::programs::detail
