#include "main/http/json_fields.h"

#include <QJsonDocument>

#include "main/http/json.h"

namespace hawthorn::main {

namespace {

QString Text(const std::string& text) { return QString::fromStdString(text); }

QJsonValue Parse(const std::string& text) {
  const QJsonDocument document =
      QJsonDocument::fromJson(QByteArray::fromStdString(text));
  if (document.isArray()) {
    return document.array();
  }
  return document.isObject() ? QJsonValue(document.object())
                             : QJsonValue(Text(text));
}

const char* StateText(schema::ProgramState state) {
  switch (state) {
    case schema::PROGRAM_STATE_RUNNING:
      return "running";
    case schema::PROGRAM_STATE_PAUSED:
      return "paused";
    default:
      return "ended";
  }
}

QJsonObject EntryObject(const schema::HistoryEntry& entry) {
  if (!entry.ledger_message().empty()) {
    return {{"number", static_cast<qint64>(entry.number())},
            {"message", Text(entry.ledger_message())}};
  }
  const schema::FinishCall& recorded = entry.recorded();
  QJsonObject item{{"number", static_cast<qint64>(entry.number())},
                   {"messages", Parse(entry.messages())},
                   {"outcome", OutcomeName(recorded.outcome())},
                   {"answer", Parse(recorded.answer())}};
  if (!recorded.error_code().empty()) {
    item["error_code"] = Text(recorded.error_code());
  }
  return item;
}

}  // namespace

QString OutcomeName(schema::Outcome outcome) {
  switch (outcome) {
    case schema::OUTCOME_RAN:
      return "ran";
    case schema::OUTCOME_NOT_RUN:
      return "not run";
    default:
      return "unknown";
  }
}

QJsonValue JsonFields::Get(const std::string& name) {
  known_.insert(name);
  return object_.value(QString::fromStdString(name));
}

std::string JsonFields::Text(const std::string& name) {
  const QJsonValue value = Get(name);
  if (!value.isString() && !value.isUndefined()) {
    AddError("\"" + name + "\" must be a string");
  }
  return value.toString().toStdString();
}

std::string JsonFields::RequiredText(const std::string& name) {
  std::string text = Text(name);
  if (text.empty()) {
    AddError("\"" + name + "\" is required");
  }
  return text;
}

int64_t JsonFields::Number(const std::string& name, int64_t absent) {
  const QJsonValue value = Get(name);
  if (value.isUndefined()) {
    return absent;
  }
  const auto number = value.toInteger(-1);
  if (number < 0) {
    AddError("\"" + name + "\" must be a whole number from 0");
  }
  return number;
}

int64_t JsonFields::RequiredNumber(const std::string& name) {
  const int64_t number = Number(name, 0);
  if (number == 0) {
    AddError("\"" + name + "\" must be a whole number from 1");
  }
  return number;
}

bool JsonFields::Flag(const std::string& name) {
  const QJsonValue value = Get(name);
  if (!value.isBool() && !value.isUndefined()) {
    AddError("\"" + name + "\" must be true or false");
  }
  return value.toBool();
}

QJsonObject JsonFields::Object(const std::string& name) {
  const QJsonValue value = Get(name);
  if (!value.isObject() && !value.isUndefined()) {
    AddError("\"" + name + "\" must be an object");
  }
  return value.toObject();
}

QJsonArray JsonFields::Array(const std::string& name) {
  const QJsonValue value = Get(name);
  if (!value.isArray()) {
    AddError("\"" + name + "\" must be an array");
  }
  return value.toArray();
}

void JsonFields::AddErrors(const core::Status& nested) {
  if (!core::IsOk(nested)) {
    AddError(core::ErrorOf(nested).message);
  }
}

core::Status JsonFields::Finish(const std::string& prefix) {
  const QStringList names = object_.keys();
  for (const QString& name : names) {
    if (!known_.contains(name.toStdString())) {
      AddError("unknown field \"" + prefix + name.toStdString() + "\"");
    }
  }
  if (errors_.empty()) {
    return std::monostate();
  }
  std::string message;
  for (const std::string& it : errors_) {
    message += (message.empty() ? "" : "; ") + it;
  }
  return NotRun(core::ErrorCode::kInvalidArgument, message);
}

QJsonObject SummaryObject(const schema::ProgramSummary& summary) {
  return {{"program", Text(summary.program())},
          {"organisation", Text(summary.organisation())},
          {"parent", Text(summary.parent())},
          {"class", Text(summary.service_class())},
          {"state", StateText(summary.state())},
          {"reason", Text(summary.reason())},
          {"next_number", static_cast<qint64>(summary.next_number())},
          {"call_under_way", summary.has_open()},
          {"used_tokens", static_cast<qint64>(summary.used().tokens())},
          {"budget_tokens", static_cast<qint64>(summary.budget().tokens())},
          {"history_tokens", static_cast<qint64>(summary.history_tokens())}};
}

QJsonObject ProgramObject(const schema::LedgerQueryReply& reply) {
  QJsonArray history;
  for (const schema::HistoryEntry& entry : reply.history()) {
    history.append(EntryObject(entry));
  }
  QJsonObject object{{"history", history}};
  if (reply.programs_size() == 1) {
    const QJsonObject summary = SummaryObject(reply.programs(0));
    for (auto it = summary.begin(); it != summary.end(); ++it) {
      object[it.key()] = it.value();
    }
  }
  return object;
}

}  // namespace hawthorn::main
