#include "programs/program_table.h"

#include <utility>

namespace hawthorn::programs {
namespace {

using SerialIndex = absl::flat_hash_map<std::string, absl::btree_set<uint64_t>>;

void EraseFrom(SerialIndex* index, const std::string& key, uint64_t serial) {
  const auto it = index->find(key);
  if (it == index->end()) {
    return;
  }
  it->second.erase(serial);
  if (it->second.empty()) {
    index->erase(it);
  }
}

}  // namespace

Program* ProgramTable::Find(const std::string& organisation,
                            const std::string& id) const {
  const auto it = by_name_.find(NameRef{organisation, id});
  return it == by_name_.end() ? nullptr : it->second;
}

Program* ProgramTable::BySerial(uint64_t serial) const {
  const auto it = programs_.find(serial);
  return it == programs_.end() ? nullptr : it->second.get();
}

Program& ProgramTable::Add(const schema::CreateProgram& create,
                           int64_t now_ms) {
  const uint64_t serial = next_serial_++;
  Insert(std::make_unique<Program>(serial, create, now_ms));
  return *BySerial(serial);
}

void ProgramTable::Erase(uint64_t serial) {
  const Program* const program = BySerial(serial);
  if (program == nullptr) {
    return;
  }
  by_name_.erase(NameRef{program->organisation, program->id});
  EraseFrom(&by_organisation_, program->organisation, serial);
  if (program->pending) {
    EraseFrom(&by_owner_, program->pending->owner, serial);
  }
  programs_.erase(serial);
}

void ProgramTable::Open(Program* program, std::unique_ptr<PendingCall> call) {
  by_owner_[call->owner].insert(program->serial);
  program->pending = std::move(call);
}

void ProgramTable::SetOwner(Program* program, const std::string& owner) {
  EraseFrom(&by_owner_, program->pending->owner, program->serial);
  program->pending->owner = owner;
  by_owner_[owner].insert(program->serial);
}

void ProgramTable::Close(Program* program, CallRecord record) {
  EraseFrom(&by_owner_, program->pending->owner, program->serial);
  program->Append(std::move(record));
}

std::vector<std::string> ProgramTable::Owners() const {
  std::vector<std::string> owners;
  for (const auto& [owner, serials] : by_owner_) {
    if (!owner.empty() && !serials.empty()) {
      owners.push_back(owner);
    }
  }
  return owners;
}

std::vector<uint64_t> ProgramTable::OwnedBy(const std::string& owner) const {
  const auto it = by_owner_.find(owner);
  if (it == by_owner_.end()) {
    return {};
  }
  return {it->second.begin(), it->second.end()};
}

std::vector<const Program*> ProgramTable::List(const std::string& organisation,
                                               size_t limit) const {
  std::vector<const Program*> result;
  if (organisation.empty()) {
    for (auto it = programs_.rbegin(); it != programs_.rend(); ++it) {
      if (result.size() == limit) {
        break;
      }
      result.push_back(it->second.get());
    }
    return result;
  }
  const auto found = by_organisation_.find(organisation);
  if (found == by_organisation_.end()) {
    return result;
  }
  const absl::btree_set<uint64_t>& serials = found->second;
  for (auto it = serials.rbegin(); it != serials.rend(); ++it) {
    if (result.size() == limit) {
      break;
    }
    result.push_back(BySerial(*it));
  }
  return result;
}

void ProgramTable::WriteTo(schema::LedgerSnapshot* snapshot) const {
  snapshot->set_next_serial(next_serial_);
  for (const auto& [serial, program] : programs_) {
    *snapshot->add_programs() = program->ToSnapshot();
  }
}

void ProgramTable::ReadFrom(const schema::LedgerSnapshot& snapshot) {
  by_name_.clear();
  by_organisation_.clear();
  by_owner_.clear();
  programs_.clear();
  next_serial_ = snapshot.next_serial();
  for (const schema::SnapshotProgram& it : snapshot.programs()) {
    Insert(std::make_unique<Program>(it));
  }
}

void ProgramTable::Insert(std::unique_ptr<Program> program) {
  Program* const raw = program.get();
  by_name_.emplace(NameRef{raw->organisation, raw->id}, raw);
  by_organisation_[raw->organisation].insert(raw->serial);
  if (raw->pending) {
    by_owner_[raw->pending->owner].insert(raw->serial);
  }
  programs_.emplace(raw->serial, std::move(program));
}

}  // namespace hawthorn::programs
