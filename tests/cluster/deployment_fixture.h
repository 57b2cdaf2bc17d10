#pragma once

#include <QTemporaryDir>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "cluster/deployment_client.h"
#include "cluster/deployment_host.h"
#include "core/clock.h"
#include "core/metrics.h"
#include "peer/peer_transport.h"
#include "tests/support/event_loop.h"
#include "tests/support/stalling_files.h"

namespace hawthorn::cluster {

using test::WaitFor;

/// Instances with a disk in one process, each on its own loopback address.
class Deployment {
 public:
  explicit Deployment(size_t initial_members);
  ~Deployment();

  /// Adds an instance with an empty disk and starts it, with the initial
  /// members as seeds. Returns its id.
  std::string Add(bool serves_control, const std::string& zone);
  /// Starts the initial members in the given order.
  void StartInitialMembers(const std::vector<size_t>& order);
  void Start(const std::string& id);
  /// Stops an instance without a shutdown; its disk remains.
  void Kill(const std::string& id);
  /// Replaces the disk of an instance with an empty one.
  void LoseDisk(const std::string& id);
  /// Stalls the disk of an instance, or ends that.
  void SetDiskStalled(const std::string& id, bool stalled);
  /// Cuts the links between an instance and all others in both directions, or
  /// restores them.
  void SetIsolated(const std::string& id, bool isolated);
  /// Cuts the links of one instance to `others`, in both directions.
  void Cut(const std::string& id, const std::vector<std::string>& others);

  DeploymentHost& host(const std::string& id) { return *nodes_.at(id).host; }
  const std::string& initial_member(size_t n) const {
    return initial_members_.at(n);
  }
  /// Id of the leader; empty if there is none.
  std::string Leader() const;
  std::vector<std::string> Seeds() const;
  /// Number of voters in the membership of the leader; 0 without one.
  size_t VoterCount() const;
  bool IsMember(const std::string& id) const;

  /// Proposes a command at `id` and waits for the reply.
  core::Result<schema::DeploymentReply> Propose(
      const std::string& id, const schema::DeploymentCommand& command);
  /// Publishes a configuration and retries until it is acknowledged.
  bool Publish(uint64_t version);
  core::Result<uint64_t> Read(const std::string& id);

  /// Memory that instances announce, in bytes; to be set before they start.
  uint64_t memory_bytes = 0;
  /// Request limits in every configuration that is published.
  scheduling::QuotaLimits limits;

  const core::Clock& clock() const { return clock_; }
  core::Metrics& metrics() { return metrics_; }
  std::unique_ptr<peer::PeerTransport> NewTransport(const std::string& ip,
                                                    uint16_t port);

 private:
  struct Node {
    std::string zone;
    bool serves_control = true;
    bool is_initial_member = false;
    bool started_before = false;
    uint16_t port = 0;
    std::unique_ptr<QTemporaryDir> disk;
    std::unique_ptr<test::StallingFiles> files =
        std::make_unique<test::StallingFiles>();
    std::unique_ptr<peer::PeerTransport> peers;
    std::unique_ptr<DeploymentHost> host;
  };

  std::string AddressOf(const std::string& id) const;

  core::SystemClock clock_;
  core::Metrics metrics_;
  std::vector<std::string> initial_members_;
  std::map<std::string, Node> nodes_;
  int next_ip_ = 11;
};

}  // namespace hawthorn::cluster
