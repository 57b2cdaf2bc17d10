#include "turns/turn_write.h"

#include <algorithm>
#include <utility>

#include "logging/log.h"
#include "turns/turn_store.h"

namespace hawthorn::turns {

TurnWrite::TurnWrite(TurnClient& client, const relay::TurnRecord& record,
                     relay::TurnHistory::WriteCallback callback)
    : client_(client), alive_(client.alive_), callback_(std::move(callback)) {
  schema::TurnCopy* copy = message_.mutable_write()->add_copies();
  schema::StoredTurn* turn = copy->mutable_turn();
  turn->set_format(kTurnFormat);
  turn->set_organisation(record.organisation);
  turn->set_turn(record.turn);
  turn->set_previous(record.previous);
  turn->set_chain_key(record.chain_key.empty()
                          ? MakeChainKey(client.parts_.zone, record.turn)
                          : record.chain_key);
  turn->set_input(record.input);
  turn->set_output(record.output);
  turn->set_retention_ms(record.retention.count());
  copy->set_remaining_ms(
      (record.retention + TurnStore::kExtraRetention).count());
  UseKeepers(client.keepers_);
}

void TurnWrite::UseKeepers(KeeperList keepers) {
  lists_.push_back(std::move(keepers));
  const std::vector<Keeper>& list = *lists_.back();
  const std::string& chain_key = message_.write().copies(0).turn().chain_key();
  order_ = PreferredKeepers(PlaceOf(chain_key), list);
  copies_ = RequiredCopies(list);
  zones_ = RequiredZones(list);
  acknowledged_.clear();
  in_flight_.clear();
  slow_.clear();
  failed_.clear();
}

void TurnWrite::Start(std::chrono::milliseconds timeout) {
  deadline_ = client_.parts_.clock.Now() + timeout;
  const schema::StoredTurn& turn = message_.write().copies(0).turn();
  const bool too_large =
      turn.input().size() + turn.output().size() > TurnClient::kMaxTurnBytes;
  client_.parts_.links.After(timeout, [self = shared_from_this()] {
    if (!self->IsOver()) {
      self->Finish(core::Error{
          core::ErrorCode::kUnavailable,
          "the turn has " + std::to_string(self->acknowledged_.size()) +
              " of " + std::to_string(self->copies_) + " copies: " +
              (self->last_error_.empty() ? "no answer" : self->last_error_),
          core::Execution::kUnknown, TurnClient::kRetryAfter});
    }
  });
  // The callback must not be called from within Write.
  client_.parts_.links.After(
      std::chrono::milliseconds(0), [self = shared_from_this(), too_large] {
        if (self->IsOver()) {
          return;
        }
        if (too_large) {
          self->Finish(core::Error{core::ErrorCode::kInvalidArgument,
                                   "the turn is too large to be kept",
                                   core::Execution::kNotRun,
                                   {}});
          return;
        }
        self->Proceed();
      });
}

void TurnWrite::Proceed() {
  std::vector<const Keeper*> chosen = acknowledged_;
  chosen.insert(chosen.end(), in_flight_.begin(), in_flight_.end());
  std::vector<const Keeper*> candidates = order_;
  std::erase_if(candidates, [this](const Keeper* it) {
    return failed_.contains(it) || slow_.contains(it);
  });
  for (const Keeper* it : CompleteCopies(candidates, chosen, copies_, zones_)) {
    chosen.push_back(it);
    Send(it);
  }
  if (!retry_planned_ && !failed_.empty() &&
      !Suffices(chosen, copies_, zones_)) {
    retry_planned_ = true;
    client_.parts_.links.After(TurnClient::kRetryDelay,
                               [self = shared_from_this()] {
                                 self->retry_planned_ = false;
                                 if (!self->IsOver()) {
                                   self->failed_.clear();
                                   self->Proceed();
                                 }
                               });
  }
}

void TurnWrite::Send(const Keeper* keeper) {
  in_flight_.push_back(keeper);
  const auto left =
      core::MillisecondsBetween(client_.parts_.clock.Now(), deadline_);
  client_.parts_.links.Request(
      keeper->instance, message_, std::max(left, std::chrono::milliseconds(1)),
      [self = shared_from_this(), keeper,
       list = lists_.size()](const core::Result<schema::TurnMessage>& reply) {
        if (!self->IsOver() && self->lists_.size() == list) {
          self->OnReply(keeper, reply);
        }
      });
  client_.parts_.links.After(
      TurnClient::kHedgeDelay, [self = shared_from_this(), keeper] {
        if (!self->IsOver() && std::erase(self->in_flight_, keeper) > 0) {
          self->client_.parts_.metrics.Count("turns_slow_writes");
          self->slow_.insert(keeper);
          self->Proceed();
        }
      });
}

void TurnWrite::OnReply(const Keeper* keeper,
                        const core::Result<schema::TurnMessage>& reply) {
  std::erase(in_flight_, keeper);
  slow_.erase(keeper);
  if (!core::IsOk(reply)) {
    const core::Error& error = core::ErrorOf(reply);
    last_error_ = error.message;
    if (error.code == core::ErrorCode::kConflict) {
      Finish(error);
      return;
    }
    client_.parts_.metrics.Count("turns_copy_failures");
    failed_.insert(keeper);
    if (logged_.insert(keeper).second) {
      logging::Log(logging::LogLevel::kWarn, "copy of a turn not written",
                   {{"turn", message_.write().copies(0).turn().turn()},
                    {"instance", keeper->instance},
                    {"error", error.message}});
    }
    Proceed();
    return;
  }
  if (std::find(acknowledged_.begin(), acknowledged_.end(), keeper) ==
      acknowledged_.end()) {
    acknowledged_.push_back(keeper);
  }
  if (copies_ == 0 || !Suffices(acknowledged_, copies_, zones_)) {
    Proceed();
  } else if (copies_ < kCopies) {
    // Only while there are no more keepers, fewer copies are enough for reads
    // that count denials.
    ConfirmList();
  } else {
    Succeed();
  }
}

void TurnWrite::ConfirmList() {
  if (std::exchange(confirming_, true)) {
    return;
  }
  client_.ConfirmKeepers(
      [self = shared_from_this()](const core::Result<KeeperList>& list) {
        if (!self->IsOver()) {
          self->confirming_ = false;
          self->OnListConfirmed(list);
        }
      });
}

void TurnWrite::OnListConfirmed(const core::Result<KeeperList>& list) {
  if (!core::IsOk(list)) {
    last_error_ = "the list of instances that keep turns is not confirmed: " +
                  core::ErrorOf(list).message;
    client_.parts_.links.After(TurnClient::kRetryDelay,
                               [self = shared_from_this()] {
                                 if (!self->IsOver()) {
                                   self->ConfirmList();
                                 }
                               });
    return;
  }
  if (SufficesBy(*core::Value(list))) {
    Succeed();
    return;
  }
  // Those that have the turn already acknowledge it at once.
  UseKeepers(core::Value(list));
  Proceed();
}

bool TurnWrite::SufficesBy(const std::vector<Keeper>& list) const {
  // Keepers that retire by now do not count: those that joined meanwhile do not
  // wait for the repair of what is written to the others after they joined.
  std::vector<const Keeper*> placed;
  for (const Keeper& it : list) {
    const bool has_copy = std::any_of(
        acknowledged_.begin(), acknowledged_.end(),
        [&](const Keeper* other) { return other->instance == it.instance; });
    if (has_copy && !it.retiring) {
      placed.push_back(&it);
    }
  }
  return !placed.empty() &&
         Suffices(placed, RequiredCopies(list), RequiredZones(list));
}

void TurnWrite::Succeed() {
  const schema::StoredTurn& turn = message_.write().copies(0).turn();
  client_.RememberChainKey(KeyOf(turn), turn.chain_key());
  client_.parts_.metrics.Count("turns_chains_written");
  Finish(std::monostate{});
}

void TurnWrite::Finish(const core::Status& status) {
  finished_ = true;
  // The timer of the deadline still refers to this object.
  message_.Clear();
  if (!core::IsOk(status)) {
    client_.parts_.metrics.Count("turns_writes_failed");
  }
  std::exchange(callback_, {})(status);
}

}  // namespace hawthorn::turns
