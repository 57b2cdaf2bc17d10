#include "deployment_fixture.h"

#include <QCoreApplication>
#include <QElapsedTimer>
#include <algorithm>
#include <utility>

#include "tests/support/loopback.h"

namespace hawthorn::cluster {

namespace {

/// Timeout of waits for an event; reached only if a test hangs.
constexpr int kTimeoutMs = 40000;
constexpr const char* kZones[] = {"a", "b", "c"};

}  // namespace

Deployment::Deployment(size_t initial_members) {
  for (size_t n = 0; n < initial_members; ++n) {
    const std::string id = "127.0.0." + std::to_string(next_ip_++);
    initial_members_.push_back(id);
    Node& node = nodes_[id];
    node.zone = kZones[n % std::size(kZones)];
    node.is_initial_member = true;
    node.disk = std::make_unique<QTemporaryDir>();
    // Bind the port now, so that it can be passed to the other instances.
    node.peers = NewTransport(id, 0);
    node.port = node.peers->port();
  }
}

Deployment::~Deployment() {
  for (auto& [id, node] : nodes_) {
    node.files->SetStalled(false);
    node.host.reset();
    node.peers.reset();
  }
}

std::unique_ptr<peer::PeerTransport> Deployment::NewTransport(
    const std::string& ip, uint16_t port) {
  auto peers =
      std::make_unique<peer::PeerTransport>(test::LoopbackPeer(ip, port));
  peers->Listen();
  return peers;
}

std::string Deployment::AddressOf(const std::string& id) const {
  return id + ":" + std::to_string(nodes_.at(id).port);
}

std::vector<std::string> Deployment::Seeds() const {
  std::vector<std::string> seeds;
  for (const std::string& id : initial_members_) {
    seeds.push_back(AddressOf(id));
  }
  return seeds;
}

std::string Deployment::Add(bool serves_control, const std::string& zone) {
  const std::string id = "127.0.0." + std::to_string(next_ip_++);
  Node& node = nodes_[id];
  node.zone = zone;
  node.serves_control = serves_control;
  node.disk = std::make_unique<QTemporaryDir>();
  Start(id);
  return id;
}

void Deployment::StartInitialMembers(const std::vector<size_t>& order) {
  for (const size_t n : order) {
    Start(initial_members_.at(n));
  }
}

void Deployment::Start(const std::string& id) {
  Node& node = nodes_.at(id);
  if (!node.peers) {
    node.peers = NewTransport(id, node.port);
    node.port = node.peers->port();
  }
  HostOptions options;
  options.self.set_instance(id);
  options.self.set_name("machine-" + id);
  options.self.set_zone(node.zone);
  options.self.set_serves_control(node.serves_control);
  options.self.set_peer_address(AddressOf(id));
  options.self.set_memory_bytes(memory_bytes);
  if (node.is_initial_member && !node.started_before) {
    options.initial_members = initial_members_;
  }
  node.started_before = true;
  options.files = node.files.get();
  options.seeds = Seeds();
  options.data_folder = node.disk->path().toStdString();
  options.seed = std::hash<std::string>{}(id);
  options.limit_decoder = [this](const std::string&) {
    return std::optional(limits);
  };
  node.host =
      std::make_unique<DeploymentHost>(options, clock_, metrics_, *node.peers);
  DeploymentHost* host = node.host.get();
  node.peers->SetHandler(
      [host](const schema::PeerMessage& message, const peer::Replier& replier) {
        if (message.has_group()) {
          host->OnGroupMessage(message.group());
          return;
        }
        const auto unpacked = Unpack(message);
        if (core::IsOk(unpacked)) {
          host->OnMessage(core::Value(unpacked), message.from(), replier);
        }
      });
  host->Start();
}

void Deployment::Kill(const std::string& id) {
  Node& node = nodes_.at(id);
  node.peers.reset();
  node.host.reset();
}

void Deployment::LoseDisk(const std::string& id) {
  nodes_.at(id).disk = std::make_unique<QTemporaryDir>();
}

void Deployment::SetDiskStalled(const std::string& id, bool stalled) {
  nodes_.at(id).files->SetStalled(stalled);
}

void Deployment::SetIsolated(const std::string& id, bool isolated) {
  std::set<core::InstanceId> others;
  for (auto& [other, node] : nodes_) {
    if (other == id || !node.peers) {
      continue;
    }
    others.insert(core::InstanceId(other));
    node.peers->CutLinks(isolated
                             ? std::set<core::InstanceId>{core::InstanceId(id)}
                             : std::set<core::InstanceId>{});
  }
  nodes_.at(id).peers->CutLinks(isolated ? others
                                         : std::set<core::InstanceId>{});
}

void Deployment::Cut(const std::string& id,
                     const std::vector<std::string>& others) {
  std::set<core::InstanceId> cut;
  for (const std::string& other : others) {
    cut.insert(core::InstanceId(other));
    nodes_.at(other).peers->CutLinks({core::InstanceId(id)});
  }
  nodes_.at(id).peers->CutLinks(cut);
}

std::string Deployment::Leader() const {
  for (const auto& [id, node] : nodes_) {
    if (node.host && node.host->is_leader() && node.host->IsCurrent()) {
      return id;
    }
  }
  return {};
}

size_t Deployment::VoterCount() const {
  const std::string leader = Leader();
  return leader.empty() ? 0 : nodes_.at(leader).host->voter_count();
}

bool Deployment::IsMember(const std::string& id) const {
  const std::string leader = Leader();
  return !leader.empty() && nodes_.at(leader).host->IsMember(id);
}

core::Result<schema::DeploymentReply> Deployment::Propose(
    const std::string& id, const schema::DeploymentCommand& command) {
  std::optional<core::Result<schema::DeploymentReply>> result;
  host(id).Propose(command,
                   [&result](const core::Result<schema::DeploymentReply>& it) {
                     result = it;
                   });
  WaitFor([&result] { return result.has_value(); });
  return *result;
}

bool Deployment::Publish(uint64_t version) {
  schema::DeploymentCommand command;
  command.mutable_publish()->set_version(version);
  command.mutable_publish()->set_content("v" + std::to_string(version));
  QElapsedTimer timer;
  timer.start();
  while (timer.elapsed() < kTimeoutMs) {
    for (const auto& [id, node] : nodes_) {
      if (node.host && core::IsOk(Propose(id, command))) {
        return true;
      }
    }
    QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents, 50);
  }
  return false;
}

core::Result<uint64_t> Deployment::Read(const std::string& id) {
  std::optional<core::Result<uint64_t>> result;
  host(id).ReadConfiguration(
      [&result](const core::Result<schema::PublishedConfiguration>& it) {
        result = core::IsOk(it)
                     ? core::Result<uint64_t>(core::Value(it).version())
                     : core::Result<uint64_t>(core::ErrorOf(it));
      });
  WaitFor([&result] { return result.has_value(); });
  return *result;
}

}  // namespace hawthorn::cluster
