#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "scheduling/outlier_detector.h"
#include "tests/scheduling/scheduling_fixture.h"

namespace hawthorn::scheduling {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

std::string AnyPolicyName() {
  return *rc::gen::element<std::string>("fcfs", "las", "fair", "prefix",
                                        "combined:0.9", "combined:0.3");
}

CallRequest AnyCall(CallId id) {
  CallRequest call = Call(id, "o" + std::to_string(*rc::gen::inRange(0, 4)));
  call.interactive = *rc::gen::arbitrary<bool>();
  call.organisation_weight = *rc::gen::inRange<uint32_t>(0, 5);
  call.attained_tokens = *rc::gen::inRange<int64_t>(1, 100000);
  call.prefix = {{*rc::gen::inRange<uint64_t>(1, 9), 80}};
  return call;
}

/// Drives one scheduler with random calls, call ends, reports and changes of
/// upstreams, and checks its invariants after each step.
class SchedulerHarness {
 public:
  explicit SchedulerHarness(const std::string& policy)
      : scheduler_(MakeZone(policy)) {}

  void Step() {
    now_ += milliseconds(*rc::gen::inRange(0, 500));
    switch (*rc::gen::inRange(0, 8)) {
      case 0:
        SetUpstream(false);
        break;
      case 1:
        SetUpstream(true);
        break;
      case 2:
        RemoveUpstream();
        break;
      case 3:
        Finish();
        break;
      case 4:
        Report();
        break;
      case 5:
        Cancel();
        break;
      default:
        Enqueue();
    }
    Dispatch();
  }

  void SwitchPolicy(const std::string& policy) {
    const size_t before = scheduler_->queued();
    scheduler_->SetPolicy(Service(), core::Value(ParsePolicy(policy)), now_);
    RC_ASSERT(scheduler_->queued() == before);
  }

  /// Ends all calls; the queue must be empty afterwards.
  void Drain() {
    windows_["last"] = 3;
    scheduler_->SetUpstream(Upstream("last", 3), now_);
    for (int n = 0; n < 2000 && !(queued_.empty() && running_.empty()); ++n) {
      now_ += seconds(1);
      while (!running_.empty()) {
        Finish();
      }
      Dispatch();
    }
    RC_ASSERT(queued_.empty());
    RC_ASSERT(scheduler_->queued() == 0U);
  }

  const std::vector<hawthorn::scheduling::Dispatch>& log() const {
    return log_;
  }

 private:
  std::string AnyUpstream() {
    return "u" + std::to_string(*rc::gen::inRange(0, 4));
  }

  void SetUpstream(bool leaving) {
    const std::string id = AnyUpstream();
    const uint32_t window = *rc::gen::inRange<uint32_t>(1, 5);
    UpstreamState state = Upstream(id, window);
    state.leaving = leaving;
    scheduler_->SetUpstream(state, now_);
    windows_.erase(id);
    if (!leaving) {
      windows_[id] = window;
    }
  }

  void RemoveUpstream() {
    const std::string id = AnyUpstream();
    scheduler_->RemoveUpstream(core::UpstreamId(id), now_);
    windows_.erase(id);
    load_.erase(id);
    for (auto& [call, upstream] : running_) {
      if (upstream == id) {
        upstream = "gone";
      }
    }
  }

  void Finish() {
    if (running_.empty()) {
      return;
    }
    const auto it = running_.begin();
    CallResult result = Done(it->first);
    result.produced = PrefixSegment{*rc::gen::inRange<uint64_t>(1, 9), 80};
    scheduler_->OnFinished(result, now_);
    if (it->second != "gone") {
      --load_[it->second];
    }
    running_.erase(it);
  }

  void Report() {
    const std::string id = AnyUpstream();
    LoadReport report{now_, *rc::gen::inRange<uint32_t>(0, 5),
                      *rc::gen::inRange<uint32_t>(0, 3), 0};
    scheduler_->OnReport(core::UpstreamId(id), report, now_);
  }

  void Cancel() {
    if (queued_.empty()) {
      return;
    }
    RC_ASSERT(scheduler_->Cancel(*queued_.begin(), now_));
    queued_.erase(queued_.begin());
  }

  void Enqueue() {
    const CallId id = next_++;
    RC_ASSERT(core::IsOk(scheduler_->Enqueue(AnyCall(id), now_)));
    queued_.insert(id);
  }

  void Dispatch() {
    for (const auto& it : scheduler_->Next(now_)) {
      const std::string id = it.upstream.text();
      RC_ASSERT(queued_.erase(it.call) == 1U);
      RC_ASSERT(windows_.contains(id));
      RC_ASSERT(++load_[id] <= windows_[id]);
      running_[it.call] = id;
      log_.push_back(it);
    }
    RC_ASSERT(scheduler_->queued() == queued_.size());
    // Work conserving: no upstream is idle while a call is queued.
    for (const auto& [id, window] : windows_) {
      RC_ASSERT(queued_.empty() || load_[id] > 0);
    }
  }

