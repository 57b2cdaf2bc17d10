#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "ledger.pb.h"

namespace hawthorn::programs {

/// Reference model of the ledger's verdicts, outcomes and budgets, as simple as
/// possible. Programs are identified by small numbers; there are no deadlines.
struct ReferenceModel {
  static constexpr uint32_t kMaxAttempts = 3;
  static constexpr int64_t kReserve = 10;

  struct Done {
    int content = 0;
    uint32_t attempt = 0;
    schema::Outcome outcome = schema::OUTCOME_UNSPECIFIED;
  };

  struct Open {
    int content = 0;
    schema::CallKind kind = schema::CALL_KIND_UNSPECIFIED;
    std::string owner;
    uint64_t intent = 0;
    uint32_t attempt = 1;
    bool may_have_run = false;
  };

  struct Program {
    int parent = -1;
    int64_t limit = 0;
    int64_t used = 0;
    int64_t carved = 0;
    std::set<int> children;
    std::vector<Done> done;
    std::optional<Open> open;
    bool ended = false;
    bool returned = false;

    int64_t Free() const {
      return limit - used - carved - (open ? kReserve : 0);
    }
    uint32_t next() const { return static_cast<uint32_t>(done.size()) + 1; }
  };

  std::map<int, Program> programs;

  schema::Verdict Create(int id, int parent, int64_t limit) {
    if (programs.contains(id)) {
      const Program& known = programs[id];
      if (known.parent != parent || known.limit != limit) {
        return schema::VERDICT_CONFLICT;
      }
      return known.ended ? schema::VERDICT_ENDED : schema::VERDICT_ACCEPTED;
    }
    if (parent >= 0) {
      if (!programs.contains(parent)) {
        return schema::VERDICT_NOT_FOUND;
      }
      Program& parent_program = programs[parent];
      if (parent_program.ended) {
        return schema::VERDICT_ENDED;
      }
      if (limit > parent_program.Free()) {
        return schema::VERDICT_BUDGET;
      }
      parent_program.carved += limit;
      parent_program.children.insert(id);
    }
    programs[id].parent = parent;
    programs[id].limit = limit;
    return schema::VERDICT_ACCEPTED;
  }

  schema::Verdict Begin(int id, uint32_t number, const Open& wanted) {
    if (!programs.contains(id)) {
      return schema::VERDICT_NOT_FOUND;
    }
    Program& it = programs[id];
    if (number < it.next()) {
      return it.done[number - 1].content == wanted.content
                 ? schema::VERDICT_RECORDED
                 : schema::VERDICT_CONFLICT;
    }
    if (it.open && number == it.next()) {
      return BeginOpen(id, wanted);
    }
    if (it.ended) {
      return schema::VERDICT_ENDED;
    }
    if (it.open || number != it.next()) {
      return schema::VERDICT_OUT_OF_ORDER;
    }
    if (it.used >= it.limit) {
      End(id);
      return schema::VERDICT_BUDGET;
    }
    if (it.Free() < kReserve) {
      return schema::VERDICT_BUDGET;
    }
    it.open = wanted;
    return schema::VERDICT_ACCEPTED;
  }

  schema::Verdict Retry(int id, uint32_t number, uint32_t failed,
                        bool failed_not_run, const Open& next) {
    Program& it = programs[id];
    if (!it.open || number != it.next()) {
      return schema::VERDICT_STALE;
    }
    if (it.open->intent == next.intent && it.open->owner == next.owner &&
        failed + 1 == it.open->attempt) {
      return schema::VERDICT_ACCEPTED;
    }
    if (failed != it.open->attempt) {
      return schema::VERDICT_STALE;
    }
    it.open->may_have_run = it.open->may_have_run || !failed_not_run;
    it.used += it.open->owner.empty() && !failed_not_run ? kReserve : 0;
    return Reopen(id, next);
  }

