#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "control.pb.h"

namespace hawthorn::control {

/// Members of the replicated groups and the identities of voters. A record
/// changes by compare-and-set on its version, one voter at a time; only a
/// higher epoch replaces more. An identity is allocated once and never again.
class GroupTable {
 public:
  /// Runs a change of a group's record.
  schema::ControlReply Change(const schema::ChangeGroup& change);

  /// Allocates the next identity; the reply's number is it.
  schema::ControlReply Allocate(const schema::AllocateIdentity& command);

  /// Record of `group`, or null if there is none.
  const schema::GroupRecord* Find(const std::string& group) const;

  const std::map<std::string, schema::GroupRecord>& groups() const {
    return groups_;
  }
  uint64_t last_identity() const { return last_identity_; }

  void Save(schema::ControlSnapshot* snapshot) const;
  void Load(const schema::ControlSnapshot& snapshot);

 private:
  std::string FindFault(const schema::GroupRecord& record,
                        const schema::GroupRecord* old) const;

  std::map<std::string, schema::GroupRecord> groups_;
  uint64_t last_identity_ = 0;
};

}  // namespace hawthorn::control
