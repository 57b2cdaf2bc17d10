#include "turns/turn_client.h"

#include <algorithm>
#include <utility>

#include "logging/log.h"
#include "turns/turn_read.h"
#include "turns/turn_write.h"

namespace hawthorn::turns {

namespace {

bool Lists(const std::vector<Keeper>& keepers, const std::string& instance) {
  return std::any_of(keepers.begin(), keepers.end(),
                     [&](const Keeper& it) { return it.instance == instance; });
}

}  // namespace

TurnClient::TurnClient(Parts parts)
    : parts_(std::move(parts)), list_query_(parts_.read_instances) {}

TurnClient::~TurnClient() = default;

void TurnClient::SetInstances(
    const std::vector<schema::InstanceRecord>& instances) {
  instances_ = instances;
  Refresh();
}

std::vector<Keeper> TurnClient::ActiveKeepers(
    const std::vector<schema::InstanceRecord>& instances) {
  const core::TimePoint now = parts_.clock.Now();
  std::vector<Keeper> keepers = KeepersOf(instances);
  std::erase_if(keepers, [&](const Keeper& it) {
    if (!it.retiring) {
      retiring_.erase(it.instance);
      return false;
    }
    const auto [until, added] =
        retiring_.emplace(it.instance, now + kLeavingTime);
    return until->second <= now;
  });
  return keepers;
}

void TurnClient::Refresh() {
  const core::TimePoint now = parts_.clock.Now();
  std::vector<Keeper> keepers = ActiveKeepers(instances_);
  if (keepers == *keepers_) {
    return;
  }
  for (const Keeper& it : *keepers_) {
    // A retiring instance leaves only once its turns are at others.
    if (!it.retiring) {
      left_[it.instance] = now + kLeavingTime;
    }
  }
  for (const Keeper& it : keepers) {
    left_.erase(it.instance);
    parts_.links.SetAddress(it.instance, it.address);
  }
  keepers_ = std::make_shared<std::vector<Keeper>>(std::move(keepers));
  logging::Log(logging::LogLevel::kInfo, "instances that keep turns changed",
               {{"instances", std::to_string(keepers_->size())},
                {"left", std::to_string(left_.size())}});
}

std::vector<Keeper> TurnClient::PossibleKeepers(
    const std::vector<Keeper>& list) {
  const core::TimePoint now = parts_.clock.Now();
  std::erase_if(left_, [now](const auto& it) { return it.second <= now; });
  std::vector<Keeper> keepers = list;
  for (const auto& [instance, until] : left_) {
    if (!Lists(list, instance)) {
      keepers.push_back({instance, "", "", true});
    }
  }
  return keepers;
}

void TurnClient::ConfirmKeepers(
    std::function<void(const core::Result<KeeperList>&)> callback) {
  parts_.metrics.Count("turns_lists_confirmed");
  list_query_.Read(
      [this, callback = std::move(callback)](
          const core::Result<std::vector<schema::InstanceRecord>>& list) {
        if (!core::IsOk(list)) {
          callback(core::ErrorOf(list));
          return;
        }
        std::vector<Keeper> keepers = ActiveKeepers(core::Value(list));
        for (const Keeper& it : keepers) {
          parts_.links.SetAddress(it.instance, it.address);
        }
        for (const Keeper& it : *keepers_) {
          if (!Lists(keepers, it.instance)) {
            keepers.push_back(it);
            keepers.back().retiring = true;
          }
        }
        callback(KeeperList(
            std::make_shared<std::vector<Keeper>>(std::move(keepers))));
      });
}

const std::string* TurnClient::ChainKeyOf(const TurnKey& key) const {
  const auto it = chain_keys_.find(key);
  return it == chain_keys_.end() ? nullptr : &it->second;
}

void TurnClient::RememberChainKey(const TurnKey& key,
                                  const std::string& chain_key) {
  if (!chain_keys_.emplace(key, chain_key).second) {
    return;
  }
  chain_key_order_.push_back(key);
  if (chain_key_order_.size() > kMaxChainKeys) {
    chain_keys_.erase(chain_key_order_.front());
    chain_key_order_.pop_front();
  }
}

void TurnClient::Read(const std::string& organisation, const std::string& turn,
                      std::chrono::milliseconds timeout,
                      ReadCallback callback) {
  if (!retiring_.empty()) {
    Refresh();
  }
  auto read = std::make_shared<TurnRead>(*this, organisation, turn,
                                         std::move(callback));
  read->Start(timeout);
}

void TurnClient::Write(const relay::TurnRecord& record,
                       std::chrono::milliseconds timeout,
                       WriteCallback callback) {
  auto write = std::make_shared<TurnWrite>(*this, record, std::move(callback));
  write->Start(timeout);
}

void TurnClient::UpdateGauges() const {
  parts_.metrics.SetGauge("turns_keepers",
                          static_cast<double>(keepers_->size()));
  parts_.metrics.SetGauge("turns_chain_keys",
                          static_cast<double>(chain_keys_.size()));
}

}  // namespace hawthorn::turns
