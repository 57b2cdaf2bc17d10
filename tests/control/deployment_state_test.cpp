#include "control/deployment_state.h"

#include <catch2/catch.hpp>
#include <optional>
#include <set>
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

schema::DeploymentCommand Draining(const std::string& upstream,
                                   uint64_t started_at_ms) {
  schema::DeploymentCommand command;
  command.mutable_draining_upstream()->set_upstream(upstream);
  command.mutable_draining_upstream()->set_started_at_ms(started_at_ms);
  return command;
}

// Guards against an upstream that gets no calls for good after it was silent
// for a while.
TEST_CASE("A forgotten upstream comes back with its next announcement") {
  const uint64_t started = GENERATE(0U, 5U);
  CAPTURE(started);
  DeploymentState state;
  Announce(&state, Entry("u", "10.0.0.1:1", started, 3));
  Run(&state, Draining("u", started));
  schema::DeploymentCommand forget;
  forget.set_forget_upstream("u");
  Run(&state, forget);
  REQUIRE(state.upstreams().at("u").gone());
  CHECK_FALSE(state.WouldChange(Entry("u", "10.0.0.1:1", started, 2)));
  Announce(&state, Entry("u", "10.0.0.1:1", started, 4));
  CHECK_FALSE(state.upstreams().at("u").gone());
  // It is the incarnation that said that it is draining.
  CHECK(state.upstreams().at("u").draining());
  CHECK(state.upstreams().at("u").started_at_ms() == started);
  schema::UpstreamEntry gone = Entry("u", "10.0.0.1:1", started, 5);
  gone.set_gone(true);
  Announce(&state, gone);
  Announce(&state, Entry("u", "10.0.0.1:1", started, 6));
  CHECK(state.upstreams().at("u").gone());
}

// Guards against sending calls to an upstream that said in a response that it
// is draining and still announces itself as ready.
TEST_CASE("A draining incarnation stays so whatever it announces later") {
  DeploymentState state;
  Announce(&state, Entry("u", "10.0.0.1:1", 5, 1));
  Run(&state, Draining("u", 4));
  Run(&state, Draining("other", 5));
  CHECK_FALSE(state.upstreams().at("u").draining());
  const uint64_t revision = state.upstream_revision();
  Run(&state, Draining("u", 5));
  CHECK(state.upstreams().at("u").draining());
  CHECK(state.upstream_revision() == revision + 1);
  Run(&state, Draining("u", 5));
  CHECK_FALSE(state.WouldChange(Entry("u", "10.0.0.1:1", 5, 2)));
  Announce(&state, Entry("u", "10.0.0.1:1", 5, 2));
  CHECK(state.upstream_revision() == revision + 1);
  schema::UpstreamEntry moved = Entry("u", "10.0.0.1:2", 5, 3);
  CHECK(state.WouldChange(moved));
  Announce(&state, moved);
  CHECK(state.upstreams().at("u").draining());
  Announce(&state, Entry("u", "10.0.0.1:2", 6, 1));
  CHECK_FALSE(state.upstreams().at("u").draining());
}

schema::ReportCrash CrashReport(uint64_t digest, const std::string& upstream,
                                uint64_t incarnation = 1) {
  schema::ReportCrash report;
  report.set_fingerprint(digest);
  report.set_upstream(upstream);
  report.set_incarnation(incarnation);
  return report;
}

schema::DeploymentCommand Crashed(uint64_t digest, const std::string& upstream,
                                  int64_t elapsed_ms = 0) {
  schema::DeploymentCommand command;
  *command.mutable_report_crash() = CrashReport(digest, upstream);
  command.set_elapsed_ms(elapsed_ms);
  return command;
}

