#include "main/groups/configuration_synchronizer.h"

#include <utility>

#include "control/operation_id.h"

namespace hawthorn::main {

namespace {

constexpr std::chrono::milliseconds kPullTimeout{1000};
constexpr char kFirstAuthor[] = "first-configuration";

}  // namespace

ConfigurationSynchronizer::ConfigurationSynchronizer(
    Parts parts, const HostedGroupOf<control::ControlState>* control,
    schema::Configuration first)
    : parts_(std::move(parts)), control_(control), first_(std::move(first)) {}

void ConfigurationSynchronizer::Tick() {
  if (control_ != nullptr) {
    ApplyLocalRevision();
    ProposeFirst();
  }
  parts_.instances.SetRevision(current_.revision());
  parts_.node.SetReady(current_.revision() > 0 &&
                       parts_.instances.MayServe(parts_.clock.Now()));
}

void ConfigurationSynchronizer::ApplyLocalRevision() {
  const control::ControlState& state = control_->machine();
  if (state.revision() <= current_.revision()) {
    return;
  }
  current_ = state.current();
  parts_.node.SetConfiguration(current_);
}

void ConfigurationSynchronizer::ProposeFirst() {
  const bool needed = control_->is_leader() && control_->applied_index() > 0 &&
                      control_->machine().revision() == 0;
  if (!needed || proposing_) {
    return;
  }
  proposing_ = true;
  schema::ControlCommand command;
  const core::WallTime now = parts_.clock.WallNow();
  command.set_wall_ms(now.time_since_epoch().count());
  schema::ApplyConfiguration& apply = *command.mutable_apply();
  *apply.mutable_configuration() = first_;
  apply.set_author(kFirstAuthor);
  apply.set_operation(control::MakeOperationId(now, parts_.random()));
  parts_.groups.Propose(
      kControlGroup, command.SerializeAsString(),
      [this](const core::Result<std::string>&) { proposing_ = false; });
}

void ConfigurationSynchronizer::OnPeerRevision(const core::InstanceId& from,
                                               uint64_t revision) {
  parts_.instances.RecordPeerRevision(revision);
  if (revision <= current_.revision() || pulling_) {
    return;
  }
  pulling_ = true;
  schema::PeerMessage message;
  message.mutable_pull();
  parts_.peers.Request(
      from, std::move(message), kPullTimeout,
      [this](const core::Result<schema::PeerMessage>& it) { OnPulled(it); });
}

void ConfigurationSynchronizer::OnPulled(
    const core::Result<schema::PeerMessage>& result) {
  pulling_ = false;
  if (!core::IsOk(result)) {
    return;
  }
  schema::VersionedConfiguration pulled;
  const bool parsed =
      pulled.ParseFromString(core::Value(result).configuration());
  if (!parsed || pulled.revision() <= current_.revision()) {
    return;
  }
  current_ = pulled;
  parts_.node.SetConfiguration(current_);
  parts_.instances.SetRevision(current_.revision());
}

schema::PeerMessage ConfigurationSynchronizer::MakePullReply() const {
  schema::PeerMessage message;
  current_.SerializeToString(message.mutable_configuration());
  return message;
}

}  // namespace hawthorn::main
