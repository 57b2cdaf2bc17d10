#pragma once

#include <chrono>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "turns/turn_client.h"

namespace hawthorn::turns {

/// One write of a turn. Lives as long as a callback of it is outstanding.
class TurnWrite final : public std::enable_shared_from_this<TurnWrite> {
 public:
  TurnWrite(TurnClient& client, const relay::TurnRecord& record,
            relay::TurnHistory::WriteCallback callback);

  void Start(std::chrono::milliseconds timeout);

 private:
  /// Begins to write the copies to keepers of this list.
  void UseKeepers(KeeperList keepers);
  /// Sends the turn to as many instances as are needed for its copies.
  void Proceed();
  void Send(const Keeper* keeper);
  void OnReply(const Keeper* keeper,
               const core::Result<schema::TurnMessage>& reply);
  /// Ends the write once no keeper was added for which the copies are too few.
  void ConfirmList();
  void OnListConfirmed(const core::Result<KeeperList>& list);
  /// Whether the keepers that acknowledged are enough by this list, too.
  bool SufficesBy(const std::vector<Keeper>& list) const;
  void Succeed();
  void Finish(const core::Status& status);
  bool IsOver() const { return finished_ || alive_.expired(); }

  TurnClient& client_;
  std::weak_ptr<bool> alive_;
  schema::TurnMessage message_;
  relay::TurnHistory::WriteCallback callback_;
  /// The pointers below are to elements of the last list. Replies may still
  /// refer to those of the lists before.
  std::vector<KeeperList> lists_;
  std::vector<const Keeper*> order_;
  size_t copies_ = 0;
  size_t zones_ = 0;
  core::TimePoint deadline_;
  std::vector<const Keeper*> acknowledged_;
  /// Sent within the hedge delay.
  std::vector<const Keeper*> in_flight_;
  /// Sent longer ago; may still acknowledge.
  std::set<const Keeper*> slow_;
  std::set<const Keeper*> failed_;
  /// Their first failure was logged.
  std::set<const Keeper*> logged_;
  bool retry_planned_ = false;
  bool confirming_ = false;
  bool finished_ = false;
  std::string last_error_;
};

}  // namespace hawthorn::turns
