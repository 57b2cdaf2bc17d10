#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/clock.h"
#include "membership/membership.h"

namespace hawthorn::membership::test {

using std::chrono::milliseconds;

/// Faults of the network between the instances of a cluster.
struct Faults {
  double loss = 0;
  double duplication = 0;
  milliseconds latency{1};
  /// Further random delay, which reorders messages.
  milliseconds jitter{0};
};

/// Counts of the faults that occurred, so that a test can check that they did.
struct FaultCounts {
  uint64_t lost = 0;
  uint64_t duplicated = 0;
  uint64_t reordered = 0;
  uint64_t cut = 0;
};

/// Messages that one instance sent or received.
struct Traffic {
  uint64_t messages = 0;
  uint64_t bytes = 0;
};

/// Instances in one process on a manual clock.
class Cluster {
 public:
  static constexpr milliseconds kStep{10};

  /// `sizes` gives the number of instances of each zone z0, z1, ...
  explicit Cluster(const std::vector<size_t>& sizes, Faults faults = {},
                   uint64_t seed = 2026, const GossipOptions& gossip = {})
      : faults_(faults), gossip_(gossip), random_(seed) {
    for (size_t zone = 0; zone < sizes.size(); ++zone) {
      for (size_t n = 0; n < sizes[zone]; ++n) {
        seeds_.push_back({IdOf(zone, n), ZoneOf(zone)});
      }
    }
    clock_.Advance(std::chrono::hours(1));
    for (const InstanceSeed& seed : seeds_) {
      Start(seed.instance);
    }
  }

  static core::InstanceId IdOf(size_t zone, size_t n) {
    const std::string number = std::to_string(n);
    return core::InstanceId(
        "z" + std::to_string(zone) + "-" +
        std::string(2 - std::min<size_t>(2, number.size()), '0') + number);
  }
  static core::ZoneId ZoneOf(size_t zone) {
    return core::ZoneId("z" + std::to_string(zone));
  }

  core::TimePoint now() const { return clock_.Now(); }
  core::WallTime wall() const { return clock_.WallNow(); }

  Membership& at(const core::InstanceId& id) { return *instances_.at(id); }
  Membership& at(size_t zone, size_t n) { return at(IdOf(zone, n)); }

  /// Starts or restarts an instance with empty memory.
  void Start(const core::InstanceId& id) { StartWith(id, ++starts_); }

  /// Same as Start, with a given incarnation.
  void StartWith(const core::InstanceId& id, uint32_t incarnation) {
    MembershipSettings settings;
    for (const InstanceSeed& seed : seeds_) {
      if (seed.instance == id) {
        settings.self = seed;
      }
    }
    settings.seeds = seeds_;
    settings.incarnation = incarnation;
    settings.gossip = gossip_;
    settings.gossip.seed = random_();
    instances_[id] = std::make_unique<Membership>(settings, now());
  }

  /// Stops an instance without notice.
  void Kill(const core::InstanceId& id) { instances_.erase(id); }

  /// Cuts the links of a zone to all other zones, in both directions.
  void CutZone(size_t zone) { cut_zones_.insert(ZoneOf(zone)); }
  void HealZones() { cut_zones_.clear(); }
  /// Cuts all links of an instance, in both directions.
  void CutInstance(const core::InstanceId& id) { cut_instances_.insert(id); }
  void HealInstances() { cut_instances_.clear(); }

  /// Drops the messages for which `drop` returns true; they count as lost.
  void SetDrop(
      std::function<bool(const core::InstanceId& from, const OutgoingGossip&)>
          drop) {
    drop_ = std::move(drop);
  }

  void set_faults(const Faults& faults) { faults_ = faults; }

  /// Adds an upstream that sends its renewals to `at_instance`.
  void AddUpstream(const std::string& id, const std::string& service,
                   const core::InstanceId& at_instance) {
    Announcement announcement;
    announcement.upstream = core::UpstreamId(id);
    announcement.service = core::ServiceId(service);
    announcement.zone = at(at_instance).instances().self().zone;
    announcement.address = "10.0.0.1:8000";
    announcement.max_running = 64;
    announcement.cache_tokens = 1'000'000;
    announcement.announced_at = wall();
    (void)at(at_instance).upstreams().Announce(announcement, now());
    renewing_[core::UpstreamId(id)] = {at_instance, now(), announcement, false};
  }

  /// Sends the renewals of an upstream to another instance.
  void MoveUpstream(const std::string& id, const core::InstanceId& to) {
    renewing_.at(core::UpstreamId(id)).at = to;
  }
  /// Marks the upstream as leaving at the instance `through`. It continues to
  /// renew and does not announce itself again.
  core::Status Leave(const std::string& id, const core::InstanceId& through) {
    renewing_.at(core::UpstreamId(id)).leaving = true;
    return at(through).upstreams().Leave(core::UpstreamId(id), now());
  }
  /// Stops the renewals of the upstream.
  void StopRenewing(const std::string& id) {
    renewing_.erase(core::UpstreamId(id));
  }

  /// Advances time by `duration`, and calls `check` after each step.
  void Run(milliseconds duration, const std::function<void()>& check = {}) {
    const core::TimePoint end = now() + duration;
    while (now() < end) {
      clock_.Advance(kStep);
      Renew();
      Deliver();
      for (const auto& [id, instance] : instances_) {
        Send(id, instance->Tick(now()));
      }
      if (check) {
        check();
      }
    }
  }

