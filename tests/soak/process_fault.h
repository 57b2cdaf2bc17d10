#pragma once

#include <netinet/in.h>
#include <signal.h>

#include <cstdint>

// Faults of a process that has network_fault preloaded, beside its Partition:
// a disk that stalls, and links to other instances that are cut one way.
namespace hawthorn::soak {

/// Signal whose value, 1 or 0, makes each sync of a file hang or return again.
inline int DiskStallSignal() { return SIGRTMIN + 5; }

/// Signal whose value is a PackCut(): bytes to that peer are lost.
inline int CutSignal() { return SIGRTMIN + 6; }

/// Environment variable with the IP address that the connections to other
/// instances come from, so that both ends know their peer by its address.
inline constexpr const char* kOwnAddressVariable = "SOAK_IP";

inline constexpr int kCutBit = 1 << 24;

/// Value of a CutSignal for the peer at 127.`address`.
inline int PackCut(uint32_t address, bool cut) {
  return static_cast<int>(address & 0xffffffU) | (cut ? kCutBit : 0);
}

namespace detail {

/// Whether bytes to `address` are lost.
bool IsCut(const sockaddr_in& address);
/// Binds a connection to another instance to the own address.
void BindOwnAddress(int descriptor, const sockaddr_in& address);
/// The descriptor is closed.
void ForgetDescriptor(int descriptor);

}  // namespace detail

}  // namespace hawthorn::soak