  std::unique_ptr<Scheduler> scheduler_;
  core::TimePoint now_ = kStart;
  CallId next_ = 1;
  std::set<CallId> queued_;
  std::map<CallId, std::string> running_;
  std::map<std::string, uint32_t> windows_;
  std::map<std::string, uint32_t> load_;
  std::vector<hawthorn::scheduling::Dispatch> log_;
};

TEST_CASE(
    "windows are respected, work is conserved, leaving upstreams get no "
    "calls") {
  rc::prop("any sequence of events keeps the invariants", [] {
    SchedulerHarness harness(AnyPolicyName());
    const int steps = *rc::gen::inRange(1, 120);
    for (int n = 0; n < steps; ++n) {
      harness.Step();
    }
    harness.Drain();
  });
}

TEST_CASE("no queued call is lost when the policy changes") {
  rc::prop("switches between any policies keep the queue", [] {
    SchedulerHarness harness(AnyPolicyName());
    const int steps = *rc::gen::inRange(1, 60);
    for (int n = 0; n < steps; ++n) {
      harness.Step();
      if (n % 5 == 0) {
        harness.SwitchPolicy(AnyPolicyName());
      }
    }
    harness.Drain();
  });
}

/// Serves one call every 100 ms while copies of `rival` keep the queue full.
/// Returns the time for which `victim` waits.
milliseconds WaitOf(const std::string& policy, const CallRequest& victim,
                    CallRequest rival) {
  const auto scheduler = MakeZone(policy);
  scheduler->SetUpstream(Upstream("u1", 1), kStart);
  for (CallId id = 1; id <= 3; ++id) {
    rival.id = id;
    scheduler->Enqueue(rival, kStart);
  }
  scheduler->Enqueue(victim, kStart);
  CallId next = 10;
  for (core::TimePoint now = kStart; now < kStart + seconds(600);
       now += milliseconds(100)) {
    rival.id = next++;
    rival.program = core::ProgramId("r" + std::to_string(next));
    scheduler->Enqueue(rival, now);
    for (const Dispatch& it : scheduler->Next(now)) {
      if (it.call == victim.id) {
        return std::chrono::duration_cast<milliseconds>(now - kStart);
      }
      scheduler->OnFinished(Done(it.call), now + milliseconds(100));
    }
  }
  return milliseconds::max();
}

TEST_CASE("no call starves under any policy") {
  rc::prop("the least favoured call is served within five minutes", [] {
    CallRequest victim = Call(1000000, "weak");
    victim.attained_tokens = 100000;
    victim.service_class = "draft";
    CallRequest rival = Call(0, "strong");
    rival.interactive = true;
    rival.attained_tokens = 1;
    rival.organisation_weight = *rc::gen::inRange<uint32_t>(1, 20);
    RC_ASSERT(WaitOf(AnyPolicyName(), victim, rival) < seconds(300));
  });
}

TEST_CASE("shares of busy organisations follow their weights") {
  rc::prop("the served work is in proportion to the weights", [] {
    const auto heavy = *rc::gen::inRange<uint32_t>(1, 6);
    const auto scheduler = MakeZone("fair");
    scheduler->SetUpstream(Upstream("u1", 1), kStart);
    for (CallId id = 1; id <= 800; ++id) {
      CallRequest call = Call(id, id % 2 == 0 ? "heavy" : "light");
      call.organisation_weight = id % 2 == 0 ? heavy : 1;
      RC_ASSERT(core::IsOk(scheduler->Enqueue(call, kStart)));
    }
    std::map<bool, double> served;
    for (int n = 0; n < 300; ++n) {
      const auto sent = scheduler->Next(kStart);
      RC_ASSERT(sent.size() == 1U);
      served[sent[0].call % 2 == 0] += 1;
      scheduler->OnFinished(Done(sent[0].call), kStart);
    }
    const double share = served[true] / 300;
    const double wanted = heavy / (heavy + 1.0);
    RC_ASSERT(share > wanted - 0.05);
    RC_ASSERT(share < wanted + 0.05);
  });
}

TEST_CASE("outlier detection never empties the pool") {
  rc::prop("at least one member is always available", [] {
    OutlierDetector detector;
    std::set<size_t> members;
    core::TimePoint now = kStart;
    size_t ejected = 0;
    const int steps = *rc::gen::inRange(50, 400);
    for (int n = 0; n < steps; ++n) {
      const size_t member = *rc::gen::inRange<size_t>(0, 5);
      switch (*rc::gen::inRange(0, 12)) {
        case 0:
          detector.Remove(member);
          members.erase(member);
          break;
        case 1:
          detector.Add(member);
          members.insert(member);
          break;
        case 2:
          now += seconds(2);
          detector.Readmit(now);
          break;
        default:
          ejected += detector.Record(member, n % 20 == 0, now) ? 1 : 0;
      }
      RC_ASSERT(detector.size() == members.size());
      RC_ASSERT(members.empty() || detector.ejected() < members.size());
    }
    RC_CLASSIFY(ejected > 0, "ejections happened");
  });
  // Ejection does happen: a member that always fails is ejected.
  OutlierDetector detector;
  detector.Add(1);
  detector.Add(2);
  bool ejected = false;
  for (int n = 0; n < 10; ++n) {
    ejected = detector.Record(1, false, kStart) || ejected;
  }
  REQUIRE(ejected);
  for (int n = 0; n < 10; ++n) {
    REQUIRE_FALSE(detector.Record(2, false, kStart));
  }
}

}  // namespace
}  // namespace hawthorn::scheduling
