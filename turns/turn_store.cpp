#include "turns/turn_store.h"

#include <algorithm>
#include <utility>

#include "logging/log.h"

namespace hawthorn::turns {

namespace {

using logging::Log;
using logging::LogLevel;

core::Error Unavailable(std::string message) {
  return {core::ErrorCode::kUnavailable,
          std::move(message),
          core::Execution::kNotRun,
          {}};
}

core::Error Invalid(std::string message) {
  return {core::ErrorCode::kInvalidArgument,
          std::move(message),
          core::Execution::kNotRun,
          {}};
}

/// Reason why a turn cannot be written; empty if it can.
std::string FaultOf(const schema::StoredTurn& turn) {
  if (turn.turn().empty() || turn.chain_key().empty()) {
    return "a turn without an id or a chain key";
  }
  if (turn.turn() == turn.previous()) {
    return "a turn that continues itself";
  }
  if (turn.format() != kTurnFormat) {
    return "unknown format " + std::to_string(turn.format()) + " of a turn";
  }
  if (turn.ByteSizeLong() > TurnStore::kMaxRecordBytes) {
    return "a turn of " + std::to_string(turn.ByteSizeLong()) + " bytes";
  }
  return {};
}

}  // namespace

TurnStore::TurnStore(Parts parts)
    : parts_(std::move(parts)), list_query_(parts_.read_instances) {}

void TurnStore::Start() {
  parts_.disk.Open(Guarded([this](const core::Result<TurnLog::Opened>& opened) {
    OnOpened(opened);
  }));
}

void TurnStore::OnOpened(const core::Result<TurnLog::Opened>& opened) {
  if (!core::IsOk(opened)) {
    open_failed_ = true;
    parts_.metrics.Count("turns_open_failed");
    Log(LogLevel::kError, "turn folder not opened",
        {{"error", core::ErrorOf(opened).message}});
    return;
  }
  const TurnLog::Opened& it = core::Value(opened);
  const core::TimePoint now = Now();
  for (TurnMeta meta : it.turns) {
    active_segment_ = std::max(active_segment_, meta.location.segment);
    // How much of its time had passed is not known, so it gets all of it.
    meta.expires = now + meta.retention + kExtraRetention;
    index_.Add(std::move(meta));
  }
  incarnation_ = it.incarnation;
  complete_ = it.complete;
  open_ = true;
  next_expiry_ = now + kExpiryInterval;
  CheckAll("folder opened");
  Log(LogLevel::kInfo, "turn folder open",
      {{"turns", std::to_string(index_.size())},
       {"damaged", std::to_string(it.damaged)},
       {"complete", complete_ ? "yes" : "no"}});
}

void TurnStore::OnMessage(const schema::TurnMessage& message,
                          const std::string& from, Reply reply) {
  if (!open_) {
    reply(Unavailable("the turn folder is not open yet"));
    return;
  }
  switch (message.body_case()) {
    case schema::TurnMessage::kWrite:
      OnWrite(message.write(), std::move(reply));
      return;
    case schema::TurnMessage::kRead:
      OnRead(message.read(), reply);
      return;
    case schema::TurnMessage::kCheck:
      OnCheck(message.check(), reply);
      return;
    case schema::TurnMessage::kStatus:
      OnStatus(message.status(), from, reply);
      return;
    default:
      reply(Invalid("unknown message about turns"));
  }
}

void TurnStore::OnWrite(const schema::WriteTurns& write, Reply reply) {
  PendingWrite pending;
  for (const schema::TurnCopy& copy : write.copies()) {
    const std::string fault = FaultOf(copy.turn());
    if (!fault.empty()) {
      reply(Invalid(fault));
      return;
    }
    if (!TakeKnown(copy)) {
      pending.copies.push_back(copy);
      pending.bytes += copy.ByteSizeLong();
    }
  }
  if (pending.copies.empty()) {
    schema::TurnMessage answer;
    answer.mutable_write_reply();
    reply(answer);
    return;
  }
  if (pending_bytes_ + pending.bytes > kMaxPendingBytes) {
    parts_.metrics.Count("turns_writes_overloaded");
    reply(core::Error{core::ErrorCode::kOverloaded,
                      "too many turns wait for the disk",
                      core::Execution::kNotRun,
                      {}});
    return;
  }
  pending.reply = std::move(reply);
  pending_bytes_ += pending.bytes;
  pending_.push_back(std::move(pending));
  Flush();
}

bool TurnStore::TakeKnown(const schema::TurnCopy& copy) {
  const TurnKey key = KeyOf(copy.turn());
  const TurnMeta* known = index_.Find(key);
  if (known == nullptr || known->content_hash != ContentHashOf(copy.turn())) {
    return false;
  }
  index_.Touch(key, Now() + std::chrono::milliseconds(copy.remaining_ms()));
  return true;
}

void TurnStore::Flush() {
  if (appending_ || pending_.empty()) {
    return;
  }
  appending_ = true;
  // All turns that arrived during the last sync share the next one.
  std::vector<PendingWrite> writes = std::exchange(pending_, {});
  std::vector<std::string> payloads;
  for (const PendingWrite& write : writes) {
    for (const schema::TurnCopy& copy : write.copies) {
      payloads.push_back(copy.turn().SerializeAsString());
    }
  }
  auto shared = std::make_shared<std::vector<PendingWrite>>(std::move(writes));
  parts_.disk.Append(
      std::move(payloads),
      Guarded([this, shared](
                  const core::Result<std::vector<RecordLocation>>& result) {
        OnAppended(*shared, result);
      }));
}

void TurnStore::OnAppended(
    const std::vector<PendingWrite>& writes,
    const core::Result<std::vector<RecordLocation>>& result) {
  appending_ = false;
  for (const PendingWrite& write : writes) {
    pending_bytes_ -= write.bytes;
  }
  if (!core::IsOk(result)) {
    parts_.metrics.Count("turns_append_failed");
    Log(LogLevel::kError, "turns not written",
        {{"writes", std::to_string(writes.size())},
         {"error", core::ErrorOf(result).message}});
    for (const PendingWrite& write : writes) {
      write.reply(core::ErrorOf(result));
    }
    Flush();
    return;
  }
  parts_.metrics.Count("turns_syncs");
  const core::TimePoint now = Now();
  auto location = core::Value(result).begin();
  for (const PendingWrite& write : writes) {
    core::Result<schema::TurnMessage> answer = schema::TurnMessage();
    std::get<schema::TurnMessage>(answer).mutable_write_reply();
    for (const schema::TurnCopy& copy : write.copies) {
      active_segment_ = std::max(active_segment_, location->segment);
      TurnMeta meta = MetaOf(copy.turn(), *location++);
      meta.expires = now + std::chrono::milliseconds(copy.remaining_ms());
      const TurnKey key = meta.key;
      const TurnIndex::Added added = index_.Add(std::move(meta));
      if (added == TurnIndex::Added::kNew) {
        parts_.metrics.Count("turns_written");
        queue_.Add(key, now + kCheckDelay);
      } else if (added == TurnIndex::Added::kConflict) {
        parts_.metrics.Count("turns_conflicts");
        Log(LogLevel::kError, "two different turns have the same id",
            {{"turn", copy.turn().turn()}});
        answer = core::Error{core::ErrorCode::kConflict,
                             "another turn has the id " + copy.turn().turn(),
                             core::Execution::kNotRun,
                             {}};
      }
    }
    write.reply(answer);
  }
  Flush();
}

void TurnStore::OnRead(const schema::ReadTurns& read, const Reply& reply) {
  const TurnKey key = KeyOf(read.organisation(), read.turn());
  const std::vector<const TurnMeta*> chain = index_.Chain(key);
  schema::TurnMessage answer;
  answer.mutable_read_reply()->set_complete(complete_);
  if (chain.empty()) {
    parts_.metrics.Count("turns_reads_missed");
    reply(answer);
    return;
  }
  // The turn that continues this one needs the chain until it is written.
  index_.Touch(key, Now() + kExtraRetention);
  std::vector<RecordLocation> locations;
  std::vector<TurnKey> keys;
  for (const TurnMeta* it : chain) {
    locations.push_back(it->location);
    keys.push_back(it->key);
  }
  parts_.disk.Read(
      std::move(locations),
      Guarded([this, reply, answer, keys = std::move(keys)](
                  const core::Result<std::vector<schema::StoredTurn>>& result) {
        if (!core::IsOk(result)) {
          parts_.metrics.Count("turns_reads_failed");
          Log(LogLevel::kError, "turns not read",
              {{"error", core::ErrorOf(result).message}});
          reply(core::ErrorOf(result));
          return;
        }
        schema::TurnMessage found = answer;
        for (size_t i = 0; i < keys.size(); ++i) {
          const schema::StoredTurn& turn = core::Value(result)[i];
          if (KeyOf(turn) != keys[i]) {
            reply(Unavailable("another turn stands at the place of a turn"));
            return;
          }
          *found.mutable_read_reply()->add_turns() = turn;
        }
        parts_.metrics.Count("turns_reads");
        reply(found);
      }));
}

void TurnStore::Tick() {
  const core::TimePoint now = Now();
  if (now >= next_status_) {
    next_status_ = now + kStatusInterval;
    SendStatus();
  }
  if (!open_) {
    return;
  }
  if (now >= next_expiry_) {
    next_expiry_ = now + kExpiryInterval;
    Expire();
    Compact();
  }
  RepairStep();
}

void TurnStore::Expire() {
  for (const TurnKey& key : index_.Expire(Now())) {
    queue_.Remove(key);
    parts_.metrics.Count("turns_expired");
  }
  RemoveEmptySegments();
}

void TurnStore::RemoveEmptySegments() {
  if (appending_) {
    // The batch may stand in a segment that seems to be empty.
    return;
  }
  for (const uint32_t segment : index_.TakeEmptySegments(active_segment_)) {
    parts_.disk.RemoveSegment(segment, [segment](const core::Status& status) {
      if (!core::IsOk(status)) {
        Log(LogLevel::kWarn, "turn segment not removed",
            {{"segment", std::to_string(segment)},
             {"error", core::ErrorOf(status).message}});
      }
    });
  }
}

void TurnStore::Compact() {
  const auto segment = index_.SparseSegment(active_segment_);
  if (!segment || compacting_) {
    return;
  }
  compacting_ = true;
  std::vector<RecordLocation> from;
  for (const TurnMeta& it : index_.TurnsIn(*segment)) {
    from.push_back(it.location);
  }
  const auto on_written =
      [this, from](const std::vector<schema::StoredTurn>& turns,
                   const core::Result<std::vector<RecordLocation>>& to) {
        compacting_ = false;
        if (!core::IsOk(to)) {
          Log(LogLevel::kWarn, "turn segment not compacted",
              {{"error", core::ErrorOf(to).message}});
          return;
        }
        for (size_t i = 0; i < turns.size(); ++i) {
          active_segment_ =
              std::max(active_segment_, core::Value(to)[i].segment);
          index_.Move(KeyOf(turns[i]), from[i], core::Value(to)[i]);
        }
        parts_.metrics.Count("turns_segments_compacted");
      };
  parts_.disk.Read(
      from,
      Guarded([this, on_written](
                  const core::Result<std::vector<schema::StoredTurn>>& read) {
        if (!core::IsOk(read)) {
          compacting_ = false;
          Log(LogLevel::kWarn, "turn segment not compacted",
              {{"error", core::ErrorOf(read).message}});
          return;
        }
        std::vector<std::string> payloads;
        for (const schema::StoredTurn& it : core::Value(read)) {
          payloads.push_back(it.SerializeAsString());
        }
        parts_.disk.Append(
            std::move(payloads),
            Guarded([on_written, turns = core::Value(read)](
                        const core::Result<std::vector<RecordLocation>>& to) {
              on_written(turns, to);
            }));
      }));
}

uint64_t TurnStore::unplaced_turns() const {
  if (!open_) {
    // Not known yet; a folder that cannot be opened holds nothing to wait for.
    return open_failed_ ? 0 : 1;
  }
  if (keepers_.empty() || (is_keeper_ && !self_retiring_)) {
    // Never 0, so that no number from before the retirement completes it.
    return index_.size() + 1;
  }
  return queue_.size();
}

void TurnStore::UpdateGauges() const {
  const auto set = [this](const char* name, auto value) {
    parts_.metrics.SetGauge(name, static_cast<double>(value));
  };
  set("turns_kept", index_.size());
  set("turns_live_bytes", index_.live_bytes());
  set("turns_unplaced", queue_.size());
  set("turns_complete", complete() ? 1 : 0);
  set("turns_keepers", keepers_.size());
  set("turns_keepers_unreachable",
      std::count_if(peers_.begin(), peers_.end(),
                    [](const auto& it) { return !it.second.reachable; }));
}

}  // namespace hawthorn::turns
