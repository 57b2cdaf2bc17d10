#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <set>
#include <tuple>

#include "ledger_fixture.h"
#include "reference_model.h"

// Compares the ledger with a reference model under random interleavings of
// calls, resends, lost instances, late, duplicate and misrouted answers, and
// leader changes. A fake upstream counts the attempts that ran.
namespace hawthorn::programs {
namespace {

using F = LedgerFixture;

constexpr int kPrograms = 5;
constexpr int kInstances = 3;

/// Number of times that each fault happened over all runs.
std::map<std::string, int> fault_counts;  // NOLINT

/// An attempt that an instance sent to the upstream.
struct SentAttempt {
  int program = 0;
  uint32_t number = 0;
  uint32_t attempt = 0;
  std::string owner;
  bool reached_upstream = false;
};

/// The reference model and the attempts that were sent.
struct Model {
  ReferenceModel reference;
  std::vector<SentAttempt> sent_attempts;
  std::vector<int> incarnations = std::vector<int>(kInstances, 0);
  uint64_t next_intent = 1;

  std::string Instance(int n) const {
    return "entry-" + std::to_string(n) + "/" +
           std::to_string(incarnations[static_cast<size_t>(n)]);
  }
};

/// The ledger with its log, and the upstream that counts the attempts.
struct System {
  System() : f(Options()) {}

  static LedgerOptions Options() {
    LedgerOptions options;
    options.max_attempts = ReferenceModel::kMaxAttempts;
    return options;
  }

  schema::LedgerReply Propose(const schema::LedgerCommand& command) {
    const std::string snapshot = f.ledger.Snapshot();
    if (f.log.size() == checkpoint_at) {
      checkpoint = snapshot;
    }
    return f.Apply(command);
  }

  F f;
  /// Snapshot of a replica that lags, and its position in the log.
  std::string checkpoint;
  size_t checkpoint_at = 0;
  std::map<std::pair<int, uint32_t>, int> runs;
  std::set<std::pair<int, uint32_t>> non_idempotent_calls;
};

using Step = rc::state::Command<Model, System>;

/// Compares the state visible to a caller with the reference.
void CheckAll(const Model& after, const System& system) {
  for (const auto& [id, want] : after.reference.programs) {
    const schema::ProgramSummary got = system.f.Summary(F::Id(id));
    RC_ASSERT((got.state() == schema::PROGRAM_STATE_ENDED) == want.ended);
    RC_ASSERT(got.next_number() == want.next());
    RC_ASSERT(got.has_open() == want.open.has_value());
    RC_ASSERT(got.used().tokens() == want.used);
    RC_ASSERT(got.used().tokens() + got.reserved().tokens() <= want.limit);
    const auto history = system.f.ledger.History("quetzal", F::Id(id));
    RC_ASSERT(history.size() == want.done.size());
    for (size_t i = 0; i < history.size(); ++i) {
      RC_ASSERT(history[i].number() == i + 1);
      RC_ASSERT(history[i].recorded().outcome() == want.done[i].outcome);
      const auto ran = system.runs.find({id, history[i].number()});
      const bool happened = ran != system.runs.end();
      const bool not_run = want.done[i].outcome == schema::OUTCOME_NOT_RUN;
      RC_ASSERT(!(happened && not_run));
    }
  }
  for (const auto& call : system.non_idempotent_calls) {
    const auto it = system.runs.find(call);
    const int count = it == system.runs.end() ? 0 : it->second;
    RC_ASSERT(count <= 1);
  }
}

struct CreateStep : Step {
  int id = *rc::gen::inRange(0, kPrograms);
  int parent = *rc::gen::inRange(-2, id);
  int64_t limit = *rc::gen::element<int64_t>(20, 45, 200);

