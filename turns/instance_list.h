#pragma once

#include <functional>
#include <memory>
#include <utility>
#include <vector>

#include "core/error.h"
#include "schema/generated/deployment.pb.h"

namespace hawthorn::turns {

using InstanceListCallback = std::function<void(
    const core::Result<std::vector<schema::InstanceRecord>>&)>;
/// Reads the instances with a disk from the group that keeps their list. The
/// result contains every instance that was added before the call; an error if
/// the group does not confirm it. The callback is called at most once, and may
/// be called from within the call.
using InstanceListReader = std::function<void(InstanceListCallback)>;

/// The records of a list that was read.
inline core::Result<std::vector<schema::InstanceRecord>> RecordsOf(
    const core::Result<schema::InstanceList>& read) {
  if (!core::IsOk(read)) {
    return core::ErrorOf(read);
  }
  const auto& records = core::Value(read).instances();
  return std::vector<schema::InstanceRecord>(records.begin(), records.end());
}

/// Confirmed reads of the list of instances. The list that an instance watches
/// may be behind, so that nothing may be concluded from what is not in it.
/// Callers that ask while a read is under way share the next one, as the result
/// of the current one may be older than their question.
class InstanceListQuery {
 public:
  explicit InstanceListQuery(InstanceListReader reader)
      : reader_(std::move(reader)) {}

  /// `callback` is not called once this object is gone.
  void Read(InstanceListCallback callback);

 private:
  void Begin();

  InstanceListReader reader_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  std::vector<InstanceListCallback> waiting_;
  bool reading_ = false;
};

}  // namespace hawthorn::turns