TEST_CASE("A request is harmful once it has crashed three upstreams") {
  using Digests = std::set<uint64_t>;
  DeploymentState state;
  Run(&state, Crashed(7, "a"));
  Run(&state, Crashed(7, "b"));
  Run(&state, Crashed(8, "b"));
  // Reports of the same crash by other instances, and one that was sent again.
  Run(&state, Crashed(7, "b"));
  Run(&state, Crashed(7, "a"));
  CHECK(state.crashes().poison().empty());
  CHECK(state.crashes().suspected() == Digests{7});
  CHECK(state.crashes().CrashesOf(7) == 2);
  const uint64_t revision = state.crashes().revision();
  Run(&state, Crashed(7, "c"));
  CHECK(state.crashes().poison() == Digests{7});
  CHECK(state.crashes().suspected().empty());
  CHECK(state.crashes().revision() > revision);
  DeploymentState restored;
  REQUIRE(core::IsOk(restored.Restore(state.Snapshot())));
  CHECK(restored.crashes().poison() == Digests{7});
  CHECK(restored.crashes().revision() == state.crashes().revision());
  CHECK(restored.Snapshot() == state.Snapshot());
  Run(&restored, Crashed(8, "d", CrashTable::kRetentionMs + 1));
  CHECK(restored.crashes().poison().empty());
}

TEST_CASE("Two incarnations of one upstream count as two crashes") {
  CrashTable table;
  table.Report(CrashReport(7, "a", 1), 0);
  table.Report(CrashReport(7, "a", 2), 0);
  CHECK(table.CrashesOf(7) == 2);
}

TEST_CASE("A success clears a suspected request but not a poison request") {
  CrashTable table;
  for (const char* upstream : {"a", "b"}) {
    table.Report(CrashReport(7, upstream), 0);
    table.Report(CrashReport(8, upstream), 0);
  }
  table.Report(CrashReport(8, "c"), 0);
  const uint64_t revision = table.revision();
  table.Succeeded(7);
  table.Succeeded(8);
  CHECK(table.CrashesOf(7) == 0);
  CHECK(table.suspected().empty());
  CHECK(table.poison() == std::set<uint64_t>{8});
  CHECK(table.revision() > revision);
}

