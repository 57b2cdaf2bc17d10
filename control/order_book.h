#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "control.pb.h"

namespace hawthorn::control {

/// Orders to engines, as the control group keeps them. An order goes through
/// accepted, sent, unknown, done, failed or cancelled. The book admits one
/// attempt at a time for each upstream and no more loads at once than the
/// weight store serves, whoever leads.
class OrderBook {
 public:
  /// Orders that are not ended.
  static constexpr size_t kMaxOpenOrders = 10'000;
  /// Ended orders that are remembered.
  static constexpr size_t kMaxEndedOrders = 1'000;

  /// Accepts an order; the reply's number names it.
  schema::ControlReply Place(const schema::PlaceOrder& command,
                             int64_t wall_ms);

  /// Cancels an order of which no attempt may run.
  schema::ControlReply Cancel(const schema::CancelOrder& command);

  /// Allocates a fencing number to the leader of a term: higher than any
  /// before, the same again for a resend.
  schema::ControlReply OpenFence(const schema::OpenFence& command);

  /// Records a step of an order by the holder of the last fencing number.
  schema::ControlReply Mark(const schema::MarkOrder& command,
                            uint32_t concurrent_loads);

  /// Order by its number, or null.
  const schema::Order* Find(uint64_t number) const;

  const std::map<uint64_t, schema::Order>& orders() const { return orders_; }
  /// Numbers of the orders that are not ended, oldest first.
  const std::set<uint64_t>& open_orders() const { return open_; }
  /// Whether an attempt of some order may run at `upstream`.
  bool IsBusy(const std::string& upstream) const {
    return busy_upstreams_.count(upstream) > 0;
  }
  /// Loads from the weight store that may run.
  size_t loads_under_way() const { return loading_.size(); }
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
  // Upstreams with an attempt that may run, and the order that it is of.
  std::map<std::string, uint64_t> busy_upstreams_;
  // Orders that load from the weight store and may run.
  std::set<uint64_t> loading_;
  uint64_t last_order_ = 0;
  uint64_t last_fence_ = 0;
  uint64_t last_fence_term_ = 0;
  std::string last_fence_leader_;
};

/// Whether an order of this kind reads from the weight store.
bool IsLoad(schema::OrderKind kind);

/// Whether an attempt of an order in this state may run.
bool MayRun(schema::OrderState state);

/// Whether the state is a final one.
bool IsEnded(schema::OrderState state);

}  // namespace hawthorn::control
