#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/id.h"
#include "main/groups/group_client.h"
#include "main/groups/hosted_group.h"
#include "main/threads/sinks.h"
#include "main/threads/timers.h"
#include "peer.pb.h"

namespace hawthorn::main {

/// Routes commands and queries to the leaders of the replicated groups: to
/// local replicas directly, to other instances through peer links. Runs on the
/// decision thread.
class ReplicatedGroups final : public GroupClient {
 public:
  using PeerReply = std::function<void(schema::PeerMessage)>;

  struct Parts {
    const core::Clock& clock;
    PeerSink& peers;
    JournalSink& journal;
    Timers& timers;
    std::string self;
  };

  explicit ReplicatedGroups(Parts parts) : parts_(parts) {}

  /// Sets the instances that may host a replica of `group`.
  void SetHosts(const std::string& group, std::vector<std::string> instances);

  /// Adds the local replica of `group`.
  void AddReplica(const std::string& group, HostedGroup* replica);

  void Propose(const std::string& group, std::string command,
               ReplyHandler on_reply) override;
  void Query(const std::string& group, std::string query,
             ReplyHandler on_reply) override;

  /// Handles a peer's message if it concerns a group. Returns false otherwise.
  bool OnPeerMessage(const schema::PeerMessage& message,
                     const PeerReply& reply);

  /// Handles the result of writing a batch to the journal.
  void OnJournalWritten(const std::string& group, uint64_t sequence,
                        const core::Status& status);

  /// Advances the timers of every replica to the current time.
  void Tick();

  /// Sends pending messages to the peer links and pending batches to the
  /// journal. Must be called after every event.
  void Flush();

  /// Transfers the leadership of every group that has other voters. Returns
  /// true once this instance leads no such group.
  bool TransferLeadership();

  /// The local replica of `group`, or null.
  HostedGroup* Find(const std::string& group) const;
  /// The local replicas by group name.
  const std::map<std::string, HostedGroup*>& replicas() const {
    return replicas_;
  }

 private:
  struct Operation {
    bool is_query = false;
    std::string group;
    std::string payload;
    ReplyHandler on_reply;
    core::TimePoint deadline;
    /// Index of the next host to try, modulo the number of hosts.
    size_t next_host = 0;
    std::string leader_hint;
    /// An earlier attempt may have been committed.
    bool may_have_run = false;
  };
  using OperationPtr = std::shared_ptr<Operation>;

  void Run(const OperationPtr& operation);
  void RunLocally(const OperationPtr& operation, HostedGroup& replica);
  void SendToHost(const OperationPtr& operation, const std::string& instance);
  void OnReply(const OperationPtr& operation,
               const core::Result<schema::PeerMessage>& result);
  void RetryLater(const OperationPtr& operation, const core::Error& error);
  /// Ends an operation with `error`. If an earlier attempt may have been
  /// committed, the error is reported as kUnknown, never as kNotRun.
  static void Fail(const Operation& operation, core::Error error);
  std::string ChooseHost(Operation& operation) const;
  /// The local replica if it is the leader and its membership contains a
  /// majority of the configured hosts as voters; null otherwise. So no command
  /// is committed on fewer copies while a group bootstraps or repairs itself.
  HostedGroup* FindLocalLeader(const std::string& group) const;
  void HandlePropose(const schema::PeerMessage& message,
                     const PeerReply& reply);
  void HandleQuery(const schema::PeerMessage& message, const PeerReply& reply);

  Parts parts_;
  std::map<std::string, std::vector<std::string>> hosts_;
  std::map<std::string, HostedGroup*> replicas_;
  std::map<std::string, bool> writing_;
};

}  // namespace hawthorn::main
