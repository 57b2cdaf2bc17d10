#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <compare>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "scheduling/quota_allocator.h"
#include "scheduling/quota_stock.h"

// Simulates many instances and the leaders of the group, with the messages
// between them, in steps of 1 ms.
namespace hawthorn::scheduling {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr core::TimePoint kStart{std::chrono::hours(1)};
constexpr seconds kWindow{5};

struct Faults {
  /// Probabilities of each message.
  double loss = 0;
  double duplicate = 0;
  /// Longest time in transit; messages overtake each other.
  milliseconds max_delay{5};
  bool freezes = false;
  bool leader_changes = false;
  bool limit_changes = false;
};

class Simulation {
 public:
  Simulation(uint32_t seed, size_t instances, QuotaLimits limits, Faults faults)
      : random_(seed), faults_(faults) {
    for (size_t n = 0; n < instances; ++n) {
      nodes_.push_back({QuotaStock(n + 1), {}});
    }
    leader_.BeginTerm(1, kStart - seconds(100));
    leader_.SetLimits(1, limits, kStart - seconds(100));
    SetLimits(std::move(limits));
  }

  /// Advances by 1 ms.
  void Step() {
    now_ += milliseconds(1);
    if (faults_.freezes && Chance(0.002)) {
      nodes_[Pick()].frozen_until = now_ + milliseconds(random_() % 6000);
    }
    if (faults_.leader_changes && Chance(0.0003)) {
      ChangeLeader();
    }
    if (faults_.limit_changes && Chance(0.0003)) {
      QuotaLimits changed;
      for (const auto& [name, limit] : limits_) {
        changed[name] = {limit.rate * (0.5 + Uniform()), limit.burst};
      }
      SetLimits(std::move(changed));
    }
    // Events may add further ones.
    while (!events_.empty() && events_.begin()->first <= now_) {
      const auto event = events_.extract(events_.begin());
      event.mapped()();
    }
    for (size_t n = 0; n < nodes_.size(); ++n) {
      Pump(n);
    }
  }

  /// A caller sends a request of `organisation` to a random instance.
  void Request(const std::string& organisation) {
    const size_t node = Pick();
    WhenAwake(node, [this, node, organisation, sent = now_] {
      const QuotaStock::Ticket ticket = ++next_ticket_;
      open_[ticket] = {organisation, sent, node};
      if (const auto status =
              nodes_[node].stock.Take(organisation, ticket, now_)) {
        OnDecision(ticket, *status);
      }
    });
  }

  /// Most requests that were both sent by callers and let pass in one window of
  /// 5 s, beyond what is allowed.
  double WorstExcess(const std::string& organisation) {
    std::vector<Passed>& passed = passed_[organisation];
    std::sort(passed.begin(), passed.end());
    double worst = -1e9;
    for (size_t begin = 0; begin < passed.size(); ++begin) {
      const core::TimePoint end = passed[begin].sent + kWindow;
      double count = 0;
      for (size_t n = begin; n < passed.size() && passed[n].sent < end; ++n) {
        count += passed[n].passed < end ? 1 : 0;
      }
      worst =
          std::max(worst, count - Allowed(organisation, passed[begin].sent));
    }
    return worst;
  }

  bool Chance(double p) { return Uniform() < p; }
  double Uniform() { return std::uniform_real_distribution<double>()(random_); }
  core::TimePoint now() const { return now_; }
  size_t passed(const std::string& organisation) {
    return passed_[organisation].size();
  }

  size_t messages = 0;
  std::map<std::string, size_t> limited;
  size_t unanswered = 0;
  /// Chance that a request is not sent to an upstream after it got credit.
  double given_back = 0;

 private:
  struct Node {
    QuotaStock stock;
    core::TimePoint frozen_until;
  };
  struct Passed {
    core::TimePoint sent;
    core::TimePoint passed;

    auto operator<=>(const Passed&) const = default;
  };
  struct Open {
    std::string organisation;
    core::TimePoint sent;
    size_t node = 0;
  };

  size_t Pick() { return random_() % nodes_.size(); }

  void At(core::TimePoint time, std::function<void()> event) {
    events_.emplace(time, std::move(event));
  }

  /// Runs `event` when the instance is not frozen.
  void WhenAwake(size_t node, std::function<void()> event) {
    if (now_ >= nodes_[node].frozen_until) {
      event();
      return;
    }
    At(nodes_[node].frozen_until,
       [this, node, event = std::move(event)] { WhenAwake(node, event); });
  }

