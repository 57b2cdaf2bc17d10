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

schema::ProgramSpending SpendingTable::Get(const std::string& program) const {
  schema::ProgramSpending spending;
  const auto it = records_.find(program);
  if (it == records_.end()) {
    spending.set_program(program);
  } else {
    spending.ParseFromString(it->second.serialized);
  }
  return spending;
}

void SpendingTable::Set(const schema::ProgramSpending& spending) {
  Store(spending.program(), {ExpiryOf(spending), spending.SerializeAsString()});
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
  record.serialized.shrink_to_fit();
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
