#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "ledger.pb.h"

namespace hawthorn::programs {

/// 128-bit digest of a call's content.
using CallDigest = std::array<char, 16>;

/// Digest of the service, the kind, the messages and the caller's digest.
CallDigest DigestOf(const schema::BeginCall& begin);

/// Error of a call; most calls have none.
struct CallError {
  std::string code;
  std::string message;

  bool operator==(const CallError&) const = default;
};

/// A call with its committed outcome; an entry of the program's history.
struct CallRecord {
  std::string messages;
  std::string answer;
  CallDigest digest{};
  std::unique_ptr<CallError> error;
  int64_t used_tokens = 0;
  int64_t used_cost = 0;
  int32_t upstream_status = 0;
  uint16_t attempt = 0;
  uint8_t kind = 0;
  uint8_t outcome = 0;
  bool answer_dropped = false;

  /// Size of the messages and the answer, in bytes.
  size_t ContentBytes() const { return messages.size() + answer.size(); }

  /// The outcome as it is reported to the caller, without the names of the
  /// program and the call.
  schema::FinishCall ToOutcome() const;

  schema::SnapshotCall ToSnapshot() const;
  static CallRecord FromSnapshot(const schema::SnapshotCall& snapshot);
};

/// A program's open call, which has no outcome yet.
struct PendingCall {
  std::string messages;
  std::string service;
  /// Empty after the owner was lost.
  std::string owner;
  CallDigest digest{};
  uint64_t fingerprint = 0;
  uint64_t intent = 0;
  int64_t reserve_tokens = 0;
  int64_t reserve_cost = 0;
  /// Amounts charged for failed attempts.
  int64_t spent_tokens = 0;
  int64_t spent_cost = 0;
  uint32_t attempt = 1;
  schema::CallKind kind = schema::CALL_KIND_UNSPECIFIED;
  /// An earlier attempt may have run.
  bool may_have_run = false;
  bool limited_tokens = false;
  bool limited_cost = false;

  /// The open call without the program and the number of the call.
  schema::OpenCall ToOpenCall() const;

  schema::SnapshotOpenCall ToSnapshot() const;
  static PendingCall FromSnapshot(const schema::SnapshotOpenCall& snapshot);
};

}  // namespace hawthorn::programs