  /// Delivers a message not at all, once or twice.
  void Transmit(const std::function<void()>& deliver) {
    ++messages;
    const int copies = Chance(faults_.loss)        ? 0
                       : Chance(faults_.duplicate) ? 2
                                                   : 1;
    for (int n = 0; n < copies; ++n) {
      At(now_ + milliseconds(1 + random_() % faults_.max_delay.count()),
         deliver);
    }
  }

  void Pump(size_t node) {
    if (now_ < nodes_[node].frozen_until) {
      return;
    }
    QuotaStock& stock = nodes_[node].stock;
    for (const auto& [ticket, status] : stock.TakeDecisions(now_)) {
      OnDecision(ticket, status);
    }
    const auto report = stock.TakeReport(now_);
    if (!report) {
      return;
    }
    Transmit([this, node, report = *report, term = known_term_[node]] {
      if (term != leader_.term()) {
        return;  // That leader grants nothing any more.
      }
      const auto answer = leader_.Answer(std::to_string(node), report, now_);
      if (core::IsOk(answer)) {
        Transmit([this, node, sequence = report.sequence,
                  answer = core::Value(answer)] {
          WhenAwake(node, [this, node, sequence, answer] {
            nodes_[node].stock.OnAnswer(sequence, answer, now_);
          });
        });
      }
    });
  }

  void OnDecision(QuotaStock::Ticket ticket, const core::Status& status) {
    const Open it = open_.extract(ticket).mapped();
    if (!core::IsOk(status)) {
      if (core::ErrorOf(status).code == core::ErrorCode::kLimitExceeded) {
        ++limited[it.organisation];
      } else {
        ++unanswered;
      }
    } else if (Chance(given_back)) {
      At(now_ + milliseconds(random_() % 3000), [this, it] {
        nodes_[it.node].stock.GiveBack(it.organisation, it.sent, now_);
      });
    } else {
      passed_[it.organisation].push_back({it.sent, now_});
    }
  }

  void ChangeLeader() {
    leader_.BeginTerm(leader_.term() + 1, now_);
    leader_.SetLimits(version_, limits_, now_);
    for (size_t node = 0; node < nodes_.size(); ++node) {
      At(now_ + milliseconds(random_() % 1000), [this, node] {
        WhenAwake(node, [this, node] {
          known_term_[node] = leader_.term();
          nodes_[node].stock.OnNewLeader();
        });
      });
    }
  }

  void SetLimits(QuotaLimits limits) {
    limits_ = std::move(limits);
    history_.emplace_back(now_, limits_);
    leader_.SetLimits(++version_, limits_, now_);
    for (size_t node = 0; node < nodes_.size(); ++node) {
      known_term_.try_emplace(node, leader_.term());
      // An instance without a configuration serves nobody.
      const milliseconds delay(version_ == 2 ? 0 : random_() % 300);
      At(now_ + delay, [this, node, version = version_, limits = limits_] {
        WhenAwake(node, [this, node, version, limits] {
          nodes_[node].stock.SetLimits(version, limits, now_);
        });
      });
    }
  }

  /// Requests that may pass in the window, by the highest limit in force since
  /// 2.5 s before it.
  double Allowed(const std::string& organisation, core::TimePoint begin) const {
    double allowed = 0;
    for (size_t n = 0; n < history_.size(); ++n) {
      const bool ended = n + 1 < history_.size() &&
                         history_[n + 1].first + milliseconds(2500) < begin;
      if (!ended && history_[n].first < begin + kWindow) {
        const QuotaLimit& limit = history_[n].second.at(organisation);
        allowed = std::max(allowed, MostOf(limit));
      }
    }
    return allowed;
  }

  /// Without a change of the leader the bound is that of one bucket, which is
  /// tighter than what is allowed.
  double MostOf(const QuotaLimit& limit) const {
    return faults_.leader_changes || faults_.limit_changes
               ? (limit.rate * 5 + limit.burst) * 1.1 + 20
               : limit.rate * 5 + QuotaAllocator::Capacity(limit) + 1;
  }

  std::mt19937 random_;
  Faults faults_;
  core::TimePoint now_ = kStart;
  std::vector<Node> nodes_;
  QuotaAllocator leader_;
  QuotaLimits limits_;
  uint64_t version_ = 1;
  std::vector<std::pair<core::TimePoint, QuotaLimits>> history_;
  std::map<size_t, uint64_t> known_term_;
  std::multimap<core::TimePoint, std::function<void()>> events_;
  std::map<QuotaStock::Ticket, Open> open_;
  QuotaStock::Ticket next_ticket_ = 0;
  std::map<std::string, std::vector<Passed>> passed_;
};

/// Callers of one organisation that never exceed its limit, but use its burst
/// at once from time to time.
class LawfulCallers {
 public:
  LawfulCallers(std::string organisation, QuotaLimit limit)
      : organisation_(std::move(organisation)),
        limit_(limit),
        credit_(limit.burst) {}

