#pragma once

#include <cstdint>
#include <string>

#include "control.pb.h"

// Helpers that build replies of the control group.
namespace hawthorn::control::detail {

inline schema::ControlReply MakeReply(schema::ControlVerdict verdict,
                                      std::string message = "",
                                      uint64_t number = 0) {
  schema::ControlReply reply;
  reply.set_verdict(verdict);
  reply.set_message(std::move(message));
  reply.set_number(number);
  return reply;
}

inline schema::ControlReply Accept(uint64_t number) {
  return MakeReply(schema::CONTROL_VERDICT_ACCEPTED, "", number);
}

inline schema::ControlReply RefuseInvalid(std::string message) {
  return MakeReply(schema::CONTROL_VERDICT_INVALID, std::move(message));
}

inline schema::ControlReply RefuseConflict(std::string message,
                                           uint64_t number = 0) {
  return MakeReply(schema::CONTROL_VERDICT_CONFLICT, std::move(message),
                   number);
}

}  // namespace hawthorn::control::detail
