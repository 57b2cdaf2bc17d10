#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "relay_fixture.h"

namespace hawthorn::relay {
namespace {

/// Answers each request for credit as it is told, at once or later.
class ScriptedQuota final : public QuotaSource {
 public:
  void Take(const std::string& organisation, TakeCallback callback) override {
    taken.push_back(organisation);
    if (status) {
      callback(*status);
    } else {
      open.push_back(std::move(callback));
    }
  }
  void GiveBack(const std::string& organisation, core::TimePoint) override {
    given_back.push_back(organisation);
  }

  std::optional<core::Status> status = core::Status(std::monostate{});
  std::vector<TakeCallback> open;
  std::vector<std::string> taken;
  std::vector<std::string> given_back;
};

/// "acme" with the keys k1 and k2 and a limit; "free" with the key f1.
OrganisationTable Organisations() {
  OrganisationTable table;
  table.Add({"acme", {10, 10}, std::nullopt});
  table.AddKey(DigestOfKey("k1"));
  table.AddKey(DigestOfKey("k2"));
  table.Add({"free", {}, std::nullopt});
  table.AddKey(DigestOfKey("f1"));
  return table;
}

class OrganisationFixture {
 public:
  OrganisationFixture()
      : relay(RelayCall::kProgressTimeout, nullptr, nullptr, &quota),
        upstream([](const std::string& request) {
          return ScriptedUpstream::Step{SignedResponse(request, "done")};
        }) {
    relay.SetOrganisations(Organisations());
  }

  void AddUpstream() { relay.AddUpstream("u", upstream.address()); }

  /// Sends a request on a new connection; returns the response.
  std::string Call(const std::string& path, const std::string& fields) {
    Caller caller(relay.port());
    caller.Send(
        RelayFixture::Request(path, "r" + std::to_string(next_id_++), fields));
    WaitFor([&] {
      return caller.received().find("\r\n\r\n") != std::string::npos;
    });
    return caller.received();
  }

  /// Fields of the last request that the upstream received.
  transport::HeaderList LastFields() const {
    return transport::ParseFramedRequest(upstream.requests().back()).fields;
  }

  ScriptedQuota quota;
  RelayFixture relay;
  ScriptedUpstream upstream;

