#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "consensus/replica.h"
#include "consensus/state_machine.h"
#include "storage/log_store.h"

namespace hawthorn::consensus {

/// Options of a group: its replica and when it takes snapshots.
struct GroupOptions {
  ReplicaOptions replica;
  /// Applied entries after which a snapshot is taken and the log compacted, if
  /// their commands have at least a part of the size of the previous snapshot:
  /// what a snapshot costs for each command does not grow with the state.
  uint64_t snapshot_entries = 10000;
  /// Bytes of applied commands after which a snapshot is taken in any case.
  uint64_t snapshot_bytes = uint64_t{64} * 1024 * 1024;
};

/// Connects a replica to its store and its state machine. One thread owns the
/// group; another thread may write the batches (TakeBatch and OnPersisted), or
/// the same one does (Persist). A group with a single voter elects itself
/// immediately.
template <StateMachine Machine>
class Group {
 public:
  /// Receives the reply of the state machine once the command is committed.
  /// After kNotLeader or kOverloaded the command was not appended (not run);
  /// after an error with execution kUnknown it was appended and may still
  /// commit.
  using ReplyCallback = std::function<void(const core::Result<std::string>&)>;
  /// Called with OK once a linearizable read of the state machine is possible,
  /// else with the error.
  using ReadCallback = std::function<void(const core::Status&)>;

  /// Loads `store` and restores `machine`; both must outlive the group. Returns
  /// errors of the store and of Restore. The incarnation and durability of the
  /// store replace those in the options.
  static core::Result<std::unique_ptr<Group>> Open(GroupOptions options,
                                                   storage::LogStore* store,
                                                   Machine* machine,
                                                   core::TimePoint now) {
    options.replica.id.incarnation = store->incarnation();
    options.replica.durable = store->durable();
    core::Result<storage::StoredState> state = store->Load();
    if (!core::IsOk(state)) {
      return core::ErrorOf(state);
    }
    std::unique_ptr<Group> group(new Group(std::move(options),
                                           core::TakeValue(std::move(state)),
                                           store, machine, now));
    group->Tick(now);
    if (group->failure_) {
      return *group->failure_;
    }
    return group;
  }

  Group(const Group&) = delete;
  Group& operator=(const Group&) = delete;

  /// Handles a message from another replica of this group.
  void Step(const schema::ConsensusMessage& message, core::TimePoint now) {
    replica_.Step(message, now);
    ProcessActions(now);
  }

  /// Advances timers to `now`. Call at least ten times per election timeout.
  void Tick(core::TimePoint now) {
    replica_.Tick(now);
    ProcessActions(now);
  }

  /// Proposes a command. `callback` is called exactly once, possibly before
  /// this returns.
  /// Proposals made before the next TakeOutbox or TakeBatch share a batch.
  void Propose(std::string command, ReplyCallback callback,
               core::TimePoint now) {
    if (failure_) {
      callback(*failure_);
      return;
    }
    const auto position = replica_.Propose(std::move(command), now);
    if (!core::IsOk(position)) {
      callback(core::ErrorOf(position));
      return;
    }
    const LogPosition& at = core::Value(position);
    proposals_[at.index] = Proposal{at.term, std::move(callback)};
  }

  /// Requests a linearizable read of the state machine.
  void Read(ReadCallback callback, core::TimePoint now) {
    const uint64_t token = ++last_token_;
    const core::Status status = replica_.ReadIndex(token, now);
    if (!core::IsOk(status)) {
      callback(status);
      return;
    }
    reads_[token] = PendingRead{std::nullopt, std::move(callback)};
    ProcessActions(now);
  }

  /// Proposes a membership change; see Replica::ProposeMembership.
  core::Status ChangeMembership(const MembershipChange& change,
                                core::TimePoint now) {
    const auto position = replica_.ProposeMembership(change, now);
    ProcessActions(now);
    if (!core::IsOk(position)) {
      return core::ErrorOf(position);
    }
    return std::monostate{};
  }

