#include "turns/placement.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace hawthorn::turns {

namespace {

constexpr char kSeparator = '/';
/// Copies in the home zone of a chain, where most reads come from.
constexpr size_t kHomeCopies = 2;

size_t CountZones(const std::vector<const Keeper*>& keepers) {
  std::set<std::string_view> zones;
  for (const Keeper* it : keepers) {
    zones.insert(it->zone);
  }
  return zones.size();
}

bool Contains(const std::vector<const Keeper*>& keepers, const Keeper* keeper) {
  return std::find(keepers.begin(), keepers.end(), keeper) != keepers.end();
}

}  // namespace

std::vector<Keeper> KeepersOf(
    const std::vector<schema::InstanceRecord>& instances) {
  const bool has_ledgers =
      std::any_of(instances.begin(), instances.end(),
                  [](const auto& it) { return !it.serves_control(); });
  std::vector<Keeper> keepers;
  for (const schema::InstanceRecord& it : instances) {
    if (!has_ledgers || !it.serves_control()) {
      keepers.push_back(
          {it.instance(), it.zone(), it.peer_address(), it.retiring()});
    }
  }
  return keepers;
}

size_t ZoneCount(const std::vector<Keeper>& keepers) {
  std::set<std::string_view> zones;
  for (const Keeper& it : keepers) {
    if (!it.retiring) {
      zones.insert(it.zone);
    }
  }
  return zones.size();
}

size_t RequiredCopies(const std::vector<Keeper>& keepers) {
  const auto active =
      std::count_if(keepers.begin(), keepers.end(),
                    [](const Keeper& it) { return !it.retiring; });
  return CopiesAmong(static_cast<size_t>(active));
}

size_t RequiredZones(const std::vector<Keeper>& keepers) {
  return std::min({kZones, ZoneCount(keepers), RequiredCopies(keepers)});
}

bool CoversAllPlacements(const std::vector<Keeper>& keepers,
                         const std::set<std::string>& instances) {
  size_t active = 0;
  size_t active_others = 0;
  size_t retiring = 0;
  size_t retiring_others = 0;
  for (const Keeper& it : keepers) {
    const size_t other = instances.contains(it.instance) ? 0 : 1;
    (it.retiring ? retiring : active) += 1;
    (it.retiring ? retiring_others : active_others) += other;
  }
  bool has_placement = false;
  // Of the lists with n of the retiring ones active, the worst one has those
  // that are not covered.
  for (size_t n = 0; n <= retiring; ++n) {
    const size_t copies = CopiesAmong(active + n);
    if (copies == 0) {
      continue;
    }
    if (active_others + std::min(n, retiring_others) >= copies) {
      return false;
    }
    has_placement = true;
  }
  return has_placement;
}

std::string MakeChainKey(std::string_view home_zone, std::string_view turn) {
  return std::string(home_zone).append(1, kSeparator).append(turn);
}

ChainPlace PlaceOf(std::string_view chain_key) {
  return {XXH64(chain_key.data(), chain_key.size(), 0),
          std::string(chain_key.substr(0, chain_key.find(kSeparator)))};
}

std::vector<const Keeper*> PreferredKeepers(
    const ChainPlace& place, const std::vector<Keeper>& keepers) {
  std::vector<std::pair<uint64_t, const Keeper*>> weighted;
  for (const Keeper& it : keepers) {
    if (!it.retiring) {
      weighted.emplace_back(
          XXH64(it.instance.data(), it.instance.size(), place.hash), &it);
    }
  }
  // Ties are broken by the instance, so that all agree on the order.
  std::sort(weighted.begin(), weighted.end(), [](const auto& a, const auto& b) {
    return a.first != b.first ? a.first > b.first
                              : a.second->instance < b.second->instance;
  });
  std::vector<const Keeper*> first;
  std::vector<const Keeper*> rest;
  bool has_other = false;
  size_t home = 0;
  for (const auto& [weight, keeper] : weighted) {
    if (keeper->zone == place.home_zone && home < kHomeCopies) {
      ++home;
      first.push_back(keeper);
    } else if (keeper->zone != place.home_zone && !has_other) {
      has_other = true;
      first.push_back(keeper);
    } else {
      rest.push_back(keeper);
    }
  }
  std::stable_sort(
      first.begin(), first.end(), [&](const Keeper* a, const Keeper* b) {
        return a->zone == place.home_zone && b->zone != place.home_zone;
      });
  first.insert(first.end(), rest.begin(), rest.end());
  return first;
}

bool Suffices(const std::vector<const Keeper*>& chosen, size_t copies,
              size_t zones) {
  return chosen.size() >= copies && CountZones(chosen) >= zones;
}

std::vector<const Keeper*> CompleteCopies(
    const std::vector<const Keeper*>& candidates,
    const std::vector<const Keeper*>& chosen, size_t copies, size_t zones) {
  std::vector<const Keeper*> all = chosen;
  std::vector<const Keeper*> added;
  const auto add = [&](const Keeper* it) {
    all.push_back(it);
    added.push_back(it);
  };
  while (!Suffices(all, copies, zones)) {
    const size_t zones_now = CountZones(all);
    const size_t left = copies > all.size() ? copies - all.size() : 0;
    // The last copies that are left must bring the zones that are missing.
    const bool needs_zone = zones > zones_now && left <= zones - zones_now;
    const Keeper* next = nullptr;
    for (const Keeper* it : candidates) {
      if (Contains(all, it)) {
        continue;
      }
      const bool new_zone = std::none_of(
          all.begin(), all.end(),
          [&](const Keeper* other) { return other->zone == it->zone; });
      if (!needs_zone || new_zone) {
        next = it;
        break;
      }
    }
    if (next == nullptr) {
      return added;
    }
    add(next);
  }
  return added;
}

}  // namespace hawthorn::turns
