#include "programs/program.h"

#include <algorithm>
#include <utility>

#include "programs/program_id.h"
#include "programs/timer_index.h"

namespace hawthorn::programs {
namespace {

/// Approximate size of a token in bytes of text.
constexpr size_t kBytesPerToken = 4;

int64_t CreationTimeIn(const std::string& id) {
  const core::Result<ProgramId> parts = ParseProgramId(id);
  return core::IsOk(parts) ? core::Value(parts).created_ms : 0;
}

schema::CreateProgram ToCreateProgram(const Program& program) {
  schema::CreateProgram create;
  create.set_program(program.id);
  create.set_organisation(program.organisation);
  create.set_parent(program.parent);
  create.set_service_class(program.service_class);
  *create.mutable_budget() = ToSchema(program.budget.limit());
  create.mutable_budget()->set_wall_ms(program.wall_budget_ms);
  create.set_on_tool_timeout(program.on_tool_timeout);
  create.set_idle_expiry_ms(program.idle_expiry_ms);
  return create;
}

}  // namespace

Program::Program(uint64_t serial, const schema::CreateProgram& create,
                 int64_t created_ms)
    : serial(serial),
      id(create.program()),
      organisation(create.organisation()),
      parent(create.parent()),
      service_class(create.service_class()),
      on_tool_timeout(create.on_tool_timeout()),
      idle_expiry_ms(create.idle_expiry_ms()),
      wall_budget_ms(create.budget().wall_ms()),
      id_ms(CreationTimeIn(create.program())),
      created_ms(created_ms),
      active_ms(created_ms),
      wall_deadline_ms(wall_budget_ms == 0 ? TimerIndex::kNever
                                           : created_ms + wall_budget_ms),
      budget(ToAmounts(create.budget())) {}

Program::Program(const schema::SnapshotProgram& snapshot)
    : Program(snapshot.serial(), snapshot.create(), snapshot.created_ms()) {
  parent_serial = snapshot.parent_serial();
  children.insert(snapshot.child_serials().begin(),
                  snapshot.child_serials().end());
  budget = BudgetAccount(snapshot.budget());
  calls.reserve(static_cast<size_t>(snapshot.calls_size()));
  for (const schema::SnapshotCall& it : snapshot.calls()) {
    calls.push_back(CallRecord::FromSnapshot(it));
  }
  for (const schema::SnapshotNote& it : snapshot.notes()) {
    notes.push_back({it.after_number(), it.text()});
  }
  if (snapshot.has_open()) {
    pending = std::make_unique<PendingCall>(
        PendingCall::FromSnapshot(snapshot.open()));
  }
  if (snapshot.paused()) {
    pause = std::make_unique<ToolPause>(
        ToolPause{snapshot.tool(), snapshot.pause_deadline_ms()});
  }
  ended = snapshot.ended();
  compacted = snapshot.compacted();
  returned = snapshot.returned();
  reason = snapshot.reason();
  ended_ms = snapshot.ended_ms();
  active_ms = snapshot.active_ms();
  wall_deadline_ms = snapshot.wall_deadline_ms();
  last_pause = snapshot.last_pause();
  history_tokens = snapshot.history_tokens();
  attained_tokens = snapshot.attained_tokens();
  depth = snapshot.depth();
}

bool Program::IsCreatedBy(const schema::CreateProgram& create) const {
  return create.parent() == parent && create.service_class() == service_class &&
         create.on_tool_timeout() == on_tool_timeout &&
         create.idle_expiry_ms() == idle_expiry_ms &&
         create.budget().wall_ms() == wall_budget_ms &&
         ToAmounts(create.budget()) == budget.limit();
}

const CallRecord* Program::FindRecord(uint32_t number) const {
  if (number == 0 || number > calls.size()) {
    return nullptr;
  }
  return &calls[number - 1];
}

void Program::Append(CallRecord record) {
  if (record.outcome == schema::OUTCOME_RAN) {
    history_tokens += static_cast<int64_t>(
        (record.ContentBytes() + kBytesPerToken - 1) / kBytesPerToken);
  }
  calls.push_back(std::move(record));
  pending.reset();
}

schema::FinishCall Program::OutcomeOf(uint32_t number) const {
  schema::FinishCall outcome = FindRecord(number)->ToOutcome();
  outcome.set_program(id);
  outcome.set_organisation(organisation);
  outcome.set_number(number);
  return outcome;
}

schema::OpenCall Program::OpenCall() const {
  schema::OpenCall call = pending->ToOpenCall();
  call.set_program(id);
  call.set_organisation(organisation);
  call.set_number(next_number());
  return call;
}

void Program::Compact() {
  compacted = true;
  for (size_t i = 0; i < calls.size(); ++i) {
    CallRecord& call = calls[i];
    call.messages = std::string();
    const bool keep =
        i + 1 == calls.size() || call.kind != schema::CALL_KIND_MODEL;
    if (!keep && !call.answer.empty()) {
      call.answer = std::string();
      call.answer_dropped = true;
    }
  }
  calls.shrink_to_fit();
  notes = {};
}

int64_t Program::IdleDeadline(const LedgerOptions& options) const {
  const bool in_flight = pending && !pending->owner.empty();
  if (ended || in_flight || pause || !children.empty()) {
    return TimerIndex::kNever;
  }
  return active_ms + (idle_expiry_ms == 0 ? options.default_idle_expiry_ms
                                          : idle_expiry_ms);
}

int64_t Program::NextDeadline(const LedgerOptions& options) const {
  if (!ended) {
    const int64_t pause_ms = pause ? pause->deadline_ms : TimerIndex::kNever;
    return std::min({wall_deadline_ms, pause_ms, IdleDeadline(options)});
  }
  if (!IsFinished()) {
    return TimerIndex::kNever;
  }
  if (!compacted) {
    return ended_ms + options.history_retention_ms;
  }
  return std::max(ended_ms, id_ms) + options.retention_ms + 1;
}

std::vector<schema::HistoryEntry> Program::History(uint32_t from_number) const {
  std::vector<schema::HistoryEntry> entries;
  auto note = std::lower_bound(
      notes.begin(), notes.end(), from_number,
      [](const HistoryNote& a, uint32_t n) { return a.after_number < n; });
  const uint32_t first = std::max<uint32_t>(from_number, 1);
  for (uint32_t number = first; number <= calls.size() + 1; ++number) {
    for (; note != notes.end() && note->after_number < number; ++note) {
      schema::HistoryEntry& entry = entries.emplace_back();
      entry.set_number(note->after_number);
      entry.set_ledger_message(note->text);
    }
    if (number > calls.size()) {
      break;
    }
    schema::HistoryEntry& entry = entries.emplace_back();
    entry.set_number(number);
    entry.set_messages(calls[number - 1].messages);
    *entry.mutable_recorded() = OutcomeOf(number);
  }
  return entries;
}

schema::ProgramSummary Program::Summary() const {
  schema::ProgramSummary summary;
  summary.set_program(id);
  summary.set_organisation(organisation);
  summary.set_parent(parent);
  summary.set_service_class(service_class);
  summary.set_state(ended   ? schema::PROGRAM_STATE_ENDED
                    : pause ? schema::PROGRAM_STATE_PAUSED
                            : schema::PROGRAM_STATE_RUNNING);
  summary.set_reason(reason);
  summary.set_next_number(next_number());
  if (pending) {
    *summary.mutable_open() = OpenCall();
  }
  *summary.mutable_budget() = ToSchema(budget.limit());
  summary.mutable_budget()->set_wall_ms(wall_budget_ms);
  *summary.mutable_used() = ToSchema(budget.used());
  *summary.mutable_reserved() = ToSchema(budget.reserved() + budget.carved());
  summary.set_history_tokens(history_tokens);
  summary.set_attained_tokens(attained_tokens);
  if (pause) {
    summary.set_tool(pause->tool);
    summary.set_pause_deadline_wall_ms(pause->deadline_ms);
  }
  summary.set_created_wall_ms(created_ms);
  summary.set_ended_wall_ms(ended_ms);
  return summary;
}

schema::SnapshotProgram Program::ToSnapshot() const {
  schema::SnapshotProgram snapshot;
  snapshot.set_serial(serial);
  *snapshot.mutable_create() = ToCreateProgram(*this);
  snapshot.set_parent_serial(parent_serial);
  snapshot.mutable_child_serials()->Add(children.begin(), children.end());
  *snapshot.mutable_budget() = budget.ToSnapshot();
  for (const CallRecord& it : calls) {
    *snapshot.add_calls() = it.ToSnapshot();
  }
  if (pending) {
    *snapshot.mutable_open() = pending->ToSnapshot();
  }
  for (const HistoryNote& it : notes) {
    schema::SnapshotNote* const note = snapshot.add_notes();
    note->set_after_number(it.after_number);
    note->set_text(it.text);
  }
  snapshot.set_ended(ended);
  snapshot.set_compacted(compacted);
  snapshot.set_returned(returned);
  snapshot.set_reason(reason);
  snapshot.set_created_ms(created_ms);
  snapshot.set_ended_ms(ended_ms);
  snapshot.set_active_ms(active_ms);
  snapshot.set_wall_deadline_ms(wall_deadline_ms);
  snapshot.set_paused(pause != nullptr);
  if (pause) {
    snapshot.set_tool(pause->tool);
    snapshot.set_pause_deadline_ms(pause->deadline_ms);
  }
  snapshot.set_last_pause(last_pause);
  snapshot.set_history_tokens(history_tokens);
  snapshot.set_attained_tokens(attained_tokens);
  snapshot.set_depth(depth);
  return snapshot;
}

}  // namespace hawthorn::programs
