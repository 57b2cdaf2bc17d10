#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "scheduling/call.h"
#include "transport/http_message.h"

// Digests that tell whether two requests are the same work for an upstream.
namespace hawthorn::relay {

/// Digest of what the upstreams receive of a request, whoever sends it. Leaves
/// out the ids of the request and of its program, which differ between two
/// sends of the same content. Never 0.
uint64_t ContentDigestOf(const transport::RelayRequest& request);

/// Digests of a request at several grains.
struct RequestDigests {
  uint64_t content = 0;
  /// Method, host and path with each prefix of the prompt, the shortest first.
  std::vector<uint64_t> prefixes;
  /// Method, host and path.
  uint64_t target = 0;
};

RequestDigests DigestsOf(
    const transport::RelayRequest& request,
    const std::vector<scheduling::PrefixSegment>& segments);

/// Method, host and path, for people.
std::string TargetNameOf(const transport::RelayRequest& request);

}  // namespace hawthorn::relay
