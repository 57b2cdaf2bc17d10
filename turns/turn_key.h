#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "schema/generated/turns.pb.h"

namespace hawthorn::turns {

/// Identifies a turn: a hash of its organisation and its id.
struct TurnKey {
  uint64_t high = 0;
  uint64_t low = 0;

  auto operator<=>(const TurnKey&) const = default;
};

/// Hash function for unordered containers.
struct TurnKeyHash {
  size_t operator()(const TurnKey& key) const {
    return static_cast<size_t>(key.low);
  }
};

/// Version of the record's format that this program writes.
inline constexpr uint32_t kTurnFormat = 1;

TurnKey KeyOf(std::string_view organisation, std::string_view turn);
TurnKey KeyOf(const schema::StoredTurn& turn);
/// Key of the turn before this one; only if it has one.
TurnKey PreviousKeyOf(const schema::StoredTurn& turn);
/// Hash of everything that upstreams receive of a turn, and of its place in the
/// chain.
uint64_t ContentHashOf(const schema::StoredTurn& turn);

/// Conversions between lists of keys and their form in messages. Trailing bytes
/// that are no complete key are ignored.
std::string PackKeys(const std::vector<TurnKey>& keys);
std::vector<TurnKey> UnpackKeys(std::string_view bytes);

}  // namespace hawthorn::turns
