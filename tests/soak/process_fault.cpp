// Preloaded into an instance under test, beside network_fault.cpp. The signal
// handlers only set atomics and end connections; the threads that sync or send
// look at them.
#include "process_fault.h"

#include <arpa/inet.h>
#include <dlfcn.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <cerrno>
#include <cstdlib>

namespace {

using hawthorn::soak::detail::IsCut;

constexpr size_t kMaxDescriptors = 4096;
constexpr size_t kMaxCuts = 64;
constexpr long kPollNs = 5'000'000;
constexpr uint32_t kLoopbackNet = 127U << 24;

std::atomic<bool> disk_stalled{false};
/// Addresses that bytes to are lost, in host order; 0: a free place.
std::array<std::atomic<uint32_t>, kMaxCuts> cut_addresses{};
std::atomic<int> cut_count{0};
/// Connections that have lost bytes, and so are of no use after the cut.
std::array<std::atomic<bool>, kMaxDescriptors> broken_links{};

template <typename Function>
Function Real(const char* name) {
  return reinterpret_cast<Function>(dlsym(RTLD_NEXT, name));
}

using SyncFunction = int (*)(int);
using WriteFunction = ssize_t (*)(int, const void*, size_t);
using WriteVectorFunction = ssize_t (*)(int, const iovec*, int);
using SendFunction = ssize_t (*)(int, const void*, size_t, int);
using SendMessageFunction = ssize_t (*)(int, const msghdr*, int);

SyncFunction RealSync() {
  static const auto function = Real<SyncFunction>("fsync");
  return function;
}
SyncFunction RealDataSync() {
  static const auto function = Real<SyncFunction>("fdatasync");
  return function;
}
WriteFunction RealWrite() {
  static const auto function = Real<WriteFunction>("write");
  return function;
}
WriteVectorFunction RealWriteVector() {
  static const auto function = Real<WriteVectorFunction>("writev");
  return function;
}
SendFunction RealSend() {
  static const auto function = Real<SendFunction>("send");
  return function;
}
SendMessageFunction RealSendMessage() {
  static const auto function = Real<SendMessageFunction>("sendmsg");
  return function;
}

void WaitForDisk() {
  while (disk_stalled) {
    const timespec pause{0, kPollNs};
    nanosleep(&pause, nullptr);
  }
}

/// Whether bytes that are written to `descriptor` get lost.
bool Loses(int descriptor) {
  if (cut_count == 0 || descriptor < 0 ||
      static_cast<size_t>(descriptor) >= kMaxDescriptors) {
    return false;
  }
  const int error = errno;
  sockaddr_in peer{};
  socklen_t size = sizeof(peer);
  const bool lost =
      getpeername(descriptor, reinterpret_cast<sockaddr*>(&peer), &size) == 0 &&
      peer.sin_family == AF_INET && IsCut(peer);
  errno = error;
  if (lost) {
    broken_links[static_cast<size_t>(descriptor)] = true;
  }
  return lost;
}

size_t SizeOf(const iovec* parts, size_t count) {
  size_t size = 0;
  for (size_t n = 0; n < count; ++n) {
    size += parts[n].iov_len;
  }
  return size;
}

void OnDiskSignal(int /*number*/, siginfo_t* info, void* /*context*/) {
  disk_stalled = info->si_value.sival_int != 0;
}

void OnCutSignal(int /*number*/, siginfo_t* info, void* /*context*/) {
  const int error = errno;
  const int value = info->si_value.sival_int;
  const uint32_t address =
      kLoopbackNet | (static_cast<uint32_t>(value) & 0xffffffU);
  if ((value & hawthorn::soak::kCutBit) != 0) {
    for (auto& it : cut_addresses) {
      uint32_t free = 0;
      if (it.compare_exchange_strong(free, address)) {
        ++cut_count;
        break;
      }
    }
  } else {
    for (auto& it : cut_addresses) {
      uint32_t held = address;
      if (it.compare_exchange_strong(held, 0)) {
        --cut_count;
      }
    }
    for (size_t n = 0; n < kMaxDescriptors; ++n) {
      if (broken_links[n].exchange(false)) {
        shutdown(static_cast<int>(n), SHUT_RDWR);
      }
    }
  }
  errno = error;
}

__attribute__((constructor)) void Install() {
  RealSync();
  RealDataSync();
  RealWrite();
  RealWriteVector();
  RealSend();
  RealSendMessage();
  struct sigaction action {};
  action.sa_flags = SA_SIGINFO | SA_RESTART;
  action.sa_sigaction = OnDiskSignal;
  sigaction(hawthorn::soak::DiskStallSignal(), &action, nullptr);
  action.sa_sigaction = OnCutSignal;
  sigaction(hawthorn::soak::CutSignal(), &action, nullptr);
}

}  // namespace

namespace hawthorn::soak::detail {

bool IsCut(const sockaddr_in& address) {
  if (cut_count == 0) {
    return false;
  }
  const uint32_t wanted = ntohl(address.sin_addr.s_addr);
  for (const auto& it : cut_addresses) {
    if (it == wanted) {
      return true;
    }
  }
  return false;
}

void BindOwnAddress(int descriptor, const sockaddr_in& address) {
  const uint32_t to = ntohl(address.sin_addr.s_addr);
  const char* own = std::getenv(kOwnAddressVariable);
  if (own == nullptr || (to & 0xff000000U) != kLoopbackNet) {
    return;
  }
  const int on = 1;
  setsockopt(descriptor, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &on, sizeof(on));
  sockaddr_in from{};
  from.sin_family = AF_INET;
  inet_pton(AF_INET, own, &from.sin_addr);
  bind(descriptor, reinterpret_cast<const sockaddr*>(&from), sizeof(from));
}

void ForgetDescriptor(int descriptor) {
  if (descriptor >= 0 && static_cast<size_t>(descriptor) < kMaxDescriptors) {
    broken_links[static_cast<size_t>(descriptor)] = false;
  }
}

}  // namespace hawthorn::soak::detail

extern "C" int fsync(int descriptor) {
  WaitForDisk();
  return RealSync()(descriptor);
}

extern "C" int fdatasync(int descriptor) {
  WaitForDisk();
  return RealDataSync()(descriptor);
}

extern "C" ssize_t write(int descriptor, const void* bytes, size_t size) {
  return Loses(descriptor) ? static_cast<ssize_t>(size)
                           : RealWrite()(descriptor, bytes, size);
}

extern "C" ssize_t writev(int descriptor, const iovec* parts, int count) {
  return Loses(descriptor)
             ? static_cast<ssize_t>(SizeOf(parts, static_cast<size_t>(count)))
             : RealWriteVector()(descriptor, parts, count);
}

extern "C" ssize_t send(int descriptor, const void* bytes, size_t size,
                        int flags) {
  return Loses(descriptor) ? static_cast<ssize_t>(size)
                           : RealSend()(descriptor, bytes, size, flags);
}

extern "C" ssize_t sendmsg(int descriptor, const msghdr* message, int flags) {
  return Loses(descriptor) ? static_cast<ssize_t>(
                                 SizeOf(message->msg_iov, message->msg_iovlen))
                           : RealSendMessage()(descriptor, message, flags);
}
