#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "control/control_state.h"
#include "core/clock.h"
#include "core/metrics.h"
#include "main/groups/configuration_synchronizer.h"
#include "main/groups/hosted_group.h"
#include "main/groups/ledger_maintenance.h"
#include "main/groups/replicated_groups.h"
#include "main/node.h"
#include "main/threads/events.h"
#include "main/threads/sinks.h"
#include "main/threads/timers.h"
#include "membership/membership.h"
#include "programs/ledger.h"
#include "settings.pb.h"

namespace hawthorn::main {

/// Opens the log store of the group with the given name.
using StoreFactory =
    std::function<core::Result<std::unique_ptr<storage::LogStore>>(
        const std::string&)>;

/// The state that the decision thread owns: membership, the local replicas, the
/// configuration and the node.
class Instance {
 public:
  struct Parts {
    const core::Clock& clock;
    core::Metrics& metrics;
    HttpSink& http;
    UpstreamSink& upstreams;
    PeerSink& peers;
    JournalSink& journal;
    /// Generates identifiers and seeds.
    std::function<uint64_t()> random;
  };

  /// Opens the stores and replicas. `first_configuration` is proposed if the
  /// control group has no configuration yet.
  static core::Result<std::unique_ptr<Instance>> Open(
      Parts parts, const schema::Settings& settings, const Secrets& secrets,
      const schema::Configuration& first_configuration,
      const StoreFactory& open_store);

  void Handle(Event event);
  void Tick();

  /// Registers an operator command that cuts links to other instances, for
  /// tests of network partitions.
  void AllowLinkCuts(
      const std::function<void(std::set<core::InstanceId>)>& cut);

  /// Whether the graceful shutdown is complete.
  bool Finished() const { return finished_; }
  Node& node() { return *node_; }

 private:
  Instance(Parts parts, const schema::Settings& settings);

  core::Status OpenGroups(const StoreFactory& open_store);
  core::Status OpenGroup(const std::string& name,
                         const std::vector<std::string>& voters,
                         const StoreFactory& open_store);
  consensus::GroupOptions OptionsFor(
      const std::string& name, const std::vector<std::string>& voters) const;
  void OnPeer(PeerArrived& arrived);
  void SendGossip(std::vector<membership::OutgoingGossip> messages);
  /// Advances a graceful shutdown: calls end by themselves, then at the drain
  /// timeout, and leaderships are handed over.
  void TickDrain();
  void RegisterOperatorHandlers();
  std::vector<std::string> VotersOf(const std::string& group) const;

  Parts parts_;
  schema::Settings settings_;
  Timers timers_;
  std::unique_ptr<membership::Membership> membership_;
  std::unique_ptr<PeerSink> stamped_peers_;
  std::unique_ptr<ReplicatedGroups> groups_;
  std::vector<std::unique_ptr<HostedGroup>> hosted_;
  const HostedGroupOf<control::ControlState>* control_ = nullptr;
  std::unique_ptr<Node> node_;
  std::unique_ptr<ConfigurationSynchronizer> configuration_;
  std::unique_ptr<LedgerMaintenance> ledger_maintenance_;
  /// Set once a graceful shutdown was requested.
  std::optional<core::TimePoint> drain_started_;
  bool drain_timed_out_ = false;
  bool finished_ = false;
};

}  // namespace hawthorn::main
