#include "cluster/membership_planner.h"

#include <catch2/catch.hpp>
#include <string>
#include <utility>
#include <vector>

namespace hawthorn::cluster {
namespace {

using consensus::Member;
using consensus::Membership;
using consensus::MembershipChange;
using Kind = MembershipChange::Kind;

consensus::ReplicaId Id(const std::string& name, uint64_t incarnation = 1) {
  return {name, incarnation};
}

InstanceView Live(const std::string& name, const std::string& zone,
                  uint64_t incarnation = 1) {
  InstanceView view;
  view.id = Id(name, incarnation);
  view.zone = zone;
  view.alive = true;
  view.caught_up = true;
  return view;
}

Member Voter(const std::string& name) { return {Id(name), true, true}; }
Member Learner(const std::string& name) { return {Id(name), false, true}; }

MembershipChange Change(const PlannedStep& step) {
  REQUIRE(std::holds_alternative<MembershipChange>(step));
  return std::get<MembershipChange>(step);
}

bool IsNoStep(const PlannedStep& step) {
  return std::holds_alternative<std::monostate>(step);
}

/// Three zones, each with an instance that serves control ("core") and one that
/// does not ("store"). Five of the six are voters.
GroupView HealthyGroup() {
  GroupView view;
  view.self = Id("core-a");
  view.membership =
      Membership({Voter("core-a"), Voter("core-b"), Voter("core-c"),
                  Voter("store-a"), Voter("store-b"), Learner("store-c")});
  for (const char* zone : {"a", "b", "c"}) {
    InstanceView core = Live("core-" + std::string(zone), zone);
    core.serves_control = true;
    view.instances.push_back(core);
    view.instances.push_back(Live("store-" + std::string(zone), zone));
  }
  return view;
}

InstanceView& Find(GroupView* view, const std::string& name) {
  for (InstanceView& it : view->instances) {
    if (it.id.instance == name) {
      return it;
    }
  }
  FAIL("no such instance");
  return view->instances.front();
}

TEST_CASE("A healthy group needs no change") {
  CHECK(IsNoStep(PlanMembership(HealthyGroup())));
}

TEST_CASE("Three initial members grow to five voters across the zones") {
  GroupView view = HealthyGroup();
  view.membership =
      Membership({Voter("core-a"), Voter("core-b"), Voter("core-c")});
  for (int n = 0; n < 10; ++n) {
    const PlannedStep step = PlanMembership(view);
    if (IsNoStep(step)) {
      break;
    }
    view.membership = core::TakeValue(view.membership.With(Change(step)));
  }
  CHECK(view.membership.voter_count() == kMaxVoters);
  CHECK(view.membership.members().size() == kMaxVoters + kSpareLearners);
}

TEST_CASE("The old identity of an instance that lost its disk is removed") {
  GroupView view = HealthyGroup();
  Find(&view, "store-a").id.incarnation = 77;
  const MembershipChange change = Change(PlanMembership(view));
  CHECK(change.kind == Kind::kRemove);
  CHECK(change.id == Id("store-a"));
}

// Guards against the removal of a live voter: an announcement of the process
// before, late on its way, names the identity that the instance had then.
TEST_CASE("A late announcement of an earlier identity removes no live one") {
  GroupView view = HealthyGroup();
  view.in_contact = {Id("store-a")};
  Find(&view, "store-a").id.incarnation = 77;
  Find(&view, "store-a").caught_up = false;
  CHECK(IsNoStep(PlanMembership(view)));
  view.in_contact.clear();
  CHECK(Change(PlanMembership(view)).id == Id("store-a"));
}

// Guards against the same removal as that of a dead voter.
TEST_CASE("A voter in contact is not dead without announcements") {
  GroupView view = HealthyGroup();
  view.in_contact = {Id("core-c")};
  Find(&view, "core-c").alive = false;
  CHECK(IsNoStep(PlanMembership(view)));
}

TEST_CASE("A dead voter is removed if a learner can replace it") {
  GroupView view = HealthyGroup();
  Find(&view, "core-c").alive = false;
  const MembershipChange change = Change(PlanMembership(view));
  CHECK(change.kind == Kind::kRemove);
  CHECK(change.id == Id("core-c"));
}

TEST_CASE("A learner replaces a dead voter of the same zone") {
  GroupView view = HealthyGroup();
  view.membership =
      Membership({Voter("core-a"), Voter("core-b"), Voter("core-c"),
                  Voter("store-c"), Voter("store-b"), Learner("core-c2")});
  view.instances.push_back(Live("core-c2", "c"));
  Find(&view, "store-a").alive = false;
  Find(&view, "core-c").alive = false;
  const MembershipChange change = Change(PlanMembership(view));
  CHECK(change.kind == Kind::kRemove);
  CHECK(change.id == Id("core-c"));
}

TEST_CASE("A dead voter stays while no learner can replace it") {
  GroupView view = HealthyGroup();
  Find(&view, "core-c").alive = false;
  Find(&view, "store-c").caught_up = false;
  CHECK(IsNoStep(PlanMembership(view)));
}

TEST_CASE("A learner that has not caught up does not become a voter") {
  GroupView view = HealthyGroup();
  view.membership =
      Membership({Voter("core-a"), Voter("core-b"), Voter("core-c"),
                  Voter("store-a"), Learner("store-b")});
  Find(&view, "store-b").caught_up = false;
  Find(&view, "store-c").alive = false;
  CHECK(IsNoStep(PlanMembership(view)));
}

TEST_CASE("No zone has so many voters that its loss breaks the majority") {
  GroupView view = HealthyGroup();
  view.instances.push_back(Live("store-a2", "a"));
  view.membership =
      Membership({Voter("core-a"), Voter("core-b"), Voter("core-c"),
                  Voter("store-a"), Learner("store-a2")});
  Find(&view, "store-b").alive = false;
  Find(&view, "store-c").alive = false;
  CHECK(IsNoStep(PlanMembership(view)));
}

TEST_CASE("A retiring instance is removed once another can replace it") {
  GroupView view = HealthyGroup();
  Find(&view, "store-b").retiring = true;
  const MembershipChange change = Change(PlanMembership(view));
  CHECK(change.kind == Kind::kRemove);
  CHECK(change.id == Id("store-b"));
}

TEST_CASE("A retiring leader transfers leadership first") {
  GroupView view = HealthyGroup();
  view.self = Id("store-b");
  Find(&view, "store-b").retiring = true;
  CHECK(std::holds_alternative<LeadershipTransfer>(PlanMembership(view)));
}

TEST_CASE("A retired instance is not admitted again") {
  GroupView view = HealthyGroup();
  Find(&view, "store-c").retiring = true;
  view.membership =
      Membership({Voter("core-a"), Voter("core-b"), Voter("core-c"),
                  Voter("store-a"), Voter("store-b")});
  CHECK(IsNoStep(PlanMembership(view)));
}

}  // namespace
}  // namespace hawthorn::cluster
