#pragma once

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>

#include "core/error.h"

namespace hawthorn::consensus {

/// A replicated state machine. All three functions are deterministic: equal
/// commands in equal order give equal replies and equal snapshots everywhere.
template <typename M>
concept StateMachine = requires(M& machine, const M& constant, uint64_t index,
                                std::string_view bytes) {
  { machine.Apply(index, bytes) } -> std::convertible_to<std::string>;
  { constant.Snapshot() } -> std::convertible_to<std::string>;
  { machine.Restore(bytes) } -> std::convertible_to<core::Status>;
};

}  // namespace hawthorn::consensus
