#include <QJsonArray>
#include <QJsonObject>
#include <catch2/catch.hpp>

#include "main/http/caller_api.h"
#include "main/http/json.h"
#include "query.pb.h"

namespace hawthorn::main {
namespace {

QJsonObject Message(const char* role, const char* content) {
  return {{"role", role}, {"content", content}};
}

/// History with one call: a user message and its answer.
std::string History() {
  schema::LedgerQueryReply reply;
  reply.set_found(true);
  schema::HistoryEntry& entry = *reply.add_history();
  entry.set_number(1);
  entry.set_messages(ToJson(QJsonValue(QJsonArray{Message("user", "one")})));
  entry.mutable_recorded()->set_outcome(schema::OUTCOME_RAN);
  entry.mutable_recorded()->set_answer(ToJson(Message("assistant", "first")));
  return reply.SerializeAsString();
}

TEST_CASE("a chat request adds the messages that the history lacks") {
  const QJsonArray whole{Message("user", "one"), Message("assistant", "first"),
                         Message("user", "two")};
  const auto delta = ChatDeltaOf(History(), whole);
  REQUIRE(core::IsOk(delta));
  REQUIRE(core::Value(delta).number == 2);
  REQUIRE(core::Value(delta).messages ==
          ToJson(QJsonValue(QJsonArray{Message("user", "two")})));
}

TEST_CASE("a retried chat request maps to the same call") {
  const auto delta = ChatDeltaOf(History(), QJsonArray{Message("user", "one")});
  REQUIRE(core::IsOk(delta));
  REQUIRE(core::Value(delta).number == 1);
}

TEST_CASE("a chat request that contradicts the history is refused") {
  const QJsonArray other{Message("user", "changed"),
                         Message("assistant", "first"), Message("user", "two")};
  const auto delta = ChatDeltaOf(History(), other);
  REQUIRE_FALSE(core::IsOk(delta));
  REQUIRE(core::ErrorOf(delta).code == core::ErrorCode::kConflict);
  REQUIRE(core::ErrorOf(delta).execution == core::Execution::kNotRun);
}

}  // namespace
}  // namespace hawthorn::main
