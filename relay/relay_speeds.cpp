#include <algorithm>
#include <cmath>

#include "relay/relay.h"

// How fast the upstreams work: what they say in responses, and what the
// instances tell each other of it.
namespace hawthorn::relay {

void Relay::TakeSlowdown(const RelayCall& call, const ResponseInfo& response) {
  const std::string& upstream = call.summary().last_upstream;
  if (!response.slowdown || !upstreams_.contains(upstream)) {
    return;
  }
  const core::TimePoint now = parts_.clock.Now();
  scheduler_.OnSlowdown(core::UpstreamId(upstream), *response.slowdown, now);
  speed_reports_.OnMeasured(upstream, *response.slowdown, now);
  const auto due = speed_reports_.DueAt();
  if (due && !speed_timer_.isActive()) {
    speed_timer_.start(std::max(std::chrono::milliseconds(0),
                                core::MillisecondsBetween(now, *due)));
  }
}

void Relay::ReportSpeeds() {
  const core::TimePoint now = parts_.clock.Now();
  schema::UpstreamSpeeds speeds;
  for (const scheduling::SpeedReport& it : speed_reports_.Take(now)) {
    const auto age = core::MillisecondsBetween(it.taken_at, now);
    schema::UpstreamSpeed* speed = speeds.add_speeds();
    speed->set_upstream(it.upstream);
    speed->set_slowdown_percent(static_cast<uint32_t>(std::lround(std::clamp(
        it.slowdown * 100, 1.0, scheduling::UpstreamSpeed::kMost * 100))));
    speed->set_age_ms(static_cast<uint32_t>(age.count()));
  }
  if (const auto due = speed_reports_.DueAt()) {
    // The timer may fire a little before the batch is due.
    speed_timer_.start(std::max(std::chrono::milliseconds(1),
                                core::MillisecondsBetween(now, *due)));
  }
  if (speeds.speeds().empty() || !parts_.on_speeds) {
    return;
  }
  parts_.metrics.Count("relay_speeds_reported",
                       static_cast<uint64_t>(speeds.speeds_size()));
  parts_.on_speeds(speeds);
}

void Relay::OnSpeeds(const schema::UpstreamSpeeds& speeds) {
  const core::TimePoint now = parts_.clock.Now();
  uint64_t taken = 0;
  for (const schema::UpstreamSpeed& it : speeds.speeds()) {
    const std::chrono::milliseconds age(it.age_ms());
    if (!upstreams_.contains(it.upstream()) || it.slowdown_percent() == 0 ||
        age >= scheduling::UpstreamSpeed::kSpell) {
      // An upstream that this instance does not know yet, or old news.
      parts_.metrics.Count("relay_speeds_ignored");
      continue;
    }
    const scheduling::SpeedReport report{
        it.upstream(), it.slowdown_percent() / 100.0, now - age};
    speed_reports_.OnNews(report);
    scheduler_.OnSlowdown(core::UpstreamId(report.upstream), report.slowdown,
                          report.taken_at);
    ++taken;
  }
  if (taken > 0) {
    parts_.metrics.Count("relay_speeds_learned", taken);
  }
}

}  // namespace hawthorn::relay
