#include "membership/record_set.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>

namespace hawthorn::membership {
namespace {

using std::chrono::seconds;

core::TimePoint At(int64_t second) {
  return core::TimePoint(std::chrono::hours(1) + seconds(second));
}

UpstreamRecord RandomRecord() {
  UpstreamRecord record;
  record.upstream = core::UpstreamId("u");
  record.address = std::to_string(*rc::gen::inRange(0, 3));
  record.incarnation = *rc::gen::inRange(1, 4);
  record.version = *rc::gen::inRange(1, 4);
  record.phase = static_cast<Phase>(*rc::gen::inRange(0, 3));
  record.reporter = core::InstanceId(std::to_string(*rc::gen::inRange(0, 3)));
  return record;
}

TEST_CASE("merging records is commutative and associative and idempotent") {
  rc::prop("merge forms a semilattice", [] {
    const UpstreamRecord a = RandomRecord();
    const UpstreamRecord b = RandomRecord();
    const UpstreamRecord c = RandomRecord();
    RC_ASSERT(Merge(a, b) == Merge(b, a));
    RC_ASSERT(Merge(Merge(a, b), c) == Merge(a, Merge(b, c)));
    RC_ASSERT(Merge(a, a) == a);
    RC_ASSERT(Merge(Merge(a, b), b) == Merge(a, b));
  });
}

TEST_CASE("a phase never decreases within an incarnation") {
  rc::prop("merge keeps the highest phase", [] {
    const UpstreamRecord a = RandomRecord();
    UpstreamRecord b = RandomRecord();
    b.incarnation = a.incarnation;
    RC_ASSERT(Merge(a, b).phase == std::max(a.phase, b.phase));
  });
}

TEST_CASE("a record is equal after conversion to a message and back") {
  rc::prop("the conversion keeps all fields", [] {
    UpstreamRecord record = RandomRecord();
    record.service = core::ServiceId("chat");
    record.max_running = *rc::gen::arbitrary<uint32_t>();
    record.load.cached_tokens = *rc::gen::inRange<int64_t>(0, 1 << 30);
    record.moved = *rc::gen::arbitrary<bool>();
    const auto message = ToMessage(record, std::chrono::milliseconds(7), 9);
    RC_ASSERT(FromMessage(message) == record);
    RC_ASSERT(message.lease_ms() == 7);
    RC_ASSERT(message.set_version() == 9U);
  });
}

/// A writer with the history of its states and possible messages.
struct Writer {
  void Step(core::TimePoint now) {
    UpstreamRecord record;
    record.upstream = core::UpstreamId(std::to_string(*rc::gen::inRange(0, 5)));
    record.slot = static_cast<uint32_t>(set.version()) + 1;
    record.incarnation = set.version() + 1;
    record.phase = static_cast<Phase>(*rc::gen::inRange(0, 3));
    record.moved = *rc::gen::inRange(0, 5) == 0;
    set.Put(record, now);
    set.Prune(now);
    states.push_back(set.records());
    const uint64_t since = *rc::gen::inRange<uint64_t>(0, set.version());
    const size_t limit = *rc::gen::inRange<size_t>(1, 6);
    messages.push_back(set.ChangesSince(since, limit));
  }