  void apply(Model& model) const override {
    model.reference.Create(id, std::max(parent, -1), limit);
  }
  void run(const Model& before, System& system) const override {
    Model after = before;
    const auto want = after.reference.Create(id, std::max(parent, -1), limit);
    schema::LedgerCommand command;
    *command.mutable_create() =
        F::MakeCreate(F::Id(id), parent < 0 ? "" : F::Id(parent));
    command.mutable_create()->mutable_budget()->set_tokens(limit);
    RC_ASSERT(system.Propose(command).verdict() == want);
    CheckAll(after, system);
  }
  void show(std::ostream& os) const override {
    os << "Create " << id << " under " << parent << " with " << limit;
  }
};

/// A caller's request through any instance, from commit to dispatch.
struct BeginStep : Step {
  explicit BeginStep(const Model& model) {
    id = *rc::gen::inRange(0, kPrograms);
    const auto it = model.reference.programs.find(id);
    const int next = it == model.reference.programs.end()
                         ? 1
                         : static_cast<int>(it->second.next());
    number = static_cast<uint32_t>(std::max(
        1, next + *rc::gen::weightedElement<int>({{8, 0}, {2, -1}, {1, 1}})));
    const int content = *rc::gen::weightedElement<int>({{9, 1}, {1, 2}});
    // The kind of a call depends on its number, so that a resend has the same.
    const auto kind = (number + static_cast<uint32_t>(id)) % 2 == 0
                          ? schema::CALL_KIND_NON_IDEMPOTENT
                          : schema::CALL_KIND_MODEL;
    wanted = {content,
              kind,
              model.Instance(*rc::gen::inRange(0, kInstances)),
              model.next_intent,
              1,
              false};
    reply_lost = *rc::gen::weightedElement<int>({{2, 0}, {1, 1}, {1, 2}});
  }

  schema::Verdict ApplyToReference(Model* model) const {
    ++model->next_intent;
    const auto verdict = model->reference.Begin(id, number, wanted);
    if (verdict == schema::VERDICT_ACCEPTED && reply_lost != 2) {
      const auto& open = *model->reference.programs[id].open;
      model->sent_attempts.push_back(
          {id, number, open.attempt, wanted.owner, true});
    }
    return verdict;
  }
  void apply(Model& model) const override { ApplyToReference(&model); }
  void run(const Model& before, System& system) const override {
    Model after = before;
    const auto want = ApplyToReference(&after);
    schema::LedgerCommand command;
    *command.mutable_begin() =
        F::MakeBegin(F::Id(id), number, wanted.kind, wanted.owner);
    command.mutable_begin()->set_messages(std::to_string(wanted.content));
    command.mutable_begin()->set_intent(wanted.intent);
    schema::LedgerReply reply = system.Propose(command);
    RC_ASSERT(reply.verdict() == want);
    if (reply.verdict() != schema::VERDICT_ACCEPTED) {
      fault_counts["resent call"] += want == schema::VERDICT_RECORDED ? 1 : 0;
      fault_counts["joined call"] += want == schema::VERDICT_JOIN ? 1 : 0;
      fault_counts["conflict"] += want == schema::VERDICT_CONFLICT ? 1 : 0;
      fault_counts["budget refusal"] += want == schema::VERDICT_BUDGET ? 1 : 0;
      CheckAll(after, system);
      return;
    }
    if (reply_lost == 1) {
      // The reply is lost, and the instance proposes the command again.
      ++fault_counts["lost reply"];
      const uint32_t attempt = reply.attempt();
      reply = system.Propose(command);
      RC_ASSERT(reply.verdict() == schema::VERDICT_ACCEPTED);
      RC_ASSERT(reply.attempt() == attempt);
    }
    if (wanted.kind == schema::CALL_KIND_NON_IDEMPOTENT) {
      system.non_idempotent_calls.insert({id, number});
    }
    if (reply_lost != 2) {
      ++system.runs[{id, number}];
      ++fault_counts["dispatch"];
    } else {
      ++fault_counts["committed and never sent"];
    }
    CheckAll(after, system);
  }
  void show(std::ostream& os) const override {
    os << "Begin " << id << " call " << number << " content " << wanted.content
       << " by " << wanted.owner << " lost " << reply_lost;
  }

  int id = 0;
  uint32_t number = 0;
  ReferenceModel::Open wanted;
  /// 1: the command is proposed again; 2: the instance never sends the call.
  int reply_lost = 0;
};

/// An answer arrives: in time, late, duplicate or for another call.
struct FinishStep : Step {
  explicit FinishStep(const Model& model) {
    RC_PRE(!model.sent_attempts.empty());
    sent_attempt = *rc::gen::elementOf(model.sent_attempts);
    misrouted = *rc::gen::weightedElement<int>({{8, 0}, {1, 1}, {1, 2}});
    if (misrouted == 1) {
      sent_attempt.attempt += 1;
    }
    if (misrouted == 2) {
      sent_attempt.number += 1;
    }
    outcome = *rc::gen::weightedElement<schema::Outcome>(
        {{4, schema::OUTCOME_RAN}, {1, schema::OUTCOME_UNKNOWN}});
    used = *rc::gen::inRange<int64_t>(0, ReferenceModel::kReserve + 1);
  }

