#include "main/calls/call_controller.h"

#include <algorithm>

#include "main/groups/ledger_messages.h"
#include "main/http/json.h"

namespace hawthorn::main {

namespace {

constexpr std::chrono::milliseconds kJoinPollInterval{100};
constexpr std::chrono::milliseconds kCommitRetryInterval{100};

}  // namespace

std::string HomeZoneOf(const core::ProgramId& program) {
  return program.text().substr(0, program.text().find('.'));
}

CallController::CallController(Parts parts, std::string owner, size_t zones,
                               CatalogSource catalog, TargetSource target)
    : parts_(std::move(parts)),
      owner_(std::move(owner)),
      zones_(zones),
      catalog_(std::move(catalog)),
      target_(std::move(target)),
      responses_(parts_.http) {}

bool CallController::IsModel(const OpenCall& call) const {
  return call.submission.kind == schema::CALL_KIND_MODEL;
}

std::string CallController::GroupOf(const OpenCall& call) const {
  return LedgerGroup(HomeZoneOf(call.submission.program));
}

void CallController::Submit(const CallSubmission& submission) {
  const uint64_t id = ++last_id_;
  const auto it = calls_.find(CallKey(submission, id));
  if (it != calls_.end() && Join(it->second, submission)) {
    return;
  }
  auto call = std::make_shared<OpenCall>();
  call->id = id;
  call->submission = submission;
  call->digest = DigestOf(submission);
  call->intent = parts_.random() | 1;
  call->started_at = parts_.clock.Now();
  call->deadline = call->started_at + submission.timeout;
  call->waiters.push_back(submission.waiter);
  calls_[CallKey(submission, id)] = call;
  by_exchange_[submission.waiter.exchange] = call;
  if (submission.program.empty()) {
    Enqueue(call);
    return;
  }
  Begin(call);
}

bool CallController::Join(const CallPtr& call,
                          const CallSubmission& submission) {
  if (call->submission.organisation != submission.organisation) {
    responses_.Refuse(submission.waiter,
                      NotRun(core::ErrorCode::kNotFound, "no such program"),
                      false);
    return true;
  }
  if (call->digest != DigestOf(submission)) {
    responses_.Refuse(submission.waiter,
                      NotRun(core::ErrorCode::kConflict,
                             "the call number is in use with other content"),
                      false);
    return true;
  }
  call->waiters.push_back(submission.waiter);
  by_exchange_[submission.waiter.exchange] = call;
  if (call->streaming) {
    responses_.Begin(submission.waiter);
    for (size_t n = 0; n < call->tokens.size(); ++n) {
      responses_.Token(submission.waiter, n, call->tokens[n]);
    }
  }
  return true;
}

void CallController::Propose(
    const CallPtr& call, const schema::LedgerCommand& command,
    void (CallController::*next)(const CallPtr&,
                                 const core::Result<std::string>&)) {
  parts_.groups.Propose(
      GroupOf(*call), command.SerializeAsString(),
      [this, call, next](const core::Result<std::string>& result) {
        (this->*next)(call, result);
      });
}

void CallController::RunAfter(std::chrono::milliseconds delay,
                              const CallPtr& call,
                              void (CallController::*next)(const CallPtr&)) {
  parts_.timers.At(parts_.clock.Now() + delay,
                   [this, call, next] { (this->*next)(call); });
}

void CallController::Begin(const CallPtr& call) {
  const auto catalog = catalog_();
  Propose(
      call,
      MakeBegin(call->submission,
                catalog->FindOrganisation(call->submission.organisation),
                call->digest, {owner_, call->intent}, parts_.clock.WallNow()),
      &CallController::OnBegun);
}

void CallController::OnBegun(const CallPtr& call,
                             const core::Result<std::string>& result) {
  const bool expired = parts_.clock.Now() >= call->deadline;
  if (!core::IsOk(result)) {
    const core::Error& error = core::ErrorOf(result);
    if (error.execution == core::Execution::kUnknown && !expired) {
      RunAfter(kCommitRetryInterval, call, &CallController::Begin);
      return;
    }
    // Nothing was dispatched, so the call did not run, whether or not the
    // intent was committed. If it may have been, Begin() proposes it again
    // until the ledger replies, and a committed intent is then finished as not
    // run.
    core::Error refusal = error;
    refusal.execution = core::Execution::kNotRun;
    RefuseAll(call, refusal);
    if (error.execution == core::Execution::kUnknown) {
      RunAfter(kCommitRetryInterval, call, &CallController::Begin);
      return;
    }
    Close(call);
    return;
  }
  schema::LedgerReply reply;
  reply.ParseFromString(core::Value(result));
  switch (reply.verdict()) {
    case schema::VERDICT_ACCEPTED:
      OnAccepted(call, reply);
      return;
    case schema::VERDICT_RECORDED:
      call->outcome = reply.recorded();
      call->failure.reset();
      RespondAll(call);
      return;
    case schema::VERDICT_JOIN:
      call->state = OpenCall::State::kJoining;
      if (expired || call->waiters.empty()) {
        core::Error error = NotRun(core::ErrorCode::kDeadlineExceeded,
                                   "the call is under way at another instance");
        error.execution = core::Execution::kUnknown;
        error.retry_after = kJoinPollInterval;
        RefuseAll(call, error);
        Close(call);
        return;
      }
      RunAfter(kJoinPollInterval, call, &CallController::Begin);
      return;
    default:
      OnRefused(call, reply);
  }
}

void CallController::OnRefused(const CallPtr& call,
                               const schema::LedgerReply& reply) {
  if (reply.verdict() == schema::VERDICT_ORGANISATION_LIMIT &&
      !call->slice_granted) {
    call->slice_granted = true;
    GrantSlice(call);
    return;
  }
  RefuseAll(call, ErrorOfVerdict(reply));
  Close(call);
}

void CallController::GrantSlice(const CallPtr& call) {
  const auto catalog = catalog_();
  const auto* organisation =
      catalog->FindOrganisation(call->submission.organisation);
  if (organisation == nullptr) {
    RefuseAll(call, NotRun(core::ErrorCode::kUnauthenticated,
                           "the organisation was removed"));
    Close(call);
    return;
  }
  const auto command =
      MakeGrant(*organisation, HomeZoneOf(call->submission.program), zones_,
                parts_.clock.WallNow());
  parts_.groups.Propose(
      GroupOf(*call), command.SerializeAsString(),
      [this, call](const core::Result<std::string>&) { Begin(call); });
}

void CallController::OnAccepted(const CallPtr& call,
                                const schema::LedgerReply& reply) {
  call->attempt = reply.attempt();
  if (call->submission.service_class.empty()) {
    call->submission.service_class = reply.service_class();
  }
  call->request.attained_tokens = reply.attained_tokens();
  call->request.prompt_tokens = reply.history_tokens();
  call->request.isolate = reply.isolate();
  if (call->waiters.empty()) {
    Fail(call, schema::OUTCOME_NOT_RUN,
         NotRun(core::ErrorCode::kCancelled, "the caller left"));
    return;
  }
  if (IsModel(*call) && call->submission.number > 1) {
    ReadHistory(call);
    return;
  }
  Enqueue(call);
}

void CallController::ReadHistory(const CallPtr& call) {
  call->state = OpenCall::State::kReading;
  parts_.groups.Query(
      GroupOf(*call),
      MakeHistoryQuery(call->submission.organisation, call->submission.program),
      [this, call](const core::Result<std::string>& result) {
        if (!core::IsOk(result)) {
          Fail(call, schema::OUTCOME_NOT_RUN, core::ErrorOf(result));
          return;
        }
        call->history = HistoryMessages(core::Value(result));
        Enqueue(call);
      });
}

void CallController::Succeed(const CallPtr& call, int upstream_status) {
  call->outcome.set_outcome(schema::OUTCOME_RAN);
  call->outcome.set_upstream_status(upstream_status);
  if (IsModel(*call)) {
    call->outcome.set_answer(AssistantMessage(call->tokens));
    call->outcome.set_used_tokens(call->prompt_tokens +
                                  static_cast<int64_t>(call->tokens.size()));
  } else {
    call->outcome.set_answer(call->body);
  }
  CommitOutcome(call);
}

void CallController::Fail(const CallPtr& call, schema::Outcome outcome,
                          const core::Error& error) {
  call->outcome.set_outcome(outcome);
  call->outcome.set_error_code(std::string(ToString(error.code)));
  call->outcome.set_error_message(error.message);
  call->failure = error;
  call->failure->execution = ErrorOfOutcome(call->outcome).execution;
  CommitOutcome(call);
}

void CallController::CommitOutcome(const CallPtr& call) {
  call->state = OpenCall::State::kFinishing;
  call->outcome.set_program(call->submission.program.text());
  call->outcome.set_organisation(call->submission.organisation.text());
  call->outcome.set_number(call->submission.number);
  call->outcome.set_attempt(call->attempt);
  if (call->submission.program.empty()) {
    RespondAll(call);
    return;
  }
  schema::LedgerCommand command = CommandAt(parts_.clock.WallNow());
  *command.mutable_finish() = call->outcome;
  Propose(call, command, &CallController::OnOutcomeCommitted);
}

void CallController::OnOutcomeCommitted(
    const CallPtr& call, const core::Result<std::string>& result) {
  if (!core::IsOk(result)) {
    // The outcome must be committed to the ledger before it is returned to the
    // caller. If the deadline has passed, the caller gets an error that says
    // whether the call ran, and may retry.
    if (parts_.clock.Now() >= call->deadline) {
      core::Error error = core::ErrorOf(result);
      error.execution = ErrorOfOutcome(call->outcome).execution;
      error.message = "the outcome is not yet recorded: " + error.message;
      error.retry_after = kCommitRetryInterval;
      RefuseAll(call, error);
    }
    RunAfter(kCommitRetryInterval, call, &CallController::CommitOutcome);
    return;
  }
  schema::LedgerReply reply;
  reply.ParseFromString(core::Value(result));
  if (reply.verdict() == schema::VERDICT_STALE) {
    // Another instance took the call over; the outcome that it recorded
    // counts.
    parts_.metrics.Count("stale_outcomes");
    call->failure.reset();
    if (!reply.has_recorded()) {
      call->state = OpenCall::State::kBeginning;
      Begin(call);
      return;
    }
  }
  if (reply.has_recorded()) {
    call->outcome = reply.recorded();
  }
  RespondAll(call);
}

void CallController::RespondAll(const CallPtr& call) {
  for (const Waiter& waiter : call->waiters) {
    if (call->failure) {
      responses_.Refuse(waiter, *call->failure,
                        waiter.stream && call->streaming);
      continue;
    }
    if (waiter.stream && !call->streaming) {
      responses_.Begin(waiter);
      responses_.Token(waiter, 0, ContentOf(call->outcome.answer()));
    }
    responses_.Finish(waiter, call->submission, call->outcome);
  }
  parts_.metrics.Observe(
      {call->submission.organisation, call->submission.service_class},
      parts_.clock.Now() - call->started_at);
  Close(call);
}

void CallController::RefuseAll(const CallPtr& call, const core::Error& error) {
  parts_.metrics.Count("refusals");
  for (const Waiter& waiter : call->waiters) {
    by_exchange_.erase(waiter.exchange);
    responses_.Refuse(waiter, error, waiter.stream && call->streaming);
  }
  call->waiters.clear();
}

void CallController::Close(const CallPtr& call) {
  for (const Waiter& waiter : call->waiters) {
    by_exchange_.erase(waiter.exchange);
  }
  call->waiters.clear();
  calls_.erase(CallKey(call->submission, call->id));
}

void CallController::ReleaseAttempt(const CallPtr& call) {
  const bool queued = call->state == OpenCall::State::kQueued;
  by_attempt_.erase(call->attempt_id);
  if (queued) {
    parts_.scheduler.Cancel(call->attempt_id, parts_.clock.Now());
    return;
  }
  parts_.upstreams.Cancel(call->attempt_id);
  ReportResult(*call, scheduling::CallOutcome::kCancelled);
}

void CallController::OnClientDisconnected(transport::ExchangeId exchange) {
  const auto it = by_exchange_.find(exchange);
  if (it == by_exchange_.end()) {
    return;
  }
  const CallPtr call = it->second;
  by_exchange_.erase(it);
  std::erase_if(call->waiters, [exchange](const Waiter& waiter) {
    return waiter.exchange == exchange;
  });
  const bool queued = call->state == OpenCall::State::kQueued;
  const bool running = call->state == OpenCall::State::kRunning;
  if (!call->waiters.empty() || !(queued || (running && IsModel(*call)))) {
    return;
  }
  parts_.metrics.Count("calls_cancelled");
  Stop(call, NotRun(core::ErrorCode::kCancelled, "the caller left"));
  Pump();
}

void CallController::OnProgramEnded(const core::ProgramId& program) {
  const std::string prefix = program.text() + "#";
  std::vector<CallPtr> ended;
  for (auto it = calls_.lower_bound(prefix);
       it != calls_.end() && it->first.starts_with(prefix); ++it) {
    ended.push_back(it->second);
  }
  for (const CallPtr& call : ended) {
    const bool queued = call->state == OpenCall::State::kQueued;
    const bool running = call->state == OpenCall::State::kRunning;
    if (queued || (running && IsModel(*call))) {
      Stop(call, NotRun(core::ErrorCode::kProgramEnded, "the program ended"));
    }
  }
}

void CallController::Stop(const CallPtr& call, const core::Error& error) {
  const bool queued = call->state == OpenCall::State::kQueued;
  ReleaseAttempt(call);
  Fail(call, queued ? schema::OUTCOME_NOT_RUN : schema::OUTCOME_UNKNOWN, error);
}

void CallController::EndAll() {
  const std::map<std::string, CallPtr> open = calls_;
  for (const auto& [key, call] : open) {
    if (call->state == OpenCall::State::kQueued ||
        call->state == OpenCall::State::kRunning) {
      Stop(call, NotRun(core::ErrorCode::kUnavailable,
                        "the instance stopped before the call ended"));
    }
  }
}

void CallController::RefuseOpenCalls() {
  const std::map<std::string, CallPtr> open = calls_;
  for (const auto& [key, call] : open) {
    RefuseAll(call,
              core::Error{core::ErrorCode::kUnavailable,
                          "the instance stopped before the outcome of "
                          "the call was recorded",
                          core::Execution::kUnknown, kCommitRetryInterval});
  }
}

}  // namespace hawthorn::main
