#pragma once

#include <cstdint>

#include "transport/http_message.h"

// Digests that tell whether two requests are the same work for an upstream.
namespace hawthorn::relay {

/// Digest of what the upstreams receive of a request, whoever sends it. Leaves
/// out the ids of the request and of its program, which differ between two
/// sends of the same content. Never 0.
uint64_t ContentDigestOf(const transport::RelayRequest& request);

}  // namespace hawthorn::relay
