#include "tests/consensus/register_machine.h"

#include <algorithm>
#include <map>

namespace hawthorn::consensus {

std::string RegisterMachine::Apply(uint64_t /*index*/,
                                   std::string_view command) {
  const size_t blank = command.find(' ');
  const uint64_t expected = std::stoull(std::string(command.substr(0, blank)));
  if (expected != version()) {
    return "no " + std::to_string(version());
  }
  values_.emplace_back(command.substr(blank + 1));
  return "ok " + std::to_string(version());
}

std::string RegisterMachine::Snapshot() const {
  std::string out;
  for (const std::string& value : values_) {
    out += value + "\n";
  }
  return out;
}

core::Status RegisterMachine::Restore(std::string_view bytes) {
  values_.clear();
  while (!bytes.empty()) {
    const size_t end = bytes.find('\n');
    values_.emplace_back(bytes.substr(0, end));
    bytes.remove_prefix(end + 1);
  }
  return std::monostate{};
}

std::string CheckLinearizable(const std::vector<Operation>& history,
                              const std::vector<Operation>& written) {
  std::map<std::string, int64_t> starts;
  for (const Operation& op : written) {
    starts[op.value] = op.invoked;
  }
  std::map<uint64_t, std::string> values;
  for (const Operation& op : history) {
    if (op.value.empty()) {
      continue;
    }
    const auto [it, is_new] = values.try_emplace(op.version, op.value);
    if (!is_new && it->second != op.value) {
      return "two values of version " + std::to_string(op.version);
    }
    if (!starts.contains(op.value) || starts[op.value] > op.returned) {
      return "value " + op.value + " was seen before it was written";
    }
  }
  std::vector<const Operation*> by_start;
  std::vector<const Operation*> by_end;
  for (const Operation& op : history) {
    by_start.push_back(&op);
    by_end.push_back(&op);
  }
  std::sort(by_start.begin(), by_start.end(),
            [](auto* a, auto* b) { return a->invoked < b->invoked; });
  std::sort(by_end.begin(), by_end.end(),
            [](auto* a, auto* b) { return a->returned < b->returned; });
  uint64_t seen = 0;
  size_t n = 0;
  for (const Operation* op : by_start) {
    while (n < by_end.size() && by_end[n]->returned < op->invoked) {
      seen = std::max(seen, by_end[n++]->version);
    }
    if (op->version < seen || (op->is_write && op->version == seen)) {
      return "version " + std::to_string(op->version) + " after version " +
             std::to_string(seen);
    }
  }
  return "";
}

}  // namespace hawthorn::consensus
