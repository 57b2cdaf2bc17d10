#include "main/groups/ledger_query.h"

#include <algorithm>

#include "main/http/json.h"
#include "query.pb.h"

namespace hawthorn::main {

namespace {

void EvaluateHistoryQuery(const programs::Ledger& ledger,
                          const schema::HistoryQuery& query,
                          schema::LedgerQueryReply* reply) {
  const auto summary = ledger.Find(query.organisation(), query.program());
  if (!summary) {
    return;
  }
  reply->set_found(true);
  *reply->add_programs() = *summary;
  for (schema::HistoryEntry& it :
       ledger.History(query.organisation(), query.program(),
                      std::max<uint32_t>(1, query.from()))) {
    *reply->add_history() = std::move(it);
  }
}

}  // namespace

core::Result<std::string> EvaluateLedgerQuery(const programs::Ledger& ledger,
                                              const std::string& query) {
  schema::LedgerQuery parsed;
  if (!parsed.ParseFromString(query)) {
    return NotRun(core::ErrorCode::kInvalidArgument, "malformed query");
  }
  schema::LedgerQueryReply reply;
  if (parsed.has_history()) {
    EvaluateHistoryQuery(ledger, parsed.history(), &reply);
  } else if (parsed.has_list()) {
    reply.set_found(true);
    for (schema::ProgramSummary& it :
         ledger.List(parsed.list().organisation(), parsed.list().limit())) {
      *reply.add_programs() = std::move(it);
    }
  }
  return reply.SerializeAsString();
}

core::Result<std::string> EvaluateControlQuery(
    const control::ControlState& state, const std::string& query) {
  schema::ControlQuery parsed;
  if (!parsed.ParseFromString(query)) {
    return NotRun(core::ErrorCode::kInvalidArgument, "malformed query");
  }
  schema::ControlQueryReply reply;
  if (parsed.kind() == schema::ControlQuery::KIND_CURRENT) {
    *reply.mutable_current() = state.current();
  }
  if (parsed.kind() == schema::ControlQuery::KIND_HISTORY) {
    for (const schema::RevisionRecord& it : state.history()) {
      schema::VersionedConfiguration& item = *reply.add_history();
      item.set_revision(it.revision());
      item.set_author(it.author());
      item.set_operation(it.operation());
      item.set_wall_ms(it.wall_ms());
    }
  }
  return reply.SerializeAsString();
}

}  // namespace hawthorn::main
