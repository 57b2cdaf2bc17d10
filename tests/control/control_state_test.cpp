#include "control/control_state.h"

#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "control_commands.h"
#include "rapidcheck/catch.h"

namespace hawthorn::control {
namespace {

TEST_CASE("Of two operators that expect the same revision one wins") {
  ControlState state;
  const auto first = state.Apply(PutOrganisation(0, 1, "ana", "quetzal"));
  const auto second = state.Apply(PutOrganisation(0, 2, "ben", "peachtree"));
  CHECK(first.verdict() == schema::CONTROL_VERDICT_ACCEPTED);
  CHECK(first.revision() == 1);
  CHECK(second.verdict() == schema::CONTROL_VERDICT_CONFLICT);
  CHECK(second.winner_author() == "ana");
  CHECK(second.winner_operation() == OperationAt(1));
  CHECK(state.current().configuration().organisations_size() == 1);
}

TEST_CASE("A resend returns the first reply and runs nothing") {
  ControlState state;
  const auto command = PutOrganisation(0, 1, "ana", "quetzal");
  const auto first = state.Apply(command);
  state.Apply(PutOrganisation(1, 2, "ben", "peachtree"));
  const auto again = state.Apply(command);
  CHECK(again.repeated_answer());
  CHECK(again.verdict() == first.verdict());
  CHECK(again.revision() == 1);
  CHECK(state.revision() == 2);
}

TEST_CASE("An operation id cannot be used for two different commands") {
  ControlState state;
  state.Apply(PutOrganisation(0, 1, "ana", "quetzal"));
  const auto other = state.Apply(PutOrganisation(1, 1, "ana", "peachtree"));
  CHECK(other.verdict() == schema::CONTROL_VERDICT_INVALID);
  CHECK(state.revision() == 1);
}

TEST_CASE("An operation id from the future or of an invalid form is refused") {
  ControlState state;
  auto command = PutOrganisation(0, 1, "ana", "quetzal");
  command.set_wall_ms(kNowMs - 700'000);
  CHECK(state.Apply(command).verdict() == schema::CONTROL_VERDICT_INVALID);
  for (const char* id : {"", "op", "-op", "12", "12-", "x-op", "1 2-op",
                         "99999999999999999999-op"}) {
    command = PutOrganisation(0, 1, "ana", "quetzal");
    command.mutable_patch()->set_operation(id);
    CHECK(state.Apply(command).verdict() == schema::CONTROL_VERDICT_INVALID);
  }
  CHECK(state.revision() == 0);
}

TEST_CASE("A pruned operation id is refused as expired and never run again") {
  ControlState state;
  constexpr int64_t kCount = OperationLog::kMaxOperations + 100;
  for (int64_t n = 1; n <= kCount; ++n) {
    state.Apply(PlaceRole(n));
  }
  ControlState restored;
  REQUIRE(core::IsOk(restored.Restore(state.Snapshot())));
  for (ControlState* it : {&state, &restored}) {
    CHECK(it->Apply(PlaceRole(100)).verdict() ==
          schema::CONTROL_VERDICT_EXPIRED);
    CHECK(it->Apply(PlaceRole(1)).verdict() == schema::CONTROL_VERDICT_EXPIRED);
    CHECK(it->Apply(PlaceRole(101)).repeated_answer());
    CHECK(it->orders().last_order() == kCount);
  }
}

TEST_CASE("An invalid configuration is refused with its problems") {
  ControlState state;
  schema::ControlCommand command;
  command.set_wall_ms(kNowMs);
  auto* apply = command.mutable_apply();
  apply->set_author("ana");
  apply->set_operation(OperationAt(0));
  apply->mutable_configuration()->add_organisations()->set_id("a b");
  apply->mutable_configuration()->add_services()->set_id("s");
  const auto reply = state.Apply(command);
  CHECK(reply.verdict() == schema::CONTROL_VERDICT_INVALID);
  CHECK(reply.message().find("organisations[0].id") != std::string::npos);
  CHECK(reply.message().find("services[0].kind") != std::string::npos);
  CHECK(reply.message().find("weight_store_concurrent_loads") !=
        std::string::npos);
  CHECK(state.revision() == 0);
}

TEST_CASE("A patch that makes the configuration inconsistent is undone") {
  ControlState state;
  auto first = PutOrganisation(0, 1, "ana", "quetzal");
  auto* key = first.mutable_patch()
                  ->mutable_patch()
                  ->mutable_put_organisations(0)
                  ->add_keys();
  key->set_id("k");
  key->set_salt(std::string(16, 's'));
  key->set_digest(std::string(32, 'd'));
  REQUIRE(state.Apply(first).verdict() == schema::CONTROL_VERDICT_ACCEPTED);
  const std::string before = state.current().SerializeAsString();
  auto second = PutOrganisation(1, 2, "ana", "peachtree");
  *second.mutable_patch()
       ->mutable_patch()
       ->mutable_put_organisations(0)
       ->add_keys() = *key;
  CHECK(state.Apply(second).verdict() == schema::CONTROL_VERDICT_INVALID);
  CHECK(state.current().SerializeAsString() == before);
}

TEST_CASE("A group record changes one voter at a time by compare and set") {
  GroupTable table;
  schema::ChangeGroup change;
  schema::GroupRecord& record = *change.mutable_record();
  record.set_group("ledger/north");
  for (uint64_t i = 1; i <= 3; ++i) {
    auto* voter = record.add_voters();
    voter->set_instance("n-" + std::to_string(i));
    voter->set_identity(i);
  }
  REQUIRE(table.Change(change).number() == 1);
  CHECK(table.Change(change).verdict() == schema::CONTROL_VERDICT_CONFLICT);
  change.set_expected_version(1);
  schema::AllocateIdentity allocate;
  allocate.set_instance("n-3");
  const uint64_t fresh = table.Allocate(allocate).number();
  CHECK(fresh == 4);
  record.mutable_voters(2)->set_identity(fresh);
  record.mutable_voters(1)->set_identity(fresh + 1);
  CHECK(table.Change(change).verdict() == schema::CONTROL_VERDICT_INVALID);
  record.mutable_voters(1)->set_identity(2);
  CHECK(table.Change(change).number() == 2);
  // A replaced identity is not accepted again.
  record.mutable_voters(2)->set_identity(3);
  change.set_expected_version(2);
  CHECK(table.Change(change).verdict() == schema::CONTROL_VERDICT_INVALID);
  CHECK(table.Find("ledger/north")->highest_identity() == fresh);
}

// Operators with conflicting changes, lost replies and resends. In between, the
// state machine is restored from its snapshot.
class OperatorRace {
 public:
  explicit OperatorRace(uint64_t seed) : random_(seed) {}

  void Run(int steps) {
    for (int i = 0; i < steps; ++i) {
      Step();
    }
  }

  int resends = 0;
  int conflicts = 0;
  int lost_replies = 0;
  int restores = 0;
  int history_reads = 0;

 private:
  void Step() {
    switch (random_() % 8) {
      case 0:
        Resend();
        break;
      case 1:
        RestoreFromSnapshot();
        break;
      case 2:
        ReadHistory();
        break;
      case 3:
        Send(PlaceRole(++next_operation_));
        break;
      default:
        Send(NextChange());
        break;
    }
  }

  schema::ControlCommand NextChange() {
    // Some operators expect an outdated revision.
    const uint64_t lag = std::min<uint64_t>(random_() % 3, state_.revision());
    const std::string id = "org-" + std::to_string(random_() % 20);
    return PutOrganisation(state_.revision() - lag, ++next_operation_,
                           "operator-" + std::to_string(random_() % 3), id,
                           1 + random_() % 9);
  }

  void Send(const schema::ControlCommand& command) {
    const uint64_t before = state_.revision();
    const schema::ControlReply reply = state_.Apply(command);
    RC_ASSERT(!reply.repeated_answer());
    RC_ASSERT(state_.revision() >= before);
    if (command.has_place_order()) {
      ++orders_;
    } else if (reply.verdict() == schema::CONTROL_VERDICT_ACCEPTED) {
      RC_ASSERT(reply.revision() == before + 1);
      RC_ASSERT(winners_.emplace(reply.revision(), command.patch().operation())
                    .second);
      configurations_[reply.revision()] =
          state_.current().configuration().SerializeAsString();
    } else {
      ++conflicts;
      RC_ASSERT(reply.verdict() == schema::CONTROL_VERDICT_CONFLICT);
      RC_ASSERT(reply.winner_operation() == winners_.at(before));
    }
    lost_replies += random_() % 2;
    sent_.emplace_back(command, reply);
  }

  void Resend() {
    if (sent_.empty()) {
      return;
    }
    ++resends;
    auto [command, first] = sent_[random_() % sent_.size()];
    command.set_wall_ms(command.wall_ms() + 5'000);
    const std::string before = state_.Snapshot();
    schema::ControlReply reply = state_.Apply(command);
    RC_ASSERT(reply.repeated_answer());
    reply.clear_repeated_answer();
    RC_ASSERT(reply.SerializeAsString() == first.SerializeAsString());
    RC_ASSERT(state_.Snapshot() == before);
  }

  void RestoreFromSnapshot() {
    ++restores;
    const std::string bytes = state_.Snapshot();
    ControlState restored;
    RC_ASSERT(core::IsOk(restored.Restore(bytes)));
    RC_ASSERT(restored.Snapshot() == bytes);
    state_ = std::move(restored);
    RC_ASSERT(state_.revision() == winners_.size());
    RC_ASSERT(state_.orders().last_order() == orders_);
  }

  void ReadHistory() {
    if (state_.revision() == 0) {
      return;
    }
    ++history_reads;
    const uint64_t revision = 1 + random_() % state_.revision();
    const auto result = state_.ConfigurationAt(revision);
    RC_ASSERT(core::IsOk(result));
    RC_ASSERT(core::Value(result).operation() == winners_.at(revision));
    RC_ASSERT(core::Value(result).configuration().SerializeAsString() ==
              configurations_.at(revision));
  }

  std::mt19937_64 random_;
  ControlState state_;
  int64_t next_operation_ = 0;
  uint64_t orders_ = 0;
  std::map<uint64_t, std::string> winners_;
  std::map<uint64_t, std::string> configurations_;
  std::vector<std::pair<schema::ControlCommand, schema::ControlReply>> sent_;
};

TEST_CASE("Of concurrent operators one wins each revision") {
  int resends = 0;
  int conflicts = 0;
  int restores = 0;
  int history_reads = 0;
  CHECK(rc::check([&](uint64_t seed) {
    OperatorRace race(seed);
    race.Run(400);
    resends += race.resends;
    conflicts += race.conflicts;
    restores += race.restores;
    history_reads += race.history_reads;
  }));
  CHECK(resends > 1000);
  CHECK(conflicts > 1000);
  CHECK(restores > 1000);
  CHECK(history_reads > 1000);
}

TEST_CASE("Bytes that are not a snapshot leave the state unchanged") {
  ControlState state;
  state.Apply(PutOrganisation(0, 1, "ana", "quetzal"));
  const std::string before = state.Snapshot();
  CHECK_FALSE(core::IsOk(state.Restore("\xff\xff no snapshot")));
  CHECK(state.Snapshot() == before);
  schema::ControlReply reply;
  REQUIRE(reply.ParseFromString(state.Apply(7, "\xff\xff no command")));
  CHECK(reply.verdict() == schema::CONTROL_VERDICT_INVALID);
}

TEST_CASE("The history is bounded in revisions and in bytes") {
  ControlState state;
  const uint64_t count = RevisionHistory::kMaxRevisions + 50;
  for (uint64_t n = 0; n < count; ++n) {
    auto command = PutOrganisation(n, static_cast<int64_t>(n), "ana", "o");
    for (int i = 0; i < 300; ++i) {
      auto* it =
          command.mutable_patch()->mutable_patch()->add_put_organisations();
      it->set_id("org-" + std::to_string(i));
      it->set_weight(1 + n % 100);
    }
    REQUIRE(state.Apply(command).verdict() == schema::CONTROL_VERDICT_ACCEPTED);
  }
  CHECK(state.history().size() == RevisionHistory::kMaxRevisions);
  CHECK(core::IsOk(state.ConfigurationAt(count - 10)));
  CHECK(core::ErrorOf(state.ConfigurationAt(60)).code ==
        core::ErrorCode::kExpired);
  CHECK(state.UpdateFrom(60).has_whole());
  CHECK(state.UpdateFrom(count - 10).changes_size() == 10);
  ControlState restored;
  REQUIRE(core::IsOk(restored.Restore(state.Snapshot())));
  CHECK(restored.Snapshot() == state.Snapshot());
  CHECK(restored.UpdateFrom(60).has_whole());
}

}  // namespace
}  // namespace hawthorn::control