  /// Running instances of a zone.
  std::vector<core::InstanceId> Live(size_t zone) const {
    std::vector<core::InstanceId> live;
    for (const auto& [id, instance] : instances_) {
      if (instance->instances().self().zone == ZoneOf(zone)) {
        live.push_back(id);
      }
    }
    return live;
  }

  /// Number of running instances of a zone that would route to the upstream.
  size_t RoutersOf(const std::string& upstream, size_t zone) {
    size_t count = 0;
    for (const core::InstanceId& id : Live(zone)) {
      count += at(id).upstreams().IsRoutable(core::UpstreamId(upstream), now())
                   ? 1
                   : 0;
    }
    return count;
  }

  const FaultCounts& counts() const { return counts_; }
  std::map<core::InstanceId, Traffic>& sent() { return sent_; }
  std::map<core::InstanceId, Traffic>& received() { return received_; }
  uint64_t refused_renewals() const { return refused_renewals_; }

 private:
  struct InFlight {
    core::TimePoint due;
    uint64_t order = 0;
    core::InstanceId from;
    OutgoingGossip message;

    bool operator>(const InFlight& other) const {
      return std::tie(due, order) > std::tie(other.due, other.order);
    }
  };
  struct Renewing {
    core::InstanceId at;
    core::TimePoint last;
    Announcement announcement;
    bool leaving = false;
  };
  static constexpr milliseconds kRenewInterval{400};

  bool Happens(double probability) {
    return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
  }

  void Renew() {
    for (auto& [id, it] : renewing_) {
      if (now() - it.last < kRenewInterval || !instances_.contains(it.at)) {
        continue;
      }
      it.last = now();
      UpstreamDirectory& upstreams = at(it.at).upstreams();
      const UpstreamLoad load{.running = static_cast<uint32_t>(random_() % 64),
                              .waiting = static_cast<uint32_t>(random_() % 8),
                              .cached_tokens = 500'000};
      if (!core::IsOk(upstreams.Renew(id, load, now()))) {
        ++refused_renewals_;
        if (it.leaving) {
          continue;
        }
        it.announcement.announced_at = wall();
        (void)upstreams.Announce(it.announcement, now());
      }
    }
  }

  bool IsCut(const core::InstanceId& a, const core::InstanceId& b) const {
    const core::ZoneId left = ZoneIdOf(a);
    const core::ZoneId right = ZoneIdOf(b);
    const bool zones = left != right && (cut_zones_.contains(left) ||
                                         cut_zones_.contains(right));
    return zones || cut_instances_.contains(a) || cut_instances_.contains(b);
  }

  core::ZoneId ZoneIdOf(const core::InstanceId& id) const {
    return core::ZoneId(id.text().substr(0, id.text().find('-')));
  }

  void Send(const core::InstanceId& from,
            const std::vector<OutgoingGossip>& messages) {
    for (const OutgoingGossip& message : messages) {
      Traffic& sent = sent_[from];
      ++sent.messages;
      sent.bytes += message.gossip.ByteSizeLong();
      if (IsCut(from, message.to)) {
        ++counts_.cut;
        continue;
      }
      if (Happens(faults_.loss) || (drop_ && drop_(from, message))) {
        ++counts_.lost;
        continue;
      }
      Enqueue(from, message);
      if (Happens(faults_.duplication)) {
        ++counts_.duplicated;
        Enqueue(from, message);
      }
    }
  }

  void Enqueue(const core::InstanceId& from, const OutgoingGossip& message) {
    const auto jitter =
        faults_.jitter.count() == 0
            ? milliseconds(0)
            : milliseconds(random_() % (faults_.jitter.count() + 1));
    const core::TimePoint due = now() + faults_.latency + jitter;
    core::TimePoint& last = last_due_[{from, message.to}];
    counts_.reordered += due < last ? 1 : 0;
    last = std::max(last, due);
    network_.push({due, ++order_, from, message});
  }

  void Deliver() {
    while (!network_.empty() && network_.top().due <= now()) {
      const InFlight it = network_.top();
      network_.pop();
      const auto to = instances_.find(it.message.to);
      if (to == instances_.end() || IsCut(it.from, it.message.to)) {
        continue;
      }
      Traffic& received = received_[it.message.to];
      ++received.messages;
      received.bytes += it.message.gossip.ByteSizeLong();
      const uint64_t revision =
          instances_.contains(it.from)
              ? instances_.at(it.from)->instances().Find(it.from)->revision
              : 0;
      Send(it.message.to,
           to->second->Receive(it.from, revision, it.message.gossip, now()));
    }
  }

  core::ManualClock clock_;
  Faults faults_;
  GossipOptions gossip_;
  std::mt19937_64 random_;
  std::vector<InstanceSeed> seeds_;
  std::map<core::InstanceId, std::unique_ptr<Membership>> instances_;
  std::map<core::UpstreamId, Renewing> renewing_;
  std::set<core::ZoneId> cut_zones_;
  std::set<core::InstanceId> cut_instances_;
  std::function<bool(const core::InstanceId&, const OutgoingGossip&)> drop_;
  std::priority_queue<InFlight, std::vector<InFlight>, std::greater<>> network_;
  std::map<std::pair<core::InstanceId, core::InstanceId>, core::TimePoint>
      last_due_;
  FaultCounts counts_;
  std::map<core::InstanceId, Traffic> sent_;
  std::map<core::InstanceId, Traffic> received_;
  uint64_t order_ = 0;
  uint32_t starts_ = 100;
  uint64_t refused_renewals_ = 0;
};

}  // namespace hawthorn::membership::test
