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

/// The replicated groups of the deployment as one instance reaches them: its
/// own replicas, and the leaders at other instances through peer links. Runs
/// in the thread of decisions.
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

  /// Names the instances that may hold a replica of `group`.
  void SetHosts(const std::string& group, std::vector<std::string> instances);

  /// Adds the own replica of `group`.
  void AddReplica(const std::string& group, HostedGroup* replica);

  void Propose(const std::string& group, std::string command,
               ReplyHandler on_reply) override;
  void Query(const std::string& group, std::string query,
             ReplyHandler on_reply) override;

  /// Takes a peer's message about a group. Returns false for others.
  bool OnPeerMessage(const schema::PeerMessage& message,
                     const PeerReply& reply);

  /// Takes the outcome of a batch that was handed to the journal.
  void OnJournalWritten(const std::string& group, uint64_t sequence,
                        const core::Status& status);

  /// Lets time pass for every replica.
  void Tick();

  /// Hands messages to the peer links and batches to the journal. Call after
  /// every event.
  void Flush();

  /// Hands every leadership over and reports whether none is left that
  /// another instance could take.
  bool HandOver();

  /// The own replica of `group`, or null.
  HostedGroup* Find(const std::string& group) const;
  /// The own replicas by group.
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
    /// Where to ask next; counts through the hosts.
    size_t next_host = 0;
    std::string leader_hint;
    /// A try before this one may have been committed.
    bool may_have_run = false;
  };
  using OperationPtr = std::shared_ptr<Operation>;

  void Run(const OperationPtr& operation);
  void RunHere(const OperationPtr& operation, HostedGroup& replica);
  void Ask(const OperationPtr& operation, const std::string& instance);
  void OnReply(const OperationPtr& operation,
               const core::Result<schema::PeerMessage>& result);
  void TryLater(const OperationPtr& operation, const core::Error& error);
  /// Ends an operation; one that may have run is never called not run.
  static void Fail(const Operation& operation, core::Error error);
  std::string ChooseHost(Operation& operation) const;
  /// The own replica if it leads and a majority of the instances that are to
  /// vote have joined it; null otherwise. While a group forms or repairs
  /// itself, no entry is committed on fewer copies.
  HostedGroup* FindLeading(const std::string& group) const;
  void AnswerPropose(const schema::PeerMessage& message,
                     const PeerReply& reply);
  void AnswerQuery(const schema::PeerMessage& message, const PeerReply& reply);

  Parts parts_;
  std::map<std::string, std::vector<std::string>> hosts_;
  std::map<std::string, HostedGroup*> replicas_;
  std::map<std::string, bool> writing_;
};

}  // namespace hawthorn::main