// Guards against replicas that decide differently on a budget, because one of
// them was restored from a snapshot.
TEST_CASE("A restored state forgets at the same commands as the original") {
  DeploymentState state;
  Run(&state, Reserve("a", 10, 100));
  Run(&state, Crashed(7, "a"));
  int differences = 0;
  for (int n = 0; n < 100; ++n) {
    DeploymentState restored;
    REQUIRE(core::IsOk(restored.Restore(state.Snapshot())));
    schema::DeploymentCommand command = Publish(1, "one");
    command.set_elapsed_ms(7'001);
    Run(&state, command);
    Run(&restored, command);
    differences += restored.Snapshot() == state.Snapshot() ? 0 : 1;
  }
  CHECK(differences == 0);
  CHECK(state.program_count() == 0);
  CHECK(state.crashes().crash_count() == 0);
}

TEST_CASE("The table of crashes is bounded") {
  CrashTable table;
  const size_t most = CrashTable::Register::kMaxCrashes;
  for (uint64_t digest = 0; digest < most; ++digest) {
    for (uint64_t n = 0; n < CrashTable::Rule::kCrashLimit; ++n) {
      table.Report(CrashReport(digest, "u", 3 * digest + n), 0);
    }
  }
  CHECK(table.crash_count() == most);
  CHECK(table.poison().size() == most / 3);
  CHECK(*table.poison().rbegin() == most - 1);
  // The oldest crash that remains is the last one of its request.
  CHECK(*table.poison().begin() == most - most / 3);
  for (uint64_t digest = 0; digest < 2 * CrashTable::Register::kMaxEvidence;
       ++digest) {
    table.Report(CrashReport(digest, "v", digest / 256), 0);
  }
  schema::DeploymentSnapshot snapshot;
  table.Save(&snapshot);
  int evidence = 0;
  for (const schema::SnapshotCrash& it : snapshot.crashes()) {
    evidence += it.fingerprints_size();
  }
  CHECK(evidence <= static_cast<int>(CrashTable::Register::kMaxEvidence));
  CHECK(table.poison().empty());
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

schema::DeploymentCommand Limit(const std::string& upstream, uint64_t started,
                                std::optional<double> per_second) {
  schema::DeploymentCommand command;
  schema::UpstreamLimit* limit = command.mutable_upstream_limit();
  limit->mutable_incarnation()->set_upstream(upstream);
  limit->mutable_incarnation()->set_started_at_ms(started);
  if (per_second) {
    limit->set_requests_per_second(*per_second);
  }
  return command;
}

// Guards against instances that do not hear of a limit that another one read,
// and against a limit that outlives its incarnation.
TEST_CASE("A request limit spreads and belongs to one incarnation") {
  DeploymentState state;
  Announce(&state, Entry("u", "10.0.0.1:80", 5, 1));
  const uint64_t before = state.upstream_revision();
  Run(&state, Limit("u", 5, 8.5));
  CHECK(state.upstreams().at("u").request_limit() == 8.5);
  const uint64_t limited = state.upstream_revision();
  CHECK(limited > before);
  SECTION("a repeated report changes nothing") {
    Run(&state, Limit("u", 5, 8.5));
    CHECK(state.upstream_revision() == limited);
  }
  SECTION("a later announcement keeps it") {
    schema::UpstreamEntry later = Entry("u", "10.0.0.1:80", 5, 2);
    later.set_max_running(9);
    Announce(&state, later);
    CHECK(state.upstreams().at("u").request_limit() == 8.5);
  }
  SECTION("it ends when the upstream no longer names it") {
    Run(&state, Limit("u", 5, std::nullopt));
    CHECK_FALSE(state.upstreams().at("u").has_request_limit());
    CHECK(state.upstream_revision() > limited);
  }
  SECTION("a new incarnation has none, and late reports do not change that") {
    Announce(&state, Entry("u", "10.0.0.1:80", 6, 1));
    CHECK_FALSE(state.upstreams().at("u").has_request_limit());
    Run(&state, Limit("u", 5, 3.0));
    CHECK_FALSE(state.upstreams().at("u").has_request_limit());
  }
  SECTION("a snapshot keeps it") {
    DeploymentState restored;
    REQUIRE(core::IsOk(restored.Restore(state.Snapshot())));
    CHECK(restored.upstreams().at("u").request_limit() == 8.5);
  }
}

schema::DeploymentCommand ReserveStream(const std::string& request,
                                        const std::string& version,
                                        uint32_t round = 1) {
  schema::DeploymentCommand command = Reserve(request, 10, 1000000);
  command.mutable_reserve()->mutable_stream()->set_version(version);
  command.mutable_reserve()->mutable_stream()->set_round(round);
  return command;
}

schema::DeploymentCommand ReserveResumed(const std::string& request,
                                         const std::string& resumed) {
  schema::DeploymentCommand command = Reserve(request, 10, 1000000);
  command.mutable_reserve()->set_resumed_request(resumed);
  return command;
}

// Guards against a stream that goes on at another software version because the
// instance that began it is gone.
TEST_CASE("The version of a stream is kept for callers that take it up") {
  DeploymentState state;
  CHECK(Run(&state, ReserveStream("r1", "v1")).stream().version() == "v1");
  Run(&state, Settle("r1", 5));
  SECTION("after its end, any number of times, and in a snapshot") {
    DeploymentState restored;
    REQUIRE(core::IsOk(restored.Restore(state.Snapshot())));
    for (const char* request : {"r2", "r3"}) {
      const auto reply = Run(&restored, ReserveResumed(request, "r1"));
      CHECK(reply.granted());
      CHECK(reply.stream().version() == "v1");
    }
  }
  SECTION("also for a request in between, not for an unknown one") {
    Run(&state, ReserveResumed("r2", "r1"));
    CHECK(Run(&state, ReserveResumed("r3", "r2")).stream().version() == "v1");
    CHECK_FALSE(Run(&state, ReserveResumed("r4", "r9")).has_stream());
  }
  SECTION("with the later of two choices, in whatever order they arrive") {
    Run(&state, ReserveStream("r5", "v1", 1));
    CHECK(Run(&state, ReserveStream("r5", "v2", 2)).stream().version() == "v2");
    CHECK(Run(&state, ReserveStream("r5", "v1", 1)).stream().version() == "v2");
    CHECK(Run(&state, ReserveResumed("r6", "r5")).stream().version() == "v2");
  }
  SECTION("for a bounded number of streams, the latest") {
    for (size_t n = 0; n < DeploymentState::kBoundStreams; ++n) {
      Run(&state, ReserveStream("s" + std::to_string(n), "v2"));
    }
    CHECK_FALSE(Run(&state, ReserveResumed("r7", "r1")).has_stream());
    CHECK(Run(&state, ReserveResumed("r8", "s0")).stream().version() == "v2");
  }
}

}  // namespace
}  // namespace hawthorn::control
