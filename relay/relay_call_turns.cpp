#include <QPointer>
#include <algorithm>
#include <utility>

#include "relay/relay_call.h"
#include "transport/http_status.h"

// Turns of conversations that are kept between calls.
namespace hawthorn::relay {

namespace {

namespace status = transport::status;

/// A read of the chain may take the remaining time divided by this, and no
/// longer than a claim, as both run at the same time.
constexpr int kReadTimeoutDivisor = 3;
constexpr std::chrono::milliseconds kMaxReadTimeout{1500};

}  // namespace

bool RelayCall::RefuseUnkeepable() {
  if (!parts_.route.retains_turns) {
    return false;
  }
  if (parts_.head.resume_after) {
    // The events before the given one, which belong to the turn, are not known.
    Refuse(status::kServiceUnavailable,
           "a stream whose turn is kept cannot be resumed", std::nullopt);
    return true;
  }
  if (parts_.host.history() == nullptr) {
    Refuse(status::kServiceUnavailable, "no instance keeps turns",
           WithinPatience(kRetryAfter));
    return true;
  }
  return false;
}

void RelayCall::ReadChain() {
  chain_pending_ = true;
  parts_.host.history()->Read(
      parts_.organisation.name, parts_.head.previous_turn,
      std::min(kMaxReadTimeout, TimeLeft() / kReadTimeoutDivisor),
      [guard =
           QPointer<RelayCall>(this)](const core::Result<TurnChain>& result) {
        if (guard) {
          guard->OnChainRead(result);
        }
      });
}

void RelayCall::OnChainRead(const core::Result<TurnChain>& result) {
  if (state_ != State::kClaiming) {
    return;
  }
  chain_pending_ = false;
  if (core::IsOk(result)) {
    chain_ = core::Value(result);
    QueueWhenReady();
    return;
  }
  const core::Error& error = core::ErrorOf(result);
  if (error.code == core::ErrorCode::kNotFound) {
    Refuse(status::kNotFound, "previous turn not found: " + error.message,
           std::nullopt);
    return;
  }
  Refuse(status::kServiceUnavailable,
         "previous turn uncertain: " + error.message,
         WithinPatience(error.retry_after.value_or(kRetryAfter)));
}

void RelayCall::RecordTurn() {
  state_ = State::kRecording;
  TurnRecord record;
  record.organisation = parts_.organisation.name;
  record.turn = parts_.head.request_id;
  record.previous = parts_.head.previous_turn;
  record.chain_key = chain_.chain_key;
  record.input = parts_.request.body;
  record.output = std::exchange(turn_output_, {});
  record.retention = parts_.route.retention;
  parts_.host.history()->Write(
      record, std::max(TimeLeft(), kMinTimeLeft),
      [guard = QPointer<RelayCall>(this)](const core::Status& status) {
        if (guard) {
          guard->OnTurnRecorded(status);
        }
      });
}

void RelayCall::OnTurnRecorded(const core::Status& status) {
  if (state_ != State::kRecording) {
    return;
  }
  if (!core::IsOk(status)) {
    Fail(status::kBadGateway,
         "turn not kept: " + core::ErrorOf(status).message);
    return;
  }
  parts_.session.EndBody();
  End();
}

}  // namespace hawthorn::relay
