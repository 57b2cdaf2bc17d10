#include "main/http/response_writer.h"

#include <QJsonArray>
#include <QJsonDocument>

#include "main/http/json.h"
#include "main/http/json_fields.h"
#include "transport/http_status.h"

namespace hawthorn::main {

namespace {

constexpr char kDone[] = "data: [DONE]\n\n";

QString Text(const std::string& text) { return QString::fromStdString(text); }

core::Execution ExecutionOf(schema::Outcome outcome) {
  switch (outcome) {
    case schema::OUTCOME_RAN:
      return core::Execution::kRan;
    case schema::OUTCOME_NOT_RUN:
      return core::Execution::kNotRun;
    default:
      return core::Execution::kUnknown;
  }
}

/// The recorded answer as JSON; an answer that is not a JSON object or array
/// becomes a string.
QJsonValue AnswerValue(const std::string& answer) {
  const QJsonDocument document =
      QJsonDocument::fromJson(QByteArray::fromStdString(answer));
  if (document.isObject()) {
    return document.object();
  }
  if (document.isArray()) {
    return document.array();
  }
  return Text(answer);
}

QJsonObject NativeResponse(const CallSubmission& call,
                           const schema::FinishCall& outcome) {
  QJsonObject object{{"program", Text(call.program.text())},
                     {"number", static_cast<qint64>(call.number)},
                     {"attempt", static_cast<qint64>(outcome.attempt())},
                     {"outcome", OutcomeName(outcome.outcome())},
                     {"tokens", static_cast<qint64>(outcome.used_tokens())},
                     {"answer", AnswerValue(outcome.answer())}};
  if (outcome.upstream_status() != 0) {
    object["upstream_status"] = outcome.upstream_status();
  }
  return object;
}

QJsonObject ChatResponse(const CallSubmission& call,
                         const schema::FinishCall& outcome) {
  const QJsonObject choice{{"index", 0},
                           {"message", AnswerValue(outcome.answer())},
                           {"finish_reason", "stop"}};
  return {{"id", Text(call.program.text() + "#" + std::to_string(call.number))},
          {"object", "chat.completion"},
          {"model", Text(call.service.text())},
          {"choices", QJsonArray{choice}},
          {"usage", QJsonObject{{"total_tokens",
                                 static_cast<qint64>(outcome.used_tokens())}}}};
}

std::string Event(const char* name, const QJsonObject& data) {
  return std::string("event: ") + name + "\ndata: " + ToJson(data) + "\n\n";
}

}  // namespace

core::Error ErrorOfOutcome(const schema::FinishCall& outcome) {
  core::Error error;
  error.execution = ExecutionOf(outcome.outcome());
  error.code = core::ErrorCodeOf(outcome.error_code());
  if (error.code == core::ErrorCode::kInternal) {
    // Set by the ledger itself: the owner was lost, or all attempts were used.
    error.code = core::ErrorCode::kUnavailable;
  }
  error.message = outcome.error_message();
  return error;
}

void ResponseWriter::Begin(const Waiter& waiter) {
  if (waiter.stream) {
    http_.BeginStream(
        waiter.exchange, transport::status::kOk,
        {{"Content-Type", "text/event-stream"}, {"Cache-Control", "no-store"}});
  }
}

void ResponseWriter::Token(const Waiter& waiter, size_t offset,
                           const std::string& token) {
  if (!waiter.stream) {
    return;
  }
  if (waiter.format == ResponseFormat::kChatCompletion) {
    const QJsonObject choice{{"index", 0},
                             {"delta", QJsonObject{{"content", Text(token)}}}};
    const QJsonObject chunk{{"object", "chat.completion.chunk"},
                            {"choices", QJsonArray{choice}}};
    http_.WriteChunk(waiter.exchange, "data: " + ToJson(chunk) + "\n\n");
    return;
  }
  http_.WriteChunk(waiter.exchange,
                   Event("token", {{"offset", static_cast<qint64>(offset)},
                                   {"text", Text(token)}}));
}

void ResponseWriter::Finish(const Waiter& waiter, const CallSubmission& call,
                            const schema::FinishCall& outcome) {
  if (waiter.stream) {
    FinishStream(waiter, call, outcome);
    return;
  }
  if (!outcome.error_code().empty()) {
    Refuse(waiter, ErrorOfOutcome(outcome), false);
    return;
  }
  const QJsonObject body = waiter.format == ResponseFormat::kNative
                               ? NativeResponse(call, outcome)
                               : ChatResponse(call, outcome);
  http_.Respond(waiter.exchange, transport::status::kOk, JsonHeaders(),
                ToJson(body) + "\n");
}

void ResponseWriter::FinishStream(const Waiter& waiter,
                                  const CallSubmission& call,
                                  const schema::FinishCall& outcome) {
  if (!outcome.error_code().empty()) {
    Refuse(waiter, ErrorOfOutcome(outcome), true);
    return;
  }
  const bool chat = waiter.format == ResponseFormat::kChatCompletion;
  http_.WriteChunk(
      waiter.exchange,
      chat ? std::string(kDone) : Event("end", NativeResponse(call, outcome)));
  http_.EndStream(waiter.exchange);
}

void ResponseWriter::Refuse(const Waiter& waiter, const core::Error& error,
                            bool streaming) {
  if (!streaming) {
    http_.Respond(waiter.exchange, StatusOf(error.code), ErrorHeaders(error),
                  ToJson(ErrorObject(error)) + "\n");
    return;
  }
  http_.WriteChunk(waiter.exchange, Event("error", ErrorObject(error)));
  http_.EndStream(waiter.exchange);
}

}  // namespace hawthorn::main
