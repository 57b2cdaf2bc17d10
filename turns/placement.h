#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "schema/generated/deployment.pb.h"

// Which instances keep the turns of a chain.
namespace hawthorn::turns {

/// Copies of each turn, on different machines and in two zones at least: one
/// survives the loss of two machines or of one zone.
inline constexpr size_t kCopies = 3;
inline constexpr size_t kZones = 2;
/// Losses that the copies survive.
inline constexpr size_t kTolerated = kCopies - 1;
/// Time for which an instance counts among those that may have a copy after it
/// left or began to retire: its copies may not be replaced yet.
inline constexpr std::chrono::minutes kLeavingTime{5};

/// An instance that keeps turns.
struct Keeper {
  std::string instance;
  std::string zone;
  /// "IP:port" for the other instances.
  std::string address;
  /// Gets no new records.
  bool retiring = false;

  bool operator==(const Keeper&) const = default;
};

/// The instances that keep turns: those that do not serve control, or all if
/// every one does.
std::vector<Keeper> KeepersOf(
    const std::vector<schema::InstanceRecord>& instances);

/// Copies of a record if `active` keepers get new records.
constexpr size_t CopiesAmong(size_t active) {
  return std::min(kCopies, active);
}

/// Number of different zones of the keepers that are not retiring, and of the
/// keepers that a record is written to.
size_t ZoneCount(const std::vector<Keeper>& keepers);
size_t RequiredCopies(const std::vector<Keeper>& keepers);
size_t RequiredZones(const std::vector<Keeper>& keepers);

/// Returns whether every record has a copy at one of `instances`, whichever
/// list it was written by: only then may their word stand for all keepers.
///
/// A record is at CopiesAmong(n) of the n active keepers of its writer's list.
/// In an earlier list than `keepers`, any of the instances that retire now may
/// have been active; hence each number of them is considered. It may also have
/// lacked instances that joined later. One that joins, or returns with an empty
/// disk, must not be among `instances` before the others have repaired their
/// records, since these have the copies of a list with the new one from then
/// on.
///
/// `keepers` must contain every keeper that was added before the question, and
/// as retiring those that have left.
bool CoversAllPlacements(const std::vector<Keeper>& keepers,
                         const std::set<std::string>& instances);

/// Decides where a chain is kept.
struct ChainPlace {
  uint64_t hash = 0;
  std::string home_zone;

  bool operator==(const ChainPlace&) const = default;
};

/// Key of a new chain.
std::string MakeChainKey(std::string_view home_zone, std::string_view turn);
ChainPlace PlaceOf(std::string_view chain_key);

/// Keepers that are not retiring, by preference for the chain: two of its home
/// zone, then one of another zone, then all others.
std::vector<const Keeper*> PreferredKeepers(const ChainPlace& place,
                                            const std::vector<Keeper>& keepers);

/// Completes `chosen` from `candidates`, in their order, to the required number
/// of copies and zones. Returns the keepers to add; fewer if the candidates do
/// not suffice.
std::vector<const Keeper*> CompleteCopies(
    const std::vector<const Keeper*>& candidates,
    const std::vector<const Keeper*>& chosen, size_t copies, size_t zones);

/// Whether these keepers are enough for a record.
bool Suffices(const std::vector<const Keeper*>& chosen, size_t copies,
              size_t zones);

}  // namespace hawthorn::turns
