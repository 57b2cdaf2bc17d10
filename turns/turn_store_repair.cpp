#include <algorithm>
#include <utility>

#include "logging/log.h"
#include "turns/turn_store.h"

// How an instance sees to it that its turns have all their copies.
namespace hawthorn::turns {

namespace {

using logging::Log;
using logging::LogLevel;

}  // namespace

void TurnStore::SetKeepers(std::vector<Keeper> keepers) {
  if (keepers == keepers_) {
    return;
  }
  keepers_ = std::move(keepers);
  std::set<std::string> known;
  self_retiring_ = false;
  is_keeper_ = false;
  for (const Keeper& it : keepers_) {
    if (it.instance == parts_.self) {
      is_keeper_ = true;
      self_retiring_ = it.retiring;
      continue;
    }
    known.insert(it.instance);
    peers_.try_emplace(it.instance);
    parts_.links.SetAddress(it.instance, it.address);
  }
  std::erase_if(peers_,
                [&](const auto& it) { return !known.contains(it.first); });
  CheckAll("instances that keep turns changed");
}

void TurnStore::CheckAll(const char* reason) {
  ++epoch_;
  const core::TimePoint now = Now();
  next_step_ = now;
  for (const TurnKey& key : index_.KeysByChain()) {
    queue_.Add(key, now);
  }
  Log(LogLevel::kInfo, "copies of all turns are checked",
      {{"reason", reason}, {"turns", std::to_string(index_.size())}});
}

TurnStore::Peer* TurnStore::HeardFrom(const std::string& instance,
                                      uint64_t incarnation) {
  const auto it = peers_.find(instance);
  if (it == peers_.end()) {
    return nullptr;
  }
  Peer& peer = it->second;
  peer.misses = 0;
  const bool is_new = peer.incarnation != incarnation;
  if (!std::exchange(peer.reachable, true) || is_new) {
    Log(LogLevel::kInfo, "instance that keeps turns is there",
        {{"instance", instance}, {"new_folder", is_new ? "yes" : "no"}});
    peer.incarnation = incarnation;
    CheckAll("an instance came");
    if (is_new) {
      peer.mark = queue_.mark();
    }
  }
  return &peer;
}

void TurnStore::OnMissed(const std::string& instance) {
  const auto it = peers_.find(instance);
  if (it == peers_.end() || ++it->second.misses < kMaxMisses ||
      !it->second.reachable) {
    return;
  }
  it->second.reachable = false;
  it->second.unreachable_since = Now();
  it->second.repaired_for_us = false;
  Log(LogLevel::kWarn, "instance that keeps turns does not answer",
      {{"instance", instance}});
  CheckAll("an instance does not answer");
}

void TurnStore::SendStatus() {
  // A complete keeper without turns has nothing to repair and lacks nothing.
  if (!open_ || !is_keeper_ || (complete_ && index_.size() == 0)) {
    return;
  }
  schema::TurnMessage message;
  message.mutable_status()->set_incarnation(incarnation_);
  message.mutable_status()->set_complete(complete_);
  for (const auto& [instance, peer] : peers_) {
    parts_.links.Request(
        instance, message, kStatusTimeout,
        Guarded([this, id = instance](
                    const core::Result<schema::TurnMessage>& reply) {
          OnStatusReply(id, reply);
        }));
  }
  CheckComplete();
}

void TurnStore::OnStatus(const schema::TurnStoreStatus& status,
                         const std::string& from, const Reply& reply) {
  schema::TurnMessage answer;
  schema::TurnStoreStatusReply* it = answer.mutable_status_reply();
  it->set_incarnation(incarnation_);
  it->set_complete(complete_);
  if (Peer* peer = HeardFrom(from, status.incarnation())) {
    peer->complete = status.complete();
    it->set_repaired(queue_.IsDoneBefore(peer->mark));
  }
  reply(answer);
}

void TurnStore::OnStatusReply(const std::string& instance,
                              const core::Result<schema::TurnMessage>& reply) {
  if (!core::IsOk(reply) || !core::Value(reply).has_status_reply()) {
    OnMissed(instance);
    return;
  }
  const schema::TurnStoreStatusReply& it = core::Value(reply).status_reply();
  if (Peer* peer = HeardFrom(instance, it.incarnation())) {
    peer->complete = it.complete();
    peer->repaired_for_us = it.repaired();
  }
}

bool TurnStore::IsRepaired(const std::vector<Keeper>& keepers) const {
  std::set<std::string> repaired;
  std::vector<Keeper> possible;
  bool all_there = true;
  for (const Keeper& it : keepers) {
    const auto peer = peers_.find(it.instance);
    if (peer == peers_.end()) {
      // This instance itself.
      possible.push_back(it);
      continue;
    }
    const Peer& state = peer->second;
    if (state.reachable) {
      if (!state.repaired_for_us) {
        return false;
      }
      if (state.complete) {
        repaired.insert(it.instance);
      }
    } else if (it.retiring && Now() - state.unreachable_since >= kLeavingTime) {
      // It left, and its turns are at others.
      continue;
    } else {
      all_there = false;
    }
    possible.push_back(it);
  }
  // What an instance that does not answer had, this one may have lost.
  return all_there || CoversAllPlacements(possible, repaired);
}

bool TurnStore::KnowsKeepers(const std::vector<Keeper>& keepers) const {
  return std::all_of(keepers.begin(), keepers.end(), [&](const Keeper& it) {
    return it.instance == parts_.self || peers_.contains(it.instance);
  });
}

void TurnStore::CheckComplete() {
  if (complete_ || marking_ || confirming_ || !is_keeper_ ||
      !IsRepaired(keepers_)) {
    return;
  }
  // A keeper that was added while this instance was away may hold the only
  // other copies of what it had, and one that retires may have none.
  confirming_ = true;
  list_query_.Read(
      [this](const core::Result<std::vector<schema::InstanceRecord>>& list) {
        confirming_ = false;
        if (!core::IsOk(list)) {
          Log(LogLevel::kWarn, "instances that keep turns not confirmed",
              {{"error", core::ErrorOf(list).message}});
          return;
        }
        const std::vector<Keeper> keepers = KeepersOf(core::Value(list));
        if (!KnowsKeepers(keepers)) {
          Log(LogLevel::kInfo, "known instances that keep turns are behind",
              {{"known", std::to_string(peers_.size())},
               {"confirmed", std::to_string(core::Value(list).size())}});
          return;
        }
        if (!complete_ && is_keeper_ && IsRepaired(keepers)) {
          MarkComplete();
        }
      });
}

void TurnStore::MarkComplete() {
  marking_ = true;
  parts_.disk.MarkComplete(Guarded([this](const core::Status& status) {
    marking_ = false;
    if (!core::IsOk(status)) {
      Log(LogLevel::kError, "turn folder not marked as complete",
          {{"error", core::ErrorOf(status).message}});
      return;
    }
    complete_ = true;
    Log(LogLevel::kInfo, "turn folder complete",
        {{"turns", std::to_string(index_.size())}});
  }));
}

void TurnStore::OnCheck(const schema::CheckTurns& check, const Reply& reply) {
  std::set<TurnKey> missing;
  for (const TurnKey& key : UnpackKeys(check.keys())) {
    if (const auto it = index_.FirstMissing(key)) {
      missing.insert(*it);
    }
  }
  schema::TurnMessage answer;
  answer.mutable_check_reply()->set_missing(
      PackKeys({missing.begin(), missing.end()}));
  answer.mutable_check_reply()->set_incarnation(incarnation_);
  reply(answer);
}

void TurnStore::RepairStep() {
  if (step_ || keepers_.empty() || Now() < next_step_) {
    return;
  }
  const std::vector<TurnKey> keys = queue_.Next(Now(), kCheckBatch);
  if (keys.empty()) {
    return;
  }
  step_ = std::make_shared<Step>();
  step_->epoch = epoch_;
  const size_t copies = RequiredCopies(keepers_);
  const size_t zones = RequiredZones(keepers_);
  std::map<std::string, std::vector<TurnKey>> targets;
  for (const TurnKey& key : keys) {
    const TurnMeta* meta = index_.Find(key);
    if (meta == nullptr) {
      queue_.Remove(key);
      continue;
    }
    step_->keys.push_back(key);
    std::vector<const Keeper*> candidates =
        PreferredKeepers(meta->place, keepers_);
    std::erase_if(candidates, [this](const Keeper* it) {
      return it->instance != parts_.self && !peers_[it->instance].reachable;
    });
    const auto chosen = CompleteCopies(candidates, {}, copies, zones);
    if (copies == 0 || !Suffices(chosen, copies, zones)) {
      step_->unplaced.insert(key);
    }
    for (const Keeper* it : chosen) {
      if (it->instance != parts_.self) {
        targets[it->instance].push_back(key);
      }
    }
  }
  const StepPtr step = step_;
  step->open_requests = 1;
  for (const auto& [instance, asked] : targets) {
    schema::TurnMessage message;
    message.mutable_check()->set_keys(PackKeys(asked));
    ++step->open_requests;
    parts_.links.Request(
        instance, message, kCheckTimeout,
        Guarded([this, step, id = instance,
                 list = asked](const core::Result<schema::TurnMessage>& reply) {
          OnChecked(step, id, list, reply);
        }));
  }
  FinishRequest(step);
}

void TurnStore::OnChecked(const StepPtr& step, const std::string& instance,
                          const std::vector<TurnKey>& asked,
                          const core::Result<schema::TurnMessage>& reply) {
  if (!core::IsOk(reply) || !core::Value(reply).has_check_reply()) {
    step->unplaced.insert(asked.begin(), asked.end());
    FinishRequest(step);
    return;
  }
  const schema::CheckTurnsReply& it = core::Value(reply).check_reply();
  HeardFrom(instance, it.incarnation());
  const std::vector<TurnKey> list = UnpackKeys(it.missing());
  const std::set<TurnKey> missing(list.begin(), list.end());
  if (!missing.empty()) {
    for (const TurnKey& key : asked) {
      for (const TurnMeta* meta : index_.Chain(key)) {
        if (missing.contains(meta->key)) {
          step->unplaced.insert(key);
          break;
        }
      }
    }
    std::vector<TurnKey> to_send;
    for (const TurnKey& key : missing) {
      if (index_.Find(key) != nullptr && to_send.size() < kSendBatch) {
        to_send.push_back(key);
      }
    }
    if (!to_send.empty()) {
      ++step->open_requests;
      SendTurns(step, instance, to_send);
    }
  }
  FinishRequest(step);
}

void TurnStore::SendTurns(const StepPtr& step, const std::string& instance,
                          const std::vector<TurnKey>& keys) {
  std::vector<RecordLocation> locations;
  locations.reserve(keys.size());
  for (const TurnKey& key : keys) {
    locations.push_back(index_.Find(key)->location);
  }
  parts_.disk.Read(
      std::move(locations),
      Guarded([this, step, instance](
                  const core::Result<std::vector<schema::StoredTurn>>& read) {
        if (!core::IsOk(read)) {
          parts_.metrics.Count("turns_reads_failed");
          Log(LogLevel::kError, "turns for another instance not read",
              {{"instance", instance}, {"error", core::ErrorOf(read).message}});
          FinishRequest(step);
          return;
        }
        schema::TurnMessage message;
        const core::TimePoint now = Now();
        for (const schema::StoredTurn& turn : core::Value(read)) {
          const TurnMeta* meta = index_.Find(KeyOf(turn));
          if (meta == nullptr) {
            continue;
          }
          schema::TurnCopy* copy = message.mutable_write()->add_copies();
          *copy->mutable_turn() = turn;
          copy->set_remaining_ms(
              core::MillisecondsBetween(now, meta->expires).count());
        }
        const auto sent = static_cast<uint64_t>(message.write().copies_size());
        parts_.links.Request(
            instance, message, kSendTimeout,
            Guarded([this, step, instance,
                     sent](const core::Result<schema::TurnMessage>& reply) {
              if (core::IsOk(reply)) {
                parts_.metrics.Count("turns_repaired", sent);
              } else {
                parts_.metrics.Count("turns_repairs_failed");
                Log(LogLevel::kWarn, "turns not sent to another instance",
                    {{"instance", instance},
                     {"turns", std::to_string(sent)},
                     {"error", core::ErrorOf(reply).message}});
              }
              FinishRequest(step);
            }));
      }));
}

void TurnStore::FinishRequest(const StepPtr& step) {
  if (--step->open_requests > 0) {
    return;
  }
  if (step->epoch == epoch_) {
    for (const TurnKey& key : step->keys) {
      if (!step->unplaced.contains(key)) {
        queue_.Remove(key);
      }
    }
  }
  if (step->unplaced.empty() && step->keys.size() < kCheckBatch) {
    // One message for the turns of a second costs less than ten.
    next_step_ = Now() + kStepInterval;
  }
  step_.reset();
}

}  // namespace hawthorn::turns
