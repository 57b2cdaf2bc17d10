#include "route_probe.h"

#include <algorithm>

namespace hawthorn::soak {

namespace {

constexpr std::chrono::milliseconds kProbeTimeout{4500};
/// Time for a machine's processes to learn a version from each other.
constexpr int64_t kRollbackMs = 250;
/// A slowed machine gets this many times as long.
constexpr int64_t kSlowedFactor = 8;
constexpr int64_t kSlowedMs = 3000;
/// Probes are shared by the entry instances; each gets one this often at least.
constexpr int kProbeIntervalMs = 160;

}  // namespace

void RouteProbe::Start() { Send(); }

void RouteProbe::Send() {
  if (stopping_) {
    return;
  }
  std::vector<Instance*> entries = fleet_.Of(Duty::kEntry);
  Sent sent;
  sent.id = "route" + std::to_string(++next_);
  sent.entry = entries[random_() % entries.size()];
  sent.starts = sent.entry->starts;
  sent.at = findings_.Now();
  switch (random_() % 20) {
    case 0:
      sent.route = kInvalidRoute;
      break;
    case 1:
      sent.route = kOtherRoute;
      break;
    case 2:
      sent.route = kUnknownRoute;
      break;
    default:
      sent.route = ChangedRoute(random_());
  }
  findings_.Request(sent.id).kind = "read";
  std::erase_if(exchanges_, [](const auto& it) {
    return it.use_count() == 1 && it->ended();
  });
  exchanges_.push_back(
      std::make_shared<Exchange>(fleet_.CallerAddress(*sent.entry)));
  exchanges_.back()->Send(
      "GET /" + sent.route + "/x HTTP/1.1\r\nHost: " + kHost +
          "\r\nConnection: close\r\nX-Request-Id: " + sent.id +
          "\r\nX-Deadline-Ms: " + std::to_string(kDeadlineMs) + "\r\n\r\n",
      kProbeTimeout, [this, sent](const Exchange::Result& result) {
        OnResult(sent, result.status);
      });
  const auto pause = kProbeIntervalMs / static_cast<int>(entries.size());
  QTimer::singleShot(std::max(pause, 4), &timers_, [this] { Send(); });
}

void RouteProbe::OnResult(const Sent& sent, int status) {
  RequestRecord& request = findings_.Request(sent.id);
  request.refused = IsRefusal(status);
  for (const RouteEffect& it : request.effects) {
    Check(sent, it);
  }
  if (status == 404 && request.effects.empty()) {
    Check(sent, {});
  }
}

void RouteProbe::Check(const Sent& sent, const RouteEffect& effect) {
  ++clear_;
  const std::string what =
      sent.id + " for /" + sent.route + "/ at " + sent.entry->name +
      ", sent at " + std::to_string(sent.at) + " ms, " +
      (effect.service.empty()
           ? "found no route"
           : "was run by " + effect.service + " with " +
                 std::to_string(effect.time_left_ms) + " ms left");
  if (sent.route == kInvalidRoute || sent.route == kOtherRoute ||
      sent.route == kUnknownRoute) {
    if (!effect.service.empty()) {
      findings_.Add("what is refused or changes nothing is never in force",
                    what);
    }
    return;
  }
  CheckApplied(sent, effect, what);
  CheckNoRegress(sent, effect, what);
}

void RouteProbe::CheckApplied(const Sent& sent, const RouteEffect& effect,
                              const std::string& what) {
  const ConfigurationHistory& history = operator_.history();
  const Contact& contact = operator_.contact();
  uint64_t expected = 0;
  const auto bound = contact.ApplyBound(*sent.entry, sent.at);
  if (bound) {
    const bool stable = contact.CoreStable(sent.at);
    ++(stable ? bound_calm_ : bound_outer_);
    expected = history.HighestAcknowledged(
        sent.at - *bound, stable ? -1 : contact.core_up_since());
  }
  if (!history.LowestAllowing(expected, sent.route, effect)) {
    findings_.Add("an acknowledged configuration is in force",
                  what + "; acknowledged was " + std::to_string(expected) +
                      (bound ? ", bound " + std::to_string(*bound) + " ms"
                             : std::string()));
  }
}

void RouteProbe::CheckNoRegress(const Sent& sent, const RouteEffect& effect,
                                const std::string& what) {
  std::vector<Known>& known = known_[{sent.entry->name, sent.starts}];
  const bool slowed =
      findings_.Now() - sent.entry->last_disruption < kSlowedMs ||
      sent.entry->paused;
  const int64_t slack = slowed ? kRollbackMs * kSlowedFactor : kRollbackMs;
  uint64_t floor = 0;
  for (const Known& it : known) {
    if (it.at + slack < sent.at) {
      floor = std::max(floor, it.version);
    }
  }
  const auto version =
      operator_.history().LowestAllowing(floor, sent.route, effect);
  if (!version) {
    findings_.Add("a process does not go back to an older configuration",
                  what + "; it knew " + std::to_string(floor));
    return;
  }
  if (known.empty() || *version > known.back().version) {
    known.push_back({*version, findings_.Now()});
  }
}

void RouteProbe::PrintCounts() const {
  std::printf(
      "probes with a clear outcome: %d; in touch: %d with a stable core, %d "
      "with an unstable one\n",
      clear_, bound_calm_, bound_outer_);
}

}  // namespace hawthorn::soak
