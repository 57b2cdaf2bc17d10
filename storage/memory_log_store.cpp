#include "storage/memory_log_store.h"

#include <random>

namespace hawthorn::storage {

uint64_t NewIncarnation() {
  std::random_device device;
  const uint64_t value = (static_cast<uint64_t>(device()) << 32U) | device();
  return value == 0 ? 1 : value;
}

}  // namespace hawthorn::storage
