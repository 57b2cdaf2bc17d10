#include "control/deployment_state.h"

#include <catch2/catch.hpp>
#include <string>

namespace hawthorn::control {
namespace {

schema::DeploymentReply Run(DeploymentState* state,
                            const schema::DeploymentCommand& command) {
  schema::DeploymentReply reply;
  REQUIRE(reply.ParseFromString(state->Apply(1, command.SerializeAsString())));
  return reply;
}

schema::DeploymentCommand Publish(uint64_t version, const std::string& text) {
  schema::DeploymentCommand command;
  command.mutable_publish()->set_version(version);
  command.mutable_publish()->set_content(text);
  return command;
}

schema::DeploymentCommand Reserve(const std::string& request, int64_t tokens,
                                  int64_t budget) {
  schema::DeploymentCommand command;
  command.mutable_reserve()->set_program("p");
  command.mutable_reserve()->set_request(request);
  command.mutable_reserve()->set_tokens(tokens);
  command.mutable_reserve()->set_budget(budget);
  return command;
}

schema::DeploymentCommand Settle(const std::string& request, int64_t tokens) {
  schema::DeploymentCommand command;
  schema::TokenSettlement* it = command.mutable_settle()->add_settlements();
  it->set_program("p");
  it->set_request(request);
  it->set_tokens(tokens);
  return command;
}

schema::UpstreamEntry Entry(const std::string& id, const std::string& address,
                            uint64_t started, uint64_t sequence) {
  schema::UpstreamEntry entry;
  entry.set_upstream(id);
  entry.set_service("llm");
  entry.set_address(address);
  entry.set_max_running(8);
  entry.set_started_at_ms(started);
  entry.set_sequence(sequence);
  return entry;
}

schema::DeploymentReply Announce(DeploymentState* state,
                                 const schema::UpstreamEntry& entry) {
  schema::DeploymentCommand command;
  *command.mutable_upstream() = entry;
  return Run(state, command);
}

TEST_CASE("The highest version is in force in any order of arrival") {
  DeploymentState state;
  CHECK(Run(&state, Publish(7, "seven")).version() == 7);
  CHECK(Run(&state, Publish(3, "three")).version() == 7);
  CHECK(Run(&state, Publish(7, "another seven")).version() == 7);
  CHECK(state.configuration().content() == "seven");
}

TEST_CASE("Spent and open tokens never exceed the budget") {
  DeploymentState state;
  CHECK(Run(&state, Reserve("a", 60, 100)).granted());
  CHECK_FALSE(Run(&state, Reserve("b", 60, 100)).granted());
  Run(&state, Settle("a", 20));
  CHECK(Run(&state, Reserve("b", 60, 100)).granted());
  CHECK_FALSE(Run(&state, Reserve("c", 21, 100)).granted());
  CHECK(Run(&state, Reserve("c", 20, 100)).remaining() == 0);
}

TEST_CASE("A claim that is sent twice is granted once") {
  DeploymentState state;
  CHECK(Run(&state, Reserve("a", 60, 100)).granted());
  const auto again = Run(&state, Reserve("a", 60, 100));
  CHECK(again.granted());
  CHECK(again.remaining() == 40);
}

TEST_CASE("A claim that arrives after its settlement is refused") {
  DeploymentState state;
  Run(&state, Settle("a", 0));
  CHECK_FALSE(Run(&state, Reserve("a", 60, 100)).granted());
  CHECK(Run(&state, Reserve("b", 100, 100)).granted());
}

TEST_CASE("A settlement that is sent twice counts once") {
  DeploymentState state;
  Run(&state, Reserve("a", 60, 100));
  Run(&state, Settle("a", 30));
  Run(&state, Settle("a", 30));
  CHECK(Run(&state, Reserve("b", 70, 100)).granted());
}

TEST_CASE("Spending survives a snapshot") {
  DeploymentState state;
  Run(&state, Reserve("a", 60, 100));
  Run(&state, Reserve("b", 30, 100));
  Run(&state, Settle("b", 10));
  DeploymentState restored;
  REQUIRE(core::IsOk(restored.Restore(state.Snapshot())));
  CHECK(restored.Snapshot() == state.Snapshot());
  CHECK_FALSE(Run(&restored, Reserve("c", 31, 100)).granted());
  CHECK(Run(&restored, Reserve("c", 30, 100)).granted());
}

TEST_CASE("A late announcement does not restore a departed upstream") {
  DeploymentState state;
  Announce(&state, Entry("u", "10.0.0.1:1", 5, 1));
  schema::UpstreamEntry gone = Entry("u", "10.0.0.1:1", 5, 3);
  gone.set_gone(true);
  Announce(&state, gone);
  Announce(&state, Entry("u", "10.0.0.1:1", 5, 2));
  CHECK(state.upstreams().at("u").gone());
  Announce(&state, Entry("u", "10.0.0.1:1", 6, 1));
  CHECK_FALSE(state.upstreams().at("u").gone());
}

TEST_CASE(
    "A late announcement of an older upstream does not take the address") {
  DeploymentState state;
  Announce(&state, Entry("new", "10.0.0.1:1", 9, 1));
  Announce(&state, Entry("old", "10.0.0.1:1", 5, 4));
  CHECK_FALSE(state.upstreams().at("new").gone());
  CHECK(state.upstreams().at("old").gone());
}

TEST_CASE("A newer upstream at an address replaces the older one") {
  DeploymentState state;
  Announce(&state, Entry("old", "10.0.0.1:1", 5, 1));
  const uint64_t revision = state.upstream_revision();
  Announce(&state, Entry("new", "10.0.0.1:1", 9, 1));
  CHECK(state.upstreams().at("old").gone());
  CHECK(state.upstreams().at("old").revision() > revision);
}

TEST_CASE("An older announcement does not undo a drain in progress") {
  DeploymentState state;
  schema::UpstreamEntry leaving = Entry("u", "10.0.0.1:1", 5, 7);
  leaving.set_draining(true);
  Announce(&state, leaving);
  CHECK_FALSE(state.WouldChange(Entry("u", "10.0.0.1:1", 5, 6)));
  Announce(&state, Entry("u", "10.0.0.1:1", 5, 6));
  CHECK(state.upstreams().at("u").draining());
}

schema::DeploymentCommand Crashed(uint64_t digest, int64_t elapsed_ms = 0) {
  schema::DeploymentCommand command;
  command.set_crashed_request(digest);
  command.set_elapsed_ms(elapsed_ms);
  return command;
}

TEST_CASE("A request is harmful once it has crashed three upstreams") {
  DeploymentState state;
  Run(&state, Crashed(7));
  Run(&state, Crashed(7));
  Run(&state, Crashed(8));
  CHECK(state.crashes().PoisonDigests().empty());
  const uint64_t revision = state.crashes().revision();
  Run(&state, Crashed(7));
  CHECK(state.crashes().PoisonDigests() == std::vector<uint64_t>{7});
  CHECK(state.crashes().revision() > revision);
  DeploymentState restored;
  REQUIRE(core::IsOk(restored.Restore(state.Snapshot())));
  CHECK(restored.crashes().PoisonDigests() == std::vector<uint64_t>{7});
  CHECK(restored.crashes().revision() == state.crashes().revision());
  Run(&restored, Crashed(8, CrashTable::kRetentionMs + 1));
  CHECK(restored.crashes().PoisonDigests().empty());
}

TEST_CASE("The table of crashes is bounded") {
  CrashTable table;
  for (uint64_t digest = 0; digest < 3 * CrashTable::kMaxRequests; ++digest) {
    for (uint32_t n = 0; n < CrashTable::kCrashLimit; ++n) {
      table.Report(digest, static_cast<int64_t>(digest));
    }
  }
  CHECK(table.PoisonDigests().size() == CrashTable::kMaxRequests);
  CHECK(table.PoisonDigests().front() == 2 * CrashTable::kMaxRequests);
}

TEST_CASE("Only a known instance can be retired and it stays retiring") {
  DeploymentState state;
  schema::DeploymentCommand command;
  command.mutable_instance()->set_instance("10.0.0.1");
  command.mutable_instance()->set_name("store-1");
  Run(&state, command);
  schema::DeploymentCommand retire;
  retire.set_retire("store-2");
  CHECK_FALSE(Run(&state, retire).known());
  retire.set_retire("store-1");
  CHECK(Run(&state, retire).known());
  Run(&state, command);
  CHECK(state.FindInstanceByName("store-1")->retiring());
}

}  // namespace
}  // namespace hawthorn::control
