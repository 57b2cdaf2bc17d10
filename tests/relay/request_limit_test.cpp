#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "relay_fixture.h"

namespace hawthorn::relay {
namespace {

using Step = ScriptedUpstream::Step;

constexpr double kLimit = 2;
/// Requests that the users' rule allows in any 4 s at kLimit.
constexpr size_t kMostInWindow = 17;
constexpr std::chrono::seconds kWindow{4};

/// Serves every request and names a request limit, as long as it is set.
class LimitedUpstream {
 public:
  explicit LimitedUpstream(std::string limit)
      : limit(std::move(limit)), upstream_([this](const std::string& request) {
          times_.push_back(std::chrono::steady_clock::now());
          return Step{Respond(request)};
        }) {}

  std::string address() const { return upstream_.address(); }
  size_t request_count() const { return times_.size(); }
  /// Largest number of requests in any window of `kWindow` that begins with or
  /// after the request number `first`.
  size_t MostInWindow(size_t first) const {
    size_t most = 0;
    for (size_t from = first; from < times_.size(); ++from) {
      const auto end = std::find_if(
          times_.begin() + static_cast<ptrdiff_t>(from), times_.end(),
          [&](auto at) { return at >= times_[from] + kWindow; });
      most = std::max(most, static_cast<size_t>(end - times_.begin()) - from);
    }
    return most;
  }

  /// Value of the field that names the limit; empty for none.
  std::string limit;

 private:
  std::string Respond(const std::string& request) const {
    std::string response = SignedResponse(request, "fine");
    if (!limit.empty()) {
      response.insert(response.find("\r\n") + 2,
                      "Server-Limit: " + limit + "\r\n");
    }
    return response;
  }

  std::vector<std::chrono::steady_clock::time_point> times_;
  ScriptedUpstream upstream_;
};

/// Sends calls one after the other and returns what their callers receive.
class CallSequence {
 public:
  std::string Send(RelayFixture& relay, const std::string& path) {
    Caller caller(relay.port());
    caller.Send(RelayFixture::Request(path, "r" + std::to_string(++sent_),
                                      "X-Deadline-Ms: 3000\r\n"));
    REQUIRE(WaitFor([&] { return caller.received().size() > 12; }));
    return caller.received();
  }

 private:
  int sent_ = 0;
};

/// Three relays of one deployment, without contact to a group.
class ThreeRelays {
 public:
  ThreeRelays() {
    for (RelayFixture& it : relays) {
      it.relay().SetInstanceCount(relays.size());
    }
  }
  void AddUpstream(const std::string& id, const std::string& address) {
    for (RelayFixture& it : relays) {
      it.AddUpstream(id, address);
    }
  }

