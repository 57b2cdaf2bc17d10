#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <list>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cluster/forwarder_list.h"
#include "cluster/speed_board.h"
#include "control/deployment_state.h"
#include "core/clock.h"
#include "core/error.h"
#include "peer/replier.h"
#include "schema/generated/deployment.pb.h"

namespace hawthorn::cluster {

/// What watchers are told of the instance that they watch.
struct WatchSource {
  std::string leader;
  /// The state that updates are made from.
  schema::StatePosition position;
};

/// Instances that watch the state of the deployment at this instance, and what
/// was sent to each.
class WatchRegistry {
 public:
  /// Interval of updates without changes, which show that this instance is
  /// current.
  static constexpr std::chrono::milliseconds kKeepAliveInterval{250};

  /// `state` and `clock` must outlive the registry.
  WatchRegistry(const control::DeploymentState& state, const core::Clock& clock)
      : state_(state), clock_(clock) {}

  /// Adds a watcher and sends it all upstreams. Replaces an earlier watch of
  /// the same instance.
  void Add(const schema::WatchRequest& request, const std::string& instance,
           const peer::Replier& replier, const WatchSource& source);
  /// Sets the total number of watchers at all instances, including this one.
  void SetTotal(size_t total) { total_ = total; }
  /// Sets the forwarders of the whole deployment.
  void SetForwarders(ForwarderList forwarders) {
    forwarders_ = std::move(forwarders);
  }
  const ForwarderList& forwarders() const { return forwarders_; }
  /// The watchers of this instance that are forwarders.
  std::vector<schema::Forwarder> OwnForwarders() const;
  /// Sends changes, and keep-alive updates where they are due.
  void Update(const WatchSource& source);
  /// Sends all upstreams to each watcher with its next update.
  void ResendTables();
  /// Ends all watches, so that the watchers choose another instance.
  void End(const core::Error& reason);

  /// Speeds of upstreams to send to the watchers.
  SpeedBoard& speeds() { return speeds_; }
  bool Contains(const std::string& instance) const;
  bool empty() const { return watchers_.empty(); }
  size_t size() const { return watchers_.size(); }
  /// Number of watches since the start.
  uint64_t added_count() const { return added_count_; }
  /// Number of whole tables and of bytes sent since the start.
  uint64_t table_count() const { return table_count_; }
  uint64_t sent_bytes() const { return sent_bytes_; }

 private:
  struct Watcher {
    peer::Replier replier;
    std::string instance;
    uint64_t configuration_version = 0;
    uint64_t upstream_revision = 0;
    uint64_t crash_revision = 0;
    bool sent_table = false;
    core::TimePoint last_sent;
    std::string last_leader;
    uint64_t last_instances = 0;
    std::optional<schema::Forwarder> forwarder;
    /// Digest of the list that its sample was last taken from.
    uint64_t seen_forwarders = 0;
    /// Forwarders that it was told of, serialized.
    std::string last_forwarders;
    /// Position on the board of speeds up to which it was sent reports.
    uint64_t speed_cursor = 0;
  };

  /// Digest of what watchers need to know of the instances with a disk.
  uint64_t InstancesDigest() const;
  /// Serialized update with the current configuration alone.
  std::string_view ConfigurationField();
  /// Serialized update with the upstreams that are not gone, the requests that
  /// are refused and the instances; `instances` is the current InstancesDigest.
  std::string_view TableFields(uint64_t instances);
  void AddHarmful(schema::DeploymentUpdate* update) const;
  /// Adds what changed since the last update of a watcher that has the table.
  void AddChanges(const Watcher& watcher, uint64_t instances,
                  schema::DeploymentUpdate* update) const;
  /// Sends an update; `instances` is the current InstancesDigest.
  void Send(Watcher* watcher, const WatchSource& source, uint64_t instances);
  /// Adds the forwarders for the watcher to an update if they have changed;
  /// returns them serialized.
  std::string AddForwarders(const Watcher& watcher,
                            schema::DeploymentUpdate* update) const;

  const control::DeploymentState& state_;
  const core::Clock& clock_;
  std::list<Watcher> watchers_;
  size_t total_ = 0;
  uint64_t configuration_field_version_ = 0;
  std::string configuration_field_;
  /// Revisions of upstreams and crashes, and the digest of the instances.
  using TableKey = std::array<uint64_t, 3>;
  std::optional<TableKey> table_fields_key_;
  std::string table_fields_;
  uint64_t added_count_ = 0;
  uint64_t table_count_ = 0;
  uint64_t sent_bytes_ = 0;
  ForwarderList forwarders_;
  SpeedBoard speeds_;
};

/// Appends the records of all instances with a disk.
void AppendInstances(
    const control::DeploymentState& state,
    google::protobuf::RepeatedPtrField<schema::InstanceRecord>* out);

}  // namespace hawthorn::cluster
