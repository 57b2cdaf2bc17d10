#include "control/spending_table.h"

#include <algorithm>
#include <utility>

#include "schema/field_header.h"

namespace hawthorn::control {

namespace {

/// Memory of a record beside its id and its content: the node of the map and
/// the headers of three allocations.
constexpr size_t kRecordOverheadBytes = 160;

}  // namespace

SpendingTable::OpenRecord SpendingTable::Open(const std::string& program) {
  if (is_open_ && open_.program() == program) {
    return {open_, false};
  }
  Close();
  const auto it = records_.find(program);
  const bool is_new = it == records_.end();
  if (is_new) {
    open_.Clear();
    open_.set_program(program);
  } else {
    open_.ParseFromString(it->second.serialized);
  }
  is_open_ = true;
  return {open_, is_new};
}

void SpendingTable::Close() {
  if (std::exchange(is_open_, false)) {
    Store(open_.program(), {ExpiryOf(open_), open_.SerializeAsString()});
  }
}

std::optional<schema::ProgramSpending> SpendingTable::Find(
    const std::string& program) const {
  if (is_open_ && open_.program() == program) {
    return open_;
  }
  const auto it = records_.find(program);
  if (it == records_.end()) {
    return std::nullopt;
  }
  schema::ProgramSpending spending;
  spending.ParseFromString(it->second.serialized);
  return spending;
}

bool SpendingTable::SetSerialized(std::string record) {
  schema::ProgramSpending spending;
  if (!spending.ParseFromString(record)) {
    return false;
  }
  Store(spending.program(), {ExpiryOf(spending), std::move(record)});
  return true;
}

void SpendingTable::Store(const std::string& program, Record record) {
  const size_t added = record.serialized.size();
  const auto [it, inserted] = records_.try_emplace(program);
  content_bytes_ -= it->second.serialized.size();
  content_bytes_ += added + (inserted ? program.size() : 0);
  it->second = std::move(record);
}

void SpendingTable::Expire(int64_t now_ms) {
  std::erase_if(records_, [this, now_ms](const auto& it) {
    if (it.second.expires_ms >= now_ms) {
      return false;
    }
    content_bytes_ -= it.first.size() + it.second.serialized.size();
    return true;
  });
}

size_t SpendingTable::memory_bytes() const {
  return content_bytes_ + records_.size() * kRecordOverheadBytes;
}

size_t SpendingTable::snapshot_bytes() const {
  return content_bytes_ + records_.size() * schema::kMaxFieldHeaderBytes;
}

void SpendingTable::AppendTo(std::string* snapshot) const {
  for (const auto& [program, record] : records_) {
    schema::AppendFieldHeader(schema::DeploymentSnapshot::kProgramsFieldNumber,
                              record.serialized.size(), snapshot);
    snapshot->append(record.serialized);
  }
}

int64_t SpendingTable::LongerRetention(int64_t a, int64_t b) {
  const auto or_default = [](int64_t retention_ms) {
    return retention_ms > 0 ? retention_ms : kDefaultRetentionMs;
  };
  return std::max(or_default(a), or_default(b));
}

int64_t SpendingTable::ExpiryOf(const schema::ProgramSpending& spending) {
  const int64_t retention_ms =
      spending.retention_ms() > 0 ? spending.retention_ms() + kRetentionMarginMs
                                  : kDefaultRetentionMs;
  return spending.last_used_ms() + retention_ms;
}

}  // namespace hawthorn::control
