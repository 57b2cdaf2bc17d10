#pragma once

#include <functional>
#include <string>

#include "control/control_state.h"
#include "core/clock.h"
#include "core/id.h"
#include "main/groups/group_client.h"
#include "main/groups/hosted_group.h"
#include "main/node.h"
#include "main/threads/sinks.h"
#include "membership/instance_directory.h"

namespace hawthorn::main {

/// Applies committed configurations at this instance. They come from the local
/// replica of the control group, or are pulled from a peer that has a higher
/// revision. Runs on the decision thread.
class ConfigurationSynchronizer {
 public:
  struct Parts {
    const core::Clock& clock;
    GroupClient& groups;
    PeerSink& peers;
    Node& node;
    membership::InstanceDirectory& instances;
    /// Generates operation ids.
    std::function<uint64_t()> random;
  };

  /// `control` is the local replica of the control group, or null; `first` is
  /// proposed by the leader if there is no configuration yet.
  ConfigurationSynchronizer(Parts parts,
                            const HostedGroupOf<control::ControlState>* control,
                            schema::Configuration first);

  /// Applies the configuration of the local replica, proposes the first one if
  /// there is none, and updates whether the node is ready for traffic.
  void Tick();

  /// Records the revision in a peer's message and pulls the configuration if
  /// it is newer than the local one.
  void OnPeerRevision(const core::InstanceId& from, uint64_t revision);

  /// Reply to a pull request of a peer.
  schema::PeerMessage MakePullReply() const;

 private:
  void ApplyLocalRevision();
  void ProposeFirst();
  void OnPulled(const core::Result<schema::PeerMessage>& result);

  Parts parts_;
  const HostedGroupOf<control::ControlState>* control_;
  schema::Configuration first_;
  schema::VersionedConfiguration current_;
  bool proposing_ = false;
  bool pulling_ = false;
};

}  // namespace hawthorn::main
