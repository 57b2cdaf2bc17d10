#include "turns/turn_read.h"

#include <algorithm>
#include <utility>

#include "logging/log.h"

namespace hawthorn::turns {

TurnRead::TurnRead(TurnClient& client, std::string organisation,
                   std::string turn, relay::TurnHistory::ReadCallback callback)
    : client_(client),
      alive_(client.alive_),
      organisation_(std::move(organisation)),
      turn_(std::move(turn)),
      callback_(std::move(callback)),
      keepers_(client.keepers_) {}

void TurnRead::Start(std::chrono::milliseconds timeout) {
  deadline_ = client_.parts_.clock.Now() + timeout;
  client_.parts_.links.After(timeout, [self = shared_from_this()] {
    if (!self->IsOver()) {
      self->Fail(core::ErrorCode::kUnavailable,
                 "not enough instances answered in time");
    }
  });
  // The callback must not be called from within Read.
  client_.parts_.links.After(
      std::chrono::milliseconds(0), [self = shared_from_this()] {
        if (self->IsOver()) {
          return;
        }
        if (self->keepers_->empty()) {
          self->Fail(core::ErrorCode::kUnavailable,
                     "no instance that keeps turns is known");
          return;
        }
        self->Seek(self->turn_);
      });
}

void TurnRead::Seek(std::string turn) {
  sought_ = std::move(turn);
  denials_.clear();
  groups_ = PlanGroups();
  AskNextGroup();
}

std::string TurnRead::ZoneOf(const std::string& instance) const {
  for (const Keeper& it : *keepers_) {
    if (it.instance == instance) {
      return it.zone;
    }
  }
  return {};
}

std::vector<std::vector<std::string>> TurnRead::PlanGroups() const {
  const std::string& zone = client_.parts_.zone;
  const std::string* chain_key = nullptr;
  if (!found_.empty()) {
    chain_key = &found_.back().chain_key();
  } else {
    chain_key = client_.ChainKeyOf(KeyOf(organisation_, sought_));
  }
  // Without the chain's key, the id spreads the reads over the instances.
  const ChainPlace place =
      PlaceOf(chain_key != nullptr ? *chain_key : MakeChainKey(zone, sought_));
  std::vector<std::string> order;
  for (const Keeper* it : PreferredKeepers(place, *keepers_)) {
    order.push_back(it->instance);
  }
  for (const Keeper& it : *keepers_) {
    if (it.retiring) {
      order.push_back(it.instance);
    }
  }
  std::vector<std::string> first;
  std::vector<std::string> second;
  std::vector<std::string> rest;
  std::set<std::string> zones;
  const size_t placed = std::min(kCopies, order.size());
  if (chain_key != nullptr) {
    std::stable_partition(
        order.begin(), order.begin() + static_cast<ptrdiff_t>(placed),
        [&](const std::string& it) { return ZoneOf(it) == zone; });
  }
  for (size_t i = 0; i < order.size(); ++i) {
    const bool is_new_zone = zones.insert(ZoneOf(order[i])).second;
    if (i == 0) {
      first.push_back(order[i]);
    } else if (chain_key != nullptr ? i < placed : is_new_zone) {
      second.push_back(order[i]);
    } else {
      rest.push_back(order[i]);
    }
  }
  return {std::move(first), std::move(second), std::move(rest)};
}

void TurnRead::AskNextGroup() {
  ++round_;
  while (!groups_.empty()) {
    std::vector<std::string> group = std::move(groups_.front());
    groups_.erase(groups_.begin());
    std::erase_if(
        group, [this](const std::string& it) { return denials_.contains(it); });
    if (group.empty()) {
      continue;
    }
    waiting_ = group.size();
    for (const std::string& it : group) {
      Ask(it);
    }
    client_.parts_.links.After(TurnClient::kHedgeDelay,
                               [self = shared_from_this(), round = round_] {
                                 if (!self->IsOver() && self->round_ == round) {
                                   self->AskNextGroup();
                                 }
                               });
    return;
  }
  // Those that have not denied the turn may answer later.
  std::vector<std::string> again;
  for (const Keeper& it : *keepers_) {
    if (!denials_.contains(it.instance)) {
      again.push_back(it.instance);
    }
  }
  groups_.push_back(std::move(again));
  client_.parts_.links.After(TurnClient::kRetryDelay,
                             [self = shared_from_this(), round = round_] {
                               if (!self->IsOver() && self->round_ == round) {
                                 self->AskNextGroup();
                               }
                             });
}

void TurnRead::Ask(const std::string& instance) {
  schema::TurnMessage message;
  message.mutable_read()->set_organisation(organisation_);
  message.mutable_read()->set_turn(sought_);
  const auto left =
      core::MillisecondsBetween(client_.parts_.clock.Now(), deadline_);
  client_.parts_.metrics.Count(ZoneOf(instance) == client_.parts_.zone
                                   ? "turns_near_reads"
                                   : "turns_far_reads");
  client_.parts_.links.Request(
      instance, message, std::max(left, std::chrono::milliseconds(1)),
      [self = shared_from_this(), instance,
       turn = sought_](const core::Result<schema::TurnMessage>& reply) {
        if (!self->IsOver() && self->sought_ == turn) {
          self->OnReply(instance, reply);
        }
      });
}

void TurnRead::OnReply(const std::string& instance,
                       const core::Result<schema::TurnMessage>& reply) {
  if (core::IsOk(reply) && core::Value(reply).has_read_reply()) {
    const schema::ReadTurnsReply& it = core::Value(reply).read_reply();
    if (it.turns_size() > 0 && TakeTurns(it)) {
      const std::string& previous = found_.back().previous();
      if (previous.empty()) {
        Succeed();
      } else if (found_bytes_ > TurnClient::kMaxChainBytes) {
        Fail(core::ErrorCode::kUnavailable, "the chain is too long");
      } else {
        Seek(previous);
      }
      return;
    }
    if (it.turns_size() == 0 && it.complete()) {
      OnDenied(instance);
      if (IsOver()) {
        return;
      }
    }
  }
  // Only the requests of the latest group are counted; a late reply of an
  // earlier one merely starts the next group sooner.
  if (waiting_ > 0 && --waiting_ == 0 && !groups_.empty()) {
    AskNextGroup();
  }
}

bool TurnRead::TakeTurns(const schema::ReadTurnsReply& reply) {
  std::string expected = sought_;
  for (const schema::StoredTurn& turn : reply.turns()) {
    if (turn.turn() != expected || turn.organisation() != organisation_ ||
        expected.empty()) {
      client_.parts_.metrics.Count("turns_wrong_replies");
      logging::Log(logging::LogLevel::kError,
                   "an instance returned other turns than the chain",
                   {{"turn", sought_}, {"returned", turn.turn()}});
      return false;
    }
    expected = turn.previous();
  }
  for (const schema::StoredTurn& turn : reply.turns()) {
    found_bytes_ += turn.input().size() + turn.output().size();
    found_.push_back(turn);
  }
  return true;
}

void TurnRead::OnDenied(const std::string& instance) {
  denials_.insert(instance);
  CheckDenials();
}

void TurnRead::CheckDenials() {
  if (list_state_ == ListState::kBeingConfirmed ||
      !CoversAllPlacements(client_.PossibleKeepers(*keepers_), denials_)) {
    return;
  }
  if (!found_.empty()) {
    logging::Log(logging::LogLevel::kError, "a turn of a chain is missing",
                 {{"turn", turn_}, {"missing", sought_}});
    Fail(core::ErrorCode::kUnavailable, "a turn of the chain is missing");
    return;
  }
  if (list_state_ == ListState::kWatched) {
    // Whoever wrote the turn may have known keepers that the watch has not
    // told of yet.
    list_state_ = ListState::kBeingConfirmed;
    client_.ConfirmKeepers(
        [self = shared_from_this()](const core::Result<KeeperList>& list) {
          if (!self->IsOver()) {
            self->OnListConfirmed(list);
          }
        });
    return;
  }
  client_.parts_.metrics.Count("turns_certain_misses");
  logging::Log(logging::LogLevel::kInfo, "turn denied",
               {{"turn", turn_},
                {"denials", std::to_string(denials_.size())},
                {"keepers", std::to_string(keepers_->size())}});
  Finish(core::Error{core::ErrorCode::kNotFound,
                     "there is no turn " + turn_,
                     core::Execution::kNotRun,
                     {}});
}

void TurnRead::OnListConfirmed(const core::Result<KeeperList>& list) {
  if (!core::IsOk(list)) {
    client_.parts_.metrics.Count("turns_lists_unconfirmed");
    Fail(core::ErrorCode::kUnavailable,
         "the list of instances that keep turns is not confirmed: " +
             core::ErrorOf(list).message);
    return;
  }
  const KeeperList watched = std::exchange(keepers_, core::Value(list));
  list_state_ = ListState::kConfirmed;
  if (*keepers_ != *watched) {
    client_.parts_.metrics.Count("turns_lists_behind");
    logging::Log(logging::LogLevel::kInfo, "watched list of keepers is behind",
                 {{"turn", turn_},
                  {"watched", std::to_string(watched->size())},
                  {"confirmed", std::to_string(keepers_->size())}});
  }
  CheckDenials();
  if (IsOver()) {
    return;
  }
  groups_.assign(1, {});
  for (const Keeper& it : *keepers_) {
    groups_.front().push_back(it.instance);
  }
  AskNextGroup();
}

void TurnRead::Succeed() {
  relay::TurnChain chain;
  chain.text.reserve(found_bytes_);
  for (auto it = found_.rbegin(); it != found_.rend(); ++it) {
    chain.text.append(it->input()).append(it->output());
  }
  chain.chain_key = found_.front().chain_key();
  client_.RememberChainKey(KeyOf(organisation_, turn_), chain.chain_key);
  client_.parts_.metrics.Count("turns_chains_read");
  Finish(chain);
}

void TurnRead::Fail(core::ErrorCode code, const std::string& message) {
  client_.parts_.metrics.Count("turns_uncertain_misses");
  Finish(core::Error{code, "turn " + turn_ + ": " + message,
                     core::Execution::kNotRun, TurnClient::kRetryAfter});
}

void TurnRead::Finish(const core::Result<relay::TurnChain>& result) {
  finished_ = true;
  // The timer of the deadline still refers to this object.
  found_ = {};
  std::exchange(callback_, {})(result);
}

}  // namespace hawthorn::turns
