#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cluster/quota_client.h"
#include "cluster/quota_messages.h"
#include "cluster/quota_server.h"
#include "deployment_fixture.h"

namespace hawthorn::cluster {
namespace {

using std::chrono::milliseconds;

constexpr core::TimePoint kStart{std::chrono::hours(1)};
const scheduling::QuotaLimits kLimits = {{"o", {1000, 50}}};

schema::PublishedConfiguration Configuration(uint64_t version) {
  schema::PublishedConfiguration configuration;
  configuration.set_version(version);
  return configuration;
}

schema::QuotaRequest Wanting(uint64_t sequence, uint32_t wanted) {
  schema::QuotaRequest request;
  request.set_sequence(sequence);
  schema::QuotaDemand* demand = request.add_demands();
  demand->set_organisation("o");
  demand->set_wanted(wanted);
  return request;
}

// Two leaders that grant credit at the same time would let through twice the
// limit: a deposed one must stop before the next can be elected, and one that
// was frozen must not answer from before.
TEST_CASE("Only a leader with a majority grants credit") {
  core::Metrics metrics;
  QuotaServer server(metrics);
  server.SetDecoder([](const std::string&) { return kLimits; });
  server.Update({false, 4, kStart}, Configuration(1), kStart);
  CHECK_FALSE(core::IsOk(server.OnRequest("i", Wanting(1, 1), kStart)));
  server.Update({true, 5, kStart}, Configuration(1), kStart);
  const core::TimePoint now = kStart + milliseconds(100);
  const auto grant = server.OnRequest("i", Wanting(2, 1), now);
  REQUIRE(core::IsOk(grant));
  CHECK(core::Value(grant).term() == 5);
  CHECK(core::Value(grant).settling());
  CHECK(core::Value(grant).credits(0).granted() == 1);
  CHECK_FALSE(core::IsOk(server.OnRequest(
      "i", Wanting(3, 1), kStart + QuotaServer::kContactLimit)));
  server.Update({true, 5, std::nullopt}, Configuration(1), now);
  CHECK_FALSE(core::IsOk(server.OnRequest("i", Wanting(4, 1), now)));
}

// A configuration that one version cannot read must not end all limits.
TEST_CASE("Unreadable limits leave the earlier ones in force") {
  core::Metrics metrics;
  QuotaServer server(metrics);
  bool readable = true;
  server.SetDecoder([&readable](const std::string&) {
    return readable ? std::optional(kLimits) : std::nullopt;
  });
  server.Update({true, 5, kStart}, Configuration(1), kStart);
  readable = false;
  server.Update({true, 5, kStart}, Configuration(2), kStart);
  const auto grant = server.OnRequest("i", Wanting(1, 9), kStart);
  REQUIRE(core::IsOk(grant));
  CHECK(core::Value(grant).credits(0).granted() == 0);
}

TEST_CASE("Quota messages keep all their fields") {
  const scheduling::QuotaReport report{
      1, 2, 3, 4, {{"o", 5, 6, 7, milliseconds(8), 9}}};
  CHECK(FromProto(ToProto(report)) == report);
  const scheduling::QuotaAnswer answer{1, 2, true, {{"o", 3, milliseconds(4)}}};
  CHECK(FromProto(ToProto(answer)) == answer);
}

/// An entry instance that asks the leader for credit.
class Entry {
 public:
  explicit Entry(Deployment* deployment)
      : peers_(deployment->NewTransport("127.0.0.90", 0)),
        quota_(1, deployment->clock(), deployment->metrics(), *peers_),
        client_(deployment->Seeds(), 1, deployment->clock(),
                deployment->metrics(), *peers_,
                [this](const schema::DeploymentUpdate& update) {
                  leader = update.leader();
                  quota_.SetLeader(leader);
                }) {
    quota_.SetLimits(1, deployment->limits);
    client_.Start();
  }

  /// Takes credit for one request and waits for the decision.
  core::Status Take() {
    std::optional<core::Status> result;
    quota_.Take("o", [&result](const core::Status& it) { result = it; });
    WaitFor([&result] { return result.has_value(); });
    return *result;
  }

  std::string leader;

 private:
  std::unique_ptr<peer::PeerTransport> peers_;
  QuotaClient quota_;
  DeploymentClient client_;
};

// The path between an instance and the leader, and the change to another
// leader: a request must be served as soon as the new one is known. Without a
// leader a request is refused as unknown, not as over its limit.
TEST_CASE("An instance gets credit from the leader and from its successor") {
  Deployment it(3);
  it.limits = kLimits;
  it.StartInitialMembers({0, 1, 2});
  REQUIRE(it.Publish(1));
  Entry entry(&it);
  REQUIRE(WaitFor([&] { return core::IsOk(entry.Take()); }));
  const std::string first = it.Leader();
  REQUIRE_FALSE(first.empty());
  it.Kill(first);
  REQUIRE(WaitFor([&] {
    return !entry.leader.empty() && entry.leader != first &&
           it.Leader() == entry.leader;
  }));
  const auto begin = it.clock().Now();
  REQUIRE(WaitFor([&] { return core::IsOk(entry.Take()); }));
  CHECK(it.clock().Now() - begin < milliseconds(1000));
  // The last two cannot form a majority without this one.
  it.Kill(it.Leader());
  REQUIRE(WaitFor([&] { return it.Leader().empty(); }));
  const core::Status refused = entry.Take();
  REQUIRE_FALSE(core::IsOk(refused));
  CHECK(core::ErrorOf(refused).code == core::ErrorCode::kUnavailable);
  CHECK(core::ErrorOf(refused).retry_after);
}

}  // namespace
}  // namespace hawthorn::cluster