  /// Transfers leadership, for example before a shutdown; see
  /// Replica::TransferLeadership.
  core::Status TransferLeadership(const std::string& instance,
                                  core::TimePoint now) {
    const core::Status status = replica_.TransferLeadership(instance, now);
    ProcessActions(now);
    return status;
  }

  /// Messages for other replicas; `to` is the recipient of each.
  std::vector<schema::ConsensusMessage> TakeOutbox(core::TimePoint now) {
    ProcessActions(now);
    return std::exchange(outbox_, {});
  }

  /// The next batch to write and sync, if any. At most one batch is in flight;
  /// changes that arrive meanwhile go into the next one.
  std::optional<storage::LogBatch> TakeBatch(core::TimePoint now) {
    ProcessActions(now);
    return std::exchange(batch_, std::nullopt);
  }

  /// Reports the result of LogStore::Write for the batch in flight. After an
  /// error the replica gives up leadership, and the next batch contains the
  /// same changes again.
  void OnPersisted(uint64_t sequence, const core::Status& status,
                   core::TimePoint now) {
    if (core::IsOk(status)) {
      replica_.OnPersisted(sequence, now);
    } else {
      last_storage_error_ = core::ErrorOf(status);
      replica_.OnPersistFailed(now);
    }
    ProcessActions(now);
  }

  /// Writes all pending batches on the calling thread.
  core::Status Persist(core::TimePoint now) {
    while (std::optional<storage::LogBatch> batch = TakeBatch(now)) {
      const core::Status status = store_->Write(*batch);
      OnPersisted(batch->sequence, status, now);
      if (!core::IsOk(status)) {
        return status;
      }
    }
    return std::monostate{};
  }

  const Replica& replica() const { return replica_; }
  bool is_leader() const { return replica_.role() == Role::kLeader; }
  /// Index of the last entry applied to the state machine.
  uint64_t applied_index() const { return applied_.index; }
  /// That entry with its term.
  const LogPosition& applied_position() const { return applied_; }
  /// Number of snapshots of the leader that replaced the state.
  uint64_t install_count() const { return install_count_; }
  uint64_t snapshot_count() const { return snapshot_count_; }
  /// Size of the snapshot that this replica took or installed last, in bytes; 0
  /// if none.
  uint64_t snapshot_bytes() const { return snapshot_bytes_; }
  /// Bytes of the commands that were applied since then.
  uint64_t bytes_since_snapshot() const { return bytes_since_snapshot_; }
  /// Error of the last write; empty if it succeeded.
  std::optional<core::Error> storage_error() const {
    return replica_.storage_failed() ? last_storage_error_ : std::nullopt;
  }

 private:
  /// Part of the previous snapshot's size that the commands since then must
  /// have, as a divisor.
  static constexpr uint64_t kSnapshotSizeDivisor = 2;

  struct Proposal {
    uint64_t term = 0;
    ReplyCallback callback;
  };
  struct PendingRead {
    std::optional<uint64_t> index;
    ReadCallback callback;
  };

  Group(GroupOptions options, storage::StoredState state,
        storage::LogStore* store, Machine* machine, core::TimePoint now)
      : options_(options),
        store_(store),
        machine_(machine),
        replica_(std::move(options.replica), std::move(state), now) {}

  void ProcessActions(core::TimePoint now) {
    if (failure_) {
      return;
    }
    Actions actions = replica_.TakeActions(now);
    for (schema::ConsensusMessage& message : actions.messages) {
      outbox_.push_back(std::move(message));
    }
    if (actions.persist) {
      batch_ = std::move(actions.persist);
    }
    if (actions.install) {
      Install(*actions.install);
    }
    for (const LogEntry& entry : actions.committed) {
      Apply(entry);
    }
    ResolveReads(actions);
    if (!is_leader()) {
      FailProposals();
    }
    MaybeCompact();
  }

