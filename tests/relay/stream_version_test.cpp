#include <array>
#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "relay_fixture.h"

namespace hawthorn::relay {
namespace {

using Step = ScriptedUpstream::Step;

/// Sends the events after `Last-Event-Id` up to the third, each with the
/// software version as its data.
class VersionedUpstream {
 public:
  explicit VersionedUpstream(std::string version)
      : version_(std::move(version)),
        upstream_([this](const std::string& it) { return Run(it); }) {}

  std::string address() const { return upstream_.address(); }
  const std::string& version() const { return version_; }
  size_t request_count() const { return upstream_.requests().size(); }
  /// The next request breaks off after one event, and the upstream is gone.
  /// `before` is called as it arrives.
  void CrashAtNext(std::function<void()> before) {
    before_crash_ = std::move(before);
  }

 private:
  Step Run(const std::string& request) {
    const transport::RelayRequest parsed =
        transport::ParseFramedRequest(request);
    const std::string* after =
        transport::FindField(parsed.fields, "Last-Event-Id");
    std::string bytes = StreamHead(request);
    for (int n = after == nullptr ? 1 : std::stoi(*after) + 1; n <= 3; ++n) {
      bytes += transport::SerializeChunk("id: " + std::to_string(n) +
                                         "\ndata: by " + version_ + "\n\n");
      if (before_crash_) {
        std::exchange(before_crash_, {})();
        upstream_.StopListening();
        return {bytes, false, true};
      }
    }
    return {bytes + "0\r\n\r\n"};
  }

  std::string version_;
  std::function<void()> before_crash_;
  ScriptedUpstream upstream_;
};

constexpr const char* kBudget =
    "X-Program-Id: p\r\nX-Token-Budget: 10000\r\nX-Token-Usage: 10,50\r\n";
constexpr const char* kNoBudget = "X-Program-Id: p\r\n";

/// Two entry instances that share upstreams and a ledger.
class TwoRelays {
 public:
  TwoRelays() {
    for (auto& it : relays) {
      it = std::make_unique<RelayFixture>(RelayCall::kProgressTimeout, &ledger);
    }
  }
  VersionedUpstream& Add(const std::string& id, const std::string& version) {
    upstreams.push_back(std::make_unique<VersionedUpstream>(version));
    for (auto& it : relays) {
      it->AddUpstreamOfVersion(id, upstreams.back()->address(), version);
    }
    return *upstreams.back();
  }
  /// Sends a turn and returns what its caller receives until the end.
  std::string Send(size_t relay, const std::string& id,
                   const std::string& fields = "",
                   const std::string& budget = kBudget) {
    Caller caller(relays[relay]->port());
    caller.Send(RelayFixture::Request(
        "/turn/x", id, "X-Deadline-Ms: 5000\r\n" + budget + fields));
    REQUIRE(WaitFor([&] {
      return caller.ended() || caller.received().ends_with("\r\n0\r\n\r\n") ||
             caller.received().starts_with("HTTP/1.1 503 ");
    }));
    return caller.received();
  }

  /// Adds an upstream that one relay does not know yet.
  VersionedUpstream& AddAt(size_t relay, const std::string& id,
                           const std::string& version) {
    upstreams.push_back(std::make_unique<VersionedUpstream>(version));
    relays[relay]->AddUpstreamOfVersion(id, upstreams.back()->address(),
                                        version);
    return *upstreams.back();
  }

