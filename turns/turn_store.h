#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/error.h"
#include "core/metrics.h"
#include "turns/instance_list.h"
#include "turns/peer_links.h"
#include "turns/placement.h"
#include "turns/repair_queue.h"
#include "turns/turn_disk.h"
#include "turns/turn_index.h"

// Copies of the turns of conversations on several instances with a disk.
namespace hawthorn::turns {

/// The turns that one instance keeps: writes and reads them for others, and
/// sees to it that each has all its copies. Lives in one thread; the disk and
/// the links answer later, in the same thread.
class TurnStore {
 public:
  struct Parts {
    const core::Clock& clock;
    core::Metrics& metrics;
    PeerLinks& links;
    TurnDisk& disk;
    /// This instance.
    std::string self;
    InstanceListReader read_instances;
  };

  using Reply = std::function<void(const core::Result<schema::TurnMessage>&)>;

  /// Interval of Tick.
  static constexpr std::chrono::milliseconds kTickInterval{100};
  /// Time for which a turn is kept beyond its retention: a turn that continues
  /// it may have read the chain at the end of the retention and still run.
  static constexpr std::chrono::milliseconds kExtraRetention{30000};
  /// Interval at which the other instances are asked whether they are there.
  static constexpr std::chrono::milliseconds kStatusInterval{1000};
  static constexpr std::chrono::milliseconds kStatusTimeout{800};
  /// Status requests in a row without a reply after which copies move away from
  /// an instance.
  static constexpr int kMaxMisses = 3;
  /// Time after which the copies of a new turn are checked: its writer has
  /// reached the other instances by then, or will not.
  static constexpr std::chrono::milliseconds kCheckDelay{1500};
  static constexpr std::chrono::milliseconds kCheckTimeout{1000};
  static constexpr std::chrono::milliseconds kSendTimeout{3000};
  /// Time between two steps of repair that found everything in order.
  static constexpr std::chrono::milliseconds kStepInterval{1000};
  /// Turns that are checked, and sent to one instance, in one step of repair.
  static constexpr size_t kCheckBatch = 512;
  static constexpr size_t kSendBatch = 192;
  static constexpr std::chrono::milliseconds kExpiryInterval{2000};
  /// Bytes that wait for the disk; further writes are refused.
  static constexpr size_t kMaxPendingBytes = size_t{8} * 1024 * 1024;
  /// A write is refused if its record is larger.
  static constexpr size_t kMaxRecordBytes = size_t{4} * 1024 * 1024;

  explicit TurnStore(Parts parts);

  /// Opens the folder. Requests are refused until it is open.
  void Start();
  /// Sets the instances that keep turns, this one included if it does.
  void SetKeepers(std::vector<Keeper> keepers);
  /// Handles a message from another instance.
  void OnMessage(const schema::TurnMessage& message, const std::string& from,
                 Reply reply);
  /// To be called every kTickInterval.
  void Tick();

  /// Whether a turn that this instance does not have counts as denied.
  bool complete() const { return open_ && complete_; }
  bool is_open() const { return open_; }
  /// Turns without all copies at others if this instance knows that it retires
  /// or keeps none. Otherwise more than 0: it is itself one of the places of
  /// its turns.
  uint64_t unplaced_turns() const;
  size_t size() const { return index_.size(); }
  /// Turns whose copies are not known to be whole.
  size_t waiting_checks() const { return queue_.size(); }
  void UpdateGauges() const;

 private:
  struct PendingWrite {
    std::vector<schema::TurnCopy> copies;
    size_t bytes = 0;
    Reply reply;
  };

  /// Another instance that keeps turns.
  struct Peer {
    uint64_t incarnation = 0;
    bool reachable = true;
    bool complete = true;
    int misses = 0;
    /// Since when it is not reachable.
    core::TimePoint unreachable_since;
    /// Turns added before this number have all their copies once the queue has
    /// passed it; set when the incarnation was first heard of.
    uint64_t mark = 0;
    /// What it said last about this instance's incarnation.
    bool repaired_for_us = false;
  };

  /// One step of repair.
  struct Step {
    /// The queue was filled again since the step began if this is no longer
    /// epoch_.
    uint64_t epoch = 0;
    size_t open_requests = 0;
    std::vector<TurnKey> keys;
    /// Those of them that are not at all the instances where they belong.
    std::set<TurnKey> unplaced;
  };
  using StepPtr = std::shared_ptr<Step>;

  core::TimePoint Now() const { return parts_.clock.Now(); }
  void OnOpened(const core::Result<TurnLog::Opened>& opened);
  void OnWrite(const schema::WriteTurns& write, Reply reply);
  /// Keeps a turn that is there already as long as the copy. Returns false if
  /// it is not there.
  bool TakeKnown(const schema::TurnCopy& copy);
  void Flush();
  void OnAppended(const std::vector<PendingWrite>& writes,
                  const core::Result<std::vector<RecordLocation>>& result);
  void OnRead(const schema::ReadTurns& read, const Reply& reply);
  void Expire();
  void Compact();
  void RemoveEmptySegments();

  // Repair: turn_store_repair.cpp.
  void OnCheck(const schema::CheckTurns& check, const Reply& reply);
  void OnStatus(const schema::TurnStoreStatus& status, const std::string& from,
                const Reply& reply);
  void SendStatus();
  void OnStatusReply(const std::string& instance,
                     const core::Result<schema::TurnMessage>& reply);
  /// Notes contact with an instance and the identity of its folder.
  Peer* HeardFrom(const std::string& instance, uint64_t incarnation);
  void OnMissed(const std::string& instance);
  /// Checks the copies of all turns again.
  void CheckAll(const char* reason);
  /// Marks the folder as complete if all that it may have lost is at others.
  void CheckComplete();
  void MarkComplete();
  /// Whether the other ones of these keepers have repaired what this one may
  /// have lost.
  bool IsRepaired(const std::vector<Keeper>& keepers) const;
  /// Whether each of these keepers is among the known ones.
  bool KnowsKeepers(const std::vector<Keeper>& keepers) const;
  void RepairStep();
  void OnChecked(const StepPtr& step, const std::string& instance,
                 const std::vector<TurnKey>& asked,
                 const core::Result<schema::TurnMessage>& reply);
  void SendTurns(const StepPtr& step, const std::string& instance,
                 const std::vector<TurnKey>& keys);
  void FinishRequest(const StepPtr& step);

  /// A callback that does nothing once this object is gone.
  template <typename F>
  auto Guarded(F function) {
    return [alive = std::weak_ptr<bool>(alive_),
            function = std::move(function)](const auto&... args) {
      if (!alive.expired()) {
        function(args...);
      }
    };
  }

  Parts parts_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  bool open_ = false;
  bool open_failed_ = false;
  bool complete_ = false;
  bool marking_ = false;
  bool confirming_ = false;
  bool is_keeper_ = false;
  bool self_retiring_ = false;
  uint64_t incarnation_ = 0;
  InstanceListQuery list_query_;
  TurnIndex index_;
  RepairQueue queue_;
  std::vector<Keeper> keepers_;
  std::map<std::string, Peer> peers_;
  std::vector<PendingWrite> pending_;
  size_t pending_bytes_ = 0;
  bool appending_ = false;
  bool compacting_ = false;
  /// Newest segment that was written to.
  uint32_t active_segment_ = 0;
  uint64_t epoch_ = 0;
  StepPtr step_;
  core::TimePoint next_step_;
  core::TimePoint next_expiry_;
  core::TimePoint next_status_;
};

}  // namespace hawthorn::turns
