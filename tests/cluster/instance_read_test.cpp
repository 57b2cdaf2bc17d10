#include <algorithm>
#include <catch2/catch.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "deployment_fixture.h"

// Confirmed reads of the list of instances with a disk.
namespace hawthorn::cluster {
namespace {

using Read = core::Result<schema::InstanceList>;

Read ReadAt(DeploymentHost& host) {
  std::optional<Read> result;
  host.ReadInstances([&result](const Read& it) { result = it; });
  WaitFor([&result] { return result.has_value(); });
  return *result;
}

std::set<std::string> IdsOf(const Read& read) {
  std::set<std::string> ids;
  if (core::IsOk(read)) {
    for (const schema::InstanceRecord& it : core::Value(read).instances()) {
      ids.insert(it.instance());
    }
  }
  return ids;
}

}  // namespace

// Guards against a list without an instance that the group has recorded, as a
// replica that is behind would return it.
TEST_CASE("Every instance and client reads the list of the leader") {
  Deployment it(3);
  it.StartInitialMembers({0, 1, 2});
  REQUIRE(it.Publish(1));
  const std::string added = it.Add(false, "a");
  REQUIRE(WaitFor([&] {
    const std::string leader = it.Leader();
    return !leader.empty() && it.host(leader).state().instances().size() == 4;
  }));
  const auto peers = it.NewTransport("127.0.0.99", 0);
  DeploymentClient client(it.Seeds(), 1, it.clock(), it.metrics(), *peers,
                          [](const schema::DeploymentUpdate&) {});
  client.Start();
  std::set<std::string> read_by_client;
  REQUIRE(WaitFor([&] {
    client.ReadInstances([&](const Read& it) { read_by_client = IdsOf(it); });
    return !read_by_client.empty();
  }));
  CHECK(read_by_client.size() == 4);
  CHECK(read_by_client.contains(added));
  for (size_t n = 0; n < 3; ++n) {
    CHECK(IdsOf(ReadAt(it.host(it.initial_member(n)))) == read_by_client);
  }
}

// Guards against an instance with a disk that is not a member of the group and
// learns neither which others there are, nor that it is to retire, nor anything
// from the next leader.
TEST_CASE("An instance outside of the group follows the list") {
  Deployment it(3);
  it.StartInitialMembers({0, 1, 2});
  REQUIRE(it.Publish(1));
  std::vector<std::string> added;
  for (const char* zone : {"a", "b", "c", "a", "b"}) {
    added.push_back(it.Add(false, zone));
  }
  // The group takes six members.
  REQUIRE(WaitFor([&] {
    return std::count_if(added.begin(), added.end(),
                         [&](const auto& id) { return it.IsMember(id); }) == 3;
  }));
  const auto outside =
      std::find_if(added.begin(), added.end(),
                   [&](const auto& id) { return !it.IsMember(id); });
  DeploymentHost& host = it.host(*outside);
  const auto knows = [&](size_t instances, bool retiring) {
    return WaitFor([&, instances, retiring] {
      const auto list = host.CurrentInstances();
      return list && list->size() == instances &&
             std::any_of(list->begin(), list->end(), [&](const auto& record) {
               return record.instance() == *outside &&
                      record.retiring() == retiring;
             });
    });
  };
  CHECK_FALSE(host.IsCurrent());
  CHECK(knows(8, false));
  CHECK(WaitFor([&] { return IdsOf(ReadAt(host)).size() == 8; }));
  schema::DeploymentCommand order;
  order.set_retire("machine-" + *outside);
  REQUIRE(core::IsOk(it.Propose(it.initial_member(0), order)));
  CHECK(knows(8, true));
  it.Kill(it.Leader());
  const std::string last = it.Add(false, "c");
  CHECK(knows(9, true));
  CHECK(WaitFor([&] { return IdsOf(ReadAt(host)).contains(last); }));
}

// Guards against a deposed leader that answers from before its successor.
TEST_CASE("An isolated leader confirms no list of instances") {
  Deployment it(3);
  it.StartInitialMembers({0, 1, 2});
  REQUIRE(it.Publish(1));
  const std::string leader = it.Leader();
  REQUIRE_FALSE(leader.empty());
  it.SetIsolated(leader, true);
  CHECK_FALSE(core::IsOk(ReadAt(it.host(leader))));
}

// Guards against an instance of a build without these reads that leaves the
// question unanswered, or whose answer is taken for an empty list.
TEST_CASE("A leader that does not know the read of instances refuses it") {
  Deployment it(3);
  it.StartInitialMembers({0, 1, 2});
  REQUIRE(it.Publish(1));
  const auto peers = it.NewTransport("127.0.0.98", 0);
  const std::string leader = it.Leader();
  REQUIRE_FALSE(leader.empty());
  for (const std::string& address : it.Seeds()) {
    peers->SetPeer(core::InstanceId(HostOf(address)), address);
  }
  // Field 1000, which no build knows, as field 15 is to the one before.
  schema::PeerMessage unknown;
  unknown.set_deployment(std::string("\xc2\x3e\x00", 3));
  std::optional<core::Result<schema::PeerMessage>> reply;
  peers->Request(core::InstanceId(leader), std::move(unknown),
                 std::chrono::milliseconds(2000),
                 [&reply](const auto& result) { reply = result; });
  REQUIRE(WaitFor([&] { return reply.has_value(); }));
  REQUIRE_FALSE(core::IsOk(*reply));
  CHECK(core::ErrorOf(*reply).code == core::ErrorCode::kUnavailable);
}

}  // namespace hawthorn::cluster
