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
  times_.gone_after =
      std::max(times_.gone_after, 2 * times_.max_message_lifetime);
}

void OrderDispatcher::BecomeLeader(const LeaderLease& lease, TimePoint now) {
  LoseLeadership();
  lease_ = lease;
  no_contact_until_ = now + times_.lease + times_.max_message_lifetime;
}

void OrderDispatcher::RenewLease(const LeaderLease& lease) {
  if (lease_.has_value() && lease_->term == lease.term) {
    lease_->valid_until = std::max(lease_->valid_until, lease.valid_until);
  }
}

void OrderDispatcher::LoseLeadership() {
  lease_.reset();
  fence_ = 0;
  attempts_.clear();
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
  TickContext context{now, book, upstreams, concurrent_loads, 0, {}};
  if (!IsActive(now) || !OpenFence(&context)) {
    return std::move(context.actions);
  }
  std::erase_if(attempts_, [&](const auto& it) {
    return book.open_orders().count(it.first) == 0;
  });
  std::erase_if(proposals_, [&](const auto& it) {
    return book.open_orders().count(it.first) == 0;
  });
  TrackAbsence(context);
  // Orders to the same upstream run in the order of their numbers.
  std::set<std::string> seen;
  for (const uint64_t number : book.open_orders()) {
    const Order& order = *book.Find(number);
    if (seen.insert(order.spec().upstream()).second) {
      HandleOrder(&context, order);
    }
  }
  return std::move(context.actions);
}

// Returns whether the book has applied the fencing number of this leadership,
// and thus everything that earlier leaders committed.
bool OrderDispatcher::OpenFence(TickContext* context) {
  if (context->book.last_fence_term() == lease_->term) {
    fence_ = context->book.last_fence();
    return true;
  }
  if (fence_proposed_at_.has_value() &&
      context->now < *fence_proposed_at_ + times_.retry) {
    return false;
  }
  fence_proposed_at_ = context->now;
  ProposeCommand proposal;
  proposal.command.mutable_open_fence()->set_term(lease_->term);
  proposal.command.mutable_open_fence()->set_leader(instance_);
  context->actions.emplace_back(std::move(proposal));
  return false;
}

void OrderDispatcher::TrackAbsence(const TickContext& context) {
  std::set<std::string> absent;
  for (const uint64_t number : context.book.open_orders()) {
    const std::string& upstream = context.book.Find(number)->spec().upstream();
    if (context.upstreams.count(upstream) == 0) {
      absent.insert(upstream);
      absent_since_.try_emplace(upstream, context.now);
    }
  }
  std::erase_if(absent_since_,
                [&](const auto& it) { return absent.count(it.first) == 0; });
}

bool OrderDispatcher::IsGone(const TickContext& context,
                             const std::string& upstream) const {
  const auto it = absent_since_.find(upstream);
  return it != absent_since_.end() &&
         context.now >= it->second + times_.gone_after;
}

bool OrderDispatcher::MayContact(const TickContext& context,
                                 const std::string& upstream) const {
  const auto it = context.upstreams.find(upstream);
  return it != context.upstreams.end() &&
         (it->second.verifies_fencing || context.now >= no_contact_until_);
}

TimePoint OrderDispatcher::Deadline(TimePoint now) const {
  return std::min(lease_->valid_until, now + times_.max_message_lifetime);
}

bool OrderDispatcher::HasLeaseTime(TimePoint now) const {
  return now + times_.min_lease_left <= lease_->valid_until;
}

OrderDispatcher::AttemptState& OrderDispatcher::AttemptStateOf(
    const Order& order) {
  AttemptState& attempt_state = attempts_[order.number()];
  if (attempt_state.attempt != order.attempts()) {
    attempt_state = AttemptState();
    attempt_state.attempt = order.attempts();
  }
  return attempt_state;
}

void OrderDispatcher::HandleOrder(TickContext* context, const Order& order) {
  if (IsGone(*context, order.spec().upstream())) {
    ProposeMark(context, order, order.attempts(), schema::ORDER_STATE_FAILED,
                MayRun(order.state())
                    ? "the upstream is gone; the outcome is unknown"
                    : "the upstream is gone; the order was not run");
    return;
  }
  switch (order.state()) {
    case schema::ORDER_STATE_ACCEPTED:
      HandleAccepted(context, order);
      return;
    case schema::ORDER_STATE_SENT:
      HandleSent(context, order);
      return;
    case schema::ORDER_STATE_UNKNOWN:
      HandleUnknown(context, order);
      return;
    default:
      return;
  }
}

