#include "programs/call_record.h"

#include <xxhash.h>

#include <algorithm>
#include <cstring>

namespace hawthorn::programs {
namespace {

CallDigest ReadDigest(const std::string& bytes) {
  CallDigest digest{};
  std::copy_n(bytes.begin(), std::min(bytes.size(), digest.size()),
              digest.begin());
  return digest;
}

std::string WriteDigest(const CallDigest& digest) {
  return {digest.begin(), digest.end()};
}

void HashField(XXH3_state_t* state, std::string_view part) {
  const uint64_t size = part.size();
  XXH3_128bits_update(state, &size, sizeof(size));
  XXH3_128bits_update(state, part.data(), part.size());
}

}  // namespace

CallDigest DigestOf(const schema::BeginCall& begin) {
  XXH3_state_t* const state = XXH3_createState();
  XXH3_128bits_reset(state);
  const auto kind = static_cast<int32_t>(begin.kind());
  XXH3_128bits_update(state, &kind, sizeof(kind));
  HashField(state, begin.service());
  HashField(state, begin.messages());
  HashField(state, begin.digest());
  XXH128_canonical_t canonical;
  XXH128_canonicalFromHash(&canonical, XXH3_128bits_digest(state));
  XXH3_freeState(state);
  CallDigest digest{};
  static_assert(sizeof(canonical.digest) == std::tuple_size_v<CallDigest>);
  std::memcpy(digest.data(), canonical.digest, digest.size());
  return digest;
}

schema::FinishCall CallRecord::ToOutcome() const {
  schema::FinishCall outcome_message;
  outcome_message.set_attempt(attempt);
  outcome_message.set_outcome(static_cast<schema::Outcome>(outcome));
  outcome_message.set_answer(answer);
  outcome_message.set_used_tokens(used_tokens);
  outcome_message.set_used_cost(used_cost);
  outcome_message.set_upstream_status(upstream_status);
  outcome_message.set_answer_dropped(answer_dropped);
  if (error) {
    outcome_message.set_error_code(error->code);
    outcome_message.set_error_message(error->message);
  }
  return outcome_message;
}

schema::SnapshotCall CallRecord::ToSnapshot() const {
  schema::SnapshotCall snapshot;
  snapshot.set_messages(messages);
  snapshot.set_answer(answer);
  snapshot.set_digest(WriteDigest(digest));
  snapshot.set_kind(static_cast<schema::CallKind>(kind));
  snapshot.set_outcome(static_cast<schema::Outcome>(outcome));
  snapshot.set_attempt(attempt);
  snapshot.set_used_tokens(used_tokens);
  snapshot.set_used_cost(used_cost);
  snapshot.set_upstream_status(upstream_status);
  snapshot.set_answer_dropped(answer_dropped);
  if (error) {
    snapshot.set_error_code(error->code);
    snapshot.set_error_message(error->message);
  }
  return snapshot;
}

CallRecord CallRecord::FromSnapshot(const schema::SnapshotCall& snapshot) {
  CallRecord record;
  record.messages = snapshot.messages();
  record.answer = snapshot.answer();
  record.digest = ReadDigest(snapshot.digest());
  record.kind = static_cast<uint8_t>(snapshot.kind());
  record.outcome = static_cast<uint8_t>(snapshot.outcome());
  record.attempt = static_cast<uint16_t>(snapshot.attempt());
  record.used_tokens = snapshot.used_tokens();
  record.used_cost = snapshot.used_cost();
  record.upstream_status = snapshot.upstream_status();
  record.answer_dropped = snapshot.answer_dropped();
  if (!snapshot.error_code().empty() || !snapshot.error_message().empty()) {
    record.error = std::make_unique<CallError>(
        CallError{snapshot.error_code(), snapshot.error_message()});
  }
  return record;
}

schema::OpenCall PendingCall::ToOpenCall() const {
  schema::OpenCall call;
  call.set_attempt(attempt);
  call.set_kind(kind);
  call.set_service(service);
  call.set_messages(messages);
  call.set_fingerprint(fingerprint);
  call.set_owner(owner);
  call.set_reserve_tokens(reserve_tokens);
  call.set_reserve_cost(reserve_cost);
  call.set_intent(intent);
  return call;
}

schema::SnapshotOpenCall PendingCall::ToSnapshot() const {
  schema::SnapshotOpenCall snapshot;
  *snapshot.mutable_call() = ToOpenCall();
  snapshot.set_digest(WriteDigest(digest));
  snapshot.set_may_have_run(may_have_run);
  snapshot.set_limited_tokens(limited_tokens);
  snapshot.set_limited_cost(limited_cost);
  snapshot.set_spent_tokens(spent_tokens);
  snapshot.set_spent_cost(spent_cost);
  return snapshot;
}

PendingCall PendingCall::FromSnapshot(
    const schema::SnapshotOpenCall& snapshot) {
  const schema::OpenCall& call = snapshot.call();
  PendingCall pending;
  pending.messages = call.messages();
  pending.service = call.service();
  pending.owner = call.owner();
  pending.digest = ReadDigest(snapshot.digest());
  pending.fingerprint = call.fingerprint();
  pending.intent = call.intent();
  pending.reserve_tokens = call.reserve_tokens();
  pending.reserve_cost = call.reserve_cost();
  pending.spent_tokens = snapshot.spent_tokens();
  pending.spent_cost = snapshot.spent_cost();
  pending.attempt = call.attempt();
  pending.kind = call.kind();
  pending.may_have_run = snapshot.may_have_run();
  pending.limited_tokens = snapshot.limited_tokens();
  pending.limited_cost = snapshot.limited_cost();
  return pending;
}

}  // namespace hawthorn::programs
