#include "control/order_dispatcher.h"

#include <algorithm>
#include <utility>

namespace hawthorn::control {
namespace {

using core::TimePoint;
using schema::Order;
using schema::OrderState;

std::optional<OrderState> FinalState(OrderAnswer answer) {
  switch (answer) {
    case OrderAnswer::kDone:
      return schema::ORDER_STATE_DONE;
    case OrderAnswer::kFailed:
      return schema::ORDER_STATE_FAILED;
    default:
      return std::nullopt;
  }
}

}  // namespace

OrderDispatcher::OrderDispatcher(std::string instance, DispatchTimes times)
    : instance_(std::move(instance)), times_(times) {
  times_.gone_after = std::max(times_.gone_after, 2 * times_.max_flight);
}

void OrderDispatcher::BecomeLeader(const LeaderLease& lease, TimePoint now) {
  LoseLeadership();
  lease_ = lease;
  quiet_until_ = now + times_.lease + times_.max_flight;
}

void OrderDispatcher::RenewLease(const LeaderLease& lease) {
  if (lease_.has_value() && lease_->term == lease.term) {
    lease_->valid_until = std::max(lease_->valid_until, lease.valid_until);
  }
}

void OrderDispatcher::LoseLeadership() {
  lease_.reset();
  fence_ = 0;
  flights_.clear();
  fence_proposed_at_.reset();
  proposals_.clear();
  absent_since_.clear();
}

bool OrderDispatcher::IsActive(TimePoint now) const {
  return lease_.has_value() && now < lease_->valid_until;
}

std::vector<OrderAction> OrderDispatcher::Tick(
    TimePoint now, const OrderBook& book, const UpstreamsForOrders& upstreams,
    uint32_t concurrent_loads) {
  Pass pass{now, book, upstreams, concurrent_loads, 0, {}};
  if (!IsActive(now) || !OpenFence(&pass)) {
    return std::move(pass.actions);
  }
  std::erase_if(flights_, [&](const auto& it) {
    return book.open_orders().count(it.first) == 0;
  });
  std::erase_if(proposals_, [&](const auto& it) {
    return book.open_orders().count(it.first) == 0;
  });
  TrackAbsence(pass);
  // Orders for one upstream are carried out in the order of their numbers.
  std::set<std::string> seen;
  for (const uint64_t number : book.open_orders()) {
    const Order& order = *book.Find(number);
    if (seen.insert(order.spec().upstream()).second) {
      HandleOrder(&pass, order);
    }
  }
  return std::move(pass.actions);
}

// Returns whether the book has applied the fence of this leadership, and with
// it everything that earlier leaders committed.
bool OrderDispatcher::OpenFence(Pass* pass) {
  if (pass->book.last_fence_term() == lease_->term) {
    fence_ = pass->book.last_fence();
    return true;
  }
  if (fence_proposed_at_.has_value() &&
      pass->now < *fence_proposed_at_ + times_.retry) {
    return false;
  }
  fence_proposed_at_ = pass->now;
  ProposeCommand proposal;
  proposal.command.mutable_open_fence()->set_term(lease_->term);
  proposal.command.mutable_open_fence()->set_leader(instance_);
  pass->actions.emplace_back(std::move(proposal));
  return false;
}

void OrderDispatcher::TrackAbsence(const Pass& pass) {
  std::set<std::string> absent;
  for (const uint64_t number : pass.book.open_orders()) {
    const std::string& upstream = pass.book.Find(number)->spec().upstream();
    if (pass.upstreams.count(upstream) == 0) {
      absent.insert(upstream);
      absent_since_.try_emplace(upstream, pass.now);
    }
  }
  std::erase_if(absent_since_,
                [&](const auto& it) { return absent.count(it.first) == 0; });
}

bool OrderDispatcher::IsGone(const Pass& pass,
                             const std::string& upstream) const {
  const auto it = absent_since_.find(upstream);
  return it != absent_since_.end() &&
         pass.now >= it->second + times_.gone_after;
}

bool OrderDispatcher::MayTouch(const Pass& pass,
                               const std::string& upstream) const {
  const auto it = pass.upstreams.find(upstream);
  return it != pass.upstreams.end() &&
         (it->second.verifies_fencing || pass.now >= quiet_until_);
}

TimePoint OrderDispatcher::Deadline(TimePoint now) const {
  return std::min(lease_->valid_until, now + times_.max_flight);
}

bool OrderDispatcher::HasWindow(TimePoint now) const {
  return now + times_.min_window <= lease_->valid_until;
}

OrderDispatcher::Flight& OrderDispatcher::FlightOf(const Order& order) {
  Flight& flight = flights_[order.number()];
  if (flight.attempt != order.attempts()) {
    flight = Flight();
    flight.attempt = order.attempts();
  }
  return flight;
}

void OrderDispatcher::HandleOrder(Pass* pass, const Order& order) {
  if (IsGone(*pass, order.spec().upstream())) {
    ProposeMark(pass, order, order.attempts(), schema::ORDER_STATE_FAILED,
                MayRun(order.state())
                    ? "the upstream is gone; the outcome is unknown"
                    : "the upstream is gone; the order was not run");
    return;
  }
  switch (order.state()) {
    case schema::ORDER_STATE_ACCEPTED:
      HandleAccepted(pass, order);
      return;
    case schema::ORDER_STATE_SENT:
      HandleSent(pass, order);
      return;
    case schema::ORDER_STATE_UNKNOWN:
      HandleUnknown(pass, order);
      return;
    default:
      return;
  }
}

void OrderDispatcher::HandleAccepted(Pass* pass, const Order& order) {
  if (order.attempts() >= times_.max_attempts) {
    ProposeMark(pass, order, order.attempts(), schema::ORDER_STATE_FAILED,
                "no attempt reached the upstream");
    return;
  }
  const auto upstream = pass->upstreams.find(order.spec().upstream());
  const bool is_leaving =
      upstream != pass->upstreams.end() && upstream->second.leaving;
  if (is_leaving || !MayTouch(*pass, order.spec().upstream()) ||
      !HasWindow(pass->now)) {
    return;
  }
  if (IsLoad(order.spec().kind())) {
    if (pass->book.loads_under_way() + pass->new_loads >=
        pass->concurrent_loads) {
      return;
    }
    ++pass->new_loads;
  }
  ProposeMark(pass, order, order.attempts() + 1, schema::ORDER_STATE_SENT, "");
}

void OrderDispatcher::HandleSent(Pass* pass, const Order& order) {
  Flight& flight = FlightOf(order);
  if (flight.outcome.has_value()) {
    ProposeMark(pass, order, order.attempts(), flight.outcome->state,
                flight.outcome->message);
    return;
  }
  if (order.fence() != fence_) {
    // An earlier leader sent it, and its answer went there.
    if (MayTouch(*pass, order.spec().upstream())) {
      ProposeMark(pass, order, order.attempts(), schema::ORDER_STATE_UNKNOWN,
                  "the leader that sent the order is gone");
    }
    return;
  }
  if (!flight.sent_at.has_value()) {
    if (HasWindow(pass->now) && MayTouch(*pass, order.spec().upstream())) {
      flight.sent_at = pass->now;
      pass->actions.emplace_back(SendOrder{order, Deadline(pass->now)});
    }
    return;
  }
  if (pass->now >= *flight.sent_at + times_.max_flight) {
    ProposeMark(pass, order, order.attempts(), schema::ORDER_STATE_UNKNOWN,
                "the answer was lost");
  }
}

void OrderDispatcher::HandleUnknown(Pass* pass, const Order& order) {
  Flight& flight = FlightOf(order);
  if (flight.outcome.has_value()) {
    ProposeMark(pass, order, order.attempts(), flight.outcome->state,
                flight.outcome->message);
    return;
  }
  const bool is_due = !flight.queried_at.has_value() ||
                      pass->now >= *flight.queried_at + times_.retry;
  if (!is_due || !HasWindow(pass->now) ||
      !MayTouch(*pass, order.spec().upstream())) {
    return;
  }
  flight.queried_at = pass->now;
  Order query = order;
  query.set_fence(fence_);
  pass->actions.emplace_back(QueryOrder{std::move(query), Deadline(pass->now)});
}

void OrderDispatcher::ProposeMark(Pass* pass, const Order& order,
                                  uint32_t attempt, OrderState state,
                                  const std::string& message) {
  const auto it = proposals_.find(order.number());
  const bool is_repeat = it != proposals_.end() &&
                         it->second.attempt == attempt &&
                         it->second.state == state;
  if (is_repeat && pass->now < it->second.made_at + times_.retry) {
    return;
  }
  proposals_[order.number()] = Proposal{pass->now, attempt, state};
  ProposeCommand proposal;
  schema::MarkOrder& mark = *proposal.command.mutable_mark_order();
  mark.set_number(order.number());
  mark.set_fence(fence_);
  mark.set_attempt(attempt);
  mark.set_state(state);
  mark.set_message(message);
  pass->actions.emplace_back(std::move(proposal));
}

void OrderDispatcher::OnAnswer(uint64_t number, uint32_t attempt,
                               OrderAnswer answer, const std::string& message) {
  const auto it = flights_.find(number);
  const std::optional<OrderState> state = FinalState(answer);
  if (it == flights_.end() || it->second.attempt != attempt ||
      !it->second.sent_at.has_value() || !state.has_value()) {
    return;
  }
  it->second.outcome = Outcome{*state, message};
}

void OrderDispatcher::OnQueryAnswer(uint64_t number, uint32_t attempt,
                                    OrderAnswer answer,
                                    const std::string& message) {
  const auto it = flights_.find(number);
  if (it == flights_.end() || it->second.attempt != attempt ||
      !it->second.queried_at.has_value()) {
    return;
  }
  std::optional<OrderState> state = FinalState(answer);
  if (answer == OrderAnswer::kNeverSeen) {
    // Queries go out only once the attempt can no longer arrive.
    state = schema::ORDER_STATE_ACCEPTED;
  }
  if (state.has_value()) {
    it->second.outcome = Outcome{*state, message};
  }
}

}  // namespace hawthorn::control
