#include "control/order_dispatcher.h"

#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "control/control_state.h"
#include "rapidcheck/catch.h"

namespace hawthorn::control {
namespace {

using core::TimePoint;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr uint32_t kConcurrentLoads = 2;

DispatchTimes TestTimes() {
  DispatchTimes times;
  times.lease = seconds(2);
  times.max_message_lifetime = seconds(1);
  times.retry = milliseconds(300);
  return times;
}

// Engine that starts orders at once and finishes them later. An engine that
// verifies fencing refuses numbers below the highest one it received.
struct FakeEngine {
  bool verifies = false;
  uint64_t highest_fence = 0;
  std::map<uint64_t, TimePoint> done_at;
  uint64_t last_started = 0;
  int duplicates = 0;
  int out_of_order = 0;
  int overlapping = 0;
  int fenced = 0;

  OrderAnswer Execute(const schema::Order& order, TimePoint now,
                      TimePoint end) {
    if (!AdmitFence(order.fence())) {
      return OrderAnswer::kFenced;
    }
    if (done_at.count(order.number()) > 0) {
      ++duplicates;
    }
    if (order.number() < last_started) {
      ++out_of_order;
    }
    for (const auto& [number, it] : done_at) {
      overlapping += it > now ? 1 : 0;
    }
    last_started = order.number();
    done_at[order.number()] = end;
    return OrderAnswer::kDone;
  }

  OrderAnswer Query(const schema::Order& order, TimePoint now) {
    if (!AdmitFence(order.fence())) {
      return OrderAnswer::kFenced;
    }
    const auto it = done_at.find(order.number());
    if (it == done_at.end()) {
      return OrderAnswer::kNeverStarted;
    }
    return it->second > now ? OrderAnswer::kRunning : OrderAnswer::kDone;
  }

 private:
  bool AdmitFence(uint64_t fence) {
    if (verifies && fence < highest_fence) {
      ++fenced;
      return false;
    }
    highest_fence = std::max(highest_fence, fence);
    return true;
  }
};

// Simulation of two control instances, a log that both apply, engines, and a
// network that loses and delays messages. Leases never overlap, as consensus
// guarantees. An isolated leader neither commits nor receives new entries.
class OrderSimulation {
 public:
  OrderSimulation(uint64_t seed, bool verifies) : random_(seed) {
    for (int i = 0; i < 3; ++i) {
      engines_["gpu-" + std::to_string(i)].verifies = verifies;
      upstreams_["gpu-" + std::to_string(i)] = {verifies, false};
    }
    schema::ControlCommand command;
    auto* apply = command.mutable_apply();
    apply->set_author("ana");
    apply->set_operation("1-first");
    apply->mutable_configuration()->set_weight_store_concurrent_loads(
        kConcurrentLoads);
    Commit(command);
    for (int i = 0; i < 2; ++i) {
      dispatchers_.push_back(std::make_unique<OrderDispatcher>(
          "c-" + std::to_string(i), TestTimes()));
    }
  }

  void Place(int n) {
    schema::ControlCommand command;
    auto* place = command.mutable_place_order();
    place->set_author("ana");
    place->set_operation(std::to_string(n) + "-order");
    auto* spec = place->mutable_spec();
    spec->set_upstream("gpu-" + std::to_string(random_() % 3));
    spec->set_service("model-pool");
    spec->set_kind(random_() % 4 == 0 ? schema::ORDER_KIND_CHANGE_ROLE
                                      : schema::ORDER_KIND_LOAD_MODEL);
    spec->set_model("m-1");
    spec->set_role("decode");
    REQUIRE(Commit(command).verdict() == schema::CONTROL_VERDICT_ACCEPTED);
  }

