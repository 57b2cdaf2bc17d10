// What the group knows of the software versions that began streams.
#include <catch2/catch.hpp>
#include <optional>
#include <string>

#include "control/deployment_state.h"

namespace hawthorn::control {
namespace {

using Version = std::optional<std::string>;

/// A deployment state and commands about streams of the program "p".
class Group {
 public:
  schema::DeploymentReply Run(const schema::DeploymentCommand& command) {
    schema::DeploymentReply reply;
    REQUIRE(reply.ParseFromString(
        state_.Apply(++index_, command.SerializeAsString())));
    return reply;
  }

  void Announce(const std::string& id, const std::string& version,
                bool draining = false, bool gone = false) {
    schema::DeploymentCommand command;
    schema::UpstreamEntry* entry = command.mutable_upstream();
    entry->set_upstream(id);
    entry->set_service("llm");
    entry->set_address(id + ":1");
    entry->set_started_at_ms(++started_at_ms_);
    entry->set_software_version(version);
    entry->set_draining(draining);
    entry->set_gone(gone);
    Run(command);
  }

  void Pass(int64_t elapsed_ms) {
    schema::DeploymentCommand command;
    command.set_elapsed_ms(elapsed_ms);
    Run(command);
  }

  void Begin(const std::string& request, const std::string& version,
             uint64_t content = 1, const std::string& owner = "p") {
    schema::DeploymentCommand command = Reserve(request, content, owner);
    command.mutable_reserve()->mutable_stream()->set_version(version);
    command.mutable_reserve()->mutable_stream()->set_round(1);
    CHECK(Run(command).stream().version() == version);
  }

  /// Takes a stream up; returns the version that it may go on at.
  Version Resume(const std::string& request, const std::string& resumed,
                 uint64_t content = 1, const std::string& owner = "p") {
    schema::DeploymentCommand command = Reserve(request, content, owner);
    command.mutable_reserve()->set_resumes(true);
    command.mutable_reserve()->set_resumed_request(resumed);
    const schema::DeploymentReply reply = Run(command);
    CHECK(reply.granted());
    return reply.has_stream() ? Version(reply.stream().version())
                              : std::nullopt;
  }

  /// Replaces the state by one that was restored from its snapshot.
  void Restart(bool is_old_snapshot = false) {
    schema::DeploymentSnapshot snapshot;
    REQUIRE(snapshot.ParseFromString(state_.Snapshot()));
    if (is_old_snapshot) {
      snapshot.clear_service_versions();
      snapshot.clear_versions_complete_ms();
    }
    state_ = DeploymentState();
    REQUIRE(core::IsOk(state_.Restore(snapshot.SerializeAsString())));
    if (!is_old_snapshot) {
      CHECK(state_.Snapshot() == snapshot.SerializeAsString());
    }
  }

 private:
  static schema::DeploymentCommand Reserve(const std::string& request,
                                           uint64_t content,
                                           const std::string& owner) {
    schema::DeploymentCommand command;
    schema::TokenReservation* reserve = command.mutable_reserve();
    reserve->set_program("budget of " + owner);
    reserve->set_request(request);
    reserve->set_budget(1'000'000);
    reserve->set_tokens(1);
    reserve->set_stream_owner(owner);
    reserve->set_resumed_owner(owner);
    reserve->set_content(content);
    reserve->add_services("llm");
    return command;
  }

