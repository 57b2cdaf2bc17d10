#pragma once

#include <QJsonArray>
#include <QJsonObject>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "consensus/group.h"
#include "main/groups/group_client.h"
#include "storage/log_store.h"

namespace hawthorn::main {

/// Interface of a local replica, independent of the type of its state machine.
/// Owned by the decision thread.
class HostedGroup {
 public:
  using ReplyHandler = GroupClient::ReplyHandler;

  virtual ~HostedGroup() = default;
  virtual void Step(const std::string& payload, core::TimePoint now) = 0;
  virtual void Tick(core::TimePoint now) = 0;
  virtual void Propose(std::string command, ReplyHandler on_reply,
                       core::TimePoint now) = 0;
  /// Linearizable read; succeeds only on the leader.
  virtual void Query(std::string query, ReplyHandler on_reply,
                     core::TimePoint now) = 0;
  virtual std::vector<schema::ConsensusMessage> TakeOutbox(
      core::TimePoint now) = 0;
  virtual std::optional<storage::LogBatch> TakeBatch(core::TimePoint now) = 0;
  virtual void OnPersisted(uint64_t sequence, const core::Status& status,
                           core::TimePoint now) = 0;
  /// Transfers leadership to another voter before this instance shuts down.
  virtual void TransferLeadership(core::TimePoint now) = 0;
  virtual core::Status ChangeMembership(
      const consensus::MembershipChange& change, core::TimePoint now) = 0;
  virtual storage::LogStore& store() = 0;
  virtual const consensus::Replica& replica() const = 0;
  virtual uint64_t applied_index() const = 0;

  bool is_leader() const {
    return replica().role() == consensus::Role::kLeader;
  }
  /// Instance that is the leader as far as this replica knows; empty if none.
  std::string leader() const { return replica().leader().instance; }
};

/// A replica together with its state machine and its log store.
template <consensus::StateMachine Machine>
class HostedGroupOf final : public HostedGroup {
 public:
  /// Evaluates a query on the state machine.
  using Reader =
      std::function<core::Result<std::string>(const Machine&, std::string)>;

  static core::Result<std::unique_ptr<HostedGroupOf>> Open(
      consensus::GroupOptions options, std::unique_ptr<storage::LogStore> store,
      Reader reader, core::TimePoint now) {
    std::unique_ptr<HostedGroupOf> hosted(
        new HostedGroupOf(std::move(store), std::move(reader)));
    auto group = consensus::Group<Machine>::Open(
        std::move(options), hosted->store_.get(), &hosted->machine_, now);
    if (!core::IsOk(group)) {
      return core::ErrorOf(group);
    }
    hosted->group_ = core::TakeValue(std::move(group));
    return hosted;
  }

  /// State as applied by this replica; it may lag behind the leader's.
  const Machine& machine() const { return machine_; }

  void Step(const std::string& payload, core::TimePoint now) override {
    schema::ConsensusMessage message;
    if (message.ParseFromString(payload)) {
      group_->Step(message, now);
    }
  }
  void Tick(core::TimePoint now) override { group_->Tick(now); }
  void Propose(std::string command, ReplyHandler on_reply,
               core::TimePoint now) override {
    group_->Propose(std::move(command), std::move(on_reply), now);
  }
  void Query(std::string query, ReplyHandler on_reply,
             core::TimePoint now) override {
    group_->Read(
        [this, query = std::move(query),
         on_reply = std::move(on_reply)](const core::Status& status) {
          if (!core::IsOk(status)) {
            on_reply(core::ErrorOf(status));
            return;
          }
          on_reply(reader_(machine_, query));
        },
        now);
  }
  std::vector<schema::ConsensusMessage> TakeOutbox(
      core::TimePoint now) override {
    return group_->TakeOutbox(now);
  }
  std::optional<storage::LogBatch> TakeBatch(core::TimePoint now) override {
    return group_->TakeBatch(now);
  }
  void OnPersisted(uint64_t sequence, const core::Status& status,
                   core::TimePoint now) override {
    group_->OnPersisted(sequence, status, now);
  }
  void TransferLeadership(core::TimePoint now) override {
    if (is_leader()) {
      group_->TransferLeadership("", now);
    }
  }
  core::Status ChangeMembership(const consensus::MembershipChange& change,
                                core::TimePoint now) override {
    return group_->ChangeMembership(change, now);
  }
  storage::LogStore& store() override { return *store_; }
  const consensus::Replica& replica() const override {
    return group_->replica();
  }
  uint64_t applied_index() const override { return group_->applied_index(); }

 private:
  HostedGroupOf(std::unique_ptr<storage::LogStore> store, Reader reader)
      : store_(std::move(store)), reader_(std::move(reader)) {}

  std::unique_ptr<storage::LogStore> store_;
  Reader reader_;
  Machine machine_;
  std::unique_ptr<consensus::Group<Machine>> group_;
};

}  // namespace hawthorn::main