  RecordSet set;
  std::vector<std::map<core::UpstreamId, VersionedRecord>> states{{}};
  std::vector<RecordSetChanges> messages;
};

/// Records that may get work: the part of a state that must never be outdated.
std::map<core::UpstreamId, UpstreamRecord> Routable(
    const std::map<core::UpstreamId, VersionedRecord>& records,
    uint64_t version) {
  std::map<core::UpstreamId, UpstreamRecord> routable;
  for (const auto& [id, item] : records) {
    if (item.set_version <= version && !item.record.moved &&
        item.record.phase == Phase::kActive) {
      routable[id] = item.record;
    }
  }
  return routable;
}

TEST_CASE("a copy matches its writer under loss, duplication and reordering") {
  uint64_t lost = 0;
  uint64_t duplicated = 0;
  uint64_t late = 0;
  rc::prop("the copy is the writer's state of the applied version", [&] {
    Writer writer;
    RecordSet copy;
    int64_t second = 0;
    std::vector<RecordSetChanges> delayed;
    const int steps = *rc::gen::inRange(1, 40);
    for (int n = 0; n < steps; ++n) {
      second += *rc::gen::inRange(0, 30);
      writer.Step(At(second));
      const int delivery = *rc::gen::inRange(0, 4);
      std::vector<RecordSetChanges> arriving;
      if (delivery == 0) {
        ++lost;
      } else if (delivery == 1) {
        delayed.push_back(writer.messages.back());
      } else {
        arriving.assign(delivery - 1, writer.messages.back());
        duplicated += delivery - 2;
      }
      if (!delayed.empty() && *rc::gen::arbitrary<bool>()) {
        arriving.push_back(delayed.front());
        delayed.erase(delayed.begin());
        ++late;
      }
      for (const RecordSetChanges& it : arriving) {
        const uint64_t before = copy.version();
        copy.Apply(it, At(second));
        RC_ASSERT(copy.version() >= before);
        RC_ASSERT(copy.version() <= writer.set.version());
      }
      if (copy.version() == writer.set.version()) {
        RC_ASSERT(Routable(copy.records(), copy.version()) ==
                  Routable(writer.set.records(), copy.version()));
      }
    }
    while (copy.version() < writer.set.version()) {
      copy.Apply(writer.set.ChangesSince(copy.version(), 2), At(second));
    }
    RC_ASSERT(Routable(copy.records(), copy.version()) ==
              Routable(writer.set.records(), copy.version()));
  });
  REQUIRE(lost > 0);
  REQUIRE(duplicated > 0);
  REQUIRE(late > 0);
}

TEST_CASE("a copy is confirmed only when no changes are missing") {
  RecordSet writer;
  RecordSet copy;
  UpstreamRecord record;
  record.upstream = core::UpstreamId("u");
  writer.Put(record, At(0));
  copy.Apply(writer.ChangesSince(0, 9), At(0));
  copy.Confirm(1, At(1));
  REQUIRE(copy.confirmed_at() == At(1));

  record.phase = Phase::kLeaving;
  writer.Put(record, At(2));
  copy.Confirm(2, At(3));
  REQUIRE(copy.confirmed_at() == At(1));
  // An old heartbeat does not confirm the copy for a later time.
  copy.Confirm(1, At(1));
  REQUIRE(copy.confirmed_at() == At(1));
  copy.Apply(writer.ChangesSince(1, 9), At(4));
  REQUIRE(copy.confirmed_at() == At(3));
}

TEST_CASE("an old message never restores a removed record") {
  RecordSet writer;
  RecordSet copy;
  UpstreamRecord record;
  record.upstream = core::UpstreamId("u");
  writer.Put(record, At(0));
  const RecordSetChanges old = writer.ChangesSince(0, 9);
  record.phase = Phase::kGone;
  writer.Put(record, At(1));
  copy.Apply(writer.ChangesSince(0, 9), At(1));
  copy.Prune(At(100));
  REQUIRE(copy.Find(record.upstream) == nullptr);
  REQUIRE(copy.Apply(old, At(101)).empty());
  REQUIRE(copy.Find(record.upstream) == nullptr);

  // An empty copy gets all records in full, because the change was removed.
  writer.Prune(At(100));
  REQUIRE(writer.ChangesSince(0, 9).full);
  RecordSet fresh;
  fresh.Apply(writer.ChangesSince(0, 9), At(102));
  REQUIRE(fresh.version() == 2);
  REQUIRE(fresh.ChangesSince(1, 9).full);
}

}  // namespace
}  // namespace hawthorn::membership
