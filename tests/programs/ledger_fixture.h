#pragma once

#include <map>
#include <string>
#include <vector>

#include "programs/ledger.h"
#include "programs/program_id.h"

namespace hawthorn::programs {

/// A ledger with helpers that build and apply the commands of the tests.
class LedgerFixture {
 public:
  static constexpr int64_t kStartMs = 1'000'000'000'000;

  explicit LedgerFixture(LedgerOptions options = {})
      : options(options), ledger(options) {}

  static std::string Id(int n, int64_t created_ms = kStartMs) {
    return ToString(
        ProgramId{"gt-central-a", created_ms, "program-" + std::to_string(n)});
  }

  schema::LedgerReply Apply(schema::LedgerCommand command) {
    command.set_wall_ms(now_ms);
    log.push_back(command);
    last = ledger.Apply(command);
    return last;
  }

  schema::Verdict Create(const schema::CreateProgram& create) {
    schema::LedgerCommand command;
    *command.mutable_create() = create;
    return Apply(command).verdict();
  }

  static schema::CreateProgram MakeCreate(const std::string& id,
                                          const std::string& parent = "") {
    schema::CreateProgram create;
    create.set_program(id);
    create.set_organisation("quetzal");
    create.set_parent(parent);
    return create;
  }

  schema::Verdict Create(const std::string& id) {
    return Create(MakeCreate(id));
  }

  static schema::BeginCall MakeBegin(const std::string& id, uint32_t number,
                                     schema::CallKind kind,
                                     const std::string& owner = "entry-1") {
    schema::BeginCall begin;
    begin.set_program(id);
    begin.set_organisation("quetzal");
    begin.set_number(number);
    begin.set_kind(kind);
    begin.set_service("asistente");
    begin.set_messages("question " + std::to_string(number));
    begin.set_owner(owner);
    begin.set_reserve_tokens(10);
    begin.set_intent(number);
    begin.set_fingerprint(7);
    return begin;
  }

  schema::Verdict Begin(const schema::BeginCall& begin) {
    schema::LedgerCommand command;
    *command.mutable_begin() = begin;
    return Apply(command).verdict();
  }

  schema::Verdict Begin(const std::string& id, uint32_t number,
                        schema::CallKind kind = schema::CALL_KIND_MODEL,
                        const std::string& owner = "entry-1") {
    return Begin(MakeBegin(id, number, kind, owner));
  }

  schema::Verdict Retry(const std::string& id, uint32_t number,
                        uint32_t failed_attempt,
                        schema::Outcome failed = schema::OUTCOME_UNKNOWN,
                        const std::string& owner = "entry-2") {
    schema::LedgerCommand command;
    schema::RetryCall* const retry = command.mutable_retry();
    retry->set_program(id);
    retry->set_organisation("quetzal");
    retry->set_number(number);
    retry->set_failed_attempt(failed_attempt);
    retry->set_failed_outcome(failed);
    retry->set_owner(owner);
    retry->set_intent(1000 + failed_attempt);
    return Apply(command).verdict();
  }

  schema::Verdict Finish(const std::string& id, uint32_t number,
                         uint32_t attempt = 1,
                         schema::Outcome outcome = schema::OUTCOME_RAN,
                         int64_t used_tokens = 5) {
    schema::LedgerCommand command;
    schema::FinishCall* const finish = command.mutable_finish();
    finish->set_program(id);
    finish->set_organisation("quetzal");
    finish->set_number(number);
    finish->set_attempt(attempt);
    finish->set_outcome(outcome);
    finish->set_used_tokens(used_tokens);
    if (outcome == schema::OUTCOME_RAN) {
      finish->set_answer("answer " + std::to_string(number));
    }
    return Apply(command).verdict();
  }

  /// Begins a call and finishes it.
  void Run(const std::string& id, uint32_t number,
           schema::CallKind kind = schema::CALL_KIND_MODEL) {
    Begin(id, number, kind);
    Finish(id, number);
  }

  schema::Verdict LoseOwner(const std::string& owner = "entry-1") {
    schema::LedgerCommand command;
    command.mutable_owner_lost()->set_owner(owner);
    return Apply(command).verdict();
  }

  schema::Verdict Pause(const std::string& id, int64_t for_ms,
                        uint32_t number = 0) {
    schema::LedgerCommand command;
    schema::BeginPause* const pause = command.mutable_begin_pause();
    pause->set_program(id);
    pause->set_organisation("quetzal");
    pause->set_tool("calendar");
    pause->set_deadline_wall_ms(now_ms + for_ms);
    pause->set_pause(number);
    return Apply(command).verdict();
  }

  schema::Verdict Unpause(const std::string& id, uint32_t number = 0) {
    schema::LedgerCommand command;
    command.mutable_end_pause()->set_program(id);
    command.mutable_end_pause()->set_organisation("quetzal");
    command.mutable_end_pause()->set_pause(number);
    return Apply(command).verdict();
  }

  schema::Verdict End(const std::string& id) {
    schema::LedgerCommand command;
    command.mutable_end()->set_program(id);
    command.mutable_end()->set_organisation("quetzal");
    return Apply(command).verdict();
  }

  schema::LedgerReply AdvanceTime(int64_t step_ms) {
    now_ms += step_ms;
    schema::LedgerCommand command;
    command.mutable_pass_time();
    return Apply(command);
  }

  schema::Verdict Hold(const std::string& id, const std::string& hold,
                       int64_t lease_ms = 60'000, uint64_t sequence = 0) {
    schema::LedgerCommand command;
    schema::AcquireHold* const acquire = command.mutable_acquire_hold();
    acquire->set_program(id);
    acquire->set_organisation("quetzal");
    acquire->set_upstream("engine-1");
    acquire->set_hold(hold);
    acquire->set_tokens(100);
    acquire->set_lease_until_wall_ms(now_ms + lease_ms);
    acquire->set_sequence(sequence);
    return Apply(command).verdict();
  }

  schema::Verdict Release(const std::string& hold) {
    schema::LedgerCommand command;
    command.mutable_release_hold()->set_upstream("engine-1");
    command.mutable_release_hold()->set_hold(hold);
    return Apply(command).verdict();
  }

  schema::Verdict Crash(uint64_t fingerprint, const std::string& upstream,
                        uint32_t together) {
    schema::LedgerCommand command;
    command.mutable_report_crash()->set_fingerprint(fingerprint);
    command.mutable_report_crash()->set_upstream(upstream);
    command.mutable_report_crash()->set_running_together(together);
    return Apply(command).verdict();
  }

  schema::ProgramSummary Summary(const std::string& id) const {
    return ledger.Find("quetzal", id).value_or(schema::ProgramSummary());
  }

  LedgerOptions options;
  Ledger ledger;
  int64_t now_ms = kStartMs;
  schema::LedgerReply last;
  std::vector<schema::LedgerCommand> log;
};

}  // namespace hawthorn::programs