void OrderDispatcher::HandleAccepted(TickContext* context, const Order& order) {
  if (order.attempts() >= times_.max_attempts) {
    ProposeMark(context, order, order.attempts(), schema::ORDER_STATE_FAILED,
                "no attempt reached the upstream");
    return;
  }
  const auto upstream = context->upstreams.find(order.spec().upstream());
  const bool is_leaving =
      upstream != context->upstreams.end() && upstream->second.leaving;
  if (is_leaving || !MayContact(*context, order.spec().upstream()) ||
      !HasLeaseTime(context->now)) {
    return;
  }
  if (IsLoad(order.spec().kind())) {
    if (context->book.running_loads() + context->new_loads >=
        context->concurrent_loads) {
      return;
    }
    ++context->new_loads;
  }
  ProposeMark(context, order, order.attempts() + 1, schema::ORDER_STATE_SENT,
              "");
}

void OrderDispatcher::HandleSent(TickContext* context, const Order& order) {
  AttemptState& attempt_state = AttemptStateOf(order);
  if (attempt_state.outcome.has_value()) {
    ProposeMark(context, order, order.attempts(), attempt_state.outcome->state,
                attempt_state.outcome->message);
    return;
  }
  if (order.fence() != fence_) {
    // An earlier leader sent the attempt and received the reply, if any.
    if (MayContact(*context, order.spec().upstream())) {
      ProposeMark(context, order, order.attempts(), schema::ORDER_STATE_UNKNOWN,
                  "the leader that sent the order is gone");
    }
    return;
  }
  if (!attempt_state.sent_at.has_value()) {
    if (HasLeaseTime(context->now) &&
        MayContact(*context, order.spec().upstream())) {
      attempt_state.sent_at = context->now;
      context->actions.emplace_back(SendOrder{order, Deadline(context->now)});
    }
    return;
  }
  if (context->now >= *attempt_state.sent_at + times_.max_message_lifetime) {
    ProposeMark(context, order, order.attempts(), schema::ORDER_STATE_UNKNOWN,
                "the answer was lost");
  }
}

void OrderDispatcher::HandleUnknown(TickContext* context, const Order& order) {
  AttemptState& attempt_state = AttemptStateOf(order);
  if (attempt_state.outcome.has_value()) {
    ProposeMark(context, order, order.attempts(), attempt_state.outcome->state,
                attempt_state.outcome->message);
    return;
  }
  const bool is_due = !attempt_state.queried_at.has_value() ||
                      context->now >= *attempt_state.queried_at + times_.retry;
  if (!is_due || !HasLeaseTime(context->now) ||
      !MayContact(*context, order.spec().upstream())) {
    return;
  }
  attempt_state.queried_at = context->now;
  Order query = order;
  query.set_fence(fence_);
  context->actions.emplace_back(
      QueryOrder{std::move(query), Deadline(context->now)});
}

void OrderDispatcher::ProposeMark(TickContext* context, const Order& order,
                                  uint32_t attempt, OrderState state,
                                  const std::string& message) {
  const auto it = proposals_.find(order.number());
  const bool is_same = it != proposals_.end() &&
                       it->second.attempt == attempt &&
                       it->second.state == state;
  if (is_same && context->now < it->second.made_at + times_.retry) {
    return;
  }
  proposals_[order.number()] = Proposal{context->now, attempt, state};
  ProposeCommand proposal;
  schema::MarkOrder& mark = *proposal.command.mutable_mark_order();
  mark.set_number(order.number());
  mark.set_fence(fence_);
  mark.set_attempt(attempt);
  mark.set_state(state);
  mark.set_message(message);
  context->actions.emplace_back(std::move(proposal));
}

void OrderDispatcher::OnAnswer(uint64_t number, uint32_t attempt,
                               OrderAnswer answer, const std::string& message) {
  const auto it = attempts_.find(number);
  const std::optional<OrderState> state = FinalState(answer);
  if (it == attempts_.end() || it->second.attempt != attempt ||
      !it->second.sent_at.has_value() || !state.has_value()) {
    return;
  }
  it->second.outcome = Outcome{*state, message};
}

void OrderDispatcher::OnQueryAnswer(uint64_t number, uint32_t attempt,
                                    OrderAnswer answer,
                                    const std::string& message) {
  const auto it = attempts_.find(number);
  if (it == attempts_.end() || it->second.attempt != attempt ||
      !it->second.queried_at.has_value()) {
    return;
  }
  std::optional<OrderState> state = FinalState(answer);
  if (answer == OrderAnswer::kNeverStarted) {
    // Queries are sent only when the attempt can no longer arrive.
    state = schema::ORDER_STATE_ACCEPTED;
  }
  if (state.has_value()) {
    it->second.outcome = Outcome{*state, message};
  }
}

}  // namespace hawthorn::control