  schema::Verdict Finish(int id, uint32_t number, uint32_t attempt,
                         schema::Outcome outcome, int64_t used) {
    Program& it = programs[id];
    if (number < it.next()) {
      const Done& done = it.done[number - 1];
      return done.attempt == attempt && done.outcome == outcome
                 ? schema::VERDICT_RECORDED
                 : schema::VERDICT_STALE;
    }
    if (!it.open || number != it.next() || attempt != it.open->attempt) {
      return schema::VERDICT_STALE;
    }
    const bool unknown = outcome == schema::OUTCOME_UNKNOWN;
    Close(id, outcome, unknown ? std::max(used, kReserve) : used);
    return schema::VERDICT_ACCEPTED;
  }

  void LoseOwner(const std::string& owner) {
    for (auto& [id, it] : programs) {
      if (!it.open || it.open->owner != owner) {
        continue;
      }
      const bool final = it.open->kind == schema::CALL_KIND_NON_IDEMPOTENT ||
                         it.ended || it.open->attempt >= kMaxAttempts;
      if (final) {
        Close(id, schema::OUTCOME_UNKNOWN, kReserve);
      } else {
        it.open->owner.clear();
        it.open->may_have_run = true;
      }
    }
  }

  void End(int id) {
    Program& it = programs[id];
    if (it.ended) {
      return;
    }
    const std::set<int> children = it.children;
    for (const int child : children) {
      End(child);
    }
    it.ended = true;
    if (it.open && it.open->owner.empty()) {
      Close(id, schema::OUTCOME_UNKNOWN, kReserve);
    }
    ReturnBudget(id);
  }

 private:
  schema::Verdict BeginOpen(int id, const Open& wanted) {
    Open& open = *programs[id].open;
    if (open.content != wanted.content) {
      return schema::VERDICT_CONFLICT;
    }
    if (open.owner == wanted.owner && open.intent == wanted.intent) {
      return schema::VERDICT_ACCEPTED;
    }
    if (!open.owner.empty()) {
      return schema::VERDICT_JOIN;
    }
    programs[id].used += kReserve;
    return Reopen(id, wanted);
  }

  schema::Verdict Reopen(int id, const Open& next) {
    Program& it = programs[id];
    schema::Verdict verdict = schema::VERDICT_ACCEPTED;
    if (it.open->kind == schema::CALL_KIND_NON_IDEMPOTENT) {
      verdict = schema::VERDICT_RETRIES_EXHAUSTED;
    } else if (it.ended) {
      verdict = schema::VERDICT_ENDED;
    } else if (it.open->attempt >= kMaxAttempts) {
      verdict = schema::VERDICT_RETRIES_EXHAUSTED;
    } else if (it.Free() < 0) {
      verdict = schema::VERDICT_BUDGET;
    }
    if (verdict != schema::VERDICT_ACCEPTED) {
      Close(id, schema::OUTCOME_NOT_RUN, 0);
      return verdict;
    }
    ++it.open->attempt;
    it.open->owner = next.owner;
    it.open->intent = next.intent;
    return verdict;
  }

  void Close(int id, schema::Outcome outcome, int64_t used) {
    Program& it = programs[id];
    const bool may_have_run =
        outcome == schema::OUTCOME_NOT_RUN && it.open->may_have_run;
    it.used += used;
    it.done.push_back({it.open->content, it.open->attempt,
                       may_have_run ? schema::OUTCOME_UNKNOWN : outcome});
    it.open.reset();
    ReturnBudget(id);
  }

  void ReturnBudget(int id) {
    Program& it = programs[id];
    if (!it.ended || it.open || !it.children.empty() || it.returned) {
      return;
    }
    it.returned = true;
    if (it.parent < 0) {
      return;
    }
    Program& parent_program = programs[it.parent];
    parent_program.carved -= it.limit;
    parent_program.used += it.used;
    parent_program.children.erase(id);
    ReturnBudget(it.parent);
  }
};

}  // namespace hawthorn::programs
