#include "scheduling/call_queue.h"

#include <algorithm>

namespace hawthorn::scheduling {

CallQueue::CallQueue(AnyPolicy policy)
    : policy_(std::move(policy)), placement_(policy_.placement()) {}

void CallQueue::Push(const CallRequest& request, std::optional<size_t> home,
                     core::TimePoint now) {
  QueuedCall& call = calls_[request.id];
  call.request = request;
  call.home = home;
  call.enqueued = now;
  call.sequence = next_sequence_++;
  call.rank = policy_.Rank(call);
  Link(call);
  if (request.deadline) {
    deadlines_.emplace(*request.deadline, request.id);
  }
  ++by_organisation_[request.organisation];
  interactive_ += request.interactive ? 1 : 0;
  isolated_ += request.isolate ? 1 : 0;
}

void CallQueue::Link(QueuedCall& call) {
  const Ranked ranked{{call.rank, call.sequence}, &call};
  order_.insert(ranked);
  if (call.home) {
    by_home_[*call.home].insert(ranked);
  }
}

QueuedCall* CallQueue::FirstAtHome(size_t upstream) {
  const auto it = by_home_.find(upstream);
  return it == by_home_.end() ? nullptr : it->second.begin()->call;
}

QueuedCall* CallQueue::Find(CallId call) {
  const auto it = calls_.find(call);
  return it == calls_.end() ? nullptr : &it->second;
}

bool CallQueue::Erase(CallId call) {
  const auto it = calls_.find(call);
  if (it == calls_.end()) {
    return false;
  }
  Unlink(it);
  return true;
}

void CallQueue::TakeForDispatch(CallId call) {
  const auto it = calls_.find(call);
  if (it == calls_.end()) {
    return;
  }
  policy_.OnDispatched(it->second);
  Unlink(it);
}

void CallQueue::Unlink(std::unordered_map<CallId, QueuedCall>::iterator it) {
  const QueuedCall& call = it->second;
  const CallRequest& request = call.request;
  const Ranked ranked{{call.rank, call.sequence}, nullptr};
  order_.erase(ranked);
  const auto home = call.home ? by_home_.find(*call.home) : by_home_.end();
  if (home != by_home_.end()) {
    home->second.erase(ranked);
    if (home->second.empty()) {
      by_home_.erase(home);
    }
  }
  if (request.deadline) {
    deadlines_.erase({*request.deadline, request.id});
  }
  const auto count = by_organisation_.find(request.organisation);
  if (--count->second == 0) {
    by_organisation_.erase(count);
  }
  interactive_ -= request.interactive ? 1 : 0;
  isolated_ -= request.isolate ? 1 : 0;
  calls_.erase(it);
}

void CallQueue::SetPolicy(AnyPolicy policy) {
  policy_ = std::move(policy);
  placement_ = policy_.placement();
  std::vector<QueuedCall*> arrivals;
  arrivals.reserve(calls_.size());
  for (auto& [id, call] : calls_) {
    arrivals.push_back(&call);
  }
  std::sort(arrivals.begin(), arrivals.end(),
            [](const QueuedCall* a, const QueuedCall* b) {
              return a->sequence < b->sequence;
            });
  order_.clear();
  by_home_.clear();
  for (QueuedCall* call : arrivals) {
    call->share_tag = 0;
    call->rank = policy_.Rank(*call);
    Link(*call);
  }
}

size_t CallQueue::CountOf(const core::OrganisationId& organisation) const {
  const auto it = by_organisation_.find(organisation);
  return it == by_organisation_.end() ? 0 : it->second;
}

std::vector<CallId> CallQueue::Expired(core::TimePoint now) const {
  std::vector<CallId> expired;
  for (const auto& [deadline, call] : deadlines_) {
    if (deadline > now) {
      break;
    }
    expired.push_back(call);
  }
  return expired;
}

std::optional<core::TimePoint> CallQueue::NextDeadline() const {
  if (deadlines_.empty()) {
    return std::nullopt;
  }
  return deadlines_.begin()->first;
}

}  // namespace hawthorn::scheduling
