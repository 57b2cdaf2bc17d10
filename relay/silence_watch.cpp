#include "relay/silence_watch.h"

namespace hawthorn::relay {

bool SilenceWatch::TakeQuestion(const std::string& upstream,
                                core::TimePoint sent_at, const Heard& heard,
                                core::TimePoint now) {
  const bool is_zone_silent = heard.zone < sent_at;
  if (heard.upstream >= sent_at ||
      now - sent_at < (is_zone_silent ? kZoneSilence : kUpstreamSilence)) {
    return false;
  }
  const auto [it, added] = asked_.try_emplace(upstream, now);
  if (!added && now - it->second < kInterval) {
    return false;
  }
  it->second = now;
  return true;
}

}  // namespace hawthorn::relay
