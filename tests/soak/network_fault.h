#pragma once

#include <signal.h>

namespace hawthorn::soak {

/// How an instance is partitioned from all upstreams. Its links to callers and
/// to other instances stay whole.
enum class Partition {
  kNone,
  /// Open connections hang, new ones do not connect.
  kHung,
  /// Open connections are reset, new ones are refused.
  kRefused,
  /// Open connections work, new ones are refused.
  kRefusedNew,
  /// Open and new connections take bytes and never answer.
  kHalfOpen,
};

/// Signal whose value sets the Partition of a process that has network_fault
/// preloaded.
inline int PartitionSignal() { return SIGRTMIN + 4; }

}  // namespace hawthorn::soak