  // Runs `steps` steps of 50 ms. Messages are lost or delayed with a
  // probability of `fault_percent` percent; if it is not 0, the leadership is
  // handed over or the leader is isolated with a probability of 1 percent each.
  void Run(int steps, int fault_percent) {
    for (int i = 0; i < steps; ++i) {
      now_ += milliseconds(50);
      Lead(fault_percent);
      CommitLate();
      Deliver();
      for (auto& it : dispatchers_) {
        Dispatch(it.get(), fault_percent);
      }
      CheckLoads();
    }
  }

  size_t open() const { return book().open_orders().size(); }
  int Sum(int FakeEngine::*counter) const {
    int n = 0;
    for (const auto& [name, engine] : engines_) {
      n += engine.*counter;
    }
    return n;
  }
  size_t done() const {
    size_t n = 0;
    for (const auto& [name, engine] : engines_) {
      n += engine.done_at.size();
    }
    return n;
  }

  int lost_orders = 0;
  int lost_replies = 0;
  int lost_proposals = 0;
  int late_proposals = 0;
  int leader_changes = 0;
  int isolations = 0;
  int handovers = 0;
  int queries = 0;
  int sends_outside_lease = 0;
  int load_excess = 0;

 private:
  struct Message {
    TimePoint at;
    int sender = 0;
    schema::Order order;
    bool is_query = false;
    bool is_reply = false;
    OrderAnswer answer = OrderAnswer::kRunning;
  };

