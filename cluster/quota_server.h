#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "core/clock.h"
#include "core/error.h"
#include "core/metrics.h"
#include "scheduling/quota_allocator.h"
#include "schema/generated/deployment.pb.h"

namespace hawthorn::cluster {

/// Credit for the requests of organisations at the leader of the group. It is
/// kept in memory only; a new leader begins with empty buckets.
class QuotaServer {
 public:
  /// Reads the request limits from the content of a configuration; nothing if
  /// it is unreadable.
  using LimitDecoder = std::function<std::optional<scheduling::QuotaLimits>(
      const std::string& content)>;

  /// What this instance knows of its leadership.
  struct Leadership {
    bool is_leader = false;
    uint64_t term = 0;
    /// Last contact with a majority.
    std::optional<core::TimePoint> contact;
  };

  /// Time since the last contact with a majority from which on no credit is
  /// granted. Shorter than the election timeout of 350 ms, so that two leaders
  /// never grant credit at the same time.
  static constexpr std::chrono::milliseconds kContactLimit{300};

  explicit QuotaServer(core::Metrics& metrics) : metrics_(metrics) {}

  /// To be called before the first Update. Without a decoder no organisation
  /// has a limit here.
  void SetDecoder(LimitDecoder decoder) { decoder_ = std::move(decoder); }
  /// Takes the leadership and the configuration, which may have changed.
  void Update(const Leadership& leadership,
              const schema::PublishedConfiguration& configuration,
              core::TimePoint now);
  /// Answers a request of an instance; kUnavailable if this instance may grant
  /// nothing now.
  core::Result<schema::QuotaGrant> OnRequest(
      const std::string& from, const schema::QuotaRequest& request,
      core::TimePoint now);
  /// Sets the gauges to their current values.
  void UpdateGauges() const;

 private:
  void TakeLimits(const schema::PublishedConfiguration& configuration,
                  core::TimePoint now);

  core::Metrics& metrics_;
  LimitDecoder decoder_;
  Leadership leadership_;
  /// Version of the configuration that was decoded last, readable or not.
  std::optional<uint64_t> decoded_version_;
  scheduling::QuotaAllocator allocator_;
};

}  // namespace hawthorn::cluster
