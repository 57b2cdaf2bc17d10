#include "relay/request_digest.h"

#include <xxhash.h>

#include <algorithm>
#include <string>

namespace hawthorn::relay {

namespace {

constexpr uint64_t kTargetSeed = 1;
/// Prefixes that are told apart; longer ones are as good as the content.
constexpr size_t kMaxPrefixes = 4;

}  // namespace

uint64_t ContentDigestOf(const transport::RelayRequest& request) {
  uint64_t hash = 0;
  for (const std::string* part :
       {&request.method, &request.host, &request.target, &request.body}) {
    hash = XXH64(part->data(), part->size(), hash + part->size());
  }
  return std::max<uint64_t>(hash, 1);
}

RequestDigests DigestsOf(
    const transport::RelayRequest& request,
    const std::vector<scheduling::PrefixSegment>& segments) {
  RequestDigests digests;
  digests.content = ContentDigestOf(request);
  const std::string name = TargetNameOf(request);
  // Differs from the content digest of a request without a body.
  digests.target =
      std::max<uint64_t>(XXH64(name.data(), name.size(), kTargetSeed), 1);
  for (const scheduling::PrefixSegment& it : segments) {
    if (digests.prefixes.size() == kMaxPrefixes) {
      break;
    }
    digests.prefixes.push_back(std::max<uint64_t>(
        XXH64(&it.hash, sizeof(it.hash), digests.target), 1));
  }
  return digests;
}

std::string TargetNameOf(const transport::RelayRequest& request) {
  return request.method + " " + request.host +
         request.target.substr(0, request.target.find('?'));
}

}  // namespace hawthorn::relay
