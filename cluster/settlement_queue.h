#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <string>

#include "schema/generated/deployment.pb.h"

namespace hawthorn::cluster {

/// Settlements that the group has not confirmed. Each is in one command at a
/// time, so that the work of the group does not grow while its answers are
/// late.
class SettlementQueue {
 public:
  using List = google::protobuf::RepeatedPtrField<schema::TokenSettlement>;

  /// Maximum settlements in one command. Each costs every replica as much as a
  /// claim.
  static constexpr size_t kMaxPerCommand = 16;

  /// Adds a settlement; it replaces an earlier one of the same request.
  void Add(schema::TokenSettlement settlement);
  /// Moves settlements that are in no command into one, the oldest first.
  List Take();
  /// Removes the settlements of a command that was committed.
  void Confirm(const List& taken);
  /// Settlements of a command that failed may be taken again.
  void Return(const List& taken);

  /// Number of settlements, and of those that are in no command.
  size_t size() const { return waiting_.size() + taken_.size(); }
  size_t waiting() const { return waiting_.size(); }

 private:
  /// By the order in which they were added.
  std::map<uint64_t, schema::TokenSettlement> waiting_;
  std::map<std::string, uint64_t> waiting_by_request_;
  std::set<std::string> taken_;
  uint64_t last_order_ = 0;
};

}  // namespace hawthorn::cluster
