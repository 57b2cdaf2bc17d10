#include "cluster/settlement_queue.h"

#include <utility>

namespace hawthorn::cluster {

void SettlementQueue::Add(schema::TokenSettlement settlement) {
  const auto known = waiting_by_request_.find(settlement.request());
  if (known != waiting_by_request_.end()) {
    waiting_[known->second] = std::move(settlement);
    return;
  }
  waiting_by_request_[settlement.request()] = ++last_order_;
  waiting_[last_order_] = std::move(settlement);
}

SettlementQueue::List SettlementQueue::Take() {
  List taken;
  while (!waiting_.empty() &&
         static_cast<size_t>(taken.size()) < kMaxPerCommand) {
    const auto first = waiting_.begin();
    waiting_by_request_.erase(first->second.request());
    taken_.insert(first->second.request());
    *taken.Add() = std::move(first->second);
    waiting_.erase(first);
  }
  return taken;
}

void SettlementQueue::Confirm(const List& taken) {
  for (const schema::TokenSettlement& it : taken) {
    taken_.erase(it.request());
  }
}

void SettlementQueue::Return(const List& taken) {
  for (const schema::TokenSettlement& it : taken) {
    if (taken_.erase(it.request()) > 0 &&
        !waiting_by_request_.contains(it.request())) {
      Add(it);
    }
  }
}

}  // namespace hawthorn::cluster