  MemoryLedger ledger;
  std::vector<std::unique_ptr<VersionedUpstream>> upstreams;
  std::array<std::unique_ptr<RelayFixture>, 2> relays;
};

std::string Resumes(const std::string& request, int event) {
  return "Resumes: " + request + "\r\nLast-Event-Id: " + std::to_string(event) +
         "\r\n";
}

bool Has(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

// Guards against a stream that goes on at another software version after its
// upstream crashed.
TEST_CASE("A stream goes on in its response at its own version") {
  TwoRelays it;
  VersionedUpstream& first = it.Add("m", "v1");
  SECTION("where another upstream has it") {
    first.CrashAtNext([&] {
      it.Add("a", "v2");
      it.Add("b", "v2");
      it.Add("z", "v1");
    });
    const std::string got = it.Send(0, "r1");
    CHECK(Has(got, "id: 3\ndata: by v1"));
    CHECK_FALSE(Has(got, "by v2"));
    CHECK(got.ends_with("\r\n0\r\n\r\n"));
  }
  SECTION("and nowhere else") {
    first.CrashAtNext([&] { it.Add("a", "v2"); });
    const std::string got = it.Send(0, "r1");
    CHECK(Has(got, "id: 1\ndata: by v1"));
    CHECK_FALSE(Has(got, "by v2"));
    CHECK_FALSE(got.ends_with("\r\n0\r\n\r\n"));
  }
}

// Guards against a caller that takes its stream up, at any instance, and gets
// events of another software version.
TEST_CASE("A stream taken up anew goes on at the version that began it") {
  TwoRelays it;
  const size_t relay = GENERATE(0U, 1U);
  CAPTURE(relay);
  it.Add("m", "v1").CrashAtNext([] {});
  REQUIRE(Has(it.Send(0, "r1"), "id: 1\ndata: by v1"));
  it.Add("a", "v2");
  it.Add("b", "v2");
  SECTION("where it is served") {
    VersionedUpstream& same = it.Add("z", "v1");
    const std::string got = it.Send(relay, "r2", Resumes("r1", 1));
    CHECK(Has(got, "id: 3\ndata: by v1"));
    CHECK_FALSE(Has(got, "by v2"));
    // Also when the attempt in between brought events of its own.
    same.CrashAtNext([] {});
    it.Send(relay, "r3", Resumes("r1", 1));
    it.Add("y", "v1");
    CHECK(Has(it.Send(1 - relay, "r4", Resumes("r1", 2)), "data: by v1"));
  }
  SECTION("and is refused where it is not") {
    const std::string got = it.Send(relay, "r2", Resumes("r1", 1));
    CHECK(got.starts_with("HTTP/1.1 503 "));
    CHECK_FALSE(Has(got, "by v2"));
  }
}

// Guards against streams that are stranded by the version that was chosen for
// them: until the first event any version will do.
TEST_CASE("A stream without an event moves to a version that is left") {
  TwoRelays it;
  ScriptedUpstream silent([](const std::string&) -> Step { return {}; });
  it.relays[0]->AddUpstreamOfVersion("m", silent.address(), "v1");
  Caller caller(it.relays[0]->port());
  caller.Send(
      RelayFixture::Request("/turn/x", "r1", "X-Deadline-Ms: 9000\r\n"));
  REQUIRE(WaitFor([&] { return silent.requests().size() == 1; }));
  it.Add("a", "v2");
  silent.Stop();
  REQUIRE(
      WaitFor([&] { return caller.received().ends_with("\r\n0\r\n\r\n"); }));
  CHECK(Has(caller.received(), "id: 1\ndata: by v2"));
  // What the caller takes up later is bound to the version of its events.
  CHECK(Has(it.Send(1, "r2", Resumes("r1", 1)), "by v2"));
}

// Guards against refusing callers that name no request where only one version
// serves, and against guessing where several do.
TEST_CASE("A stream of unknown origin goes on only where one version serves") {
  TwoRelays it;
  it.Add("a", "v1");
  it.Add("b", "v1");
  CHECK(Has(it.Send(0, "r1", "Last-Event-Id: 1\r\n"), "id: 2\ndata: by v1"));
  CHECK(Has(it.Send(0, "r2", Resumes("lost", 1)), "id: 2\ndata: by v1"));
  it.Add("c", "v2");
  CHECK(it.Send(0, "r3", "Last-Event-Id: 1\r\n", "X-Program-Id: q\r\n")
            .starts_with("HTTP/1.1 503 "));
  CHECK(it.Send(0, "r6", "Last-Event-Id: 1\r\n", "")
            .starts_with("HTTP/1.1 503 "));
  CHECK(it.Send(0, "r4", Resumes("lost", 1)).starts_with("HTTP/1.1 503 "));
  CHECK(Has(it.Send(0, "r5"), "id: 1\ndata: by v"));
}

// Guards against joining two versions at an instance that has just started: it
// knows one version, while an upstream of another one began the stream.
TEST_CASE("A new instance does not take the upstreams it knows for all") {
  TwoRelays it;
  it.AddAt(0, "a", "v1");
  REQUIRE(Has(it.Send(0, "r1", "", kNoBudget), "id: 1\ndata: by v1"));
  it.AddAt(1, "b", "v2");
  CHECK(it.Send(1, "r2", Resumes("lost", 1)).starts_with("HTTP/1.1 503 "));
  CHECK(it.Send(1, "r3", "Last-Event-Id: 1\r\n", "")
            .starts_with("HTTP/1.1 503 "));
  // Its own version is known there, but no upstream of it.
  CHECK(it.Send(1, "r4", Resumes("r1", 1)).starts_with("HTTP/1.1 503 "));
}

// Guards against streams that cannot be resumed again: under the id of a
// resumption, without a budget, without a program, without a name.
TEST_CASE("A stream is resumed again whatever its caller names") {
  TwoRelays it;
  it.Add("a", "v1");
  const auto [budget, later] =
      GENERATE(std::pair<std::string, std::string>(kBudget, kBudget),
               std::pair<std::string, std::string>(kBudget, kNoBudget),
               std::pair<std::string, std::string>(kNoBudget, kBudget),
               std::pair<std::string, std::string>(kNoBudget, kNoBudget),
               std::pair<std::string, std::string>("", ""));
  CAPTURE(budget, later);
  REQUIRE(Has(it.Send(0, "r1", "", budget), "by v1"));
  it.Add("b", "v2");
  it.Add("c", "v2");
  const std::string first = it.Send(1, "r2", Resumes("r1", 1), later);
  CHECK(Has(first, "id: 2\ndata: by v1"));
  const std::string second = it.Send(0, "r3", Resumes("r2", 2), budget);
  CHECK(Has(second, "id: 3\ndata: by v1"));
  CHECK(Has(it.Send(1, "r4", Resumes("r3", 2), later), "by v1"));
  const std::string unnamed = it.Send(1, "r5", "Last-Event-Id: 1\r\n", later);
  if (budget.empty()) {
    CHECK(unnamed.starts_with("HTTP/1.1 503 "));
  } else {
    CHECK(Has(unnamed, "id: 2\ndata: by v1"));
  }
}

// Guards against giving up a stream because its upstream is no longer listed,
// or runs another version under the same id.
TEST_CASE("A stream goes on after its upstream left or was started anew") {
  TwoRelays it;
  const bool is_restarted = GENERATE(false, true);
  CAPTURE(is_restarted);
  it.Add("m", "v1").CrashAtNext([&] {
    it.Add("y", "v1");
    it.Add("z", "v2");
    if (is_restarted) {
      it.relays[0]->AddUpstreamOfVersion("m", it.upstreams[2]->address(), "v2",
                                         2);
    } else {
      it.relays[0]->relay().RetainUpstreams({"y", "z"});
    }
  });
  const std::string got = it.Send(0, "r1");
  CHECK(Has(got, "id: 1\ndata: by v1"));
  CHECK(Has(got, "id: 3\ndata: by v1"));
  CHECK_FALSE(Has(got, "by v2"));
}

}  // namespace
}  // namespace hawthorn::relay
