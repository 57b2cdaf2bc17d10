#include "scheduling/placement_planner.h"

#include <algorithm>
#include <cmath>

namespace hawthorn::scheduling {
namespace {

/// Time constant of the exponential decay of demand.
constexpr double kDemandSeconds = 60;

double Decayed(double tokens, core::TimePoint from, core::TimePoint now) {
  const double gap = std::chrono::duration<double>(now - from).count();
  return tokens * std::exp(-gap / kDemandSeconds);
}

double CountOf(const std::map<std::string, double>& counts,
               const std::string& model) {
  const auto it = counts.find(model);
  return it == counts.end() ? 0 : it->second;
}

}  // namespace

void PlacementPlanner::SetUpstream(const core::UpstreamId& upstream,
                                   const std::vector<std::string>& models,
                                   size_t slots, core::TimePoint now) {
  Upstream& entry = upstreams_[upstream];
  entry.slots = std::max<size_t>(1, slots);
  std::map<std::string, core::TimePoint> loaded;
  for (const std::string& model : models) {
    const auto it = entry.models.find(model);
    loaded[model] = it == entry.models.end() ? now : it->second;
  }
  entry.models = std::move(loaded);
}

void PlacementPlanner::RemoveUpstream(const core::UpstreamId& upstream) {
  upstreams_.erase(upstream);
}

void PlacementPlanner::OnDemand(const std::string& model, double tokens,
                                core::TimePoint now) {
  Demand& demand = demands_[model];
  demand.tokens = Decayed(demand.tokens, demand.updated, now) + tokens;
  demand.updated = now;
}

std::map<std::string, double> PlacementPlanner::WantedReplicas(
    core::TimePoint now) const {
  double total = 0;
  double slots = 0;
  for (const auto& [model, demand] : demands_) {
    total += Decayed(demand.tokens, demand.updated, now);
  }
  for (const auto& [id, upstream] : upstreams_) {
    slots += static_cast<double>(upstream.slots);
  }
  std::map<std::string, double> wanted;
  for (const auto& [model, demand] : demands_) {
    const double tokens = Decayed(demand.tokens, demand.updated, now);
    wanted[model] = total > 0 ? slots * tokens / total : 0;
  }
  return wanted;
}

std::map<std::string, double> PlacementPlanner::Replicas() const {
  std::map<std::string, double> replicas;
  for (const auto& [id, upstream] : upstreams_) {
    for (const auto& [model, since] : upstream.models) {
      const bool is_replaced =
          upstream.order && upstream.order->replaces == model;
      replicas[model] += is_replaced ? 0 : 1;
    }
    if (upstream.order) {
      replicas[upstream.order->model] += 1;
    }
  }
  return replicas;
}

size_t PlacementPlanner::loading() const {
  return static_cast<size_t>(std::count_if(
      upstreams_.begin(), upstreams_.end(),
      [](const auto& it) { return it.second.order.has_value(); }));
}

std::vector<LoadOrder> PlacementPlanner::Plan(core::TimePoint now) {
  std::vector<LoadOrder> orders;
  for (auto& [model, demand] : demands_) {
    const auto wanted = WantedReplicas(now);
    const auto replicas = Replicas();
    const double current = CountOf(replicas, model);
    const double shortage = CountOf(wanted, model) - current;
    const bool is_short =
        shortage > settings_.hysteresis || (current == 0 && shortage > 0);
    if (!is_short) {
      demand.shortage_since.reset();
      continue;
    }
    if (!demand.shortage_since) {
      demand.shortage_since = now;
    }
    // A model without replicas cannot be served at all, so its first load skips
    // the dwell time.
    const bool due =
        current == 0 || now - *demand.shortage_since >= settings_.dwell;
    if (!due || loading() >= settings_.concurrent_loads) {
      continue;
    }
    const auto order = FindRoom(model, wanted, replicas, now);
    if (order) {
      upstreams_[order->upstream].order = order;
      orders.push_back(*order);
    }
  }
  return orders;
}

std::optional<LoadOrder> PlacementPlanner::FindRoom(
    const std::string& model, const std::map<std::string, double>& wanted,
    const std::map<std::string, double>& replicas, core::TimePoint now) const {
  std::optional<LoadOrder> best;
  double best_surplus = settings_.hysteresis;
  for (const auto& [id, upstream] : upstreams_) {
    if (upstream.order || upstream.models.contains(model)) {
      continue;
    }
    if (upstream.models.size() < upstream.slots) {
      return LoadOrder{id, model, ""};
    }
    for (const auto& [other, since] : upstream.models) {
      const double current = CountOf(replicas, other);
      const double surplus = current - CountOf(wanted, other);
      const bool is_last = current <= 1 && CountOf(wanted, other) > 0;
      const bool settled = now - since >= settings_.min_residence;
      if (settled && !is_last && surplus > best_surplus) {
        best = LoadOrder{id, model, other};
        best_surplus = surplus;
      }
    }
  }
  return best;
}

void PlacementPlanner::OnOrderEnded(const core::UpstreamId& upstream,
                                    bool loaded, core::TimePoint now) {
  const auto it = upstreams_.find(upstream);
  if (it == upstreams_.end() || !it->second.order) {
    return;
  }
  Upstream& entry = it->second;
  if (loaded) {
    entry.models.erase(entry.order->replaces);
    entry.models[entry.order->model] = now;
  }
  entry.order.reset();
}

}  // namespace hawthorn::scheduling
