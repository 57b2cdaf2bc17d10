#pragma once

#include <chrono>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "turns/turn_client.h"

namespace hawthorn::turns {

/// One read of a chain. Lives as long as a callback of it is outstanding.
class TurnRead final : public std::enable_shared_from_this<TurnRead> {
 public:
  TurnRead(TurnClient& client, std::string organisation, std::string turn,
           relay::TurnHistory::ReadCallback callback);

  void Start(std::chrono::milliseconds timeout);

 private:
  /// Begins to look for a turn: the one that was asked for, or one before it.
  void Seek(std::string turn);
  /// Instances in the order in which they are asked, a group at a time.
  std::vector<std::vector<std::string>> PlanGroups() const;
  void AskNextGroup();
  void Ask(const std::string& instance);
  void OnReply(const std::string& instance,
               const core::Result<schema::TurnMessage>& reply);
  /// Adds the records of a reply. Returns false if they are not the chain that
  /// was asked for.
  bool TakeTurns(const schema::ReadTurnsReply& reply);
  void OnDenied(const std::string& instance);
  /// Ends the read if the denials make it certain that there is no such turn.
  /// The first time, the list of keepers that they are counted against is
  /// confirmed before.
  void CheckDenials();
  void OnListConfirmed(const core::Result<KeeperList>& list);
  void Succeed();
  void Fail(core::ErrorCode code, const std::string& message);
  void Finish(const core::Result<relay::TurnChain>& result);
  bool IsOver() const { return finished_ || alive_.expired(); }
  std::string ZoneOf(const std::string& instance) const;

  TurnClient& client_;
  std::weak_ptr<bool> alive_;
  std::string organisation_;
  std::string turn_;
  relay::TurnHistory::ReadCallback callback_;
  KeeperList keepers_;
  /// Whether keepers_ contains every keeper that was added before this read
  /// began, so that the turn cannot be at others alone.
  enum class ListState { kWatched, kBeingConfirmed, kConfirmed };
  ListState list_state_ = ListState::kWatched;
  core::TimePoint deadline_;
  bool finished_ = false;
  /// Turns found so far, the newest first.
  std::vector<schema::StoredTurn> found_;
  size_t found_bytes_ = 0;
  std::string sought_;
  std::vector<std::vector<std::string>> groups_;
  size_t waiting_ = 0;
  /// Counts the groups that were asked, so that a late timer is recognised.
  uint64_t round_ = 0;
  std::set<std::string> denials_;
};

}  // namespace hawthorn::turns
