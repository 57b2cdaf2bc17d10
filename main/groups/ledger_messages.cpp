#include "main/groups/ledger_messages.h"

#include <xxhash.h>

#include <QJsonArray>
#include <QJsonDocument>
#include <algorithm>
#include <array>

#include "main/http/json.h"
#include "programs/fingerprint.h"
#include "query.pb.h"

namespace hawthorn::main {

namespace {

constexpr int64_t kBytesPerToken = 4;
constexpr int64_t kDefaultMaxTokens = 512;

uint64_t FingerprintOf(const CallSubmission& submission) {
  return programs::RequestFingerprint(
      submission.messages, submission.service.text() + submission.operation);
}

}  // namespace

schema::LedgerCommand CommandAt(core::WallTime now) {
  schema::LedgerCommand command;
  command.set_wall_ms(now.time_since_epoch().count());
  return command;
}

schema::LedgerCommand MakeBegin(const CallSubmission& submission,
                                const schema::Organisation* limits,
                                const std::string& digest,
                                const Dispatcher& dispatcher,
                                core::WallTime now) {
  schema::LedgerCommand command = CommandAt(now);
  schema::BeginCall& begin = *command.mutable_begin();
  begin.set_program(submission.program.text());
  begin.set_organisation(submission.organisation.text());
  begin.set_number(submission.number);
  begin.set_service(submission.service.text());
  begin.set_kind(submission.kind);
  begin.set_messages(submission.messages);
  begin.set_digest(digest);
  begin.set_owner(dispatcher.owner);
  begin.set_intent(dispatcher.intent);
  begin.set_fingerprint(FingerprintOf(submission));
  begin.set_limited_tokens(limits != nullptr && limits->daily_tokens() > 0);
  begin.set_limited_cost(limits != nullptr && limits->daily_cost() > 0);
  if (submission.kind == schema::CALL_KIND_MODEL) {
    begin.set_reserve_tokens(EstimateTokens(submission.messages) +
                             MaxTokensOf(submission));
  }
  return command;
}

schema::LedgerCommand MakeRetry(const CallSubmission& submission,
                                const FailedAttempt& failed,
                                const Dispatcher& dispatcher,
                                core::WallTime now) {
  schema::LedgerCommand command = CommandAt(now);
  schema::RetryCall& retry = *command.mutable_retry();
  retry.set_program(submission.program.text());
  retry.set_organisation(submission.organisation.text());
  retry.set_number(submission.number);
  retry.set_failed_attempt(failed.attempt);
  retry.set_failed_outcome(failed.outcome);
  retry.set_used_tokens(failed.used_tokens);
  retry.set_owner(dispatcher.owner);
  retry.set_intent(dispatcher.intent);
  return command;
}

schema::LedgerCommand MakeGrant(const schema::Organisation& organisation,
                                const std::string& zone, size_t zones,
                                core::WallTime now) {
  schema::LedgerCommand command = CommandAt(now);
  const auto day = std::chrono::floor<std::chrono::days>(now);
  const int64_t number = day.time_since_epoch().count();
  const auto share = static_cast<int64_t>(std::max<size_t>(1, zones));
  schema::GrantSlice& grant = *command.mutable_grant_slice();
  grant.set_organisation(organisation.id());
  grant.set_tokens(organisation.daily_tokens() / share);
  grant.set_cost(organisation.daily_cost() / share);
  grant.set_day(number);
  grant.set_grant(organisation.id() + "/" + zone + "/" +
                  std::to_string(number));
  return command;
}

schema::LedgerCommand MakeCrashReport(const CallSubmission& submission,
                                      const core::UpstreamId& upstream,
                                      uint64_t incarnation,
                                      uint32_t running_together,
                                      core::WallTime now) {
  schema::LedgerCommand command = CommandAt(now);
  schema::ReportCrash& report = *command.mutable_report_crash();
  report.set_fingerprint(FingerprintOf(submission));
  report.set_upstream(upstream.text());
  report.set_incarnation(incarnation);
  report.set_running_together(running_together);
  return command;
}

std::string MakeHistoryQuery(const core::OrganisationId& organisation,
                             const core::ProgramId& program) {
  schema::LedgerQuery query;
  query.mutable_history()->set_organisation(organisation.text());
  query.mutable_history()->set_program(program.text());
  return query.SerializeAsString();
}

std::string HistoryMessages(const std::string& reply) {
  schema::LedgerQueryReply parsed;
  parsed.ParseFromString(reply);
  QJsonArray messages;
  for (const schema::HistoryEntry& entry : parsed.history()) {
    if (!entry.ledger_message().empty()) {
      messages.append(QJsonObject{
          {"role", "system"},
          {"content", QString::fromStdString(entry.ledger_message())}});
      continue;
    }
    if (entry.recorded().outcome() != schema::OUTCOME_RAN) {
      continue;
    }
    // Only model calls carry an array of messages.
    const QJsonDocument added =
        QJsonDocument::fromJson(QByteArray::fromStdString(entry.messages()));
    if (!added.isArray()) {
      continue;
    }
    for (const auto& it : added.array()) {
      messages.append(it);
    }
    messages.append(QJsonDocument::fromJson(
                        QByteArray::fromStdString(entry.recorded().answer()))
                        .object());
  }
  return ToJson(QJsonValue(messages));
}

core::Error ErrorOfVerdict(const schema::LedgerReply& reply) {
  core::Error error = NotRun(core::ErrorCode::kInternal, reply.message());
  switch (reply.verdict()) {
    case schema::VERDICT_CONFLICT:
    case schema::VERDICT_STALE:
      error.code = core::ErrorCode::kConflict;
      break;
    case schema::VERDICT_OUT_OF_ORDER:
    case schema::VERDICT_PAUSED:
      error.code = core::ErrorCode::kOutOfOrder;
      break;
    case schema::VERDICT_NOT_FOUND:
      error.code = core::ErrorCode::kNotFound;
      break;
    case schema::VERDICT_BUDGET:
      error.code = core::ErrorCode::kBudgetExceeded;
      break;
    case schema::VERDICT_ORGANISATION_LIMIT:
      error.code = core::ErrorCode::kLimitExceeded;
      break;
    case schema::VERDICT_ENDED:
      error.code = core::ErrorCode::kProgramEnded;
      break;
    case schema::VERDICT_POISONOUS:
      error.code = core::ErrorCode::kPoisonous;
      break;
    case schema::VERDICT_EXPIRED:
      error.code = core::ErrorCode::kExpired;
      break;
    case schema::VERDICT_RETRIES_EXHAUSTED:
      error.code = core::ErrorCode::kUnavailable;
      break;
    case schema::VERDICT_INVALID:
      error.code = core::ErrorCode::kInvalidArgument;
      break;
    default:
      break;
  }
  if (reply.retry_after_ms() > 0) {
    error.retry_after = std::chrono::milliseconds(reply.retry_after_ms());
  }
  return error;
}

std::string DigestOf(const CallSubmission& submission) {
  std::string text = submission.service.text();
  text += '\n' + submission.operation;
  text += '\n' + std::to_string(submission.kind);
  text += '\n' + submission.messages;
  const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
  std::array<unsigned char, sizeof(XXH128_canonical_t)> bytes{};
  XXH128_canonical_t canonical;
  XXH128_canonicalFromHash(&canonical, hash);
  std::copy(std::begin(canonical.digest), std::end(canonical.digest),
            bytes.begin());
  return std::string(bytes.begin(), bytes.end());
}

uint64_t PrefixHash(const core::ProgramId& program, uint32_t number) {
  return XXH3_64bits_withSeed(program.text().data(), program.text().size(),
                              number);
}

int64_t MaxTokensOf(const CallSubmission& submission) {
  return submission.max_tokens > 0 ? submission.max_tokens : kDefaultMaxTokens;
}

int64_t EstimateTokens(const std::string& text) {
  return static_cast<int64_t>(text.size()) / kBytesPerToken + 1;
}

std::string ContentOf(const std::string& answer) {
  return QJsonDocument::fromJson(QByteArray::fromStdString(answer))
      .object()["content"]
      .toString()
      .toStdString();
}

std::string AssistantMessage(const std::vector<std::string>& tokens) {
  std::string content;
  for (const std::string& token : tokens) {
    content += token;
  }
  return ToJson(QJsonObject{{"role", "assistant"},
                            {"content", QString::fromStdString(content)}});
}

}  // namespace hawthorn::main
