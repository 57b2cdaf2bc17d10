// Preloaded into an instance under test. Partitions its process from the
// upstreams, which are the peers that it connects to at 127.0.0.1; instances
// have other loopback addresses.
#include "network_fault.h"

#include <arpa/inet.h>
#include <dlfcn.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cerrno>

#include "process_fault.h"

namespace {

using hawthorn::soak::Partition;

constexpr size_t kMaxDescriptors = 4096;

std::atomic<Partition> partition{Partition::kNone};
/// Descriptors of connections to upstreams.
std::array<std::atomic<bool>, kMaxDescriptors> upstream_links{};
/// Connections that the partition hides from the process, kept open so that
/// the upstreams do not see an end.
std::array<std::atomic<int>, kMaxDescriptors> hidden{};
std::atomic<size_t> hidden_count{0};

using ConnectFunction = int (*)(int, const sockaddr*, socklen_t);
using CloseFunction = int (*)(int);

ConnectFunction RealConnect() {
  static const auto function =
      reinterpret_cast<ConnectFunction>(dlsym(RTLD_NEXT, "connect"));
  return function;
}

CloseFunction RealClose() {
  static const auto function =
      reinterpret_cast<CloseFunction>(dlsym(RTLD_NEXT, "close"));
  return function;
}

enum class Substitute { kSilent, kFull, kReset };

/// Puts a socket that never answers, takes no bytes or is reset in the place of
/// `descriptor`.
void Replace(int descriptor, Substitute kind) {
  std::array<int, 2> ends{};
  if (socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0,
                 ends.data()) != 0) {
    return;
  }
  std::array<char, 4096> bytes{};
  if (kind == Substitute::kFull) {
    while (write(ends[0], bytes.data(), bytes.size()) > 0) {
    }
  }
  if (kind == Substitute::kReset) {
    // Closing an end with unread bytes resets the other one.
    [[maybe_unused]] const auto n = write(ends[0], bytes.data(), 1);
    RealClose()(ends[1]);
  } else {
    const size_t n = hidden_count++;
    if (n < kMaxDescriptors) {
      hidden[n] = ends[1];
    }
  }
  dup3(ends[0], descriptor, O_CLOEXEC);
  RealClose()(ends[0]);
}

void Hide(int descriptor) {
  const int kept = fcntl(descriptor, F_DUPFD_CLOEXEC, 0);
  const size_t n = hidden_count++;
  if (kept >= 0 && n < kMaxDescriptors) {
    hidden[n] = kept;
  }
}

void OnSignal(int /*number*/, siginfo_t* info, void* /*context*/) {
  const int error = errno;
  const auto next = static_cast<Partition>(info->si_value.sival_int);
  partition = next;
  const bool cuts_open_links = next == Partition::kHung ||
                               next == Partition::kHalfOpen ||
                               next == Partition::kRefused;
  for (size_t n = 0; cuts_open_links && n < kMaxDescriptors; ++n) {
    if (!upstream_links[n].exchange(false)) {
      continue;
    }
    const int descriptor = static_cast<int>(n);
    if (next == Partition::kRefused) {
      Replace(descriptor, Substitute::kReset);
    } else {
      Hide(descriptor);
      Replace(descriptor, Substitute::kSilent);
    }
  }
  if (next == Partition::kNone) {
    const size_t count = std::min(hidden_count.exchange(0), kMaxDescriptors);
    for (size_t n = 0; n < count; ++n) {
      RealClose()(hidden[n]);
    }
  }
  errno = error;
}

__attribute__((constructor)) void Install() {
  RealConnect();
  RealClose();
  struct sigaction action {};
  action.sa_sigaction = OnSignal;
  action.sa_flags = SA_SIGINFO | SA_RESTART;
  sigaction(hawthorn::soak::PartitionSignal(), &action, nullptr);
}

bool IsUpstream(const sockaddr* address) {
  if (address->sa_family != AF_INET) {
    return false;
  }
  const auto* inet = reinterpret_cast<const sockaddr_in*>(address);
  return inet->sin_addr.s_addr == htonl(INADDR_LOOPBACK);
}

}  // namespace

extern "C" int connect(int descriptor, const sockaddr* address,
                       socklen_t size) {
  if (!IsUpstream(address)) {
    if (address->sa_family == AF_INET) {
      const auto& peer = *reinterpret_cast<const sockaddr_in*>(address);
      if (hawthorn::soak::detail::IsCut(peer)) {
        Replace(descriptor, Substitute::kFull);
        errno = EINPROGRESS;
        return -1;
      }
      hawthorn::soak::detail::BindOwnAddress(descriptor, peer);
    }
    return RealConnect()(descriptor, address, size);
  }
  switch (partition.load()) {
    case Partition::kNone:
      break;
    case Partition::kHung:
      Replace(descriptor, Substitute::kFull);
      errno = EINPROGRESS;
      return -1;
    case Partition::kRefused:
    case Partition::kRefusedNew:
      errno = ECONNREFUSED;
      return -1;
    case Partition::kHalfOpen:
      Replace(descriptor, Substitute::kSilent);
      return 0;
  }
  const int result = RealConnect()(descriptor, address, size);
  if (static_cast<size_t>(descriptor) < kMaxDescriptors) {
    upstream_links[static_cast<size_t>(descriptor)] = true;
  }
  return result;
}

extern "C" int close(int descriptor) {
  if (descriptor >= 0 && static_cast<size_t>(descriptor) < kMaxDescriptors) {
    upstream_links[static_cast<size_t>(descriptor)] = false;
  }
  hawthorn::soak::detail::ForgetDescriptor(descriptor);
  return RealClose()(descriptor);
}