  void Step(Simulation* simulation) {
    credit_ = std::min(limit_.burst, credit_ + limit_.rate / 1000);
    const bool bursts = simulation->Chance(0.0005);
    if (bursts || simulation->Chance(limit_.rate * 0.8 / 1000)) {
      for (int n = 0; credit_ >= 1 && (bursts || n == 0); ++n) {
        credit_ -= 1;
        simulation->Request(organisation_);
      }
    }
  }

 private:
  std::string organisation_;
  QuotaLimit limit_;
  double credit_;
};

// Load: 64 instances; one organisation sends 8 times its limit, three small
// ones and a large one stay within theirs and use their bursts. Idle credit at
// other instances must never leave a lawful request without.
TEST_CASE(
    "An organisation within its limit is never refused beside a hot one") {
  const QuotaLimits limits = {{"hot", {60, 60}},
                              {"large", {150, 100}},
                              {"small1", {3, 5}},
                              {"small2", {14, 14}},
                              {"small3", {1, 30}}};
  for (uint32_t seed = 1; seed <= 6; ++seed) {
    CAPTURE(seed);
    Simulation it(seed, 64, limits, {});
    std::vector<LawfulCallers> callers;
    for (const auto& [name, limit] : limits) {
      if (name != "hot") {
        callers.emplace_back(name, limit);
      }
    }
    while (it.now() < kStart + seconds(20)) {
      it.Step();
      for (LawfulCallers& caller : callers) {
        caller.Step(&it);
      }
      if (it.Chance(0.48)) {
        it.Request("hot");
      }
    }
    for (const auto& [name, limit] : limits) {
      CAPTURE(name);
      CHECK(it.WorstExcess(name) <= 0);
      CHECK((name == "hot" || it.limited[name] == 0));
    }
    CHECK(it.unanswered == 0);
    // The rate is used, although instances are told to wait.
    CHECK(it.passed("hot") >= 60 * 20 * 0.95);
  }
}

// Load: 64 instances and one large organisation at 60 in 100 of its limit. A
// message for each request would cost the leader more than it has.
TEST_CASE("A large organisation needs less than a message for each request") {
  Simulation it(1, 64, {{"large", {500, 500}}}, {});
  while (it.now() < kStart + seconds(10)) {
    it.Step();
    if (it.Chance(0.3)) {
      it.Request("large");
    }
  }
  CHECK(it.limited["large"] == 0);
  // Each report and each answer is a message.
  CHECK(static_cast<double>(it.messages) / 2 <
        static_cast<double>(it.passed("large")) * 0.75);
}

// Callers stay below the limit, so that credit is lent, and then rush with four
// times the limit, while messages are lost, sent
// twice, late and reordered, instances freeze, leaders and limits change, and
// requests give their credit back. Each fault alone could let credit count
// twice.
TEST_CASE("No window exceeds the limit whatever fails") {
  const QuotaLimits limits = {
      {"a", {200, 50}}, {"b", {5, 100}}, {"c", {40, 0}}};
  for (uint32_t seed = 1; seed <= 40; ++seed) {
    CAPTURE(seed);
    Faults faults;
    faults.loss = seed % 3 == 0 ? 0 : 0.15;
    faults.duplicate = 0.1;
    faults.max_delay = milliseconds(seed % 2 == 0 ? 20 : 250);
    faults.freezes = seed % 4 != 0;
    faults.leader_changes = seed % 5 != 0;
    faults.limit_changes = seed % 5 >= 3;
    Simulation it(seed, 12, limits, faults);
    it.given_back = 0.1;
    while (it.now() < kStart + seconds(48)) {
      it.Step();
      const bool rush = (it.now() - kStart) % seconds(12) > seconds(6);
      for (const auto& [name, limit] : limits) {
        if (it.Chance((rush ? 0.004 : 0.0006) * limit.rate)) {
          it.Request(name);
        }
      }
    }
    for (const auto& [name, limit] : limits) {
      CAPTURE(name);
      CHECK(it.WorstExcess(name) <= 0);
    }
  }
}

}  // namespace
}  // namespace hawthorn::scheduling