  std::array<RelayFixture, 3> relays;
  CallSequence calls;
};

// Guards against a limit that no instance obeys, or that each obeys for itself.
TEST_CASE("The request limit of an upstream holds over all instances") {
  ThreeRelays it;
  LimitedUpstream limited(std::to_string(kLimit));
  LimitedUpstream other("");
  it.AddUpstream("u", limited.address());
  // Each relay learns the limit.
  for (RelayFixture& relay : it.relays) {
    it.calls.Send(relay, "/read/x");
  }
  const size_t known = limited.request_count();
  REQUIRE(known == it.relays.size());
  it.AddUpstream("v", other.address());
  for (int n = 0; n < 40; ++n) {
    for (RelayFixture& relay : it.relays) {
      CHECK(it.calls.Send(relay, "/read/x").starts_with("HTTP/1.1 200 "));
    }
  }
  CHECK(limited.MostInWindow(known) <= kMostInWindow);
}

// Guards against callers that wait for an upstream that takes no more requests,
// and against sending all of them back at the same moment.
TEST_CASE("Calls beyond the limits of all upstreams are refused at once") {
  RelayFixture it;
  CallSequence calls;
  LimitedUpstream limited(std::to_string(kLimit));
  it.AddUpstream("u", limited.address());
  calls.Send(it, "/once/x");
  std::vector<std::unique_ptr<Caller>> callers;
  for (int n = 0; n < 20; ++n) {
    callers.push_back(std::make_unique<Caller>(it.port()));
    callers.back()->Send(RelayFixture::Request(
        "/once/x", "c" + std::to_string(n), "X-Deadline-Ms: 60000\r\n"));
  }
  REQUIRE(WaitFor([&] {
    return std::all_of(callers.begin(), callers.end(), [](const auto& caller) {
      return caller->received().ends_with("fine") ||
             caller->received().starts_with("HTTP/1.1 503 ");
    });
  }));
  CHECK(limited.MostInWindow(1) <= kMostInWindow);
  std::vector<double> retry_after;
  for (const auto& caller : callers) {
    const std::string name = "Retry-After: ";
    const size_t at = caller->received().find(name);
    if (at != std::string::npos) {
      retry_after.push_back(
          std::stod(caller->received().substr(at + name.size())));
    }
  }
  REQUIRE(retry_after.size() >= callers.size() - kMostInWindow);
  std::sort(retry_after.begin(), retry_after.end());
  for (size_t n = 0; n < retry_after.size(); ++n) {
    CAPTURE(n);
    // No more callers return by a time than the limit takes until then.
    CHECK(static_cast<double>(n) <= kLimit * retry_after[n] + 1);
  }
}

// Guards against a limit that each instance must first run into.
TEST_CASE("A limit that another instance reported holds at once") {
  RelayFixture it;
  CallSequence calls;
  LimitedUpstream limited(std::to_string(kLimit));
  LimitedUpstream other("");
  it.AddUpstream("u", limited.address(), 1, kLimit);
  it.AddUpstream("v", other.address());
  for (int n = 0; n < 60; ++n) {
    CHECK(calls.Send(it, "/read/x").starts_with("HTTP/1.1 200 "));
  }
  CHECK(limited.MostInWindow(0) <= kMostInWindow);
  SECTION("until the group tells that it ended") {
    limited.limit = "";
    const size_t before = limited.request_count();
    it.AddUpstream("u", limited.address());
    for (int n = 0; n < 60; ++n) {
      calls.Send(it, "/read/x");
    }
    CHECK(limited.request_count() + other.request_count() == 120);
    CHECK(limited.request_count() > before);
  }
}

// Guards against a limit that the other instances do not hear of, and against
// one that stays after the upstream no longer names it.
TEST_CASE("A limit is reported when a response names it and when it ends") {
  RelayFixture it;
  CallSequence calls;
  std::vector<schema::UpstreamLimit> reports;
  LimitedUpstream upstream("1000");
  it.on_limit = [&](const schema::UpstreamLimit& limit) {
    reports.push_back(limit);
    it.AddUpstream("u", upstream.address(), 1,
                   limit.has_requests_per_second()
                       ? std::optional(limit.requests_per_second())
                       : std::nullopt);
  };
  it.AddUpstream("u", upstream.address());
  calls.Send(it, "/read/x");
  calls.Send(it, "/read/x");
  REQUIRE(reports.size() == 1);
  CHECK(reports[0].requests_per_second() == 1000);
  CHECK(reports[0].incarnation().upstream() == "u");
  // A change too small to matter, then one that cannot be read, then the end.
  upstream.limit = "1050";
  calls.Send(it, "/read/x");
  upstream.limit = "many";
  calls.Send(it, "/read/x");
  CHECK(reports.size() == 1);
  upstream.limit = "";
  calls.Send(it, "/read/x");
  REQUIRE(reports.size() == 2);
  CHECK_FALSE(reports[1].has_requests_per_second());
}

// Guards against a response that overtook the one that named the limit.
TEST_CASE("A response to a request sent before the limit was known keeps it") {
  RequestLimits limits;
  const core::TimePoint learned{std::chrono::hours(1)};
  CHECK(limits.OnNamed("u", 1, 5, learned));
  CHECK_FALSE(limits.OnNotNamed("u", 1, learned - std::chrono::seconds(1)));
  CHECK(limits.Of("u", 1) == 5.0);
  CHECK_FALSE(limits.Of("u", 2));
  // Nor does what another incarnation says.
  CHECK_FALSE(limits.OnNotNamed("u", 2, learned + std::chrono::seconds(1)));
  CHECK_FALSE(limits.OnNamed("u", 0, 9, learned));
  CHECK(limits.OnNotNamed("u", 1, learned + std::chrono::seconds(1)));
  CHECK_FALSE(limits.Of("u", 1));
}

// Guards against a stream that ends with its upstream because the limit of that
// one allows no repeat.
TEST_CASE("A stream of a limited upstream that crashed goes on elsewhere") {
  RelayFixture it;
  ScriptedUpstream other([](const std::string& request) -> Step {
    return {StreamHead(request) + EventChunk(2) + "0\r\n\r\n"};
  });
  ScriptedUpstream* crashing = nullptr;
  ScriptedUpstream limited([&](const std::string& request) -> Step {
    it.AddUpstream("v", other.address());
    crashing->StopListening();
    std::string head = StreamHead(request);
    head.insert(head.find("\r\n") + 2, "Server-Limit: 0\r\n");
    return {head + EventChunk(1), false, true};
  });
  crashing = &limited;
  it.AddUpstream("u", limited.address());
  Caller caller(it.port());
  caller.Send(
      RelayFixture::Request("/turn/x", "r1", "X-Deadline-Ms: 9000\r\n"));
  REQUIRE(WaitFor([&] {
    return caller.ended() || caller.received().ends_with("\r\n0\r\n\r\n");
  }));
  CHECK(caller.received().find("e2") != std::string::npos);
  CHECK(limited.requests().size() == 1);
}

// Guards against shares that grow because a new leader has not heard of all
// instances yet.
TEST_CASE("The number of instances rises at once and falls late") {
  const core::TimePoint start{std::chrono::hours(1)};
  InstanceCount count;
  CHECK(count.Update(9, start));
  CHECK_FALSE(count.Update(0, start));
  CHECK_FALSE(count.Update(2, start + std::chrono::seconds(1)));
  CHECK_FALSE(count.Update(8, start + std::chrono::seconds(5)));
  CHECK_FALSE(count.Update(7, start + std::chrono::seconds(10)));
  CHECK(count.value() == 9);
  // The highest number of the time counts.
  CHECK(count.Update(7, start + std::chrono::seconds(11)));
  CHECK(count.value() == 8);
  CHECK(count.Update(12, start + std::chrono::seconds(12)));
  CHECK(count.value() == 12);
}

}  // namespace
}  // namespace hawthorn::relay
