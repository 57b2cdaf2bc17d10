#include "relay/request_digest.h"

#include <xxhash.h>

#include <algorithm>
#include <string>

namespace hawthorn::relay {

uint64_t ContentDigestOf(const transport::RelayRequest& request) {
  uint64_t hash = 0;
  for (const std::string* part :
       {&request.method, &request.host, &request.target, &request.body}) {
    hash = XXH64(part->data(), part->size(), hash + part->size());
  }
  return std::max<uint64_t>(hash, 1);
}

}  // namespace hawthorn::relay
