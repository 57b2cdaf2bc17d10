#include "turns/peer_links.h"

#include <QTimer>
#include <utility>

#include "logging/log.h"

namespace hawthorn::turns {

schema::PeerMessage Pack(const schema::TurnMessage& message) {
  schema::PeerMessage packed;
  message.SerializeToString(packed.mutable_turns());
  return packed;
}

core::Result<schema::TurnMessage> Unpack(const schema::PeerMessage& message) {
  schema::TurnMessage unpacked;
  if (!message.has_turns() || !unpacked.ParseFromString(message.turns())) {
    return core::Error{core::ErrorCode::kInvalidArgument,
                       "unreadable message about turns",
                       core::Execution::kNotRun,
                       {}};
  }
  return unpacked;
}

void TransportLinks::Request(const std::string& instance,
                             const schema::TurnMessage& message,
                             std::chrono::milliseconds timeout,
                             ReplyCallback callback) {
  peers_.Request(core::InstanceId(instance), Pack(message), timeout,
                 [callback = std::move(callback)](
                     const core::Result<schema::PeerMessage>& reply) {
                   if (core::IsOk(reply)) {
                     callback(Unpack(core::Value(reply)));
                   } else {
                     callback(core::ErrorOf(reply));
                   }
                 });
}

void TransportLinks::After(std::chrono::milliseconds delay,
                           std::function<void()> callback) {
  QTimer::singleShot(delay, Qt::PreciseTimer, &timers_, std::move(callback));
}

void TransportLinks::SetAddress(const std::string& instance,
                                const std::string& address) {
  const core::Status status =
      peers_.SetPeer(core::InstanceId(instance), address);
  if (!core::IsOk(status)) {
    logging::Log(logging::LogLevel::kWarn, "address of an instance not usable",
                 {{"instance", instance},
                  {"address", address},
                  {"error", core::ErrorOf(status).message}});
  }
}

}  // namespace hawthorn::turns
