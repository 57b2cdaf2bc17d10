#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <vector>

#include "tests/consensus/simulation.h"

namespace hawthorn::consensus {
namespace {

rc::Gen<Fault> GenFault() {
  return rc::gen::build<Fault>(
      rc::gen::set(
          &Fault::kind,
          rc::gen::map(rc::gen::inRange<int>(0, kFaultKinds),
                       [](int kind) { return static_cast<FaultKind>(kind); })),
      rc::gen::set(&Fault::target, rc::gen::inRange(0, 8)),
      rc::gen::set(&Fault::duration_ms, rc::gen::inRange(300, 2500)));
}

/// Runs a generated plan. Checks every invariant, and that the faults of the
/// network and of the plan took effect.
void RunPlan(SimulationOptions options) {
  options.seed = *rc::gen::arbitrary<uint64_t>();
  const auto plan = *rc::gen::container<std::vector<Fault>>(10, GenFault());
  Simulation simulation(options);
  RC_ASSERT(simulation.WaitUntilAllVote(30000));
  uint64_t applied = 0;
  for (const Fault& fault : plan) {
    applied += simulation.Apply(fault) ? 1 : 0;
    RC_ASSERT(simulation.violation() == "");
  }
  simulation.Finish();
  RC_ASSERT(simulation.violation() == "");
  const Counts& counts = simulation.counts();
  RC_ASSERT(applied >= plan.size() / 2);
  RC_ASSERT(counts.lost > 0U);
  RC_ASSERT(counts.duplicated > 0U);
  RC_ASSERT(counts.delayed > 0U);
  RC_ASSERT(counts.acknowledged > 0U);
  RC_ASSERT(counts.reads > 0U);
  RC_ASSERT(counts.steps_current > 0U);
  const auto fired = [&](FaultKind kind) {
    return counts.faults[static_cast<size_t>(kind)] > 0;
  };
  if (fired(FaultKind::kCutIncoming) || fired(FaultKind::kIsolate)) {
    RC_ASSERT(counts.cut > 0U);
  }
}

TEST_CASE("three replicas with disks keep every invariant under faults") {
  rc::prop("plan", [] { RunPlan({3, 3, false}); });
}

TEST_CASE("five replicas with disks keep every invariant under faults") {
  rc::prop("plan", [] { RunPlan({5, 5, false}); });
}

TEST_CASE("three replicas with one disk keep every invariant under faults") {
  rc::prop("plan", [] { RunPlan({3, 1, false}); });
}

TEST_CASE("five replicas with a required durable copy keep every invariant") {
  rc::prop("plan", [] { RunPlan({5, 2, true}); });
}

TEST_CASE("three replicas with one required disk keep every invariant") {
  rc::prop("plan", [] { RunPlan({3, 1, true}); });
}

TEST_CASE("a replica that lost the only disk is replaced") {
  SimulationOptions options{3, 1, true};
  options.seed = 14;
  Simulation simulation(options);
  REQUIRE(simulation.WaitUntilAllVote(30000));
  // Target 3 is the first replica, which has the only disk, even if another one
  // leads.
  REQUIRE(simulation.Apply({FaultKind::kLoseState, 3, 1000}));
  simulation.Finish();
  REQUIRE(simulation.violation().empty());
}

TEST_CASE("random plans that once left a group without all its voters") {
  // 14, 1194: the only disk was lost. 519, 1067, 1279: a learner was sent one
  // snapshot after another and never caught up. 1182: the replacement of the
  // only replica with a disk became the leader.
  const uint64_t seed = GENERATE(14, 519, 1067, 1182, 1194, 1279);
  CAPTURE(seed);
  Simulation simulation(RandomPlanOptions(seed));
  simulation.RunRandomPlan(seed);
  CHECK(simulation.violation().empty());
}

TEST_CASE("replicas without leases keep every invariant under faults") {
  rc::prop("plan", [] {
    SimulationOptions options{5, 5, false};
    options.lease_reads = false;
    RunPlan(options);
  });
}

TEST_CASE("lazy followers keep every invariant under faults") {
  rc::prop("plan", [] {
    SimulationOptions options{5, 5, false};
    options.lease_reads = *rc::gen::arbitrary<bool>();
    options.lazy = true;
    options.delayed = *rc::gen::element(20, 100, 300);
    options.max_appends_in_flight = *rc::gen::element<size_t>(1, 2, 4, 32);
    RunPlan(options);
  });
}

// Guards against a follower that counts as current by the word of a leader that
// was replaced: old messages let that leader go on.
TEST_CASE("a replaced leader does not vouch for the state of its follower") {
  const uint64_t seed = GENERATE(range(1, 21));
  CAPTURE(seed);
  SimulationOptions options{5, 5, false, seed};
  options.lease_reads = false;
  options.delayed = 30;
  Simulation simulation(options);
  REQUIRE(simulation.WaitUntilAllVote(30000));
  for (int target = 1; target < 6; ++target) {
    simulation.Apply({FaultKind::kPartition, target, 3000});
    simulation.Run(2000);
  }
  simulation.Finish();
  CHECK(simulation.violation() == "");
  CHECK(simulation.counts().faults[static_cast<size_t>(FaultKind::kPartition)] >
        0U);
}

TEST_CASE("without leases all replicas restart and elect a leader at once") {
  const uint64_t seed = GENERATE(range(1, 21));
  CAPTURE(seed);
  SimulationOptions options{3, 3, false, seed, 0, 0, 0};
  options.lease_reads = false;
  Simulation simulation(options);
  REQUIRE(simulation.WaitUntilAllVote(30000));
  for (size_t n = 0; n < simulation.size(); ++n) {
    simulation.Crash(n, false);
  }
  for (size_t n = 0; n < simulation.size(); ++n) {
    simulation.Restart(n);
    simulation.Run(150);
  }
  // Without leases no replica has to wait until the lease of the old leader
  // expires.
  int waited_ms = 0;
  for (; !simulation.Leader(); waited_ms += 5) {
    simulation.Run(5);
  }
  CHECK(waited_ms < 600);
}

TEST_CASE("the first network fault of a run is forced") {
  SimulationOptions options;
  options.lost = 1;
  options.seed = 7;
  Simulation simulation(options);
  REQUIRE(simulation.WaitUntilAllVote(30000));
  for (int n = 0; n < 10; ++n) {
    simulation.Apply({FaultKind::kTransferLeadership, 0, 2500});
  }
  simulation.Finish();
  CHECK(simulation.counts().lost > 0U);
}

TEST_CASE("a second loss of state right after a repair loses no write") {
  rc::prop("losses", [] {
    SimulationOptions options;
    options.with_disk = *rc::gen::inRange<size_t>(1, 4);
    options.seed = *rc::gen::arbitrary<uint64_t>();
    Simulation simulation(options);
    for (int round = 0; round < 4; ++round) {
      const Fault loss{FaultKind::kLoseState, *rc::gen::inRange(0, 4), 400};
      RC_ASSERT(simulation.Apply(loss));
    }
    simulation.Finish();
    RC_ASSERT(simulation.violation() == "");
    RC_ASSERT(simulation.counts().faults[1] == 4U);
    RC_ASSERT(simulation.counts().acknowledged > 0U);
  });
}

}  // namespace
}  // namespace hawthorn::consensus
