#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "control/crash_table.h"
#include "control/spending_table.h"
#include "control/version_table.h"
#include "core/error.h"
#include "schema/generated/deployment.pb.h"

// Replicated state machine of a deployment. Operators choose the versions of
// its configuration; the highest version wins.
namespace hawthorn::control {

/// Work of a state machine since the process started. Not part of its state.
struct ApplyCounts {
  uint64_t commands = 0;
  uint64_t bytes = 0;
  uint64_t claims = 0;
  /// Claims of requests that had been granted one or were settled.
  uint64_t repeated_claims = 0;
  uint64_t settlements = 0;
  /// Settlements of requests that were settled.
  uint64_t repeated_settlements = 0;

  bool operator==(const ApplyCounts&) const = default;
};

/// Configuration, upstreams, instances with a disk and the spending of
/// programs. Deterministic: the same commands in the same order give the same
/// state.
class DeploymentState {
 public:
  /// How long the spending of an unused program is kept if its turns name no
  /// retention, in ms on the group's clock. Also how long a version of
  /// upstreams that are gone counts.
  static constexpr int64_t kProgramRetentionMs =
      SpendingTable::kDefaultRetentionMs;
  /// Number of settled requests kept for each program, so that a late
  /// reservation of one of them is refused.
  static constexpr size_t kSettledRequests = 64;
  /// Number of streams of each program whose software version is kept, so that
  /// callers can take them up.
  static constexpr size_t kBoundStreams = 64;
  /// Maximum number of entries of departed upstreams, which are kept to detect
  /// late announcements.
  static constexpr size_t kMaxGoneUpstreams = 1024;

  /// Applies a serialized DeploymentCommand and returns a serialized
  /// DeploymentReply. Commands that do not parse change nothing.
  std::string Apply(uint64_t index, std::string_view command);
  std::string Snapshot() const;
  core::Status Restore(std::string_view snapshot);

  const schema::PublishedConfiguration& configuration() const {
    return configuration_;
  }
  const std::map<std::string, schema::UpstreamEntry>& upstreams() const {
    return upstreams_;
  }
  uint64_t upstream_revision() const { return upstream_revision_; }
  const std::map<std::string, schema::InstanceRecord>& instances() const {
    return instances_;
  }
  /// Record of the instance with the name `name`, or null.
  const schema::InstanceRecord* FindInstanceByName(std::string_view name) const;
  /// Whether applying `entry` would change the table of upstreams.
  bool WouldChange(const schema::UpstreamEntry& entry) const;
  const CrashTable& crashes() const { return crashes_; }
  size_t program_count() const { return programs_.size(); }
  /// Whether the spending of `program` is known.
  bool KnowsProgram(const std::string& program) const {
    return programs_.Contains(program);
  }
  /// Memory that the spending of programs takes, in bytes.
  size_t program_bytes() const { return programs_.memory_bytes(); }
  const ApplyCounts& counts() const { return counts_; }

 private:
  void Publish(const schema::PublishedConfiguration& published);
  void ApplyAnnouncement(schema::UpstreamEntry entry);
  void MarkDraining(const schema::UpstreamIncarnation& draining);
  void SetRequestLimit(const schema::UpstreamLimit& limit);
  void Reserve(const schema::TokenReservation& reservation,
               schema::DeploymentReply* reply);
  /// Binds the stream of a reservation to a software version, or finds the one
  /// that a resumed stream is bound to.
  void BindStream(const schema::TokenReservation& reservation,
                  schema::DeploymentReply* reply);
  /// Version that certainly began the stream that the reservation resumes.
  std::optional<schema::StreamVersion> FindResumed(
      const schema::TokenReservation& reservation) const;
  /// Version of the streams of a program that have this content, if all have
  /// the same one and every stream that may have it is kept.
  static std::optional<schema::StreamVersion> FindByContent(
      const schema::ProgramSpending& spending, uint64_t content);
  /// Opens the record of a program that is used now, with a retention of at
  /// least `retention_ms`. It is valid until another one is used.
  schema::ProgramSpending& Use(const std::string& program,
                               int64_t retention_ms);
  void Settle(const schema::TokenSettlement& settlement);
  void ApplyInstance(schema::InstanceRecord record);
  void Retire(const std::string& name, schema::DeploymentReply* reply);
  void ForgetUpstream(const std::string& upstream);
  void Sweep();

  schema::PublishedConfiguration configuration_;
  std::map<std::string, schema::UpstreamEntry> upstreams_;
  uint64_t upstream_revision_ = 0;
  SpendingTable programs_;
  std::map<std::string, schema::InstanceRecord> instances_;
  CrashTable crashes_;
  VersionTable versions_;
  int64_t clock_ms_ = 0;
  ApplyCounts counts_;
};

}  // namespace hawthorn::control
