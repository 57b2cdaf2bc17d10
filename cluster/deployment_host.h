#pragma once

#include <QObject>
#include <QTimer>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cluster/command_queue.h"
#include "cluster/load_report.h"
#include "cluster/membership_planner.h"
#include "cluster/quota_server.h"
#include "cluster/state_barrier.h"
#include "cluster/watch_registry.h"
#include "consensus/group.h"
#include "control/deployment_state.h"
#include "core/clock.h"
#include "core/error.h"
#include "core/metrics.h"
#include "peer/replier.h"
#include "peer/transport.h"
#include "schema/generated/deployment.pb.h"
#include "storage/journal_thread.h"
#include "storage/segment_store.h"

// The deployment's group on an instance with a disk: its replica, its
// membership, and the requests of other instances.
namespace hawthorn::cluster {

/// Name of the only group in messages and in the journal.
inline constexpr const char* kDeploymentGroup = "deployment";

/// Incarnation of the initial members of a group. It is fixed, because they
/// must know each other's identities before the first contact.
inline constexpr uint64_t kInitialMemberIncarnation = 1;

struct HostOptions {
  /// This instance; its id is its IP address.
  schema::InstanceRecord self;
  /// IP addresses of the initial members of the group, at the first start of
  /// the deployment only; empty at any other start.
  std::vector<std::string> initial_members;
  /// Peer addresses ("IP:port") of other instances to contact.
  std::vector<std::string> seeds;
  std::string data_folder;
  uint64_t seed = 1;
  /// Reads the request limits of organisations from a configuration.
  QuotaServer::LimitDecoder limit_decoder = {};
  /// Files of the replica; null for those of the operating system. Must outlive
  /// the host.
  storage::FileSystem* files = nullptr;
  /// Makes the journal, which reports each result to the given function, in any
  /// thread; null for a JournalThread.
  std::function<std::unique_ptr<storage::JournalSink>(
      storage::JournalThread::EventSink)>
      journal = {};
};

namespace detail {

/// Organisation label of the metrics of work for the deployment itself.
inline const core::OrganisationId kDeploymentWork("deployment");

}  // namespace detail

/// Owns the replica of this instance. Lives in one thread with an event loop;
/// the journal has a separate thread.
class DeploymentHost final : public QObject {
  Q_OBJECT

 public:
  using ProposeCallback =
      std::function<void(const core::Result<schema::DeploymentReply>&)>;
  using ReadCallback =
      std::function<void(const core::Result<schema::PublishedConfiguration>&)>;
  using RetirementCallback =
      std::function<void(const core::Result<schema::RetirementState>&)>;
  using InstancesCallback =
      std::function<void(const core::Result<schema::InstanceList>&)>;

  /// Timeout of a command. Below one second, after which callers of control try
  /// another instance.
  static constexpr std::chrono::milliseconds kProposeTimeout{900};
  /// Time without contact with a leader after which none is known. Several
  /// heartbeat intervals and their transit time.
  static constexpr std::chrono::milliseconds kContactLimit{600};
  /// Greatest age of a state that is served. Longer than kContactLimit, since
  /// what confirms the state of a follower is three heartbeat intervals old,
  /// and an election after a crash alone must not end watches.
  static constexpr std::chrono::milliseconds kStateAgeLimit{1100};
  static constexpr std::chrono::milliseconds kTickInterval{30};
  /// Commands of other instances that are proposed in one turn of the event
  /// loop.
  static constexpr size_t kCommandsPerTurn = 64;
  /// Time without an announcement after which an instance is considered dead.
  static constexpr std::chrono::milliseconds kDeadAfter{2000};
  static constexpr std::chrono::milliseconds kAnnounceInterval{400};
  /// Time after which the turns of an instance that is gone have new copies:
  /// the others notice within 3 s and copy for some seconds.
  static constexpr std::chrono::milliseconds kTurnsCopiedAfter{30000};
  /// Part of a machine's memory that programs may take, as a divisor. As much
  /// again is taken by each of two snapshots and by the log.
  static constexpr uint64_t kProgramMemoryDivisor = 6;
  /// Memory of a machine that does not tell it.
  static constexpr uint64_t kAssumedMachineBytes = uint64_t{64} * 1024 * 1024;
  /// Memory that is used of a machine that has more.
  static constexpr uint64_t kMaxMachineBytes = uint64_t{4096} * 1024 * 1024;
  /// Suggested retry delay of a program without room: some others end
  /// meanwhile.
  static constexpr std::chrono::milliseconds kNoRoomRetryAfter{1000};
  /// Time without contact after which an upstream is removed. Long, because an
  /// upstream that cannot reach this instance may still serve others.
  static constexpr std::chrono::milliseconds kUpstreamTimeout{45000};

