#include "main/roles/control_role.h"

#include <algorithm>
#include <random>
#include <utility>

#include "platform/configuration_codec.h"

namespace hawthorn::main {

ControlRole::ControlRole(platform::BootSettings settings,
                         const core::Clock& clock, core::Metrics& metrics,
                         peer::PeerTransport& peers)
    : settings_(std::move(settings)),
      clock_(clock),
      peers_(peers),
      turn_links_(peers),
      turn_disk_(turn_files_, TurnOptionsOf(settings_)),
      turns_({clock, metrics, turn_links_, turn_disk_, settings_.ip,
              [this](turns::InstanceListCallback callback) {
                host_.ReadInstances(
                    [callback = std::move(callback)](const auto& read) {
                      callback(turns::RecordsOf(read));
                    });
              }}),
      host_(OptionsOf(settings_), clock, metrics, peers),
      api_(host_, clock, metrics),
      control_([this](transport::HttpSession& session,
                      const transport::RelayRequest& request) {
        api_.OnRequest(session, request);
      }) {
  QObject::connect(&drain_timer_, &QTimer::timeout, &drain_timer_,
                   [this] { ContinueDrain(); });
  QObject::connect(&turn_timer_, &QTimer::timeout, &turn_timer_,
                   [this] { TickTurns(); });
  host_.SetUnplacedTurns([this] { return turns_.unplaced_turns(); });
}

turns::TurnLog::Options ControlRole::TurnOptionsOf(
    const platform::BootSettings& settings) {
  turns::TurnLog::Options options;
  options.folder = settings.data_folder + "/turns";
  options.first_start = settings.bootstrap;
  std::random_device random;
  options.new_incarnation = (uint64_t{random()} << 32U) | random();
  return options;
}

cluster::HostOptions ControlRole::OptionsOf(
    const platform::BootSettings& settings) {
  cluster::HostOptions options;
  options.self.set_instance(settings.ip);
  options.self.set_name(settings.instance_name);
  options.self.set_zone(settings.zone);
  options.self.set_serves_control(!settings.control_address.empty());
  options.self.set_peer_address(settings.PeerAddress());
  options.self.set_control_address(settings.control_address);
  options.self.set_memory_bytes(settings.memory_bytes);
  if (settings.bootstrap) {
    for (const std::string& seed : settings.seeds) {
      options.initial_members.push_back(cluster::HostOf(seed));
    }
  }
  options.seeds = settings.SeedPeers();
  options.data_folder = settings.data_folder;
  options.seed = std::hash<std::string>{}(settings.ip);
  options.limit_decoder = [](const std::string& content) {
    const auto committed = platform::DecodeCommittedConfiguration(content, 0);
    return committed.table == nullptr
               ? std::nullopt
               : std::optional(committed.table->QuotaLimits());
  };
  return options;
}

core::Status ControlRole::Start() {
  peers_.SetHandler(
      [this](const schema::PeerMessage& message, const peer::Replier& replier) {
        if (message.has_turns()) {
          const auto request = turns::Unpack(message);
          if (!core::IsOk(request)) {
            replier.Fail(core::ErrorOf(request));
            return;
          }
          turns_.OnMessage(
              core::Value(request), message.from(),
              [replier](const core::Result<schema::TurnMessage>& reply) {
                if (core::IsOk(reply)) {
                  replier.Reply(turns::Pack(core::Value(reply)));
                } else {
                  replier.Fail(core::ErrorOf(reply));
                }
              });
          return;
        }
        if (message.has_group()) {
          host_.OnGroupMessage(message.group());
          return;
        }
        const auto unpacked = cluster::Unpack(message);
        if (!core::IsOk(unpacked)) {
          replier.Fail(core::ErrorOf(unpacked));
          return;
        }
        host_.OnMessage(core::Value(unpacked), message.from(), replier);
      });
  turns_.Start();
  turn_timer_.start(turns::TurnStore::kTickInterval);
  core::Status status = host_.Start();
  if (!core::IsOk(status) || settings_.control_address.empty()) {
    return status;
  }
  return control_.ListenAt(settings_.control_address);
}

void ControlRole::AddSeeds(const std::vector<std::string>& seeds) {
  host_.AddSeeds(seeds);
}

void ControlRole::UpdateGauges() {
  host_.UpdateGauges();
  turns_.UpdateGauges();
}

void ControlRole::TickTurns() {
  // A list that is not current may lack instances that hold turns.
  if (const auto instances = host_.CurrentInstances()) {
    turns_.SetKeepers(turns::KeepersOf(*instances));
  }
  turns_.Tick();
}

void ControlRole::Drain(std::function<void()> on_done) {
  if (std::exchange(draining_, true)) {
    return;
  }
  on_done_ = std::move(on_done);
  drain_started_ = clock_.Now();
  control_.DrainConnections();
  host_.TransferLeadership();
  drain_timer_.start(kDrainPollInterval);
}

void ControlRole::ContinueDrain() {
  const auto elapsed = clock_.Now() - drain_started_;
  const bool finished = elapsed >= kLeadershipTransferTime &&
                        control_.busy_count() == 0 && !host_.is_leader();
  if (!finished && elapsed < kDrainLimit) {
    return;
  }
  drain_timer_.stop();
  on_done_();
}

}  // namespace hawthorn::main
