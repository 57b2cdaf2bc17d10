#include "programs/lifecycle_rules.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

#include "programs/call_closing.h"
#include "programs/program_id.h"

namespace hawthorn::programs::detail {

schema::LedgerReply LifecycleRules::Create(
    const schema::CreateProgram& create) {
  const std::string problem = Validate(create);
  if (!problem.empty()) {
    return MakeReply(schema::VERDICT_INVALID, problem);
  }
  const Program* const known =
      state_.programs.Find(create.organisation(), create.program());
  if (known != nullptr) {
    return CreateResent(*known, create);
  }
  return CreateNew(create);
}

schema::LedgerReply LifecycleRules::BeginPause(
    const schema::BeginPause& begin) {
  Program* const program =
      state_.programs.Find(begin.organisation(), begin.program());
  if (program == nullptr) {
    return NotFound();
  }
  if (program->ended) {
    return MakeReply(schema::VERDICT_ENDED, program->reason);
  }
  if (program->pause) {
    const bool same = program->pause->tool == begin.tool() &&
                      program->pause->deadline_ms == begin.deadline_wall_ms();
    return same ? MakeReply(schema::VERDICT_ACCEPTED)
                : MakeReply(schema::VERDICT_CONFLICT,
                            "another tool pause is under way");
  }
  if (begin.pause() != 0 && begin.pause() <= program->last_pause) {
    return MakeReply(schema::VERDICT_STALE, "this pause is over");
  }
  if (program->pending) {
    return MakeReply(schema::VERDICT_OUT_OF_ORDER, "a call is under way");
  }
  if (begin.tool().empty() || begin.deadline_wall_ms() <= state_.now_ms) {
    return MakeReply(schema::VERDICT_INVALID,
                     "a pause needs a tool and a deadline in the future");
  }
  program->pause = std::make_unique<ToolPause>(
      ToolPause{begin.tool(), begin.deadline_wall_ms()});
  program->last_pause = std::max(program->last_pause + 1, begin.pause());
  MarkActive(program);
  return MakeReply(schema::VERDICT_ACCEPTED);
}

schema::LedgerReply LifecycleRules::EndPause(const schema::EndPause& end) {
  Program* const program =
      state_.programs.Find(end.organisation(), end.program());
  if (program == nullptr) {
    return NotFound();
  }
  if (program->ended) {
    return MakeReply(schema::VERDICT_ENDED, program->reason);
  }
  if (!program->pause ||
      (end.pause() != 0 && end.pause() != program->last_pause)) {
    return MakeReply(schema::VERDICT_STALE, "this pause is over");
  }
  program->pause.reset();
  MarkActive(program);
  return MakeReply(schema::VERDICT_ACCEPTED);
}

schema::LedgerReply LifecycleRules::End(const schema::EndProgram& end) {
  Program* const program =
      state_.programs.Find(end.organisation(), end.program());
  if (program == nullptr) {
    return NotFound();
  }
  if (!program->ended) {
    EndTree(program,
            end.reason().empty() ? "ended by the caller" : end.reason());
  }
  return MakeReply(schema::VERDICT_ACCEPTED, program->reason);
}

void LifecycleRules::HandleDueDeadlines() {
  state_.holds.Expire(state_.now_ms);
  state_.poison.Expire(state_.now_ms);
  while (const auto serial = state_.timers.PopDue(state_.now_ms)) {
    Program* const program = state_.programs.BySerial(*serial);
    if (program != nullptr) {
      Expire(program);
    }
  }
}

void LifecycleRules::EndTree(Program* program, const std::string& reason) {
  const absl::btree_set<uint64_t> children = program->children;
  for (const uint64_t serial : children) {
    Program* const child = state_.programs.BySerial(serial);
    if (!child->ended) {
      EndTree(child, absl::StrCat("its parent ended: ", reason));
    }
  }
  EndOne(program, reason);
}

void LifecycleRules::MarkActive(Program* program) {
  program->active_ms = state_.now_ms;
  Update(program);
}

void LifecycleRules::Update(Program* program) {
  if (program->IsFinished() && !program->returned) {
    ReturnBudget(program);
  }
  state_.timers.Set(program->serial, program->NextDeadline(state_.options));
}

std::string LifecycleRules::Validate(
    const schema::CreateProgram& create) const {
  const core::Result<ProgramId> id = ParseProgramId(create.program());
  if (!core::IsOk(id)) {
    return core::ErrorOf(id).message;
  }
  if (create.organisation().empty()) {
    return "a program needs an organisation";
  }
  if (!state_.options.zone.empty() &&
      core::Value(id).zone != state_.options.zone) {
    return absl::StrCat("the program is not homed in ", state_.options.zone);
  }
  if (core::Value(id).created_ms >
      state_.now_ms + state_.options.max_clock_skew_ms) {
    return "the time in the program id lies in the future";
  }
  const schema::Budget& budget = create.budget();
  const int64_t least =
      std::min({budget.tokens(), budget.turns(), budget.calls(),
                budget.wall_ms(), budget.cost(), create.idle_expiry_ms()});
  return least < 0 ? "a budget or expiry is negative" : "";
}

schema::LedgerReply LifecycleRules::CreateResent(
    const Program& program, const schema::CreateProgram& create) const {
  if (!program.IsCreatedBy(create)) {
    return MakeReply(schema::VERDICT_CONFLICT,
                     "the program exists with other content");
  }
  if (program.ended) {
    return MakeReply(schema::VERDICT_ENDED, program.reason);
  }
  return MakeReply(schema::VERDICT_ACCEPTED);
}

schema::LedgerReply LifecycleRules::CreateNew(
    const schema::CreateProgram& create) {
  const int64_t id_ms =
      core::Value(ParseProgramId(create.program())).created_ms;
  if (id_ms + state_.options.retention_ms < state_.now_ms) {
    return MakeReply(schema::VERDICT_EXPIRED,
                     "the program id is older than the retention time");
  }
  Program* parent = nullptr;
  if (!create.parent().empty()) {
    parent = state_.programs.Find(create.organisation(), create.parent());
    if (parent == nullptr) {
      return NotFound();
    }
    if (parent->ended) {
      return MakeReply(schema::VERDICT_ENDED, parent->reason);
    }
    if (parent->depth + 1 >= state_.options.max_depth) {
      return MakeReply(schema::VERDICT_INVALID,
                       "sub-agents are nested too deeply");
    }
    const std::string refusal =
        parent->budget.CarveOut(ToAmounts(create.budget()));
    if (!refusal.empty()) {
      return MakeReply(schema::VERDICT_BUDGET, refusal);
    }
  }
  Program& program = state_.programs.Add(create, state_.now_ms);
  if (parent != nullptr) {
    program.parent_serial = parent->serial;
    program.depth = parent->depth + 1;
    program.wall_deadline_ms =
        std::min(program.wall_deadline_ms, parent->wall_deadline_ms);
    parent->children.insert(program.serial);
    MarkActive(parent);
  }
  Update(&program);
  return MakeReply(schema::VERDICT_ACCEPTED);
}

void LifecycleRules::EndOne(Program* program, const std::string& reason) {
  program->ended = true;
  program->ended_ms = state_.now_ms;
  program->reason = reason;
  program->pause.reset();
  state_.holds.ReleaseAllOf(program->organisation, program->id);
  schema::EndedProgram& ended = state_.ended.emplace_back();
  ended.set_organisation(program->organisation);
  ended.set_program(program->id);
  ended.set_reason(reason);
  if (program->pending && program->pending->owner.empty()) {
    CloseAfterOwnerLoss(&state_, program);
  }
  if (program->pending) {
    ended.set_open_call(program->next_number());
    ended.set_owner(program->pending->owner);
  }
  Update(program);
}

void LifecycleRules::ReturnBudget(Program* program) {
  program->returned = true;
  Program* const parent = state_.programs.BySerial(program->parent_serial);
  if (parent == nullptr) {
    return;
  }
  parent->budget.Return(program->budget);
  parent->children.erase(program->serial);
  if (parent->ended) {
    Update(parent);
  } else {
    MarkActive(parent);
  }
}

void LifecycleRules::Expire(Program* program) {
  if (program->ended && program->compacted) {
    state_.programs.Erase(program->serial);
    return;
  }
  if (program->ended) {
    program->Compact();
    Update(program);
    return;
  }
  if (program->wall_deadline_ms <= state_.now_ms) {
    EndTree(
        program,
        absl::StrCat("budget of wall time spent: ",
                     program->wall_deadline_ms - program->created_ms, " ms"));
    return;
  }
  if (program->pause) {
    ExpirePause(program);
    return;
  }
  if (program->IdleDeadline(state_.options) <= state_.now_ms) {
    EndTree(program, "expired: no call and no tool for too long");
  }
}

void LifecycleRules::ExpirePause(Program* program) {
  const std::string text = absl::StrCat("tool ", program->pause->tool,
                                        " did not answer before its deadline");
  program->pause.reset();
  if (program->on_tool_timeout != schema::TOOL_TIMEOUT_ACTION_CONTINUE) {
    EndTree(program, text);
    return;
  }
  program->notes.push_back(
      {static_cast<uint32_t>(program->calls.size()), text});
  MarkActive(program);
}

}  // namespace hawthorn::programs::detail