  // Appends to the log; instances that are not isolated apply it at once.
  schema::ControlReply Commit(schema::ControlCommand command) {
    command.set_wall_ms(1'000);
    log_.push_back(std::move(command));
    schema::ControlReply reply;
    for (int i = 0; i < 2; ++i) {
      if (!is_isolated_ || i != leader_) {
        reply = CatchUp(i);
      }
    }
    return reply;
  }

  schema::ControlReply CatchUp(int instance) {
    schema::ControlReply reply;
    for (; applied_[instance] < log_.size(); ++applied_[instance]) {
      reply = states_[instance].Apply(log_[applied_[instance]]);
    }
    return reply;
  }

  const OrderBook& book() const {
    return states_[applied_[0] >= applied_[1] ? 0 : 1].orders();
  }

  bool Happens(int percent) {
    return static_cast<int>(random_() % 100) < percent;
  }

  // Renews the leader's lease, isolates the leader, hands the leadership over,
  // or elects the other instance when the lease has expired.
  void Lead(int fault_percent) {
    const bool hands_over = !is_isolated_ && Happens(fault_percent > 0 ? 1 : 0);
    if (hands_over) {
      ++handovers;
      dispatchers_[leader_]->LoseLeadership();
    }
    if (hands_over || now_ >= lease_.valid_until) {
      ++leader_changes;
      // An isolated leader may not know about the new one, but its lease has
      // expired.
      leader_ = 1 - leader_;
      lease_ = {lease_.term + 1, now_ + milliseconds(1500)};
      is_isolated_ = false;
      CatchUp(0);
      CatchUp(1);
      dispatchers_[leader_]->BecomeLeader(lease_, now_);
      return;
    }
    if (!is_isolated_ && Happens(fault_percent > 0 ? 1 : 0)) {
      is_isolated_ = true;
      ++isolations;
    }
    if (!is_isolated_) {
      lease_.valid_until = now_ + milliseconds(1500);
      dispatchers_[leader_]->RenewLease(lease_);
    }
  }

  void Dispatch(OrderDispatcher* dispatcher, int fault_percent) {
    const int sender = dispatcher == dispatchers_[0].get() ? 0 : 1;
    for (OrderAction& it : dispatcher->Tick(now_, states_[sender].orders(),
                                            upstreams_, kConcurrentLoads)) {
      if (auto* proposal = std::get_if<ProposeCommand>(&it)) {
        Propose(proposal->command, sender, fault_percent);
      } else if (auto* send = std::get_if<SendOrder>(&it)) {
        Send(sender, send->order, send->deadline, false, fault_percent);
      } else {
        const auto& query = std::get<QueryOrder>(it);
        ++queries;
        Send(sender, query.order, query.deadline, true, fault_percent);
      }
    }
  }

  void Propose(const schema::ControlCommand& command, int sender,
               int fault_percent) {
    const bool is_unreachable = sender != leader_ || is_isolated_;
    if (is_unreachable || Happens(fault_percent)) {
      ++lost_proposals;
      return;
    }
    if (Happens(fault_percent)) {
      ++late_proposals;
      late_log_.emplace_back(now_ + milliseconds(random_() % 3000), command);
      return;
    }
    Commit(command);
  }

  void CommitLate() {
    std::vector<schema::ControlCommand> due;
    std::erase_if(late_log_, [&](const auto& it) {
      if (it.first <= now_) {
        due.push_back(it.second);
      }
      return it.first <= now_;
    });
    for (const schema::ControlCommand& it : due) {
      Commit(it);
    }
  }

  void Send(int sender, const schema::Order& order, TimePoint deadline,
            bool is_query, int fault_percent) {
    if (sender != leader_ || now_ >= lease_.valid_until ||
        deadline > lease_.valid_until) {
      ++sends_outside_lease;
    }
    if (Happens(fault_percent)) {
      ++lost_orders;
      return;
    }
    Message message;
    // A message may arrive after its deadline, up to its maximum lifetime.
    message.at = now_ + milliseconds(random_() % 1000);
    message.sender = sender;
    message.order = order;
    message.is_query = is_query;
    network_.push_back(std::move(message));
    reply_loss_percent_ = fault_percent;
  }

  void Deliver() {
    std::deque<Message> due;
    std::erase_if(network_, [&](Message& it) {
      if (it.at > now_) {
        return false;
      }
      due.push_back(std::move(it));
      return true;
    });
    for (Message& it : due) {
      it.is_reply ? DeliverReply(it) : Execute(&it);
    }
  }

  void Execute(Message* message) {
    FakeEngine& engine = engines_[message->order.spec().upstream()];
    const TimePoint end = now_ + milliseconds(random_() % 800);
    message->answer = message->is_query
                          ? engine.Query(message->order, now_)
                          : engine.Execute(message->order, now_, end);
    if (Happens(reply_loss_percent_)) {
      ++lost_replies;
      return;
    }
    message->at = message->is_query ? now_ + milliseconds(50) : end;
    message->is_reply = true;
    network_.push_back(std::move(*message));
  }

  void DeliverReply(const Message& message) {
    OrderDispatcher& dispatcher = *dispatchers_[message.sender];
    const schema::Order& order = message.order;
    if (message.is_query) {
      dispatcher.OnQueryAnswer(order.number(), order.attempts(), message.answer,
                               "");
    } else {
      dispatcher.OnAnswer(order.number(), order.attempts(), message.answer, "");
    }
  }

  void CheckLoads() {
    size_t loading = 0;
    for (const uint64_t number : book().open_orders()) {
      const schema::Order& order = *book().Find(number);
      loading += IsLoad(order.spec().kind()) && MayRun(order.state()) ? 1 : 0;
    }
    load_excess += loading > kConcurrentLoads ? 1 : 0;
  }

  std::mt19937_64 random_;
  TimePoint now_{};
  std::vector<schema::ControlCommand> log_;
  ControlState states_[2];
  size_t applied_[2] = {0, 0};
  std::vector<std::pair<TimePoint, schema::ControlCommand>> late_log_;
  std::vector<std::unique_ptr<OrderDispatcher>> dispatchers_;
  UpstreamsForOrders upstreams_;
  std::map<std::string, FakeEngine> engines_;
  std::deque<Message> network_;
  int leader_ = 0;
  LeaderLease lease_;
  bool is_isolated_ = false;
  int reply_loss_percent_ = 0;
};

struct Totals {
  size_t done = 0;
  int lost = 0;
  int late = 0;
  int leader_changes = 0;
  int isolations = 0;
  int handovers = 0;
  int queries = 0;
  int fenced = 0;
};

void RunSimulation(uint64_t seed, bool verifies, Totals* totals) {
  constexpr int kOrders = 30;
  OrderSimulation simulation(seed, verifies);
  for (int i = 0; i < kOrders; ++i) {
    simulation.Place(i + 1);
    simulation.Run(20, 15);
  }
  // Once the faults stop, every order ends.
  for (int i = 0; i < 100 && simulation.open() > 0; ++i) {
    simulation.Run(100, 0);
  }
  RC_ASSERT(simulation.open() == 0U);
  RC_ASSERT(simulation.done() == static_cast<size_t>(kOrders));
  RC_ASSERT(simulation.Sum(&FakeEngine::duplicates) == 0);
  RC_ASSERT(simulation.Sum(&FakeEngine::out_of_order) == 0);
  RC_ASSERT(simulation.Sum(&FakeEngine::overlapping) == 0);
  RC_ASSERT(simulation.sends_outside_lease == 0);
  RC_ASSERT(simulation.load_excess == 0);
  totals->done += simulation.done();
  totals->lost += simulation.lost_orders + simulation.lost_replies +
                  simulation.lost_proposals;
  totals->late += simulation.late_proposals;
  totals->leader_changes += simulation.leader_changes;
  totals->isolations += simulation.isolations;
  totals->handovers += simulation.handovers;
  totals->queries += simulation.queries;
  totals->fenced += simulation.Sum(&FakeEngine::fenced);
}

void CheckFaultsHappened(const Totals& totals) {
  CHECK(totals.done > 0);
  CHECK(totals.lost > 100);
  CHECK(totals.late > 100);
  CHECK(totals.leader_changes > 100);
  CHECK(totals.isolations > 100);
  CHECK(totals.handovers > 100);
  CHECK(totals.queries > 100);
}

TEST_CASE("Engines that ignore fencing run each order once and in order") {
  Totals totals;
  CHECK(rc::check([&](uint64_t seed) { RunSimulation(seed, false, &totals); }));
  CheckFaultsHappened(totals);
}

TEST_CASE("A transition under an old fencing number is refused") {
  OrderBook book;
  schema::PlaceOrder place;
  place.mutable_spec()->set_upstream("gpu-1");
  place.mutable_spec()->set_service("model-pool");
  place.mutable_spec()->set_kind(schema::ORDER_KIND_CHANGE_ROLE);
  place.mutable_spec()->set_role("decode");
  const uint64_t number = book.Place(place, 1).number();
  schema::OpenFence open;
  open.set_term(4);
  open.set_leader("c-1");
  const uint64_t old_fence = book.OpenFence(open).number();
  CHECK(book.OpenFence(open).number() == old_fence);
  open.set_term(5);
  open.set_leader("c-2");
  CHECK(book.OpenFence(open).number() > old_fence);
  open.set_term(4);
  CHECK(book.OpenFence(open).verdict() == schema::CONTROL_VERDICT_CONFLICT);
  schema::MarkOrder mark;
  mark.set_number(number);
  mark.set_fence(old_fence);
  mark.set_attempt(1);
  mark.set_state(schema::ORDER_STATE_SENT);
  CHECK(book.Mark(mark, 1).verdict() == schema::CONTROL_VERDICT_CONFLICT);
  CHECK(book.Find(number)->state() == schema::ORDER_STATE_ACCEPTED);
  mark.set_fence(book.last_fence());
  CHECK(book.Mark(mark, 1).verdict() == schema::CONTROL_VERDICT_ACCEPTED);
  schema::CancelOrder cancel;
  cancel.set_number(number);
  CHECK(book.Cancel(cancel).verdict() == schema::CONTROL_VERDICT_CONFLICT);
}

TEST_CASE("Engines that verify fencing run each order once and in order") {
  Totals totals;
  CHECK(rc::check([&](uint64_t seed) { RunSimulation(seed, true, &totals); }));
  CheckFaultsHappened(totals);
}

}  // namespace
}  // namespace hawthorn::control
