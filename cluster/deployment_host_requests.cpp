// Requests of other instances, and commands and reads for the leader.
#include <utility>

#include "cluster/command_log.h"
#include "cluster/deployment_host.h"
#include "cluster/errors.h"

namespace hawthorn::cluster {

namespace {

/// Wraps `callback` to receive one field of a leader's reply, or the error.
template <typename T>
auto ExtractField(std::function<void(const core::Result<T>&)> callback,
                  const T& (schema::DeploymentMessage::*field)() const) {
  return [callback = std::move(callback),
          field](const core::Result<schema::DeploymentMessage>& reply) {
    if (!core::IsOk(reply)) {
      callback(core::ErrorOf(reply));
      return;
    }
    callback((core::Value(reply).*field)());
  };
}

}  // namespace

void DeploymentHost::OnMessage(const schema::DeploymentMessage& message,
                               const std::string& from,
                               const peer::Replier& replier) {
  if (!group_) {
    replier.Fail(Unavailable("the replica is not open yet"));
    return;
  }
  const auto reply_or_fail = [replier](const auto& result, const auto& fill) {
    if (!core::IsOk(result)) {
      replier.Fail(core::ErrorOf(result));
      return;
    }
    schema::DeploymentMessage reply;
    fill(&reply, core::Value(result));
    replier.Reply(Pack(reply));
  };
  switch (message.body_case()) {
    case schema::DeploymentMessage::kAnnouncement:
      OnAnnouncement(message.announcement(), replier);
      return;
    case schema::DeploymentMessage::kWatch:
      OnWatch(message.watch(), from, replier);
      return;
    case schema::DeploymentMessage::kPropose: {
      schema::DeploymentCommand command;
      if (!command.ParseFromString(message.propose())) {
        replier.Fail({core::ErrorCode::kInvalidArgument,
                      "the command is unreadable", core::Execution::kNotRun,
                      std::nullopt});
        return;
      }
      OnCommand(std::move(command), replier);
      return;
    }
    case schema::DeploymentMessage::kRead:
      ReadConfigurationLocally(
          [reply_or_fail](
              const core::Result<schema::PublishedConfiguration>& it) {
            reply_or_fail(it, [](schema::DeploymentMessage* out,
                                 const schema::PublishedConfiguration& read) {
              *out->mutable_configuration() = read;
            });
          });
      return;
    case schema::DeploymentMessage::kReadInstances:
      ReadInstancesLocally(
          [reply_or_fail](const core::Result<schema::InstanceList>& it) {
            reply_or_fail(it, [](schema::DeploymentMessage* out,
                                 const schema::InstanceList& read) {
              *out->mutable_instances() = read;
            });
          });
      return;
    case schema::DeploymentMessage::kRetirement:
      reply_or_fail(LocalRetirementState(message.retirement().name()),
                    [](schema::DeploymentMessage* out,
                       const schema::RetirementState& state) {
                      *out->mutable_retirement_state() = state;
                    });
      return;
    case schema::DeploymentMessage::kQuotaRequest:
      UpdateQuota();
      reply_or_fail(
          quota_.OnRequest(from, message.quota_request(), Now()),
          [](schema::DeploymentMessage* out, const schema::QuotaGrant& grant) {
            *out->mutable_quota_grant() = grant;
          });
      return;
    case schema::DeploymentMessage::kHeard:
      for (const std::string& upstream : message.heard().upstreams()) {
        upstream_contacts_[upstream] = Now();
      }
      return;
    case schema::DeploymentMessage::kSpeeds:
      OnSpeeds(message.speeds(), from);
      return;
    default:
      replier.Fail(Unavailable("the message is not known"));
  }
}

void DeploymentHost::OnCommand(schema::DeploymentCommand command,
                               const peer::Replier& replier) {
  const auto callback =
      [replier](const core::Result<schema::DeploymentReply>& it) {
        if (!core::IsOk(it)) {
          replier.Fail(core::ErrorOf(it));
          return;
        }
        schema::DeploymentMessage reply;
        *reply.mutable_reply() = core::Value(it);
        replier.Reply(Pack(reply));
      };
  const bool waits = command.has_reserve() || command.has_settle();
  if (!is_leader() || !waits) {
    ProposeLocally(std::move(command), callback);
    return;
  }
  const bool knows_program = command.has_reserve() &&
                             machine_.KnowsProgram(command.reserve().program());
  const core::Status admitted = commands_.Admit(command, knows_program, Now());
  if (!core::IsOk(admitted)) {
    metrics_.Count("claims_refused_overloaded");
    replier.Fail(core::ErrorOf(admitted));
    return;
  }
  commands_.Push(
      {std::move(command), callback, [replier] { return replier.IsOpen(); }},
      Now());
  ScheduleCommands();
}

void DeploymentHost::ScheduleCommands() {
  if (commands_.empty() || std::exchange(commands_scheduled_, true)) {
    return;
  }
  QMetaObject::invokeMethod(
      this,
      [this] {
        commands_scheduled_ = false;
        ProposeQueued();
      },
      Qt::QueuedConnection);
}

void DeploymentHost::ProposeQueued() {
  for (size_t n = 0; n < kCommandsPerTurn; ++n) {
    std::optional<CommandQueue::Command> next = commands_.Pop();
    if (!next) {
      return;
    }
    ProposeLocally(
        std::move(next->content),
        [this, number = next->number, callback = std::move(next->callback)](
            const core::Result<schema::DeploymentReply>& it) {
          commands_.OnAnswered(number);
          callback(it);
        });
  }
  ScheduleCommands();
}

core::Status DeploymentHost::CheckRoom(
    const schema::DeploymentCommand& command) {
  if (!is_leader() || !command.has_reserve() ||
      machine_.KnowsProgram(command.reserve().program()) ||
      machine_.program_bytes() < ProgramLimit()) {
    return std::monostate{};
  }
  metrics_.Count("claims_without_room");
  return core::Error{core::ErrorCode::kOverloaded,
                     "too many programs are running", core::Execution::kNotRun,
                     kNoRoomRetryAfter};
}

void DeploymentHost::ProposeLocally(schema::DeploymentCommand command,
                                    ProposeCallback callback) {
  if (const core::Status room = CheckRoom(command); !core::IsOk(room)) {
    callback(core::ErrorOf(room));
    return;
  }
  const core::TimePoint now = Now();
  const auto elapsed = core::MillisecondsBetween(last_command_, now);
  if (is_leader()) {
    command.set_elapsed_ms(elapsed.count());
    last_command_ = now;
  }
  group_->Propose(
      command.SerializeAsString(),
      [this, callback = std::move(callback), now, kind = KindOf(command),
       claim = ClaimOf(command),
       report = command.report_crash()](const core::Result<std::string>& it) {
        core::Result<schema::DeploymentReply> result{schema::DeploymentReply()};
        if (core::IsOk(it)) {
          std::get<schema::DeploymentReply>(result).ParseFromString(
              core::Value(it));
          metrics_.Observe({detail::kDeploymentWork, kind, "commit"},
                           Now() - now);
          load_report_.OnCommit(Now() - now);
        } else {
          result = core::ErrorOf(it);
          metrics_.Count("commands_failed");
        }
        if (claim) {
          LogClaim(*claim, result);
        }
        if (report.fingerprint() != 0 && core::IsOk(it)) {
          LogCrashReport(report, machine_.crashes());
        }
        callback(result);
      },
      now);
  // Commands of one event loop iteration share a batch.
  if (!std::exchange(flush_scheduled_, true)) {
    QMetaObject::invokeMethod(
        this,
        [this] {
          flush_scheduled_ = false;
          Flush();
        },
        Qt::QueuedConnection);
  }
}

void DeploymentHost::SendToLeader(const schema::DeploymentMessage& message,
                                  std::chrono::milliseconds timeout,
                                  MessageCallback callback) {
  SendTo(HasLeaderContact() ? RemoteLeader() : std::string(), message, timeout,
         std::move(callback));
}

void DeploymentHost::SendTo(const std::string& instance,
                            const schema::DeploymentMessage& message,
                            std::chrono::milliseconds timeout,
                            MessageCallback callback) {
  if (instance.empty()) {
    callback(Unavailable("no leader is known"));
    return;
  }
  peers_.Request(core::InstanceId(instance), Pack(message), timeout,
                 [callback = std::move(callback)](
                     const core::Result<schema::PeerMessage>& reply) {
                   if (!core::IsOk(reply)) {
                     callback(core::ErrorOf(reply));
                     return;
                   }
                   callback(Unpack(core::Value(reply)));
                 });
}

void DeploymentHost::Propose(schema::DeploymentCommand command,
                             ProposeCallback callback) {
  if (!group_) {
    callback(Unavailable("the replica is not open yet"));
    return;
  }
  if (is_leader()) {
    ProposeLocally(std::move(command), std::move(callback));
    return;
  }
  schema::DeploymentMessage message;
  command.SerializeToString(message.mutable_propose());
  SendToLeader(
      message, kProposeTimeout,
      ExtractField(std::move(callback), &schema::DeploymentMessage::reply));
}

template <typename T>
void DeploymentHost::ReadLocally(
    std::function<void(const core::Result<T>&)> callback,
    std::function<T()> value) {
  group_->Read(
      [callback = std::move(callback),
       value = std::move(value)](const core::Status& status) {
        if (!core::IsOk(status)) {
          callback(core::ErrorOf(status));
          return;
        }
        callback(value());
      },
      Now());
  Flush();
}

void DeploymentHost::ReadConfigurationLocally(ReadCallback callback) {
  ReadLocally<schema::PublishedConfiguration>(
      std::move(callback), [this] { return machine_.configuration(); });
}

void DeploymentHost::ReadInstancesLocally(InstancesCallback callback) {
  ReadLocally<schema::InstanceList>(std::move(callback), [this] {
    schema::InstanceList list;
    list.set_leader(options_.self.instance());
    AppendInstances(machine_, list.mutable_instances());
    return list;
  });
}

void DeploymentHost::ReadConfiguration(ReadCallback callback) {
  if (!group_) {
    callback(Unavailable("the replica is not open yet"));
    return;
  }
  if (is_leader()) {
    ReadConfigurationLocally(std::move(callback));
    return;
  }
  schema::DeploymentMessage message;
  message.mutable_read();
  SendToLeader(message, kProposeTimeout,
               ExtractField(std::move(callback),
                            &schema::DeploymentMessage::configuration));
}

void DeploymentHost::ReadRetirement(const std::string& name,
                                    RetirementCallback callback) {
  if (!group_) {
    callback(Unavailable("the replica is not open yet"));
    return;
  }
  if (is_leader()) {
    callback(LocalRetirementState(name));
    return;
  }
  schema::DeploymentMessage message;
  message.mutable_retirement()->set_name(name);
  SendToLeader(message, kProposeTimeout,
               ExtractField(std::move(callback),
                            &schema::DeploymentMessage::retirement_state));
}

void DeploymentHost::ReadInstances(InstancesCallback callback) {
  if (!group_) {
    callback(Unavailable("the replica is not open yet"));
    return;
  }
  if (is_leader()) {
    ReadInstancesLocally(std::move(callback));
    return;
  }
  schema::DeploymentMessage message;
  message.mutable_read_instances();
  // An instance outside of the group may ask, too: the leader answers for it.
  SendTo(
      LeaderInContact(), message, kProposeTimeout,
      ExtractField(std::move(callback), &schema::DeploymentMessage::instances));
}

}  // namespace hawthorn::cluster
