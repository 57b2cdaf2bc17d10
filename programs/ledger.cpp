#include "programs/ledger.h"

#include <google/protobuf/io/coded_stream.h>
#include <google/protobuf/io/zero_copy_stream_impl_lite.h>

#include <algorithm>
#include <utility>

#include "programs/call_rules.h"
#include "programs/lifecycle_rules.h"

namespace hawthorn::programs {
namespace {

/// Version of the snapshot format.
constexpr uint32_t kSnapshotFormat = 1;

std::string Serialize(const google::protobuf::MessageLite& message) {
  std::string bytes;
  {
    google::protobuf::io::StringOutputStream stream(&bytes);
    google::protobuf::io::CodedOutputStream out(&stream);
    out.SetSerializationDeterministic(true);
    message.SerializeToCodedStream(&out);
  }
  return bytes;
}

template <typename Message>
bool Parse(std::string_view bytes, Message* message) {
  return message->ParseFromArray(bytes.data(), static_cast<int>(bytes.size()));
}

core::Error SnapshotError(const std::string& why) {
  return {core::ErrorCode::kInvalidArgument, "ledger snapshot: " + why,
          core::Execution::kNotRun, std::nullopt};
}

}  // namespace

Ledger::Ledger(LedgerOptions options) { state_.options = std::move(options); }

schema::LedgerReply Ledger::Apply(const schema::LedgerCommand& command) {
  state_.now_ms = std::max(state_.now_ms, command.wall_ms());
  detail::LifecycleRules(&state_).HandleDueDeadlines();
  schema::LedgerReply reply = Dispatch(command);
  for (schema::EndedProgram& it : state_.ended) {
    *reply.add_ended() = std::move(it);
  }
  state_.ended.clear();
  return reply;
}

std::string Ledger::Apply(uint64_t index, std::string_view command) {
  schema::LedgerCommand parsed;
  if (index <= applied_index_) {
    return Serialize(detail::MakeReply(schema::VERDICT_INVALID,
                                       "the log entry was applied before"));
  }
  applied_index_ = index;
  if (!Parse(command, &parsed)) {
    return Serialize(detail::MakeReply(schema::VERDICT_INVALID,
                                       "the log entry is no ledger command"));
  }
  return Serialize(Apply(parsed));
}

std::string Ledger::Snapshot() const {
  schema::LedgerSnapshot snapshot;
  snapshot.set_format(kSnapshotFormat);
  snapshot.set_applied_index(applied_index_);
  snapshot.set_now_ms(state_.now_ms);
  state_.programs.WriteTo(&snapshot);
  state_.slices.WriteTo(&snapshot);
  state_.holds.WriteTo(&snapshot);
  state_.poison.WriteTo(&snapshot);
  return Serialize(snapshot);
}

core::Status Ledger::Restore(std::string_view bytes) {
  schema::LedgerSnapshot snapshot;
  if (!Parse(bytes, &snapshot)) {
    return SnapshotError("the bytes are damaged");
  }
  if (snapshot.format() != kSnapshotFormat) {
    return SnapshotError("unknown format " + std::to_string(snapshot.format()));
  }
  detail::LedgerState restored;
  restored.options = state_.options;
  restored.now_ms = snapshot.now_ms();
  restored.programs.ReadFrom(snapshot);
  restored.slices.ReadFrom(snapshot);
  restored.holds.ReadFrom(snapshot);
  restored.poison.ReadFrom(snapshot);
  for (const auto& [serial, program] : restored.programs.all()) {
    restored.timers.Set(serial, program->NextDeadline(restored.options));
  }
  state_ = std::move(restored);
  applied_index_ = snapshot.applied_index();
  return std::monostate();
}

std::optional<schema::ProgramSummary> Ledger::Find(
    const std::string& organisation, const std::string& program) const {
  const Program* const found = state_.programs.Find(organisation, program);
  if (found == nullptr) {
    return std::nullopt;
  }
  return found->Summary();
}

std::optional<schema::FinishCall> Ledger::Outcome(
    const std::string& organisation, const std::string& program,
    uint32_t number) const {
  const Program* const found = state_.programs.Find(organisation, program);
  if (found == nullptr || found->FindRecord(number) == nullptr) {
    return std::nullopt;
  }
  return found->OutcomeOf(number);
}

std::vector<schema::HistoryEntry> Ledger::History(
    const std::string& organisation, const std::string& program,
    uint32_t from_number) const {
  const Program* const found = state_.programs.Find(organisation, program);
  if (found == nullptr) {
    return {};
  }
  return found->History(from_number);
}

std::vector<schema::OpenCall> Ledger::OpenCallsOf(
    const std::string& owner) const {
  std::vector<schema::OpenCall> result;
  for (const uint64_t serial : state_.programs.OwnedBy(owner)) {
    result.push_back(state_.programs.BySerial(serial)->OpenCall());
  }
  return result;
}

std::vector<schema::ProgramSummary> Ledger::List(
    const std::string& organisation, size_t limit) const {
  std::vector<schema::ProgramSummary> result;
  for (const Program* const it : state_.programs.List(organisation, limit)) {
    result.push_back(it->Summary());
  }
  return result;
}

std::vector<schema::Hold> Ledger::HoldsOf(const std::string& organisation,
                                          const std::string& program) const {
  return state_.holds.HoldsOf(organisation, program);
}

std::vector<schema::Hold> Ledger::HoldsToRelease() const {
  return state_.holds.ToRelease();
}

std::vector<std::string> Ledger::UpstreamsToReconcile() const {
  return state_.holds.UpstreamsWithGap();
}

std::vector<schema::PoisonEntry> Ledger::PoisonEntries() const {
  return state_.poison.List();
}

schema::SnapshotOrganisation Ledger::SlicesOf(
    const std::string& organisation) const {
  return state_.slices.Find(organisation);
}

LedgerStats Ledger::Stats() const {
  LedgerStats stats;
  for (const auto& [serial, program] : state_.programs.all()) {
    ++stats.programs;
    stats.running += program->ended ? 0 : 1;
    stats.open_calls += program->pending ? 1 : 0;
    for (const CallRecord& it : program->calls) {
      stats.history_bytes += it.ContentBytes();
    }
  }
  stats.orphaned_calls = state_.programs.OwnedBy("").size();
  stats.held = state_.holds.held();
  stats.to_release = state_.holds.to_release();
  for (const schema::PoisonEntry& it : state_.poison.List()) {
    ++(it.condemned() ? stats.condemned : stats.suspected);
  }
  return stats;
}

schema::LedgerReply Ledger::Dispatch(const schema::LedgerCommand& command) {
  detail::LifecycleRules lifecycle(&state_);
  detail::CallRules calls(&state_, &lifecycle);
  switch (command.body_case()) {
    case schema::LedgerCommand::kCreate:
      return lifecycle.Create(command.create());
    case schema::LedgerCommand::kBegin:
      return calls.Begin(command.begin());
    case schema::LedgerCommand::kRetry:
      return calls.Retry(command.retry());
    case schema::LedgerCommand::kFinish:
      return calls.Finish(command.finish());
    case schema::LedgerCommand::kOwnerLost:
      return calls.OwnerLost(command.owner_lost());
    case schema::LedgerCommand::kBeginPause:
      return lifecycle.BeginPause(command.begin_pause());
    case schema::LedgerCommand::kEndPause:
      return lifecycle.EndPause(command.end_pause());
    case schema::LedgerCommand::kEnd:
      return lifecycle.End(command.end());
    case schema::LedgerCommand::kPassTime:
      return detail::MakeReply(schema::VERDICT_ACCEPTED);
    case schema::LedgerCommand::kReportCrash:
      return ReportCrash(command.report_crash());
    case schema::LedgerCommand::kClearPoison:
      state_.poison.Clear(command.clear_poison().fingerprint());
      return detail::MakeReply(schema::VERDICT_ACCEPTED);
    case schema::LedgerCommand::kAcquireHold:
      return Acquire(command.acquire_hold());
    case schema::LedgerCommand::kReleaseHold:
      return state_.holds.Release(command.release_hold());
    case schema::LedgerCommand::kGrantSlice:
      return state_.slices.Grant(command.grant_slice(), state_.now_ms);
    case schema::LedgerCommand::kCacheEvent:
      return state_.holds.Apply(command.cache_event());
    case schema::LedgerCommand::kReconcileHolds:
      return state_.holds.Apply(command.reconcile_holds());
    case schema::LedgerCommand::kUpstreamLost:
      state_.holds.Apply(command.upstream_lost());
      return detail::MakeReply(schema::VERDICT_ACCEPTED);
    case schema::LedgerCommand::BODY_NOT_SET:
      break;
  }
  return detail::MakeReply(schema::VERDICT_INVALID, "unknown command");
}

schema::LedgerReply Ledger::Acquire(const schema::AcquireHold& acquire) {
  if (acquire.upstream().empty() || acquire.hold().empty() ||
      acquire.tokens() < 0) {
    return detail::MakeReply(schema::VERDICT_INVALID,
                             "a hold needs an upstream, an id and tokens");
  }
  const Program* const program =
      state_.programs.Find(acquire.organisation(), acquire.program());
  const bool running = program != nullptr && !program->ended;
  if (running && acquire.lease_until_wall_ms() > state_.now_ms) {
    return state_.holds.Acquire(acquire);
  }
  // The engine has already created the hold, so it is marked for release.
  state_.holds.AddUnowned(acquire);
  if (program == nullptr) {
    return detail::NotFound();
  }
  return running ? detail::MakeReply(schema::VERDICT_EXPIRED,
                                     "the lease lies in the past")
                 : detail::MakeReply(schema::VERDICT_ENDED, program->reason);
}

schema::LedgerReply Ledger::ReportCrash(const schema::ReportCrash& report) {
  if (report.fingerprint() == 0 || report.upstream().empty()) {
    return detail::MakeReply(schema::VERDICT_INVALID,
                             "a report needs a fingerprint and an upstream");
  }
  const bool is_new = state_.poison.Report(
      report, state_.now_ms + state_.options.poison_expiry_ms);
  return detail::MakeReply(is_new ? schema::VERDICT_ACCEPTED
                                  : schema::VERDICT_RECORDED);
}

}  // namespace hawthorn::programs
