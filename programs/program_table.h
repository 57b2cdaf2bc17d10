#pragma once

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>
#include <absl/strings/string_view.h>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "programs/program.h"

namespace hawthorn::programs {

/// All programs of a zone, indexed by organisation and id, by serial number in
/// the order of creation, and by the owner of the pending call.
class ProgramTable {
 public:
  /// Program of the organisation; null if there is none.
  Program* Find(const std::string& organisation, const std::string& id) const;

  /// Program with this serial number; null if there is none.
  Program* BySerial(uint64_t serial) const;

  /// Adds a new program with the next serial number.
  Program& Add(const schema::CreateProgram& create, int64_t now_ms);

  void Erase(uint64_t serial);

  /// Sets the pending call of the program.
  void Open(Program* program, std::unique_ptr<PendingCall> call);

  /// Changes the owner of the pending call.
  void SetOwner(Program* program, const std::string& owner);

  /// Ends the pending call with `record`.
  void Close(Program* program, CallRecord record);

  /// Serial numbers of the programs whose pending call has this owner; an empty
  /// name stands for lost owners.
  std::vector<uint64_t> OwnedBy(const std::string& owner) const;

  /// Owners of pending calls, without lost owners.
  std::vector<std::string> Owners() const;

  /// At most `limit` programs of an organisation, newest first; for an empty
  /// name, of all organisations.
  std::vector<const Program*> List(const std::string& organisation,
                                   size_t limit) const;

  /// Programs in the order of creation.
  const absl::btree_map<uint64_t, std::unique_ptr<Program>>& all() const {
    return programs_;
  }

  void WriteTo(schema::LedgerSnapshot* snapshot) const;
  void ReadFrom(const schema::LedgerSnapshot& snapshot);

 private:
  struct NameRef {
    absl::string_view organisation;
    absl::string_view id;

    bool operator==(const NameRef&) const = default;

    template <typename H>
    friend H AbslHashValue(H state, const NameRef& ref) {
      return H::combine(std::move(state), ref.organisation, ref.id);
    }
  };

  void Insert(std::unique_ptr<Program> program);

  uint64_t next_serial_ = 1;
  absl::btree_map<uint64_t, std::unique_ptr<Program>> programs_;
  absl::flat_hash_map<NameRef, Program*> by_name_;
  absl::flat_hash_map<std::string, absl::btree_set<uint64_t>> by_organisation_;
  absl::flat_hash_map<std::string, absl::btree_set<uint64_t>> by_owner_;
};

}  // namespace hawthorn::programs
