#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "control.pb.h"

namespace hawthorn::control {

/// The control group's orders to engines. The states of an order are accepted,
/// sent, unknown, done, failed and cancelled. Under any leader, the book admits
/// one attempt at a time for each upstream, and only as many concurrent loads
/// as the weight store serves.
class OrderBook {
 public:
  /// Maximum number of open orders, those that have not ended.
  static constexpr size_t kMaxOpenOrders = 10'000;
  /// Maximum number of ended orders kept.
  static constexpr size_t kMaxEndedOrders = 1'000;

  /// Accepts an order and returns its number.
  schema::ControlReply Place(const schema::PlaceOrder& command,
                             int64_t wall_ms);

  /// Cancels an order in state accepted; in the other open states, an attempt
  /// of it may be running.
  schema::ControlReply Cancel(const schema::CancelOrder& command);

  /// Allocates a fencing number to the leader of a term. It is higher than all
  /// earlier ones; a resend gets the same number.
  schema::ControlReply OpenFence(const schema::OpenFence& command);

  /// Records a state transition of an order. Only the holder of the last
  /// fencing number may do so.
  schema::ControlReply Mark(const schema::MarkOrder& command,
                            uint32_t concurrent_loads);

  /// Order with this number, or null.
  const schema::Order* Find(uint64_t number) const;

  const std::map<uint64_t, schema::Order>& orders() const { return orders_; }
  /// Numbers of the open orders, oldest first.
  const std::set<uint64_t>& open_orders() const { return open_; }
  /// Whether an attempt of an order may be running at `upstream`.
  bool IsBusy(const std::string& upstream) const {
    return busy_upstreams_.count(upstream) > 0;
  }
  /// Number of loads from the weight store that may be running.
  size_t running_loads() const { return loading_.size(); }
  uint64_t last_order() const { return last_order_; }
  uint64_t last_fence() const { return last_fence_; }
  uint64_t last_fence_term() const { return last_fence_term_; }

  void Save(schema::ControlSnapshot* snapshot) const;
  void Load(const schema::ControlSnapshot& snapshot);

 private:
  schema::ControlReply MarkSent(const schema::MarkOrder& command,
                                uint32_t concurrent_loads,
                                schema::Order* order);
  void Close(schema::Order* order);
  void TrackAttempt(const schema::Order& order);

  std::map<uint64_t, schema::Order> orders_;
  std::set<uint64_t> open_;
  std::set<uint64_t> ended_;
  // Order whose attempt may be running, by upstream.
  std::map<std::string, uint64_t> busy_upstreams_;
  // Orders that load from the weight store and may be running.
  std::set<uint64_t> loading_;
  uint64_t last_order_ = 0;
  uint64_t last_fence_ = 0;
  uint64_t last_fence_term_ = 0;
  std::string last_fence_leader_;
};

/// Whether an order of this kind reads from the weight store.
bool IsLoad(schema::OrderKind kind);

/// Whether an attempt of an order in this state may be running.
bool MayRun(schema::OrderState state);

/// Whether the state is final.
bool IsEnded(schema::OrderState state);

}  // namespace hawthorn::control
