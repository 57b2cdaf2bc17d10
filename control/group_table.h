#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "control.pb.h"

namespace hawthorn::control {

/// Members of the replicated groups and the identities of voters. Records are
/// changed by compare-and-set on their version, one voter at a time; only a new
/// epoch may replace more. An identity is never allocated twice.
class GroupTable {
 public:
  /// Changes the record of a group.
  schema::ControlReply Change(const schema::ChangeGroup& change);

  /// Allocates the next identity and returns it as the reply's number.
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
  // Returns the reason why `record` may not follow `old`, or an empty string.
  std::string Validate(const schema::GroupRecord& record,
                       const schema::GroupRecord* old) const;

  std::map<std::string, schema::GroupRecord> groups_;
  uint64_t last_identity_ = 0;
};

}  // namespace hawthorn::control
