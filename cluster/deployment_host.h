#pragma once

#include <QObject>
#include <QTimer>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "cluster/membership_planner.h"
#include "cluster/watch_registry.h"
#include "consensus/group.h"
#include "control/deployment_state.h"
#include "core/clock.h"
#include "core/error.h"
#include "core/metrics.h"
#include "peer/peer_transport.h"
#include "schema/generated/deployment.pb.h"
#include "storage/journal_thread.h"
#include "storage/segment_store.h"

// An instance with a disk: a replica of the deployment's group, its
// membership, and what other instances ask of it.
namespace hawthorn::cluster {

/// Name of the only group in messages and journal.
inline constexpr const char* kDeploymentGroup = "deployment";

/// Incarnation of the instances that found a group. They must know each
/// other's identities before they have spoken.
inline constexpr uint64_t kInitialMemberIncarnation = 1;

struct HostOptions {
  /// This instance; the id is its IP number.
  schema::InstanceRecord self;
  /// Instances that found the group at the very first start, by IP number.
  /// Empty at any other start.
  std::vector<std::string> founders;
  /// Peer addresses ("IP:port") where other instances may be asked.
  std::vector<std::string> seeds;
  std::string data_folder;
  uint64_t seed = 1;
};

/// Owns the replica of this instance. Lives in one thread with an event loop;
/// the journal has its own.
class DeploymentHost final : public QObject {
  Q_OBJECT

 public:
  using ProposeCallback =
      std::function<void(const core::Result<schema::DeploymentReply>&)>;
  using ReadCallback =
      std::function<void(const core::Result<schema::PublishedConfiguration>&)>;
  using RetirementCallback =
      std::function<void(const core::Result<schema::RetirementState>&)>;

  /// Longest time in which a command is committed or given up. Below the
  /// second after which callers of control ask another instance.
  static constexpr std::chrono::milliseconds kProposeTimeout{900};
  /// Time without contact to a leader after which this instance's state may
  /// be old. Several heartbeats of a leader and their way.
  static constexpr std::chrono::milliseconds kContactLimit{600};
  static constexpr std::chrono::milliseconds kTick{30};
  /// Time without an announcement after which an instance counts as dead.
  static constexpr std::chrono::milliseconds kDeadAfter{2000};
  static constexpr std::chrono::milliseconds kAnnounceInterval{400};
  /// Time without an announcement after which an upstream is forgotten. Long:
  /// one that is cut off from this instance may still serve others.
  static constexpr std::chrono::milliseconds kUpstreamTimeout{45000};

  DeploymentHost(HostOptions options, const core::Clock& clock,
                 core::Metrics& metrics, peer::PeerTransport& peers);
  ~DeploymentHost() override;

  /// Opens the store and starts to take part. Errors are those of the store.
  core::Status Start();

  /// Commits a command at the leader, wherever it is. An error with
  /// Execution::kUnknown may still commit.
  void Propose(schema::DeploymentCommand command, ProposeCallback callback);
  /// Reads the configuration linearizably.
  void ReadConfiguration(ReadCallback callback);
  void ReadRetirement(const std::string& name, RetirementCallback callback);

  /// Takes a message of another instance.
  void OnMessage(const schema::DeploymentMessage& message,
                 const std::string& from, const peer::Replier& replier);
  void OnGroupMessage(const schema::GroupMessage& message);

  /// Remembers that an upstream was heard here.
  void OnUpstreamHeard(const std::string& upstream);

  /// Whether a leader was in contact lately, so that what is read here is
  /// current.
  bool IsCurrent() const;
  bool is_leader() const { return group_ && group_->is_leader(); }
  const control::DeploymentState& state() const { return machine_; }
  /// This life of the instance's state votes.
  bool IsVoter() const {
    return group_->replica().membership().IsVoter(group_->replica().id());
  }
  size_t voter_count() const {
    return group_->replica().membership().voter_count();
  }
  /// Whether the instance is a member, in any life of its state.
  bool IsMember(const std::string& instance) const {
    return group_->replica().membership().FindInstance(instance) != nullptr;
  }

  /// Sets the gauges of the metrics to what holds now.
  void UpdateGauges() const;
  /// Adds seeds that the settings name now.
  void AddSeeds(const std::vector<std::string>& seeds);
  /// Hands leadership over before the process ends.
  void HandOver();

 private:
  struct LastAnnouncement {
    schema::InstanceAnnouncement announcement;
    core::TimePoint at;
    /// When its record was last proposed.
    core::TimePoint recorded_at;
  };

  void Tick();
  void Flush();
  void OnWritten(const storage::JournalWritten& written);
  void AfterApply();
  /// What this instance tells of itself.
  schema::DeploymentMessage SelfAnnouncement() const;
  void Announce();
  void OnAnnouncement(const schema::InstanceAnnouncement& announcement,
                      const peer::Replier& replier);
  void OnInstanceList(const schema::InstanceList& list);
  /// Instances that watch here and at all that announced themselves here.
  size_t CountWatchers() const;
  void SetPeerAddress(const std::string& instance, const std::string& address);
  void UpdateWatches();
  void PlanStep();
  GroupView MakeGroupView() const;
  void RecordInstances();
  void RemoveExpiredUpstreams();
  void ReportUpstreamContacts();
  void ProposeLocally(schema::DeploymentCommand command,
                      ProposeCallback callback);
  void ReadLocally(ReadCallback callback);
  core::Result<schema::RetirementState> LocalRetirementState(
      const std::string& name) const;
  /// Asks the leader; kUnavailable if none is known.
  void SendToLeader(
      const schema::DeploymentMessage& message,
      std::chrono::milliseconds timeout,
      std::function<void(const core::Result<schema::DeploymentMessage>&)>
          callback);
  std::string RemoteLeader() const;
  core::TimePoint Now() const { return clock_.Now(); }

  HostOptions options_;
  const core::Clock& clock_;
  core::Metrics& metrics_;
  peer::PeerTransport& peers_;
  storage::PosixFileSystem files_;
  std::unique_ptr<storage::SegmentStore> store_;
  control::DeploymentState machine_;
  std::unique_ptr<consensus::Group<control::DeploymentState>> group_;
  std::unique_ptr<storage::JournalThread> journal_;
  QTimer tick_;
  bool flush_scheduled_ = false;
  /// When the batch that is being synced was handed over.
  core::TimePoint sync_started_at_;
  uint64_t last_applied_index_ = 0;
  bool was_leader_ = false;
  std::string known_leader_;
  core::TimePoint last_command_;
  core::TimePoint next_announce_;
  core::TimePoint next_contact_report_;
  size_t announce_cursor_ = 0;
  std::map<std::string, LastAnnouncement> announcements_;
  /// Peer addresses by instance.
  std::map<std::string, std::string> peer_addresses_;
  WatchRegistry watches_;
  std::map<std::string, core::TimePoint> upstream_contacts_;
  core::TimePoint leader_since_;
};

/// Packs a message for the links between instances.
schema::PeerMessage Pack(const schema::DeploymentMessage& message);
/// Unpacks one; kInvalidArgument for other messages.
core::Result<schema::DeploymentMessage> Unpack(
    const schema::PeerMessage& message);

/// IP number in an "IP:port".
std::string HostOf(const std::string& address);

}  // namespace hawthorn::cluster