  schema::Verdict ApplyToReference(Model* model) const {
    return model->reference.Finish(sent_attempt.program, sent_attempt.number,
                                   sent_attempt.attempt, outcome, used);
  }
  void checkPreconditions(const Model& model) const override {
    // A misrouted answer that names an open attempt would be a valid one.
    const auto it = model.reference.programs.find(sent_attempt.program);
    RC_PRE(it != model.reference.programs.end());
    const auto& open = it->second.open;
    RC_PRE(misrouted == 0 || !open ||
           sent_attempt.number != it->second.next() ||
           sent_attempt.attempt != open->attempt);
  }
  void apply(Model& model) const override { ApplyToReference(&model); }
  void run(const Model& before, System& system) const override {
    Model after = before;
    const auto want = ApplyToReference(&after);
    const auto got =
        system.f.Finish(F::Id(sent_attempt.program), sent_attempt.number,
                        sent_attempt.attempt, outcome, used);
    RC_ASSERT(got == want);
    fault_counts["late or misrouted answer"] +=
        want == schema::VERDICT_STALE ? 1 : 0;
    fault_counts["duplicate answer"] +=
        want == schema::VERDICT_RECORDED ? 1 : 0;
    fault_counts["committed outcome"] +=
        want == schema::VERDICT_ACCEPTED ? 1 : 0;
    CheckAll(after, system);
  }
  void show(std::ostream& os) const override {
    os << "Finish " << sent_attempt.program << " call " << sent_attempt.number
       << " attempt " << sent_attempt.attempt << " outcome " << outcome;
  }

  SentAttempt sent_attempt;
  int misrouted = 0;
  schema::Outcome outcome = schema::OUTCOME_RAN;
  int64_t used = 0;
};

/// The owner of an open call saw its attempt fail, or never sent it.
struct RetryStep : Step {
  explicit RetryStep(const Model& model) {
    std::vector<int> open;
    for (const auto& [n, it] : model.reference.programs) {
      if (it.open) {
        open.push_back(n);
      }
    }
    RC_PRE(!open.empty());
    id = *rc::gen::elementOf(open);
    const auto& program = model.reference.programs.at(id);
    number = program.next();
    failed = program.open->attempt;
    failed -= *rc::gen::weightedElement<uint32_t>({{5, 0}, {1, 1}});
    bool sent = false;
    for (const SentAttempt& it : model.sent_attempts) {
      sent = sent || (it.program == id && it.number == number);
    }
    not_run = !sent && !program.open->owner.empty();
    next.owner = model.Instance(*rc::gen::inRange(0, kInstances));
    next.intent = model.next_intent;
  }

  void checkPreconditions(const Model& model) const override {
    RC_PRE(model.reference.programs.contains(id));
  }
  schema::Verdict ApplyToReference(Model* model) const {
    ++model->next_intent;
    const auto verdict =
        model->reference.Retry(id, number, failed, not_run, next);
    if (verdict == schema::VERDICT_ACCEPTED) {
      model->sent_attempts.push_back(
          {id, number, failed + 1, next.owner, true});
    }
    return verdict;
  }
  void apply(Model& model) const override { ApplyToReference(&model); }
  void run(const Model& before, System& system) const override {
    Model after = before;
    const auto want = ApplyToReference(&after);
    schema::LedgerCommand command;
    schema::RetryCall* const retry = command.mutable_retry();
    retry->set_program(F::Id(id));
    retry->set_organisation("quetzal");
    retry->set_number(number);
    retry->set_failed_attempt(failed);
    retry->set_failed_outcome(not_run ? schema::OUTCOME_NOT_RUN
                                      : schema::OUTCOME_UNKNOWN);
    retry->set_owner(next.owner);
    retry->set_intent(next.intent);
    const schema::LedgerReply reply = system.Propose(command);
    RC_ASSERT(reply.verdict() == want);
    if (reply.verdict() == schema::VERDICT_ACCEPTED) {
      ++system.runs[{id, number}];
      ++fault_counts["retry"];
    } else {
      ++fault_counts["refused retry"];
    }
    CheckAll(after, system);
  }
  void show(std::ostream& os) const override {
    os << "Retry " << id << " call " << number << " after " << failed;
  }

