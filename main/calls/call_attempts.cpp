#include <QJsonArray>
#include <QJsonDocument>
#include <algorithm>

#include "main/calls/call_controller.h"
#include "main/groups/ledger_messages.h"
#include "main/http/json.h"
#include "transport/http_status.h"

// The part of CallController that runs attempts: queueing, dispatch, upstream
// responses and retries.
namespace hawthorn::main {

namespace {

constexpr std::chrono::milliseconds kCommitRetryInterval{100};
constexpr std::chrono::milliseconds kIdleTimeout{10'000};
constexpr int kFirstFailureStatus = 400;
constexpr char kExecutionNotRun[] = "not run";

}  // namespace

scheduling::CallRequest CallController::MakeRequest(
    const OpenCall& call) const {
  const auto catalog = catalog_();
  scheduling::CallRequest request = call.request;
  const CallSubmission& submission = call.submission;
  request.id = call.attempt_id;
  request.program = submission.program;
  request.organisation = submission.organisation;
  request.service_class = submission.service_class;
  request.service = submission.service;
  request.max_output_tokens = MaxTokensOf(submission);
  request.deadline = call.deadline;
  if (const auto* it = catalog->FindOrganisation(submission.organisation)) {
    request.organisation_weight = it->weight();
  }
  if (const auto* it = catalog->FindClass(submission.service_class)) {
    request.class_weight = it->weight();
    request.interactive = it->interactive();
  }
  if (IsModel(call) && submission.number > 1) {
    request.prefix = {{PrefixHash(submission.program, submission.number - 1),
                       request.prompt_tokens}};
  }
  request.prompt_tokens += EstimateTokens(submission.messages);
  return request;
}

void CallController::Enqueue(const CallPtr& call) {
  if (call->waiters.empty()) {
    Fail(call, schema::OUTCOME_NOT_RUN,
         NotRun(core::ErrorCode::kCancelled, "the caller left"));
    return;
  }
  call->attempt_id = ++last_id_;
  call->state = OpenCall::State::kQueued;
  by_attempt_[call->attempt_id] = call;
  const core::Status status =
      parts_.scheduler.Enqueue(MakeRequest(*call), parts_.clock.Now());
  if (!core::IsOk(status)) {
    by_attempt_.erase(call->attempt_id);
    Fail(call, schema::OUTCOME_NOT_RUN, core::ErrorOf(status));
    return;
  }
  Pump();
}

void CallController::Pump() {
  const core::TimePoint now = parts_.clock.Now();
  for (const scheduling::Refusal& refusal : parts_.scheduler.TakeRefused(now)) {
    const auto it = by_attempt_.find(refusal.call);
    if (it == by_attempt_.end()) {
      continue;
    }
    const CallPtr call = it->second;
    by_attempt_.erase(it);
    Fail(call, schema::OUTCOME_NOT_RUN, refusal.error);
  }
  for (const scheduling::Dispatch& dispatch : parts_.scheduler.Next(now)) {
    Launch(dispatch);
  }
}

void CallController::Launch(const scheduling::Dispatch& dispatch) {
  const auto it = by_attempt_.find(dispatch.call);
  const auto target = target_(dispatch.upstream);
  if (it == by_attempt_.end() || !target) {
    parts_.scheduler.OnFinished(
        {dispatch.call, scheduling::CallOutcome::kUnreachable, 0, 0, 0, {}},
        parts_.clock.Now());
    if (it != by_attempt_.end()) {
      const CallPtr call = it->second;
      by_attempt_.erase(it);
      Enqueue(call);
    }
    return;
  }
  const CallPtr call = it->second;
  call->state = OpenCall::State::kRunning;
  call->upstream = dispatch.upstream;
  call->upstream_incarnation = target->incarnation;
  call->parser = EventStreamParser();
  call->body.clear();
  call->model_done = false;
  if (dispatch.crosses_zone) {
    parts_.metrics.Count("calls_across_zones");
  }
  if (!call->streaming) {
    call->streaming = true;
    for (const Waiter& waiter : call->waiters) {
      responses_.Begin(waiter);
    }
  }
  parts_.metrics.Count("dispatches");
  parts_.upstreams.Start(MakeUpstreamRequest(*call, *target));
}

transport::ClientRequest CallController::MakeUpstreamRequest(
    const OpenCall& call, const UpstreamTarget& to) const {
  const CallSubmission& submission = call.submission;
  transport::ClientRequest request;
  request.id = call.attempt_id;
  request.address = to.address;
  request.target = IsModel(call) ? "/v1/generate" : submission.operation;
  request.body = IsModel(call) ? ModelBody(call) : submission.messages;
  request.headers = {{"Content-Type", "application/json"},
                     {"Hawthorn-Program", submission.program.text()},
                     {"Hawthorn-Call", std::to_string(submission.number)},
                     {"Hawthorn-Attempt", std::to_string(call.attempt)},
                     {"Hawthorn-Organisation", submission.organisation.text()}};
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
      call.deadline - parts_.clock.Now());
  request.timeout = std::max(left, std::chrono::milliseconds(1));
  request.idle_timeout = std::min(request.timeout, kIdleTimeout);
  return request;
}

std::string CallController::ModelBody(const OpenCall& call) const {
  QJsonArray messages =
      QJsonDocument::fromJson(QByteArray::fromStdString(call.history)).array();
  const QJsonArray added =
      QJsonDocument::fromJson(
          QByteArray::fromStdString(call.submission.messages))
          .array();
  for (const auto& it : added) {
    messages.append(it);
  }
  const int64_t max_tokens = MaxTokensOf(call.submission);
  return ToJson(QJsonObject{
      {"program", QString::fromStdString(call.submission.program.text())},
      {"call", static_cast<qint64>(call.submission.number)},
      {"attempt", static_cast<qint64>(call.attempt)},
      {"messages", messages},
      {"max_tokens", static_cast<qint64>(max_tokens)},
      {"offset", static_cast<qint64>(call.tokens.size())}});
}

void CallController::OnUpstreamChunk(uint64_t attempt,
                                     const std::string& bytes) {
  const auto it = by_attempt_.find(attempt);
  if (it == by_attempt_.end()) {
    parts_.metrics.Count("late_answers");
    return;
  }
  const CallPtr call = it->second;
  if (!IsModel(*call)) {
    call->body += bytes;
    return;
  }
  for (const QJsonObject& event : call->parser.Feed(bytes)) {
    OnModelEvent(call, event);
  }
}

void CallController::OnModelEvent(const CallPtr& call,
                                  const QJsonObject& event) {
  if (event["done"].toBool()) {
    call->model_done = true;
    call->prompt_tokens = event["prompt_tokens"].toInteger();
    call->cached_tokens = event["cached_tokens"].toInteger();
    return;
  }
  const auto offset = static_cast<size_t>(event["offset"].toInteger());
  if (offset != call->tokens.size()) {
    parts_.metrics.Count("tokens_out_of_order");
    return;
  }
  call->tokens.push_back(event["token"].toString().toStdString());
  for (const Waiter& waiter : call->waiters) {
    responses_.Token(waiter, offset, call->tokens.back());
  }
}

void CallController::OnUpstreamEnded(
    uint64_t attempt, const transport::ClientResponse& response) {
  const auto it = by_attempt_.find(attempt);
  if (it == by_attempt_.end()) {
    parts_.metrics.Count("late_answers");
    return;
  }
  const CallPtr call = it->second;
  by_attempt_.erase(it);
  OnAttemptEnded(call, response);
  Pump();
}

void CallController::OnAttemptEnded(const CallPtr& call,
                                    const transport::ClientResponse& response) {
  const bool refused = response.execution == kExecutionNotRun;
  const bool ok = response.complete && response.status < kFirstFailureStatus;
  if (ok && (!IsModel(*call) || call->model_done)) {
    ReportResult(*call, scheduling::CallOutcome::kSucceeded);
    Succeed(call, response.status);
    return;
  }
  core::Error error = response.error;
  if (response.complete) {
    error = core::Error{
        core::ErrorCode::kUnavailable,
        ok ? "the engine ended its stream before the answer"
           : "the upstream answered with status " +
                 std::to_string(response.status),
        refused ? core::Execution::kNotRun : core::Execution::kUnknown,
        {}};
  }
  const bool unreachable = error.execution == core::Execution::kNotRun;
  ReportResult(*call, unreachable && !refused
                          ? scheduling::CallOutcome::kUnreachable
                          : scheduling::CallOutcome::kFailed);
  const bool answered =
      response.complete && !refused &&
      response.status != transport::status::kTooManyRequests &&
      response.status != transport::status::kServiceUnavailable &&
      response.status >= kFirstFailureStatus;
  if (answered && !IsModel(*call)) {
    Succeed(call, response.status);
    return;
  }
  const bool broke = error.code != core::ErrorCode::kDeadlineExceeded;
  if (!response.complete && !unreachable && broke) {
    ReportCrash(*call);
  }
  if (call->submission.kind == schema::CALL_KIND_NON_IDEMPOTENT) {
    Fail(call, unreachable ? schema::OUTCOME_NOT_RUN : schema::OUTCOME_UNKNOWN,
         error);
    return;
  }
  Retry(call, error);
}

void CallController::ReportResult(const OpenCall& call,
                                  scheduling::CallOutcome outcome) {
  scheduling::CallResult result;
  result.call = call.attempt_id;
  result.outcome = outcome;
  result.prompt_tokens = call.prompt_tokens;
  result.cached_tokens = call.cached_tokens;
  result.output_tokens = static_cast<int64_t>(call.tokens.size());
  if (outcome == scheduling::CallOutcome::kSucceeded && IsModel(call)) {
    result.produced = {
        PrefixHash(call.submission.program, call.submission.number),
        call.prompt_tokens + result.output_tokens};
  }
  parts_.scheduler.OnFinished(result, parts_.clock.Now());
}

void CallController::ReportCrash(const OpenCall& call) {
  if (call.submission.program.empty()) {
    return;
  }
  uint32_t running_together = 1;
  for (const auto& [id, other] : by_attempt_) {
    const bool same = other->upstream == call.upstream;
    running_together +=
        same && other->state == OpenCall::State::kRunning ? 1 : 0;
  }
  const auto command =
      MakeCrashReport(call.submission, call.upstream, call.upstream_incarnation,
                      running_together, parts_.clock.WallNow());
  parts_.groups.Propose(GroupOf(call), command.SerializeAsString(),
                        [](const core::Result<std::string>&) {});
}

void CallController::Retry(const CallPtr& call, const core::Error& error) {
  const auto delay = parts_.scheduler.RetryDelay(
      {call->submission.organisation, call->submission.service,
       std::max<uint32_t>(1, call->attempt)},
      parts_.clock.Now());
  const bool late = parts_.clock.Now() >= call->deadline;
  if (!core::IsOk(delay) || late || call->waiters.empty()) {
    const bool ran = error.execution != core::Execution::kNotRun;
    Fail(call, ran ? schema::OUTCOME_UNKNOWN : schema::OUTCOME_NOT_RUN, error);
    return;
  }
  parts_.metrics.Count("retries");
  call->state = OpenCall::State::kRetrying;
  call->request.excluded = {call->upstream};
  if (call->submission.program.empty()) {
    ++call->attempt;
    RunAfter(core::Value(delay), call, &CallController::Enqueue);
    return;
  }
  call->last_error = error;
  call->intent = parts_.random() | 1;
  RunAfter(core::Value(delay), call, &CallController::OpenNextAttempt);
}

void CallController::OpenNextAttempt(const CallPtr& call) {
  FailedAttempt failed;
  failed.attempt = call->attempt;
  failed.outcome = call->last_error.execution == core::Execution::kNotRun
                       ? schema::OUTCOME_NOT_RUN
                       : schema::OUTCOME_UNKNOWN;
  failed.used_tokens = static_cast<int64_t>(call->tokens.size());
  Propose(call,
          MakeRetry(call->submission, failed, {owner_, call->intent},
                    parts_.clock.WallNow()),
          &CallController::OnRetryOpened);
}

void CallController::OnRetryOpened(const CallPtr& call,
                                   const core::Result<std::string>& result) {
  schema::LedgerReply reply;
  if (core::IsOk(result)) {
    reply.ParseFromString(core::Value(result));
  }
  if (reply.verdict() == schema::VERDICT_ACCEPTED) {
    call->attempt = reply.attempt();
    call->request.isolate = reply.isolate();
    Enqueue(call);
    return;
  }
  if (reply.has_recorded()) {
    call->outcome = reply.recorded();
    RespondAll(call);
    return;
  }
  if (!core::IsOk(result) && parts_.clock.Now() < call->deadline) {
    RunAfter(kCommitRetryInterval, call, &CallController::OpenNextAttempt);
    return;
  }
  Fail(call, schema::OUTCOME_UNKNOWN, call->last_error);
}

}  // namespace hawthorn::main
