#include "control/order_book.h"

#include <absl/strings/str_cat.h>

#include "control/reply.h"
#include "settings/rule_check.h"

namespace hawthorn::control {
namespace {

using schema::Order;
using schema::OrderSpec;
using schema::OrderState;

constexpr size_t kMaxMessageBytes = 256;

bool IsOptionalId(const std::string& text) {
  return text.empty() || settings::IsId(text);
}

std::string Validate(const OrderSpec& spec) {
  if (!settings::IsId(spec.upstream()) || !settings::IsId(spec.service())) {
    return "an order names an upstream and a service";
  }
  if (!IsOptionalId(spec.model()) || !IsOptionalId(spec.adapter()) ||
      !IsOptionalId(spec.version()) || !IsOptionalId(spec.role())) {
    return "model, adapter, version and role are ids";
  }
  switch (spec.kind()) {
    case schema::ORDER_KIND_LOAD_MODEL:
      return spec.model().empty() ? "the order names no model" : "";
    case schema::ORDER_KIND_LOAD_ADAPTER:
      return spec.adapter().empty() ? "the order names no adapter" : "";
    case schema::ORDER_KIND_SET_VERSION:
      return spec.version().empty() ? "the order names no version" : "";
    case schema::ORDER_KIND_CHANGE_ROLE:
      return spec.role().empty() ? "the order names no role" : "";
    default:
      return "the kind of the order is unknown";
  }
}

// Whether the current attempt of an order may change from state `from` to `to`.
bool IsTransition(OrderState from, OrderState to) {
  switch (to) {
    case schema::ORDER_STATE_ACCEPTED:
      return MayRun(from);
    case schema::ORDER_STATE_UNKNOWN:
      return from == schema::ORDER_STATE_SENT;
    case schema::ORDER_STATE_DONE:
      return MayRun(from);
    case schema::ORDER_STATE_FAILED:
      return !IsEnded(from);
    default:
      return false;
  }
}

}  // namespace

bool IsLoad(schema::OrderKind kind) {
  return kind == schema::ORDER_KIND_LOAD_MODEL ||
         kind == schema::ORDER_KIND_LOAD_ADAPTER ||
         kind == schema::ORDER_KIND_SET_VERSION;
}

bool MayRun(OrderState state) {
  return state == schema::ORDER_STATE_SENT ||
         state == schema::ORDER_STATE_UNKNOWN;
}

bool IsEnded(OrderState state) {
  return state == schema::ORDER_STATE_DONE ||
         state == schema::ORDER_STATE_FAILED ||
         state == schema::ORDER_STATE_CANCELLED;
}

schema::ControlReply OrderBook::Place(const schema::PlaceOrder& command,
                                      int64_t wall_ms) {
  const std::string problem = Validate(command.spec());
  if (!problem.empty()) {
    return detail::RefuseInvalid(problem);
  }
  if (open_.size() >= kMaxOpenOrders) {
    return detail::MakeReply(schema::CONTROL_VERDICT_LIMIT,
                             "too many open orders");
  }
  Order order;
  order.set_number(++last_order_);
  *order.mutable_spec() = command.spec();
  order.set_state(schema::ORDER_STATE_ACCEPTED);
  order.set_author(command.author());
  order.set_operation(command.operation());
  order.set_wall_ms(wall_ms);
  open_.insert(last_order_);
  orders_.emplace(last_order_, std::move(order));
  return detail::Accept(last_order_);
}

schema::ControlReply OrderBook::Cancel(const schema::CancelOrder& command) {
  const auto it = orders_.find(command.number());
  if (it == orders_.end()) {
    return detail::MakeReply(schema::CONTROL_VERDICT_NOT_FOUND, "no such order",
                             command.number());
  }
  Order& order = it->second;
  if (order.state() != schema::ORDER_STATE_ACCEPTED) {
    return detail::RefuseConflict(
        absl::StrCat(
            "order ", order.number(),
            IsEnded(order.state()) ? " has ended" : " may be under way"),
        order.number());
  }
  order.set_state(schema::ORDER_STATE_CANCELLED);
  const uint64_t number = order.number();
  Close(&order);
  return detail::Accept(number);
}

schema::ControlReply OrderBook::OpenFence(const schema::OpenFence& command) {
  const bool is_resend = command.term() == last_fence_term_ &&
                         command.leader() == last_fence_leader_;
  if (is_resend && last_fence_ > 0) {
    return detail::Accept(last_fence_);
  }
  if (command.term() <= last_fence_term_) {
    return detail::RefuseConflict(
        absl::StrCat("term ", last_fence_term_, " has opened a fence"),
        last_fence_);
  }
  last_fence_term_ = command.term();
  last_fence_leader_ = command.leader();
  ++last_fence_;
  return detail::Accept(last_fence_);
}

schema::ControlReply OrderBook::Mark(const schema::MarkOrder& command,
                                     uint32_t concurrent_loads) {
  if (command.fence() != last_fence_ || last_fence_ == 0) {
    return detail::RefuseConflict(
        absl::StrCat("the last fencing number is ", last_fence_), last_fence_);
  }
  const auto it = orders_.find(command.number());
  if (it == orders_.end()) {
    return detail::MakeReply(schema::CONTROL_VERDICT_NOT_FOUND, "no such order",
                             command.number());
  }
  Order& order = it->second;
  if (command.state() == schema::ORDER_STATE_SENT) {
    return MarkSent(command, concurrent_loads, &order);
  }
  if (command.attempt() != order.attempts() ||
      !IsTransition(order.state(), command.state())) {
    return detail::RefuseConflict("the order is in another state",
                                  order.number());
  }
  order.set_state(command.state());
  order.set_fence(command.fence());
  order.set_message(command.message().substr(0, kMaxMessageBytes));
  const uint64_t number = order.number();
  TrackAttempt(order);
  if (IsEnded(order.state())) {
    Close(&order);
  }
  return detail::Accept(number);
}

schema::ControlReply OrderBook::MarkSent(const schema::MarkOrder& command,
                                         uint32_t concurrent_loads,
                                         Order* order) {
  if (order->state() != schema::ORDER_STATE_ACCEPTED ||
      command.attempt() != order->attempts() + 1) {
    return detail::RefuseConflict("the order is in another state",
                                  order->number());
  }
  if (busy_upstreams_.count(order->spec().upstream()) > 0) {
    return detail::RefuseConflict("another order may run at the upstream",
                                  order->number());
  }
  if (IsLoad(order->spec().kind()) && loading_.size() >= concurrent_loads) {
    return detail::MakeReply(schema::CONTROL_VERDICT_LIMIT,
                             "the weight store is busy", order->number());
  }
  order->set_state(schema::ORDER_STATE_SENT);
  order->set_attempts(command.attempt());
  order->set_fence(command.fence());
  TrackAttempt(*order);
  return detail::Accept(order->number());
}

void OrderBook::TrackAttempt(const Order& order) {
  if (MayRun(order.state())) {
    busy_upstreams_[order.spec().upstream()] = order.number();
    if (IsLoad(order.spec().kind())) {
      loading_.insert(order.number());
    }
    return;
  }
  const auto it = busy_upstreams_.find(order.spec().upstream());
  if (it != busy_upstreams_.end() && it->second == order.number()) {
    busy_upstreams_.erase(it);
  }
  loading_.erase(order.number());
}

void OrderBook::Close(Order* order) {
  open_.erase(order->number());
  ended_.insert(order->number());
  while (ended_.size() > kMaxEndedOrders) {
    orders_.erase(*ended_.begin());
    ended_.erase(ended_.begin());
  }
}

const Order* OrderBook::Find(uint64_t number) const {
  const auto it = orders_.find(number);
  return it == orders_.end() ? nullptr : &it->second;
}

void OrderBook::Save(schema::ControlSnapshot* snapshot) const {
  for (const auto& [number, order] : orders_) {
    *snapshot->add_orders() = order;
  }
  snapshot->set_last_order(last_order_);
  snapshot->set_last_fence(last_fence_);
  snapshot->set_last_fence_term(last_fence_term_);
  snapshot->set_last_fence_leader(last_fence_leader_);
}

void OrderBook::Load(const schema::ControlSnapshot& snapshot) {
  *this = OrderBook();
  for (const Order& it : snapshot.orders()) {
    orders_.emplace(it.number(), it);
    (IsEnded(it.state()) ? ended_ : open_).insert(it.number());
    TrackAttempt(it);
  }
  last_order_ = snapshot.last_order();
  last_fence_ = snapshot.last_fence();
  last_fence_term_ = snapshot.last_fence_term();
  last_fence_leader_ = snapshot.last_fence_leader();
}

}  // namespace hawthorn::control
