#include <QJsonArray>
#include <QJsonDocument>
#include <algorithm>

#include "main/groups/ledger_messages.h"
#include "main/http/caller_api.h"
#include "main/http/json.h"
#include "query.pb.h"

namespace hawthorn::main {

namespace {

QJsonArray Slice(const QJsonArray& messages, qsizetype from, qsizetype to) {
  QJsonArray slice;
  for (qsizetype n = from; n < std::min(to, messages.size()); ++n) {
    slice.append(messages[n]);
  }
  return slice;
}

}  // namespace

core::Result<ChatDelta> ChatDeltaOf(const std::string& history_reply,
                                    const QJsonArray& messages) {
  schema::LedgerQueryReply reply;
  reply.ParseFromString(history_reply);
  if (!reply.found()) {
    return NotRun(core::ErrorCode::kNotFound, "no such program");
  }
  qsizetype known = 0;
  uint32_t last = 0;
  for (const schema::HistoryEntry& call : reply.history()) {
    last = std::max(last, call.number());
    if (call.recorded().outcome() != schema::OUTCOME_RAN) {
      continue;
    }
    if (!QJsonDocument::fromJson(QByteArray::fromStdString(call.messages()))
             .isArray()) {
      continue;
    }
    const QJsonArray added =
        QJsonDocument::fromJson(QByteArray::fromStdString(call.messages()))
            .array();
    if (messages.size() == known + added.size() &&
        Slice(messages, known, messages.size()) == added) {
      return ChatDelta{call.number(), ToJson(QJsonValue(added))};
    }
    const bool same = Slice(messages, known, known + added.size()) == added;
    known += added.size() + 1;
    if (!same || messages.size() < known) {
      return NotRun(core::ErrorCode::kConflict,
                    "the messages contradict the program's history");
    }
  }
  return ChatDelta{last + 1,
                   ToJson(QJsonValue(Slice(messages, known, messages.size())))};
}

}  // namespace hawthorn::main
