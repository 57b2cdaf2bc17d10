#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/clock.h"
#include "core/metrics.h"
#include "relay/turn_history.h"
#include "turns/instance_list.h"
#include "turns/peer_links.h"
#include "turns/placement.h"
#include "turns/turn_key.h"

namespace hawthorn::turns {

/// Keepers as a request sees them from its beginning to its end.
using KeeperList = std::shared_ptr<const std::vector<Keeper>>;

/// Reads and writes turns at the instances that keep them.
class TurnClient final : public relay::TurnHistory {
 public:
  /// Time after which another instance is asked as well.
  static constexpr std::chrono::milliseconds kHedgeDelay{150};
  /// Delay before instances that failed are asked again.
  static constexpr std::chrono::milliseconds kRetryDelay{100};
  /// Suggested delay of callers after an uncertain answer.
  static constexpr std::chrono::milliseconds kRetryAfter{300};
  /// Turns whose chain key is remembered.
  static constexpr size_t kMaxChainKeys = 20000;
  /// A turn whose input and output are larger is not kept.
  static constexpr size_t kMaxTurnBytes = size_t{3} * 1024 * 1024;
  /// A chain that is larger is not read.
  static constexpr size_t kMaxChainBytes = size_t{8} * 1024 * 1024;

  struct Parts {
    const core::Clock& clock;
    core::Metrics& metrics;
    PeerLinks& links;
    /// Availability zone of this instance.
    std::string zone;
    InstanceListReader read_instances;
  };

  explicit TurnClient(Parts parts);
  ~TurnClient() override;

  /// Sets the instances with a disk.
  void SetInstances(const std::vector<schema::InstanceRecord>& instances);

  void Read(const std::string& organisation, const std::string& turn,
            std::chrono::milliseconds timeout, ReadCallback callback) override;
  void Write(const relay::TurnRecord& record, std::chrono::milliseconds timeout,
             WriteCallback callback) override;

  size_t remembered_chain_keys() const { return chain_keys_.size(); }
  void UpdateGauges() const;

 private:
  friend class TurnRead;
  friend class TurnWrite;

  /// Where the turns of a chain are, as far as this instance remembers.
  const std::string* ChainKeyOf(const TurnKey& key) const;
  void RememberChainKey(const TurnKey& key, const std::string& chain_key);
  /// Takes the keepers from instances_.
  void Refresh();
  /// Keepers among `instances`, without those that began to retire long ago.
  std::vector<Keeper> ActiveKeepers(
      const std::vector<schema::InstanceRecord>& instances);
  /// Keepers of `list`, and as retiring those that left a short time ago.
  std::vector<Keeper> PossibleKeepers(const std::vector<Keeper>& list);
  /// Calls back with a list that contains every keeper that was added before
  /// this call, and as retiring others that this instance knew before.
  void ConfirmKeepers(
      std::function<void(const core::Result<KeeperList>&)> callback);

  Parts parts_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  std::vector<schema::InstanceRecord> instances_;
  KeeperList keepers_ = std::make_shared<std::vector<Keeper>>();
  /// Until when instances that left count.
  std::unordered_map<std::string, core::TimePoint> left_;
  /// Until when retiring instances count.
  std::unordered_map<std::string, core::TimePoint> retiring_;
  InstanceListQuery list_query_;
  std::unordered_map<TurnKey, std::string, TurnKeyHash> chain_keys_;
  std::deque<TurnKey> chain_key_order_;
};

}  // namespace hawthorn::turns
