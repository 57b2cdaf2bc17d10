#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "core/clock.h"

namespace hawthorn::relay {

/// Limits on requests that upstreams name in their responses, in requests per
/// second from all instances together. Each belongs to one incarnation of an
/// upstream, named by its start time.
class RequestLimits {
 public:
  /// A response that names `limit` at `now`. Returns whether the limit changed.
  bool OnNamed(const std::string& upstream, uint64_t started_at_ms,
               double limit, core::TimePoint now);
  /// A response without a limit to a request that was sent at `sent_at`. It
  /// ends the limit only if the request was sent after the limit was learned:
  /// responses arrive out of order. Returns whether the limit changed.
  bool OnNotNamed(const std::string& upstream, uint64_t started_at_ms,
                  core::TimePoint sent_at);
  void Forget(const std::string& upstream) { limits_.erase(upstream); }

  /// Returns the limit in force, or nullopt if there is none.
  std::optional<double> Of(const std::string& upstream,
                           uint64_t started_at_ms) const;
  /// Number of upstreams with a limit.
  size_t size() const { return limits_.size(); }

 private:
  struct Limit {
    uint64_t started_at_ms = 0;
    double per_second = 0;
    core::TimePoint learned_at;
  };

  std::map<std::string, Limit> limits_;
};

}  // namespace hawthorn::relay
