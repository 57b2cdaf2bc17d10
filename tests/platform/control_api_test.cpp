#include "platform/control_api.h"

#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <string>

#include "tests/cluster/deployment_fixture.h"
#include "transport/http_session.h"

namespace hawthorn::platform {
namespace {

using cluster::Deployment;
using test::WaitFor;

/// The API of one instance of a deployment, at a port of its own.
class Api {
 public:
  Api(Deployment* it, const std::string& instance)
      : api_(it->host(instance), it->clock(), it->metrics()),
        endpoint_([this](transport::HttpSession& session,
                         const transport::RelayRequest& request) {
          api_.OnRequest(session, request);
        }) {
    REQUIRE(core::IsOk(endpoint_.Listen({"127.0.0.1", 0})));
  }

  /// Posts `body` and waits for the status of the response.
  int Post(const std::string& target, const std::string& body) {
    std::string received;
    transport::StreamSocket socket;
    socket.SetEvents(
        {.on_connected = {},
         .on_bytes = [&](std::string_view it) { received.append(it); },
         .on_end = {},
         .on_drained = {}});
    socket.Connect({"127.0.0.1", endpoint_.port()});
    socket.Write("POST " + target + " HTTP/1.1\r\nHost: h\r\nContent-Length: " +
                 std::to_string(body.size()) + "\r\n\r\n" + body);
    REQUIRE(WaitFor(
        [&] { return received.find("\r\n\r\n") != std::string::npos; }));
    constexpr size_t kStatusAt = 9;
    return std::stoi(received.substr(kStatusAt, 3));
  }

 private:
  ControlApi api_;
  transport::HttpEndpoint endpoint_;
};

schema::DeploymentCommand Announcement(const std::string& upstream) {
  schema::DeploymentCommand command;
  schema::UpstreamEntry* entry = command.mutable_upstream();
  entry->set_upstream(upstream);
  entry->set_service("shop");
  entry->set_address("127.0.0.1:9");
  entry->set_max_running(1);
  entry->set_sequence(1);
  return command;
}

bool IsServing(Deployment* it, const std::string& upstream) {
  REQUIRE(WaitFor([&] { return !it->Leader().empty(); }));
  const auto& known = it->host(it->Leader()).state().upstreams();
  const auto entry = known.find(upstream);
  return entry != known.end() && !entry->second.gone();
}

/// A deployment with an upstream that one follower does not know of yet.
struct MissedUpstream {
  MissedUpstream() {
    it.StartInitialMembers({0, 1, 2});
    REQUIRE(it.Publish(1));
    const std::string leader = it.Leader();
    follower = it.initial_member(0) == leader ? it.initial_member(1)
                                              : it.initial_member(0);
    REQUIRE(WaitFor([&] { return it.host(follower).IsCurrent(); }));
    it.SetIsolated(follower, true);
    REQUIRE(core::IsOk(it.Propose(leader, Announcement("u"))));
  }

  Deployment it{3};
  std::string follower;
};

// Guards against calls to an upstream whose departure was acknowledged by an
// instance that had not heard of it yet.
TEST_CASE("A departure is not acknowledged from a state that is behind") {
  MissedUpstream it;
  Api api(&it.it, it.follower);
  REQUIRE(IsServing(&it.it, "u"));
  const int status = api.Post("/Instances.Deregister/u", "{}");
  CHECK((status == 503 || !IsServing(&it.it, "u")));
  // With the link back, it is committed and acknowledged.
  it.it.SetIsolated(it.follower, false);
  REQUIRE(WaitFor(
      [&] { return api.Post("/Instances.Deregister/u", "{}") == 200; }));
  CHECK_FALSE(IsServing(&it.it, "u"));
}

TEST_CASE("A departure of an upstream that nobody knows is acknowledged") {
  Deployment it(3);
  it.StartInitialMembers({0, 1, 2});
  REQUIRE(it.Publish(1));
  for (const size_t n : {0, 1, 2}) {
    Api api(&it, it.initial_member(n));
    CHECK(WaitFor([&] {
      return api.Post("/Instances.Deregister/unknown", "{}") == 200;
    }));
  }
}

// Guards against refusing an order that was accepted, when it is sent again
// after further retirements.
TEST_CASE("A repeated order to retire an instance is acknowledged") {
  Deployment it(3);
  it.StartInitialMembers({0, 1, 2});
  REQUIRE(it.Publish(1));
  const std::string name = "machine-" + it.initial_member(0);
  const std::string other = "machine-" + it.initial_member(1);
  for (const std::string& id : {name, other}) {
    schema::DeploymentCommand retire;
    retire.set_retire(id);
    REQUIRE(WaitFor([&] {
      const auto reply = it.Propose(it.Leader(), retire);
      return core::IsOk(reply) && core::Value(reply).known();
    }));
  }
  Api api(&it, it.initial_member(2));
  int status = 503;
  REQUIRE(WaitFor([&] {
    status = api.Post("/Retire.Start/" + name, R"({"duration_s":10})");
    return status != 503;
  }));
  CHECK(status == 200);
}

// Guards against refusing an order for good from a state that is behind.
TEST_CASE("A retirement is not refused from a state that is behind") {
  Deployment it(3);
  it.StartInitialMembers({0, 1, 2});
  REQUIRE(it.Publish(1));
  const std::string leader = it.Leader();
  const std::string follower = it.initial_member(0) == leader
                                   ? it.initial_member(1)
                                   : it.initial_member(0);
  REQUIRE(WaitFor([&] {
    return it.host(follower).IsCurrent() &&
           it.host(follower).state().instances().size() == 3;
  }));
  it.SetIsolated(follower, true);
  // Meanwhile a fourth one joins, so that one may leave.
  schema::DeploymentCommand joined;
  joined.mutable_instance()->set_instance("127.0.0.99");
  joined.mutable_instance()->set_name("machine-127.0.0.99");
  joined.mutable_instance()->set_peer_address("127.0.0.99:9");
  REQUIRE(core::IsOk(it.Propose(leader, joined)));
  Api api(&it, follower);
  CHECK(api.Post("/Retire.Start/machine-" + leader, R"({"duration_s":10})") ==
        503);
}

}  // namespace
}  // namespace hawthorn::platform