  int id = 0;
  uint32_t number = 0;
  uint32_t failed = 0;
  bool not_run = false;
  ReferenceModel::Open next;
};

/// An instance crashes and restarts with a new incarnation.
struct RestartStep : Step {
  int instance = *rc::gen::inRange(0, kInstances);

  void apply(Model& model) const override {
    model.reference.LoseOwner(model.Instance(instance));
    ++model.incarnations[static_cast<size_t>(instance)];
  }
  void run(const Model& before, System& system) const override {
    Model after = before;
    apply(after);
    const std::string name = before.Instance(instance);
    const size_t open = system.f.ledger.OpenCallsOf(name).size();
    fault_counts["lost owner"] += open > 0 ? 1 : 0;
    schema::LedgerCommand command;
    command.mutable_owner_lost()->set_owner(name);
    system.Propose(command);
    RC_ASSERT(system.f.ledger.OpenCallsOf(name).empty());
    CheckAll(after, system);
  }
  void show(std::ostream& os) const override { os << "Restart " << instance; }
};

struct EndStep : Step {
  explicit EndStep(const Model& model) {
    RC_PRE(!model.reference.programs.empty());
    id = *rc::gen::inRange(0, kPrograms);
  }
  void checkPreconditions(const Model& model) const override {
    RC_PRE(model.reference.programs.contains(id));
  }
  void apply(Model& model) const override { model.reference.End(id); }
  void run(const Model& before, System& system) const override {
    Model after = before;
    apply(after);
    RC_ASSERT(system.f.End(F::Id(id)) == schema::VERDICT_ACCEPTED);
    fault_counts["end with a call in flight"] +=
        system.f.last.ended_size() > 0 &&
                !system.f.last.ended(0).owner().empty()
            ? 1
            : 0;
    CheckAll(after, system);
  }
  void show(std::ostream& os) const override { os << "End " << id; }

  int id = 0;
};

/// Another replica takes over, restored from a snapshot and the rest of the
/// log.
struct LeaderChangeStep : Step {
  bool whole_log = *rc::gen::arbitrary<bool>();

  void run(const Model& before, System& system) const override {
    const std::string bytes = system.f.ledger.Snapshot();
    Ledger successor(System::Options());
    size_t from = 0;
    if (!whole_log && !system.checkpoint.empty()) {
      RC_ASSERT(core::IsOk(successor.Restore(system.checkpoint)));
      from = system.checkpoint_at;
    }
    for (size_t i = from; i < system.f.log.size(); ++i) {
      successor.Apply(system.f.log[i]);
    }
    RC_ASSERT(successor.Snapshot() == bytes);
    system.f.ledger = std::move(successor);
    system.checkpoint_at = system.f.log.size();
    system.checkpoint = bytes;
    ++fault_counts["leader change"];
    CheckAll(before, system);
  }
  void show(std::ostream& os) const override { os << "Leader change"; }
};

TEST_CASE("the ledger matches the reference under faults") {
  fault_counts.clear();
  const bool ok = rc::check("ledger matches the reference", [] {
    System system;
    rc::state::check(Model(), system,
                     rc::state::gen::execOneOfWithArgs<
                         CreateStep, CreateStep, BeginStep, BeginStep,
                         BeginStep, BeginStep, FinishStep, FinishStep,
                         RetryStep, RestartStep, EndStep, LeaderChangeStep>());
  });
  REQUIRE(ok);
  for (const char* const fault :
       {"resent call", "joined call", "conflict", "budget refusal",
        "lost reply", "dispatch", "committed and never sent",
        "late or misrouted answer", "duplicate answer", "committed outcome",
        "retry", "refused retry", "lost owner", "end with a call in flight",
        "leader change"}) {
    CAPTURE(fault);
    REQUIRE(fault_counts[fault] > 0);
  }
}

}  // namespace
}  // namespace hawthorn::programs
