#pragma once

#include <string>

#include "ledger.pb.h"

namespace hawthorn::programs::detail {

/// Reply with a verdict and a message.
inline schema::LedgerReply MakeReply(schema::Verdict verdict,
                                     const std::string& message = "") {
  schema::LedgerReply reply;
  reply.set_verdict(verdict);
  reply.set_message(message);
  return reply;
}

/// Reply for an id that does not exist or belongs to another organisation.
inline schema::LedgerReply NotFound() {
  return MakeReply(schema::VERDICT_NOT_FOUND, "no such program");
}

}  // namespace hawthorn::programs::detail