  void Install(const Snapshot& snapshot) {
    const core::Status status = machine_->Restore(snapshot.data);
    if (!core::IsOk(status)) {
      failure_ = core::ErrorOf(status);
      return;
    }
    applied_ = LogPosition{snapshot.index, snapshot.term};
    snapshot_bytes_ = snapshot.data.size();
    ++install_count_;
    applied_since_snapshot_ = 0;
    bytes_since_snapshot_ = 0;
  }

  void Apply(const LogEntry& entry) {
    std::string reply;
    if (entry.kind == storage::EntryKind::kCommand) {
      reply = machine_->Apply(entry.index, entry.data);
    }
    applied_ = LogPosition{entry.index, entry.term};
    ++applied_since_snapshot_;
    bytes_since_snapshot_ += entry.data.size();
    const auto it = proposals_.find(entry.index);
    if (it == proposals_.end()) {
      return;
    }
    const Proposal proposal = std::move(it->second);
    proposals_.erase(it);
    if (proposal.term == entry.term) {
      proposal.callback(std::move(reply));
      return;
    }
    proposal.callback(core::Error{core::ErrorCode::kNotLeader,
                                  "another entry took the place",
                                  core::Execution::kNotRun,
                                  {}});
  }

  void ResolveReads(const Actions& actions) {
    for (const uint64_t token : actions.failed_reads) {
      FinishRead(token, core::Error{core::ErrorCode::kNotLeader,
                                    "leadership ended before the read",
                                    core::Execution::kNotRun,
                                    {}});
    }
    for (const ReadyRead& read : actions.ready_reads) {
      const auto it = reads_.find(read.token);
      if (it != reads_.end()) {
        it->second.index = read.index;
      }
    }
    std::vector<uint64_t> ready;
    for (const auto& [token, read] : reads_) {
      if (read.index && *read.index <= applied_.index) {
        ready.push_back(token);
      }
    }
    for (const uint64_t token : ready) {
      FinishRead(token, std::monostate{});
    }
  }

  void FinishRead(uint64_t token, const core::Status& status) {
    const auto it = reads_.find(token);
    if (it == reads_.end()) {
      return;
    }
    const ReadCallback callback = std::move(it->second.callback);
    reads_.erase(it);
    callback(status);
  }

  void FailProposals() {
    for (auto& [index, proposal] : std::exchange(proposals_, {})) {
      proposal.callback(core::Error{
          core::ErrorCode::kUnavailable,
          "leadership ended before the commit; the command may still commit",
          core::Execution::kUnknown,
          {}});
    }
  }

  void MaybeCompact() {
    const bool due =
        (applied_since_snapshot_ >= options_.snapshot_entries &&
         bytes_since_snapshot_ >= snapshot_bytes_ / kSnapshotSizeDivisor) ||
        bytes_since_snapshot_ >= options_.snapshot_bytes;
    if (!due || replica_.persisted_index() < applied_.index) {
      return;
    }
    std::string snapshot = machine_->Snapshot();
    const uint64_t snapshot_bytes = snapshot.size();
    if (!core::IsOk(replica_.Compact(applied_.index, std::move(snapshot)))) {
      return;
    }
    snapshot_bytes_ = snapshot_bytes;
    applied_since_snapshot_ = 0;
    bytes_since_snapshot_ = 0;
    ++snapshot_count_;
  }

  GroupOptions options_;
  storage::LogStore* store_;
  Machine* machine_;
  Replica replica_;
  std::vector<schema::ConsensusMessage> outbox_;
  std::optional<storage::LogBatch> batch_;
  std::map<uint64_t, Proposal> proposals_;
  std::map<uint64_t, PendingRead> reads_;
  uint64_t last_token_ = 0;
  LogPosition applied_;
  uint64_t applied_since_snapshot_ = 0;
  uint64_t bytes_since_snapshot_ = 0;
  uint64_t snapshot_count_ = 0;
  uint64_t snapshot_bytes_ = 0;
  uint64_t install_count_ = 0;
  std::optional<core::Error> failure_;
  std::optional<core::Error> last_storage_error_;
};

}  // namespace hawthorn::consensus