 private:
  int next_id_ = 1;
};

bool HasStatus(const std::string& response, int status) {
  return response.starts_with("HTTP/1.1 " + std::to_string(status) + " ");
}

core::Status Failure(core::ErrorCode code, int retry_after_ms) {
  return core::Error{code, "no credit", core::Execution::kNotRun,
                     std::chrono::milliseconds(retry_after_ms)};
}

// A key that reached an upstream, or an organisation that a caller chose
// itself, would let one organisation act as another.
TEST_CASE("Upstreams receive the organisation and never the key") {
  OrganisationFixture it;
  it.AddUpstream();
  CHECK(HasStatus(it.Call("/read/", "x-api-key: k2\r\nX-Tenant: other\r\n"),
                  200));
  CHECK(transport::FindField(it.LastFields(), "X-Api-Key") == nullptr);
  CHECK(*transport::FindField(it.LastFields(), "X-Tenant") == "acme");
  CHECK(it.upstream.requests().back().find("k2") == std::string::npos);
  CHECK(it.upstream.requests().back().find("other") == std::string::npos);
}

// Each refused key must be refused before anything else of the deployment is
// used; a route that does not exist is reported first.
TEST_CASE("Requests without a valid key are refused at once") {
  OrganisationFixture it;
  it.AddUpstream();
  const std::string long_key(kMaxKeyBytes + 1, 'k');
  for (const std::string& fields :
       {std::string(), std::string("X-Api-Key: nope\r\n"),
        std::string("X-Api-Key: \r\n"),
        std::string("X-Api-Key: k1\r\nX-Api-Key: k1\r\n"),
        "X-Api-Key: " + long_key + "\r\n"}) {
    CHECK(HasStatus(it.Call("/turn/", fields), 401));
    CHECK(HasStatus(it.Call("/none/", fields), 404));
  }
  CHECK(it.quota.taken.empty());
  CHECK(it.relay.ledger.claims.empty());
  CHECK(it.upstream.requests().empty());
}

// A public route must serve callers without a key, and still count those whose
// key is known.
TEST_CASE("A public route needs no key and recognises one") {
  OrganisationFixture it;
  it.AddUpstream();
  CHECK(HasStatus(it.Call("/once/", "X-Tenant: acme\r\n"), 200));
  CHECK(transport::FindField(it.LastFields(), "X-Tenant") == nullptr);
  CHECK(HasStatus(it.Call("/once/", "X-Api-Key: nope\r\n"), 200));
  CHECK(transport::FindField(it.LastFields(), "X-Api-Key") == nullptr);
  CHECK(it.quota.taken.empty());
  CHECK(HasStatus(it.Call("/once/", "X-Api-Key: k1\r\n"), 200));
  CHECK(it.quota.taken == std::vector<std::string>{"acme"});
  CHECK(*transport::FindField(it.LastFields(), "X-Tenant") == "acme");
}

// A key that was withdrawn must not stay valid on a connection that is open.
TEST_CASE("Keys follow the configuration on open connections") {
  OrganisationFixture it;
  it.AddUpstream();
  Caller caller(it.relay.port());
  caller.Send(RelayFixture::Request("/read/", "a", "X-Api-Key: k1\r\n"));
  REQUIRE(WaitFor([&] { return caller.received().ends_with("done"); }));
  OrganisationTable changed;
  changed.Add({"acme", {}, std::nullopt});
  changed.AddKey(DigestOfKey("k2"));
  it.relay.SetOrganisations(std::move(changed));
  caller.Send(RelayFixture::Request("/read/", "b", "X-Api-Key: k1\r\n"));
  CHECK(WaitFor([&] {
    return caller.received().find("HTTP/1.1 401 ") != std::string::npos;
  }));
}

// Deployments without organisations may use these fields for themselves.
TEST_CASE("Without organisations the fields are passed on") {
  OrganisationFixture it;
  it.AddUpstream();
  it.relay.SetOrganisations(std::nullopt);
  CHECK(HasStatus(it.Call("/read/", "X-Api-Key: x\r\nX-Tenant: y\r\n"), 200));
  CHECK(*transport::FindField(it.LastFields(), "X-Api-Key") == "x");
  CHECK(*transport::FindField(it.LastFields(), "X-Tenant") == "y");
}

// A refusal by the limit must be told apart from one by a missing leader, and
// neither may claim a budget or reach an upstream.
TEST_CASE("Requests without credit are refused with the time of a retry") {
  OrganisationFixture it;
  it.AddUpstream();
  it.quota.status = Failure(core::ErrorCode::kLimitExceeded, 250);
  const std::string limited = it.Call("/turn/", "X-Api-Key: k1\r\n");
  CHECK(HasStatus(limited, 429));
  CHECK(limited.find("Retry-After: 0.250\r\n") != std::string::npos);
  it.quota.status = Failure(core::ErrorCode::kUnavailable, 600);
  const std::string unknown = it.Call("/turn/", "X-Api-Key: k1\r\n");
  CHECK(HasStatus(unknown, 503));
  CHECK(unknown.find("Retry-After: 0.600\r\n") != std::string::npos);
  CHECK(it.relay.ledger.claims.empty());
  CHECK(it.upstream.requests().empty());
  CHECK(it.quota.given_back.empty());
  // Organisations without a limit are not affected.
  CHECK(HasStatus(it.Call("/read/", "X-Api-Key: f1\r\n"), 200));
}

// Requests that no upstream received must not use up the limit, and those that
// one received must count.
TEST_CASE("Credit of a request that no upstream received goes back") {
  OrganisationFixture it;
  const std::string fields = "X-Api-Key: k1\r\n";
  SECTION("refused from the queue") {
    CHECK(HasStatus(it.Call("/read/", fields + "X-Deadline-Ms: 100\r\n"), 503));
  }
  SECTION("no upstream can be reached") {
    it.AddUpstream();
    it.upstream.StopListening();
    CHECK(HasStatus(it.Call("/read/", fields), 503));
  }
  SECTION("no leader for the claim") {
    it.AddUpstream();
    it.relay.ledger.grants.reset();
    CHECK(HasStatus(it.Call("/turn/", fields), 503));
  }
  CHECK(WaitFor([&] { return it.quota.given_back.size() == 1; }));
}

TEST_CASE("Credit of a request that an upstream received stays used") {
  OrganisationFixture it;
  it.AddUpstream();
  CHECK(HasStatus(it.Call("/read/", "X-Api-Key: k1\r\n"), 200));
  CHECK(it.quota.taken.size() == 1);
  CHECK(it.quota.given_back.empty());
}

// A caller may leave while its request waits for the leader; the credit that
// arrives later would be lost.
TEST_CASE("Credit that arrives after the caller has left goes back") {
  OrganisationFixture it;
  it.AddUpstream();
  it.quota.status.reset();
  {
    Caller caller(it.relay.port());
    caller.Send(RelayFixture::Request("/read/", "a", "X-Api-Key: k1\r\n"));
    REQUIRE(WaitFor([&] { return it.quota.open.size() == 1; }));
    caller.Disconnect();
    REQUIRE(WaitFor([&] { return it.relay.relay().open_calls() == 0; }));
  }
  it.quota.open[0](std::monostate{});
  CHECK(it.quota.given_back.size() == 1);
  CHECK(it.upstream.requests().empty());
}

// Load: 10 calls for an upstream that is full with 5. An organisation with a
// priority must be placed by it and not by that of the route.
TEST_CASE("The priority of an organisation replaces that of the route") {
  OrganisationFixture it;
  OrganisationTable table;
  table.Add({"late", {}, 7});
  table.AddKey(DigestOfKey("k1"));
  table.Add({"usual", {}, std::nullopt});
  table.AddKey(DigestOfKey("f1"));
  it.relay.SetOrganisations(std::move(table));
  ScriptedUpstream busy(
      [](const std::string&) { return ScriptedUpstream::Step{}; });
  it.relay.AddUpstream("busy", busy.address());
  std::vector<std::unique_ptr<Caller>> callers;
  const auto send = [&](const std::string& id, const std::string& key) {
    callers.push_back(std::make_unique<Caller>(it.relay.port()));
    callers.back()->Send(
        RelayFixture::Request("/once/", id, "X-Api-Key: " + key + "\r\n"));
    REQUIRE(WaitFor(
        [&] { return it.relay.relay().open_calls() == callers.size(); }));
  };
  for (int n = 0; n < 9; ++n) {
    send("late" + std::to_string(n), "k1");
  }
  send("usual", "f1");
  REQUIRE(WaitFor([&] { return busy.requests().size() == 5; }));
  busy.SendOn(0, SignedResponse(busy.requests()[0], "done"));
  REQUIRE(WaitFor([&] { return busy.requests().size() == 6; }));
  CHECK(IdOf(busy.requests()[5]) == "usual");
}

// Thousands of organisations may be configured: the metrics must not grow with
// their number.
TEST_CASE("Metrics of organisations have a bounded number of labels") {
  OrganisationTable table;
  for (int n = 0; n < 100; ++n) {
    table.Add({"o" + std::to_string(n), {1.0 + n, 1}, std::nullopt});
  }
  core::Metrics metrics;
  OrganisationStats stats(metrics);
  stats.SetOrganisations(&table);
  CHECK(stats.LabelOf("o99") == "o99");
  CHECK(stats.LabelOf("o0") == OrganisationStats::kOther);
  for (int n = 0; n < 100; ++n) {
    stats.OnEnded("o" + std::to_string(n), 200, std::chrono::milliseconds(1),
                  {});
  }
  CHECK(metrics.Histograms().size() == OrganisationStats::kMaxLabels + 1);
}

}  // namespace
}  // namespace hawthorn::relay
