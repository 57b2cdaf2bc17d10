#include "main/groups/replicated_groups.h"

#include <algorithm>
#include <utility>

#include "main/http/json.h"

namespace hawthorn::main {

namespace {

constexpr std::chrono::milliseconds kRequestTimeout{1500};
/// Long enough for two requests and an election between them, which takes up to
/// 2 s.
constexpr std::chrono::milliseconds kOperationTimeout{5000};
constexpr std::chrono::milliseconds kRetryInterval{30};
constexpr std::chrono::milliseconds kRetryAfter{1000};

core::Error Unreachable(const std::string& group, const core::Error& last) {
  core::Error error = NotRun(core::ErrorCode::kUnavailable,
                             "the group " + group + " has no reachable leader");
  if (!last.message.empty()) {
    error.message += ": " + last.message;
  }
  error.retry_after = kRetryAfter;
  return error;
}

/// Whether a retry, possibly at another instance, may succeed. A retry is safe
/// even if the command may have been committed, since every command is
/// idempotent.
bool IsRetryable(const core::Error& error) {
  return error.code == core::ErrorCode::kNotLeader ||
         error.code == core::ErrorCode::kUnavailable ||
         error.code == core::ErrorCode::kDeadlineExceeded;
}

}  // namespace

void ReplicatedGroups::SetHosts(const std::string& group,
                                std::vector<std::string> instances) {
  hosts_[group] = std::move(instances);
}

void ReplicatedGroups::AddReplica(const std::string& group,
                                  HostedGroup* replica) {
  replicas_[group] = replica;
}

HostedGroup* ReplicatedGroups::Find(const std::string& group) const {
  const auto it = replicas_.find(group);
  return it == replicas_.end() ? nullptr : it->second;
}

HostedGroup* ReplicatedGroups::FindLocalLeader(const std::string& group) const {
  HostedGroup* replica = Find(group);
  const auto hosts = hosts_.find(group);
  if (replica == nullptr || !replica->is_leader() || hosts == hosts_.end()) {
    return nullptr;
  }
  const size_t majority = hosts->second.size() / 2 + 1;
  const size_t voters = replica->replica().membership().voter_count();
  return voters >= majority ? replica : nullptr;
}

void ReplicatedGroups::Propose(const std::string& group, std::string command,
                               ReplyHandler on_reply) {
  auto operation = std::make_shared<Operation>();
  operation->group = group;
  operation->payload = std::move(command);
  operation->on_reply = std::move(on_reply);
  operation->deadline = parts_.clock.Now() + kOperationTimeout;
  Run(operation);
}

void ReplicatedGroups::Query(const std::string& group, std::string query,
                             ReplyHandler on_reply) {
  auto operation = std::make_shared<Operation>();
  operation->is_query = true;
  operation->group = group;
  operation->payload = std::move(query);
  operation->on_reply = std::move(on_reply);
  operation->deadline = parts_.clock.Now() + kOperationTimeout;
  Run(operation);
}

void ReplicatedGroups::Run(const OperationPtr& operation) {
  HostedGroup* replica = Find(operation->group);
  if (replica == nullptr && !hosts_.contains(operation->group)) {
    operation->on_reply(
        NotRun(core::ErrorCode::kNotFound, "no such zone or program"));
    return;
  }
  if (HostedGroup* leading = FindLocalLeader(operation->group)) {
    RunLocally(operation, *leading);
    return;
  }
  const std::string host = ChooseHost(*operation);
  if (host.empty()) {
    RetryLater(operation, NotRun(core::ErrorCode::kNotLeader, "no leader yet"));
    return;
  }
  SendToHost(operation, host);
}

std::string ReplicatedGroups::ChooseHost(Operation& operation) const {
  const HostedGroup* replica = Find(operation.group);
  std::string hint = std::exchange(operation.leader_hint, "");
  if (hint.empty() && replica != nullptr) {
    hint = replica->leader();
  }
  if (!hint.empty() && hint != parts_.self) {
    return hint;
  }
  const auto it = hosts_.find(operation.group);
  if (it == hosts_.end()) {
    return "";
  }
  const std::vector<std::string>& hosts = it->second;
  for (size_t n = 0; n < hosts.size(); ++n) {
    const std::string& host = hosts[operation.next_host++ % hosts.size()];
    if (host != parts_.self) {
      return host;
    }
  }
  return "";
}

void ReplicatedGroups::RunLocally(const OperationPtr& operation,
                                  HostedGroup& replica) {
  const auto on_reply = [this,
                         operation](const core::Result<std::string>& result) {
    if (!core::IsOk(result)) {
      RetryLater(operation, core::ErrorOf(result));
      return;
    }
    operation->on_reply(result);
  };
  const core::TimePoint now = parts_.clock.Now();
  if (operation->is_query) {
    replica.Query(operation->payload, on_reply, now);
  } else {
    replica.Propose(operation->payload, on_reply, now);
  }
}

void ReplicatedGroups::SendToHost(const OperationPtr& operation,
                                  const std::string& instance) {
  schema::PeerMessage message;
  if (operation->is_query) {
    message.mutable_query()->set_group(operation->group);
    message.mutable_query()->set_query(operation->payload);
  } else {
    message.mutable_propose()->set_group(operation->group);
    message.mutable_propose()->set_command(operation->payload);
  }
  parts_.peers.Request(
      core::InstanceId(instance), std::move(message), kRequestTimeout,
      [this, operation](const core::Result<schema::PeerMessage>& result) {
        OnReply(operation, result);
      });
}

void ReplicatedGroups::OnReply(
    const OperationPtr& operation,
    const core::Result<schema::PeerMessage>& result) {
  if (!core::IsOk(result)) {
    core::Error error = core::ErrorOf(result);
    if (operation->is_query) {
      error.execution = core::Execution::kNotRun;
    }
    RetryLater(operation, error);
    return;
  }
  const schema::PeerMessage& message = core::Value(result);
  if (message.has_query_reply()) {
    if (message.query_reply().ok()) {
      operation->on_reply(message.query_reply().reply());
      return;
    }
    operation->leader_hint = message.query_reply().leader();
    RetryLater(operation, NotRun(core::ErrorCode::kNotLeader,
                                 message.query_reply().message()));
    return;
  }
  const schema::ProposeReply& reply = message.propose_reply();
  switch (reply.status()) {
    case schema::ProposeReply::STATUS_COMMITTED:
      operation->on_reply(reply.reply());
      return;
    case schema::ProposeReply::STATUS_NOT_LEADER:
      operation->leader_hint = reply.leader();
      RetryLater(operation,
                 NotRun(core::ErrorCode::kNotLeader, reply.message()));
      return;
    case schema::ProposeReply::STATUS_REFUSED: {
      core::Error error = NotRun(core::ErrorCode::kOverloaded, reply.message());
      error.retry_after = kRetryAfter;
      Fail(*operation, std::move(error));
      return;
    }
    default:
      RetryLater(operation, core::Error{core::ErrorCode::kUnavailable,
                                        reply.message(),
                                        core::Execution::kUnknown,
                                        {}});
  }
}

void ReplicatedGroups::RetryLater(const OperationPtr& operation,
                                  const core::Error& error) {
  if (!IsRetryable(error)) {
    Fail(*operation, error);
    return;
  }
  operation->may_have_run |= error.execution != core::Execution::kNotRun;
  const core::TimePoint again = parts_.clock.Now() + kRetryInterval;
  if (again >= operation->deadline) {
    Fail(*operation, Unreachable(operation->group, error));
    return;
  }
  parts_.timers.At(again, [this, operation] { Run(operation); });
}

void ReplicatedGroups::Fail(const Operation& operation, core::Error error) {
  if (operation.may_have_run) {
    error.execution = core::Execution::kUnknown;
    error.message += "; an earlier try may have been committed";
  }
  operation.on_reply(std::move(error));
}

bool ReplicatedGroups::OnPeerMessage(const schema::PeerMessage& message,
                                     const PeerReply& reply) {
  if (message.has_group()) {
    if (HostedGroup* replica = Find(message.group().group())) {
      replica->Step(message.group().payload(), parts_.clock.Now());
    }
    return true;
  }
  if (message.has_propose()) {
    HandlePropose(message, reply);
    return true;
  }
  if (message.has_query()) {
    HandleQuery(message, reply);
    return true;
  }
  return false;
}

void ReplicatedGroups::HandlePropose(const schema::PeerMessage& message,
                                     const PeerReply& reply) {
  HostedGroup* replica = FindLocalLeader(message.propose().group());
  if (replica == nullptr) {
    replica = Find(message.propose().group());
    schema::PeerMessage reply_message;
    schema::ProposeReply& body = *reply_message.mutable_propose_reply();
    body.set_status(schema::ProposeReply::STATUS_NOT_LEADER);
    body.set_leader(replica == nullptr ? "" : replica->leader());
    reply(std::move(reply_message));
    return;
  }
  replica->Propose(
      message.propose().command(),
      [reply, replica](const core::Result<std::string>& result) {
        schema::PeerMessage reply_message;
        schema::ProposeReply& body = *reply_message.mutable_propose_reply();
        if (core::IsOk(result)) {
          body.set_status(schema::ProposeReply::STATUS_COMMITTED);
          body.set_reply(core::Value(result));
          reply(std::move(reply_message));
          return;
        }
        const core::Error& error = core::ErrorOf(result);
        body.set_message(error.message);
        if (error.execution != core::Execution::kNotRun) {
          body.set_status(schema::ProposeReply::STATUS_UNKNOWN);
        } else if (error.code == core::ErrorCode::kOverloaded) {
          body.set_status(schema::ProposeReply::STATUS_REFUSED);
        } else {
          body.set_status(schema::ProposeReply::STATUS_NOT_LEADER);
          body.set_leader(replica->leader());
        }
        reply(std::move(reply_message));
      },
      parts_.clock.Now());
}

void ReplicatedGroups::HandleQuery(const schema::PeerMessage& message,
                                   const PeerReply& reply) {
  HostedGroup* replica = FindLocalLeader(message.query().group());
  if (replica == nullptr) {
    replica = Find(message.query().group());
    schema::PeerMessage reply_message;
    reply_message.mutable_query_reply()->set_leader(
        replica == nullptr ? "" : replica->leader());
    reply(std::move(reply_message));
    return;
  }
  replica->Query(
      message.query().query(),
      [reply](const core::Result<std::string>& result) {
        schema::PeerMessage reply_message;
        schema::QueryReply& body = *reply_message.mutable_query_reply();
        body.set_ok(core::IsOk(result));
        if (core::IsOk(result)) {
          body.set_reply(core::Value(result));
        } else {
          body.set_message(core::ErrorOf(result).message);
        }
        reply(std::move(reply_message));
      },
      parts_.clock.Now());
}

void ReplicatedGroups::Tick() {
  const core::TimePoint now = parts_.clock.Now();
  for (const auto& [name, replica] : replicas_) {
    replica->Tick(now);
  }
}

void ReplicatedGroups::Flush() {
  const core::TimePoint now = parts_.clock.Now();
  for (const auto& [name, replica] : replicas_) {
    if (!writing_[name]) {
      if (auto batch = replica->TakeBatch(now)) {
        writing_[name] = true;
        parts_.journal.Write(name, replica->store(), std::move(*batch));
      }
    }
    for (const schema::ConsensusMessage& it : replica->TakeOutbox(now)) {
      schema::PeerMessage message;
      message.mutable_group()->set_group(name);
      it.SerializeToString(message.mutable_group()->mutable_payload());
      parts_.peers.Send(core::InstanceId(it.to().instance()),
                        std::move(message));
    }
  }
}

void ReplicatedGroups::OnJournalWritten(const std::string& group,
                                        uint64_t sequence,
                                        const core::Status& status) {
  writing_[group] = false;
  if (HostedGroup* replica = Find(group)) {
    replica->OnPersisted(sequence, status, parts_.clock.Now());
  }
}

bool ReplicatedGroups::TransferLeadership() {
  bool done = true;
  for (const auto& [name, replica] : replicas_) {
    const bool alone = replica->replica().membership().voter_count() <= 1;
    if (replica->is_leader() && !alone) {
      replica->TransferLeadership(parts_.clock.Now());
      done = false;
    }
  }
  return done;
}

}  // namespace hawthorn::main
