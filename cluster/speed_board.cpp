#include "cluster/speed_board.h"

#include <algorithm>

namespace hawthorn::cluster {

size_t SpeedBoard::OnSpeeds(const schema::UpstreamSpeeds& speeds,
                            const std::string& sender, bool sender_is_watcher,
                            core::TimePoint now) {
  size_t dropped = 0;
  for (const schema::UpstreamSpeed& it : speeds.speeds()) {
    Report report{it.slowdown_percent(),
                  now - std::chrono::milliseconds(it.age_ms()), sender,
                  sender_is_watcher, 0};
    if (!IsOfUse(report, now)) {
      continue;
    }
    auto known = reports_.find(it.upstream());
    if (known == reports_.end() && reports_.size() >= kMaxUpstreams) {
      DropOld(now);
    }
    if (it.upstream().empty() || it.upstream().size() > kMaxIdBytes ||
        it.slowdown_percent() == 0 ||
        (known == reports_.end() && reports_.size() >= kMaxUpstreams)) {
      ++dropped;
      continue;
    }
    if (known != reports_.end() && known->second.taken_at > report.taken_at) {
      continue;
    }
    report.number = ++cursor_;
    reports_[it.upstream()] = std::move(report);
  }
  return dropped;
}

void SpeedBoard::DropOld(core::TimePoint now) {
  std::erase_if(reports_,
                [now](const auto& it) { return !IsOfUse(it.second, now); });
}

void SpeedBoard::Add(const std::string& upstream, const Report& report,
                     core::TimePoint now, schema::UpstreamSpeeds* out) {
  const auto age = core::MillisecondsBetween(report.taken_at, now);
  schema::UpstreamSpeed* speed = out->add_speeds();
  speed->set_upstream(upstream);
  speed->set_slowdown_percent(report.percent);
  speed->set_age_ms(static_cast<uint32_t>(age.count()));
}

bool SpeedBoard::HasNews(uint64_t cursor, const std::string& receiver,
                         core::TimePoint now) const {
  return cursor < cursor_ &&
         std::any_of(reports_.begin(), reports_.end(), [&](const auto& it) {
           return it.second.number > cursor && it.second.sender != receiver &&
                  IsOfUse(it.second, now);
         });
}

schema::UpstreamSpeeds SpeedBoard::Since(uint64_t cursor,
                                         const std::string& receiver,
                                         core::TimePoint now) const {
  schema::UpstreamSpeeds speeds;
  if (cursor >= cursor_) {
    return speeds;
  }
  for (const auto& [upstream, it] : reports_) {
    if (it.number > cursor && it.sender != receiver && IsOfUse(it, now)) {
      Add(upstream, it, now, &speeds);
    }
  }
  return speeds;
}

schema::UpstreamSpeeds SpeedBoard::TakeForPeers(core::TimePoint now) {
  schema::UpstreamSpeeds speeds;
  if (peer_cursor_ >= cursor_ || now - last_to_peers_ < kInterval) {
    return speeds;
  }
  for (const auto& [upstream, it] : reports_) {
    if (it.number > peer_cursor_ && it.from_watcher && IsOfUse(it, now)) {
      Add(upstream, it, now, &speeds);
    }
  }
  peer_cursor_ = cursor_;
  if (!speeds.speeds().empty()) {
    last_to_peers_ = now;
  }
  return speeds;
}

}  // namespace hawthorn::cluster
