#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/error.h"

namespace hawthorn::consensus {

/// A compare-and-set register that keeps the value of each version. Command:
/// "EXPECTED_VERSION VALUE"; reply: "ok VERSION" or "no VERSION".
class RegisterMachine {
 public:
  std::string Apply(uint64_t index, std::string_view command);
  std::string Snapshot() const;
  core::Status Restore(std::string_view bytes);

  uint64_t version() const { return values_.size(); }
  const std::vector<std::string>& values() const { return values_; }
  std::string value() const { return values_.empty() ? "" : values_.back(); }

 private:
  std::vector<std::string> values_;
};

/// One operation on the register as its caller observed it; times are simulated
/// milliseconds.
struct Operation {
  bool is_write = false;
  std::string value;
  uint64_t version = 0;
  int64_t invoked = 0;
  int64_t returned = 0;
};

/// Checks that `history` is linearizable. It contains completed reads,
/// successful writes, and writes that were refused because of another version,
/// with that version. `written` contains the start of every attempted write,
/// identified by its value. Returns the first violation, or an empty text.
std::string CheckLinearizable(const std::vector<Operation>& history,
                              const std::vector<Operation>& written);

}  // namespace hawthorn::consensus