  DeploymentHost(HostOptions options, const core::Clock& clock,
                 core::Metrics& metrics, peer::Transport& peers);
  ~DeploymentHost() override;

  /// Opens the store and joins the group. Returns errors of the store.
  core::Status Start();

  /// Commits a command, through the leader if it is another instance. After an
  /// error with Execution::kUnknown the command may still commit.
  void Propose(schema::DeploymentCommand command, ProposeCallback callback);
  /// Reads the configuration linearizably.
  void ReadConfiguration(ReadCallback callback);
  void ReadRetirement(const std::string& name, RetirementCallback callback);
  /// Reads the instances with a disk linearizably.
  void ReadInstances(InstancesCallback callback);

  /// Handles a message from another instance.
  void OnMessage(const schema::DeploymentMessage& message,
                 const std::string& from, const peer::Replier& replier);
  void OnGroupMessage(const schema::GroupMessage& message);

  /// Records contact with an upstream.
  void OnUpstreamContact(const std::string& upstream);

  /// Returns whether the local state may be served: it includes everything that
  /// the group had committed up to kStateAgeLimit ago.
  bool IsCurrent() const;
  /// Calls back once the local state includes everything that the group had
  /// committed before this call, or with an error if it does not in time. Needs
  /// no messages of its own.
  void WaitUntilCurrent(StateBarrier::Callback callback);
  /// Returns whether there was contact with a leader within kContactLimit. The
  /// local state may still be behind.
  bool HasLeaderContact() const;
  bool is_leader() const { return group_ && group_->is_leader(); }
  /// Index of the last entry of the log that the local state contains.
  uint64_t applied_index() const {
    return group_ ? group_->applied_index() : 0;
  }
  const control::DeploymentState& state() const { return machine_; }
  /// The instances with a disk as they were up to kStateAgeLimit before this
  /// instance heard of them. A member of the group has them in its state,
  /// another instance from the last answer to its announcements. Nothing if it
  /// has heard of none for kStateAgeLimit.
  std::optional<std::vector<schema::InstanceRecord>> CurrentInstances() const;
  /// Returns whether this instance is a voter under its current incarnation.
  bool IsVoter() const {
    return group_->replica().membership().IsVoter(group_->replica().id());
  }
  size_t voter_count() const {
    return group_->replica().membership().voter_count();
  }
  /// Returns whether `instance` is a member, in any incarnation.
  bool IsMember(const std::string& instance) const {
    return group_->replica().membership().FindInstance(instance) != nullptr;
  }

  /// Sets the gauges to their current values.
  void UpdateGauges() const;
  /// Adds the addresses of further instances.
  void AddSeeds(const std::vector<std::string>& seeds);
  /// Sets the function that tells how many turns kept here have too few copies
  /// at other instances. A retirement waits until there are none.
  void SetUnplacedTurns(std::function<uint64_t()> unplaced_turns) {
    unplaced_turns_ = std::move(unplaced_turns);
  }
  /// Transfers leadership before the process ends.
  void TransferLeadership();

 private:
  struct LastAnnouncement {
    schema::InstanceAnnouncement announcement;
    core::TimePoint at;
    /// Time at which its record was last proposed.
    core::TimePoint recorded_at;
  };

