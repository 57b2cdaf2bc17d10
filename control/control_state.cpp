#include "control/control_state.h"

#include <absl/strings/str_cat.h>
#include <google/protobuf/io/coded_stream.h>
#include <google/protobuf/io/zero_copy_stream_impl_lite.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

#include "control/configuration_patch.h"
#include "control/reply.h"
#include "settings/configuration_check.h"

namespace hawthorn::control {
namespace {

using schema::ControlCommand;
using schema::ControlReply;

constexpr size_t kMaxAuthorBytes = 128;
// Maximum number of problems listed in a refusal.
constexpr size_t kMaxListedProblems = 20;

std::string Serialize(const google::protobuf::Message& message) {
  std::string bytes;
  google::protobuf::io::StringOutputStream stream(&bytes);
  google::protobuf::io::CodedOutputStream output(&stream);
  output.SetSerializationDeterministic(true);
  message.SerializeToCodedStream(&output);
  output.Trim();
  return bytes;
}

// Author and operation id of a command.
struct Origin {
  std::string author;
  std::string operation;
};

template <typename T>
Origin OriginIn(const T& body) {
  return {body.author(), body.operation()};
}

// Origin of an operator's command; std::nullopt for commands of the leader,
// which are idempotent by their content.
std::optional<Origin> OriginOf(const ControlCommand& command) {
  switch (command.body_case()) {
    case ControlCommand::kApply:
      return OriginIn(command.apply());
    case ControlCommand::kPatch:
      return OriginIn(command.patch());
    case ControlCommand::kChangeGroup:
      return OriginIn(command.change_group());
    case ControlCommand::kAllocateIdentity:
      return OriginIn(command.allocate_identity());
    case ControlCommand::kPlaceOrder:
      return OriginIn(command.place_order());
    case ControlCommand::kCancelOrder:
      return OriginIn(command.cancel_order());
    default:
      return std::nullopt;
  }
}

// Digest of the command without its time, which differs between a command and
// its resend.
uint64_t DigestOf(const ControlCommand& command) {
  ControlCommand body = command;
  body.clear_wall_ms();
  const std::string bytes = Serialize(body);
  return XXH64(bytes.data(), bytes.size(), 0);
}

bool IsAuthor(const std::string& text) {
  return !text.empty() && text.size() <= kMaxAuthorBytes &&
         std::none_of(text.begin(), text.end(),
                      [](unsigned char c) { return c < 0x20 || c == 0x7f; });
}

ControlReply RefuseProblems(const std::vector<settings::Problem>& problems) {
  std::string text;
  for (size_t i = 0; i < std::min(problems.size(), kMaxListedProblems); ++i) {
    const settings::Problem& it = problems[i];
    absl::StrAppend(&text, text.empty() ? "" : "\n", it.path, ": ", it.message,
                    "; allowed: ", it.allowed);
  }
  if (problems.size() > kMaxListedProblems) {
    absl::StrAppend(&text, "\nand ", problems.size() - kMaxListedProblems,
                    " more");
  }
  return detail::RefuseInvalid(std::move(text));
}

core::Error MakeError(core::ErrorCode code, std::string message) {
  core::Error error;
  error.code = code;
  error.message = std::move(message);
  return error;
}

template <typename Command>
schema::RevisionRecord MakeRecord(const Command& command, int64_t wall_ms) {
  schema::RevisionRecord record;
  record.set_author(command.author());
  record.set_operation(command.operation());
  record.set_wall_ms(wall_ms);
  return record;
}

}  // namespace

ControlReply ControlState::Apply(const ControlCommand& command) {
  ControlReply reply = ApplyOnce(command);
  // The reply to a resend keeps the revision of the first reply.
  if (!reply.repeated_answer()) {
    reply.set_revision(current_.revision());
  }
  return reply;
}

std::string ControlState::Apply(uint64_t /*index*/, std::string_view command) {
  ControlCommand parsed;
  if (!parsed.ParseFromArray(command.data(),
                             static_cast<int>(command.size()))) {
    return Serialize(detail::RefuseInvalid("the command cannot be read"));
  }
  return Serialize(Apply(parsed));
}

ControlReply ControlState::ApplyOnce(const ControlCommand& command) {
  const std::optional<Origin> origin = OriginOf(command);
  if (!origin.has_value()) {
    return Run(command);
  }
  const uint64_t digest = DigestOf(command);
  const std::optional<ControlReply> known_reply =
      operations_.FindReply(origin->operation, digest, command.wall_ms());
  if (known_reply.has_value()) {
    return *known_reply;
  }
  ControlReply reply = IsAuthor(origin->author)
                           ? Run(command)
                           : detail::RefuseInvalid("the author is missing");
  reply.set_revision(current_.revision());
  operations_.Record(origin->operation, digest, reply);
  return reply;
}

ControlReply ControlState::Run(const ControlCommand& command) {
  switch (command.body_case()) {
    case ControlCommand::kApply:
      return ApplyWhole(command.apply(), command.wall_ms());
    case ControlCommand::kPatch:
      return ApplyChange(command.patch(), command.wall_ms());
    case ControlCommand::kChangeGroup:
      return groups_.Change(command.change_group());
    case ControlCommand::kAllocateIdentity:
      return groups_.Allocate(command.allocate_identity());
    case ControlCommand::kPlaceOrder:
      return orders_.Place(command.place_order(), command.wall_ms());
    case ControlCommand::kCancelOrder:
      return orders_.Cancel(command.cancel_order());
    case ControlCommand::kOpenFence:
      return orders_.OpenFence(command.open_fence());
    case ControlCommand::kMarkOrder:
      return orders_.Mark(
          command.mark_order(),
          current_.configuration().weight_store_concurrent_loads());
    default:
      return detail::RefuseInvalid("the command is unknown");
  }
}

ControlReply ControlState::ApplyWhole(const schema::ApplyConfiguration& command,
                                      int64_t wall_ms) {
  if (command.expected_revision() != current_.revision()) {
    return Conflict();
  }
  const std::vector<settings::Problem> problems =
      settings::CheckConfiguration(command.configuration());
  if (!problems.empty()) {
    return RefuseProblems(problems);
  }
  schema::Configuration next = command.configuration();
  SortConfiguration(&next);
  schema::RevisionRecord record = MakeRecord(command, wall_ms);
  *record.mutable_forward() =
      DiffConfigurations(current_.configuration(), next);
  *record.mutable_backward() =
      DiffConfigurations(next, current_.configuration());
  *current_.mutable_configuration() = std::move(next);
  return Accept(std::move(record));
}

ControlReply ControlState::ApplyChange(
    const schema::PatchConfiguration& command, int64_t wall_ms) {
  if (command.expected_revision() != current_.revision()) {
    return Conflict();
  }
  schema::Configuration& configuration = *current_.mutable_configuration();
  const std::vector<settings::Problem> problems =
      CheckPatch(configuration, command.patch());
  if (!problems.empty()) {
    return RefuseProblems(problems);
  }
  schema::RevisionRecord record = MakeRecord(command, wall_ms);
  *record.mutable_forward() = command.patch();
  *record.mutable_backward() = InvertPatch(configuration, command.patch());
  ApplyPatch(command.patch(), &configuration);
  const std::vector<settings::Problem> contradictions =
      settings::CheckConfigurationConsistency(configuration);
  if (!contradictions.empty()) {
    ApplyPatch(record.backward(), &configuration);
    return RefuseProblems(contradictions);
  }
  return Accept(std::move(record));
}

ControlReply ControlState::Conflict() const {
  ControlReply reply = detail::RefuseConflict(
      absl::StrCat("revision ", current_.revision(), " is in force"));
  reply.set_winner_author(current_.author());
  reply.set_winner_operation(current_.operation());
  return reply;
}

ControlReply ControlState::Accept(schema::RevisionRecord record) {
  const uint64_t revision = current_.revision() + 1;
  current_.set_revision(revision);
  current_.set_author(record.author());
  current_.set_operation(record.operation());
  current_.set_wall_ms(record.wall_ms());
  record.set_revision(revision);
  history_.Add(std::move(record));
  return detail::MakeReply(schema::CONTROL_VERDICT_ACCEPTED);
}

core::Result<schema::VersionedConfiguration> ControlState::ConfigurationAt(
    uint64_t revision) const {
  if (revision > current_.revision()) {
    return MakeError(
        core::ErrorCode::kNotFound,
        absl::StrCat("revision ", current_.revision(), " is the last one"));
  }
  const auto changes = history_.ChangesAfter(revision);
  if (!changes.has_value()) {
    return MakeError(core::ErrorCode::kExpired,
                     absl::StrCat("revision ", revision, " is no longer kept"));
  }
  schema::VersionedConfiguration value = current_;
  for (auto it = changes->rbegin(); it != changes->rend(); ++it) {
    ApplyPatch(it->backward(), value.mutable_configuration());
  }
  value.set_revision(revision);
  value.clear_author();
  value.clear_operation();
  value.clear_wall_ms();
  for (const schema::RevisionRecord& it : history_.records()) {
    if (it.revision() == revision) {
      value.set_author(it.author());
      value.set_operation(it.operation());
      value.set_wall_ms(it.wall_ms());
    }
  }
  return value;
}

schema::ConfigurationUpdate ControlState::UpdateFrom(uint64_t revision) const {
  return history_.UpdateFrom(revision, current_);
}

std::string ControlState::Snapshot() const {
  schema::ControlSnapshot snapshot;
  *snapshot.mutable_configuration() = current_;
  history_.Save(&snapshot);
  operations_.Save(&snapshot);
  groups_.Save(&snapshot);
  orders_.Save(&snapshot);
  return Serialize(snapshot);
}

core::Status ControlState::Restore(std::string_view bytes) {
  schema::ControlSnapshot snapshot;
  if (!snapshot.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return MakeError(core::ErrorCode::kStorage,
                     "the snapshot of the control group cannot be read");
  }
  current_ = std::move(*snapshot.mutable_configuration());
  history_.Load(snapshot);
  operations_.Load(snapshot);
  groups_.Load(snapshot);
  orders_.Load(snapshot);
  return std::monostate{};
}

}  // namespace hawthorn::control
