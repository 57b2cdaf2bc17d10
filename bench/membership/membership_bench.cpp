// Measures the cost of gossip per instance, by running the directories of all
// instances in one process on a simulated clock.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <chrono>
#include <cstdio>
#include <string>
#include <vector>

#include "tests/membership/cluster.h"

ABSL_FLAG(int, instances, 400, "instances of the deployment");
ABSL_FLAG(int, zones, 13, "availability zones");
ABSL_FLAG(int, upstreams_per_zone, 390, "upstreams of each zone");
ABSL_FLAG(int, services, 8, "services of the deployment");
ABSL_FLAG(int, seconds, 20, "measured seconds of simulated time");
ABSL_FLAG(int, interval_ms, 0, "interval of rounds; 0 for the default");
ABSL_FLAG(int, max_heartbeats, 0, "heartbeats per message; 0 for the default");
ABSL_FLAG(double, loss, 0, "fraction of lost messages");
ABSL_FLAG(int, framing_bytes, 33,
          "bytes that a link adds per message and acknowledgement");

namespace {

using hawthorn::membership::GossipOptions;
using hawthorn::membership::test::Cluster;
using hawthorn::membership::test::Traffic;
using std::chrono::milliseconds;

struct Samples {
  uint64_t checked = 0;
  uint64_t unrouted = 0;
};

GossipOptions OptionsFromFlags() {
  GossipOptions options;
  if (absl::GetFlag(FLAGS_interval_ms) > 0) {
    options.interval = milliseconds(absl::GetFlag(FLAGS_interval_ms));
  }
  if (absl::GetFlag(FLAGS_max_heartbeats) > 0) {
    options.max_heartbeats = absl::GetFlag(FLAGS_max_heartbeats);
  }
  return options;
}

std::vector<size_t> ZoneSizes() {
  const int zones = absl::GetFlag(FLAGS_zones);
  std::vector<size_t> sizes(zones, 0);
  for (int n = 0; n < absl::GetFlag(FLAGS_instances); ++n) {
    ++sizes[n % zones];
  }
  return sizes;
}

void AddUpstreams(Cluster& cluster, const std::vector<size_t>& sizes) {
  for (size_t zone = 0; zone < sizes.size(); ++zone) {
    for (int n = 0; n < absl::GetFlag(FLAGS_upstreams_per_zone); ++n) {
      const std::string id =
          "worker-" + std::to_string(zone) + "-" + std::to_string(n);
      const std::string service =
          "model-" + std::to_string(n % absl::GetFlag(FLAGS_services));
      cluster.AddUpstream(id, service, Cluster::IdOf(zone, n % sizes[zone]));
    }
  }
}

/// Counts how often an instance of zone 0 would not route to an upstream of its
/// zone. All upstreams are alive, so each case is an error.
void Sample(Cluster& cluster, Samples& samples) {
  const auto expected =
      static_cast<size_t>(absl::GetFlag(FLAGS_upstreams_per_zone));
  for (const auto& id : cluster.Live(0)) {
    size_t routed = 0;
    for (int n = 0; n < absl::GetFlag(FLAGS_services); ++n) {
      const hawthorn::core::ServiceId service("model-" + std::to_string(n));
      for (const auto& route :
           cluster.at(id).upstreams().Routable(service, cluster.now())) {
        routed += route.crosses_zone ? 0 : 1;
      }
    }
    samples.checked += expected;
    samples.unrouted += expected - routed;
  }
}

struct Rates {
  double mean_bytes = 0;
  double max_bytes = 0;
  double mean_messages = 0;
};

Rates RatesOf(const std::map<hawthorn::core::InstanceId, Traffic>& traffic,
              double seconds, size_t instances) {
  Rates rates;
  for (const auto& [id, it] : traffic) {
    const double bytes =
        static_cast<double>(it.bytes +
                            it.messages * absl::GetFlag(FLAGS_framing_bytes)) /
        seconds;
    rates.mean_bytes += bytes / static_cast<double>(instances);
    rates.max_bytes = std::max(rates.max_bytes, bytes);
    rates.mean_messages += static_cast<double>(it.messages) / seconds /
                           static_cast<double>(instances);
  }
  return rates;
}

}  // namespace

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  const std::vector<size_t> sizes = ZoneSizes();
  Cluster cluster(sizes, {.loss = absl::GetFlag(FLAGS_loss)}, 2026,
                  OptionsFromFlags());
  cluster.Run(milliseconds(3000));
  AddUpstreams(cluster, sizes);
  cluster.Run(milliseconds(10'000));
  cluster.sent().clear();
  cluster.received().clear();

  Samples samples;
  std::chrono::nanoseconds busy{0};
  const int seconds = absl::GetFlag(FLAGS_seconds);
  for (int n = 0; n < seconds * 2; ++n) {
    const auto start = std::chrono::steady_clock::now();
    cluster.Run(milliseconds(500));
    busy += std::chrono::steady_clock::now() - start;
    Sample(cluster, samples);
  }

  const auto instances = static_cast<size_t>(absl::GetFlag(FLAGS_instances));
  const Rates out = RatesOf(cluster.sent(), seconds, instances);
  const Rates in = RatesOf(cluster.received(), seconds, instances);
  const double cpu_percent = std::chrono::duration<double>(busy).count() /
                             seconds / static_cast<double>(instances) * 100;
  std::printf(
      "instances %zu zones %zu upstreams/zone %d | out %.0f B/s (max %.0f) "
      "%.1f msg/s | in %.0f B/s (max %.0f) | cpu %.3f %% of a core | "
      "unrouted %.4f %% of %llu\n",
      instances, sizes.size(), absl::GetFlag(FLAGS_upstreams_per_zone),
      out.mean_bytes, out.max_bytes, out.mean_messages, in.mean_bytes,
      in.max_bytes, cpu_percent,
      100.0 * static_cast<double>(samples.unrouted) /
          static_cast<double>(std::max<uint64_t>(1, samples.checked)),
      static_cast<unsigned long long>(samples.checked));
  return 0;
}