  void Tick();
  /// Reports an event loop that was held up since the previous tick.
  void CheckLoopDelay(core::TimePoint now);
  void ReportLoad(core::TimePoint now);
  void Flush();
  void OnWritten(const storage::JournalWritten& written);
  void AfterApply();
  /// The announcement of this instance.
  schema::DeploymentMessage SelfAnnouncement() const;
  void Announce();
  void OnAnnouncement(const schema::InstanceAnnouncement& announcement,
                      const peer::Replier& replier);
  /// Sends the announcement of this instance.
  void AnnounceTo(const std::string& instance);
  void OnInstanceList(const schema::InstanceList& list,
                      const std::string& from);
  /// Keeps the instances that a member of the group told, unless it is behind
  /// what is known here.
  void TakeAnnouncedList(const schema::InstanceList& list);
  /// Number of watchers of this instance and of those that announced themselves
  /// to it.
  size_t CountWatchers() const;
  /// Forwarders among them.
  ForwarderList CollectForwarders() const;
  void SetPeerAddress(const std::string& instance, const std::string& address);
  /// Takes the addresses of other instances from the snapshot and from the
  /// entries of the log, applied or not.
  void LearnStoredAddresses();
  void UpdateWatches();
  /// What watchers are told of this source.
  WatchSource MakeWatchSource() const;
  void OnWatch(const schema::WatchRequest& request, const std::string& from,
               const peer::Replier& replier);
  /// Instances of the deployment that have watchers, as far as known.
  std::set<std::string> InstancesWithWatchers() const;
  void OnSpeeds(const schema::UpstreamSpeeds& speeds, const std::string& from);
  /// Sends the speeds that the own watchers reported to the other instances
  /// that have watchers.
  void PassOnSpeeds();
  void UpdateQuota();
  /// Memory that programs may take, in bytes: a part of that of the smallest
  /// member, since each of them may have to lead.
  size_t ProgramLimit() const;
  /// Refuses the first claim of a program for which there is no memory.
  core::Status CheckRoom(const schema::DeploymentCommand& command);
  void PlanStep();
  GroupView MakeGroupView() const;
  void RecordInstances();
  void RemoveExpiredUpstreams();
  void ReportUpstreamContacts();
  void ProposeLocally(schema::DeploymentCommand command,
                      ProposeCallback callback);
  /// Handles a command of another instance. Claims and settlements wait in a
  /// queue, so that a turn of the event loop is short.
  void OnCommand(schema::DeploymentCommand command,
                 const peer::Replier& replier);
  void ScheduleCommands();
  /// Proposes the next commands of the queue.
  void ProposeQueued();
  /// Passes on what `value` returns once this leader knows that no other one
  /// has committed anything that is not applied here.
  template <typename T>
  void ReadLocally(std::function<void(const core::Result<T>&)> callback,
                   std::function<T()> value);
  void ReadConfigurationLocally(ReadCallback callback);
  void ReadInstancesLocally(InstancesCallback callback);
  core::Result<schema::RetirementState> LocalRetirementState(
      const std::string& name) const;
  using MessageCallback =
      std::function<void(const core::Result<schema::DeploymentMessage>&)>;
  /// Sends a request to the leader; kUnavailable if none is known.
  void SendToLeader(const schema::DeploymentMessage& message,
                    std::chrono::milliseconds timeout,
                    MessageCallback callback);
  /// Sends a request to an instance; kUnavailable if `instance` is empty.
  void SendTo(const std::string& instance,
              const schema::DeploymentMessage& message,
              std::chrono::milliseconds timeout, MessageCallback callback);
  std::string RemoteLeader() const;
  /// Leader that this instance has contact with as a member of the group, or
  /// that answered an announcement. Empty if there is none.
  std::string LeaderInContact() const;
  core::TimePoint Now() const { return clock_.Now(); }

  HostOptions options_;
  const core::Clock& clock_;
  core::Metrics& metrics_;
  peer::Transport& peers_;
  storage::PosixFileSystem files_;
  std::unique_ptr<storage::SegmentStore> store_;
  control::DeploymentState machine_;
  std::unique_ptr<consensus::Group<control::DeploymentState>> group_;
  std::unique_ptr<storage::JournalSink> journal_;
  QTimer tick_;
  bool flush_scheduled_ = false;
  /// Time at which the batch in flight was passed to the journal.
  core::TimePoint sync_started_at_;
  /// Time before which no batch is passed to the journal.
  core::TimePoint next_write_;
  uint64_t last_applied_index_ = 0;
  uint64_t last_install_count_ = 0;
  uint64_t last_snapshot_count_ = 0;
  core::TimePoint last_tick_;
  LoadReport load_report_;
  CommandQueue commands_;
  bool commands_scheduled_ = false;
  bool was_leader_ = false;
  std::string known_leader_;
  core::TimePoint last_command_;
  core::TimePoint next_announce_;
  core::TimePoint next_contact_report_;
  size_t announce_cursor_ = 0;
  std::map<std::string, LastAnnouncement> announcements_;
  /// What a member of the group told in answer to an announcement.
  struct AnnouncedList {
    std::vector<schema::InstanceRecord> instances;
    schema::StatePosition position;
    core::TimePoint at;
  };
  std::optional<AnnouncedList> announced_list_;
  /// Leader that answered an announcement last, and when.
  std::string announced_leader_;
  core::TimePoint announced_leader_at_;
  /// Peer addresses by instance.
  std::map<std::string, std::string> peer_addresses_;
  WatchRegistry watches_;
  /// Instances that have watchers, as the leader said.
  std::set<std::string> watched_instances_;
  QuotaServer quota_;
  StateBarrier barrier_;
  std::map<std::string, core::TimePoint> upstream_contacts_;
  core::TimePoint leader_since_;
  std::function<uint64_t()> unplaced_turns_;
};

/// Packs a message for the links between instances.
schema::PeerMessage Pack(const schema::DeploymentMessage& message);
/// Unpacks a message of the deployment; kInvalidArgument for any other.
core::Result<schema::DeploymentMessage> Unpack(
    const schema::PeerMessage& message);

/// The IP address of an "IP:port".
std::string HostOf(const std::string& address);

}  // namespace hawthorn::cluster
