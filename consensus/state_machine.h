#pragma once

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>

#include "core/error.h"

namespace hawthorn::consensus {

/// A replicated state machine. All three functions must be deterministic: the
/// same commands in the same order give the same replies and snapshots on every
/// replica.
template <typename M>
concept StateMachine = requires(M& machine, const M& constant, uint64_t index,
                                std::string_view bytes) {
  { machine.Apply(index, bytes) } -> std::convertible_to<std::string>;
  { constant.Snapshot() } -> std::convertible_to<std::string>;
  { machine.Restore(bytes) } -> std::convertible_to<core::Status>;
};

}  // namespace hawthorn::consensus
