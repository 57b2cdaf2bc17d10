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

/// Brings accepted configurations into force at this instance: from its own
/// replica of the control group, or pulled from a peer that knows a higher
/// revision. Runs in the thread of decisions.
class ConfigurationKeeper {
 public:
  struct Parts {
    const core::Clock& clock;
    GroupClient& groups;
    PeerSink& peers;
    Node& node;
    membership::InstanceDirectory& instances;
    /// Draws operation ids.
    std::function<uint64_t()> random;
  };

  /// `control` is the own replica of the control group or null; `first` is
  /// proposed by the leader where there is no configuration yet.
  ConfigurationKeeper(Parts parts,
                      const HostedGroupOf<control::ControlState>* control,
                      schema::Configuration first);

  /// Takes what the own replica applied and opens the node for traffic.
  void Tick();

  /// Notes the revision of a peer's message and pulls if it is higher.
  void OnPeerRevision(const core::InstanceId& from, uint64_t revision);

  /// Answer to a peer that is behind.
  schema::PeerMessage AnswerPull() const;

 private:
  void TakeOwn();
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