  DeploymentState state_;
  uint64_t index_ = 0;
  uint64_t started_at_ms_ = 0;
};

// Guards against joining a stream of unknown origin to the one version that is
// left, while the version that began it has been replaced or has gone.
TEST_CASE("One version is certain only if the group recorded no other one") {
  Group group;
  group.Announce("a", "v1");
  REQUIRE(group.Resume("r1", "lost") == "v1");
  SECTION("one that drains") {
    group.Announce("b", "v2");
    group.Announce("a", "v1", true);
  }
  SECTION("one that has gone") {
    group.Announce("a", "v1", false, true);
    group.Announce("b", "v2");
  }
  SECTION("one that was forgotten") {
    schema::DeploymentCommand forget;
    forget.set_forget_upstream("a");
    group.Run(forget);
    group.Announce("b", "v2");
  }
  SECTION("one that was replaced under the same id") {
    group.Announce("a", "v2");
  }
  SECTION("one whose record was displaced by later ones") {
    group.Announce("a", "v1", false, true);
    for (size_t n = 0; n <= DeploymentState::kMaxGoneUpstreams; ++n) {
      group.Announce("gone" + std::to_string(n), "v2", false, true);
    }
  }
  CHECK_FALSE(group.Resume("r2", "lost"));
  CHECK_FALSE(group.Resume("r3", "", 5));
  group.Restart();
  CHECK_FALSE(group.Resume("r4", "lost"));
  // What was bound while one version was certain stays bound.
  CHECK(group.Resume("r5", "r1") == "v1");
}

// Guards against refusing streams for good after a roll-out.
TEST_CASE("A version counts for as long as its streams may be taken up") {
  Group group;
  group.Announce("a", "v1");
  group.Announce("a", "v2");
  group.Pass(DeploymentState::kProgramRetentionMs - 1);
  CHECK_FALSE(group.Resume("r1", "lost"));
  group.Pass(DeploymentState::kProgramRetentionMs);
  CHECK(group.Resume("r2", "lost") == "v2");
}

// Guards against a state restored from a snapshot without a record of versions
// that takes the upstreams which are left for all that there were.
TEST_CASE("After an old snapshot only bindings are certain for a while") {
  Group group;
  group.Announce("a", "v1");
  group.Begin("r1", "v1");
  group.Restart(true);
  CHECK(group.Resume("r2", "r1") == "v1");
  CHECK_FALSE(group.Resume("r3", "lost", 5));
  group.Pass(DeploymentState::kProgramRetentionMs);
  CHECK(group.Resume("r4", "lost", 5) == "v1");
}

// Guards against losing a stream at its second resumption, which may name the
// first.
TEST_CASE("Each resumption of a stream can be resumed itself") {
  Group group;
  group.Announce("a", "v1");
  group.Announce("b", "v2");
  const std::string owner = GENERATE("p", "stream r1");
  group.Begin("r1", "v2", 1, owner);
  CHECK(group.Resume("r2", "r1", 1, owner) == "v2");
  group.Restart();
  CHECK(group.Resume("r3", "r2", 1, owner) == "v2");
  CHECK(group.Resume("r4", "r3", 1, owner) == "v2");
  CHECK(group.Resume("r4", "r3", 1, owner) == "v2");
}

// Guards against refusing callers that do not name the request, and against
// guessing for them.
TEST_CASE("A stream is found by its content within its program") {
  Group group;
  group.Announce("a", "v1");
  group.Announce("b", "v2");
  group.Begin("r1", "v1", 7);
  group.Begin("r2", "v2", 8);
  group.Begin("o1", "v2", 7, "another program");
  CHECK(group.Resume("r3", "", 7) == "v1");
  CHECK(group.Resume("r4", "", 8) == "v2");
  CHECK_FALSE(group.Resume("r5", "", 9));
  SECTION("not if several versions began such a stream") {
    group.Begin("r6", "v2", 7);
    CHECK_FALSE(group.Resume("r7", "", 7));
    CHECK(group.Resume("r8", "", 8) == "v2");
  }
  SECTION("not if a stream without a known content may be the one") {
    group.Begin("r6", "v2", 0);
    CHECK_FALSE(group.Resume("r7", "", 7));
    CHECK(group.Resume("r8", "", 8) == "v2");
  }
  SECTION("not if older streams were dropped") {
    for (size_t n = 0; n < DeploymentState::kBoundStreams; ++n) {
      group.Begin("s" + std::to_string(n), "v2", 100 + n);
    }
    group.Restart();
    CHECK_FALSE(group.Resume("r7", "r1", 7));
    CHECK_FALSE(group.Resume("r8", "", 100));
    CHECK(group.Resume("r9", "s63", 163) == "v2");
  }
}

}  // namespace
}  // namespace hawthorn::control
