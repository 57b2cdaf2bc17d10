#include "deployment_simulation.h"

#include <QCoreApplication>
#include <algorithm>
#include <sstream>
#include <utility>

#include "cluster/errors.h"

namespace hawthorn::cluster {

namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;

constexpr milliseconds kLatency{1};
constexpr milliseconds kSyncTime{1};
constexpr milliseconds kStartLimit{10'000};
constexpr milliseconds kTurnTime{40};
constexpr milliseconds kPause{20};
constexpr milliseconds kLeastRetryAfter{100};
constexpr int kTriesPerTurn = 2;
constexpr uint64_t kRequestsPerMove = 4;
constexpr int64_t kTokensPerTurn = 100;
constexpr int kControlInstances = 5;
constexpr int kUpstreams = 60;

}  // namespace

/// A request or a stream, known to both sides.
struct DeploymentSimulation::Exchange {
  uint64_t number = 0;
  Node* from = nullptr;
  bool single_reply = false;
  milliseconds timeout{0};
  core::TimePoint deadline;
  peer::StreamCallbacks callbacks;
  /// Whether the requester still waits.
  bool is_open = true;
  std::weak_ptr<SimulatedReply> reply;
};

class DeploymentSimulation::SimulatedReply final : public peer::ReplySink {
 public:
  SimulatedReply(DeploymentSimulation& world, Node* node,
                 std::shared_ptr<Exchange> exchange)
      : world_(world), node_(node), exchange_(std::move(exchange)) {}
  ~SimulatedReply() override {
    if (IsOpen()) {
      Fail(Unavailable("the peer gave no answer"));
    }
  }

  core::Status SendChunk(const schema::PeerMessage& chunk) override;
  void Finish() override {
    if (IsOpen()) {
      End(std::monostate{});
    }
  }
  void Fail(const core::Error& error) override {
    if (IsOpen()) {
      node_->work += world_.options_.costs.message_out;
      End(error);
    }
  }
  bool IsOpen() const override { return !ended_ && !cancelled_; }
  void OnCancel(std::function<void()> callback) override {
    on_cancel_ = std::move(callback);
  }
  void OnWritable(std::function<void()> /*callback*/) override {}
  void Cancel() {
    cancelled_ = true;
    if (on_cancel_) {
      std::exchange(on_cancel_, nullptr)();
    }
  }

 private:
  void End(const core::Status& status);

  DeploymentSimulation& world_;
  Node* node_;
  std::shared_ptr<Exchange> exchange_;
  bool ended_ = false;
  bool cancelled_ = false;
  std::function<void()> on_cancel_;
};

class DeploymentSimulation::SimulatedTransport final : public peer::Transport {
 public:
  SimulatedTransport(DeploymentSimulation& world, Node* node)
      : world_(world), node_(node) {}

  core::Status SetPeer(const core::InstanceId&, const std::string&) override {
    return std::monostate{};
  }
  core::Status Send(const core::InstanceId& to,
                    schema::PeerMessage message) override {
    Transmit(to, std::move(message), nullptr);
    return std::monostate{};
  }
  void Request(const core::InstanceId& to, schema::PeerMessage message,
               milliseconds timeout, peer::ReplyCallback callback) override {
    auto reply = std::make_shared<std::optional<schema::PeerMessage>>();
    peer::StreamCallbacks callbacks;
    callbacks.on_chunk = [reply](const schema::PeerMessage& chunk) {
      *reply = chunk;
    };
    callbacks.on_end =
        [reply, callback = std::move(callback)](const core::Status& status) {
          if (core::IsOk(status) && reply->has_value()) {
            callback(std::move(**reply));
          } else {
            callback(core::ErrorOf(status));
          }
        };
    Open(to, std::move(message), timeout, true, std::move(callbacks));
  }
  peer::StreamHandle OpenStream(const core::InstanceId& to,
                                schema::PeerMessage message,
                                milliseconds idle_timeout,
                                peer::StreamCallbacks callbacks) override {
    return {Open(to, std::move(message), idle_timeout, false,
                 std::move(callbacks))};
  }
  void CancelStream(peer::StreamHandle stream) override {
    const auto it = exchanges_.find(stream.number);
    if (it != exchanges_.end()) {
      Abandon(it->second);
    }
  }
  peer::PeerCounters counters() const override { return counters_; }

  /// The requester gets a chunk of a reply.
  void OnChunk(const std::shared_ptr<Exchange>& exchange,
               const schema::PeerMessage& chunk) {
    if (!exchange->is_open) {
      return;
    }
    exchange->deadline = world_.clock_.Now() + exchange->timeout;
    const auto on_chunk = exchange->callbacks.on_chunk;
    on_chunk(chunk);
    if (exchange->single_reply && exchange->is_open) {
      OnEnd(exchange, std::monostate{});
    }
  }
  void OnEnd(const std::shared_ptr<Exchange>& exchange,
             const core::Status& status) {
    if (!std::exchange(exchange->is_open, false)) {
      return;
    }
    exchanges_.erase(exchange->number);
    const auto on_end = std::move(exchange->callbacks.on_end);
    on_end(status);
  }
  void CountIn(size_t bytes) {
    ++counters_.messages_in;
    counters_.bytes_in += bytes;
  }

 private:
  uint64_t Open(const core::InstanceId& to, schema::PeerMessage message,
                milliseconds timeout, bool single_reply,
                peer::StreamCallbacks callbacks) {
    auto exchange = std::make_shared<Exchange>();
    exchange->number = ++world_.last_exchange_;
    exchange->from = node_;
    exchange->single_reply = single_reply;
    exchange->timeout = timeout;
    exchange->deadline = world_.clock_.Now() + timeout;
    exchange->callbacks = std::move(callbacks);
    exchanges_[exchange->number] = exchange;
    CheckLater(exchange);
    Transmit(to, std::move(message), exchange);
    return exchange->number;
  }
  void CheckLater(const std::shared_ptr<Exchange>& exchange) {
    world_.At(exchange->deadline, [this, exchange] {
      if (!exchange->is_open) {
        return;
      }
      if (world_.clock_.Now() < exchange->deadline) {
        CheckLater(exchange);
        return;
      }
      world_.Post(node_, [this, exchange] {
        if (exchange->is_open) {
          NotifyPeer(exchange);
          OnEnd(exchange, core::Error{core::ErrorCode::kDeadlineExceeded,
                                      "no reply came in time",
                                      core::Execution::kUnknown,
                                      {}});
        }
      });
    });
  }
  void Abandon(const std::shared_ptr<Exchange>& exchange) {
    exchange->is_open = false;
    exchange->callbacks = {};
    NotifyPeer(exchange);
    exchanges_.erase(exchange->number);
  }
  void NotifyPeer(const std::shared_ptr<Exchange>& exchange) {
    node_->outbox.push_back([exchange] {
      if (const auto reply = exchange->reply.lock()) {
        reply->Cancel();
      }
    });
  }
  void Transmit(const core::InstanceId& to, schema::PeerMessage message,
                const std::shared_ptr<Exchange>& exchange) {
    Node* target = world_.FindNode(to.text());
    const size_t bytes = message.ByteSizeLong();
    ++counters_.messages_out;
    counters_.bytes_out += bytes;
    node_->work += world_.CostOf(bytes, world_.options_.costs.message_out);
    if (target == nullptr) {
      return;
    }
    message.set_from(node_->id);
    node_->outbox.push_back([&world = world_, target, bytes, exchange,
                             message = std::move(message)] {
      world.Post(target, [&world, target, bytes, exchange, message] {
        target->transport->CountIn(bytes);
        target->work += world.CostOf(bytes, world.options_.costs.message_in);
        peer::Replier replier;
        if (exchange != nullptr) {
          const auto reply =
              std::make_shared<SimulatedReply>(world, target, exchange);
          exchange->reply = reply;
          if (!exchange->is_open) {
            reply->Cancel();
          }
          replier = peer::Replier(reply);
        }
        target->handler(message, replier);
      });
    });
  }

  DeploymentSimulation& world_;
  Node* node_;
  std::map<uint64_t, std::shared_ptr<Exchange>> exchanges_;
  peer::PeerCounters counters_;
};

/// Writes at once and reports it after the time of a sync.
class DeploymentSimulation::SimulatedJournal final
    : public storage::JournalSink {
 public:
  SimulatedJournal(DeploymentSimulation& world, Node* node,
                   storage::JournalThread::EventSink events)
      : world_(world), node_(node), events_(std::move(events)) {}

  void Write(const std::string& group, storage::LogStore& store,
             storage::LogBatch batch) override {
    const core::Status status = store.Write(batch);
    world_.At(world_.clock_.Now() + kSyncTime,
              [this, written = storage::JournalWritten{group, batch.sequence,
                                                       status}] {
                world_.Post(node_, [this, written] { events_(written); });
              });
  }

 private:
  DeploymentSimulation& world_;
  Node* node_;
  storage::JournalThread::EventSink events_;
};

core::Status DeploymentSimulation::SimulatedReply::SendChunk(
    const schema::PeerMessage& chunk) {
  if (!IsOpen()) {
    return Unavailable("the caller no longer waits");
  }
  node_->work +=
      world_.CostOf(chunk.ByteSizeLong(), world_.options_.costs.message_out);
  schema::PeerMessage message = chunk;
  message.set_from(node_->id);
  node_->outbox.push_back(
      [&world = world_, exchange = exchange_, message = std::move(message)] {
        world.Post(exchange->from, [exchange, message] {
          exchange->from->transport->OnChunk(exchange, message);
        });
      });
  return std::monostate{};
}

void DeploymentSimulation::SimulatedReply::End(const core::Status& status) {
  ended_ = true;
  node_->outbox.push_back([&world = world_, exchange = exchange_, status] {
    world.Post(exchange->from, [exchange, status] {
      exchange->from->transport->OnEnd(exchange, status);
    });
  });
}

DeploymentSimulation::DeploymentSimulation(Options options,
                                           test::VirtualTime& time,
                                           core::ManualClock& clock)
    : options_(options), time_(time), clock_(clock), random_(options.seed) {
  for (int n = 0; n < kControlInstances; ++n) {
    hosts_.push_back(
        &AddNode("10.0.0." + std::to_string(n + 1), options_.control_cores));
  }
  for (int n = 0; n < options_.entries; ++n) {
    entries_.push_back(&AddNode(
        "10.1." + std::to_string(n / 250) + "." + std::to_string(n % 250 + 1),
        0));
  }
}

DeploymentSimulation::~DeploymentSimulation() {
  for (Node* it : entries_) {
    it->client.reset();
  }
  for (Node* it : hosts_) {
    it->host.reset();
  }
  events_ = {};
  QCoreApplication::removePostedEvents(nullptr);
}

DeploymentSimulation::Node& DeploymentSimulation::AddNode(const std::string& id,
                                                          double cores) {
  auto node = std::make_unique<Node>();
  node->owner = static_cast<int>(nodes_.size()) + 1;
  node->id = id;
  node->cores = cores;
  node->busy_until = clock_.Now();
  node->transport = std::make_unique<SimulatedTransport>(*this, node.get());
  return *(nodes_[id] = std::move(node));
}

DeploymentSimulation::Node* DeploymentSimulation::FindNode(
    const std::string& id) {
  const auto it = nodes_.find(id);
  return it == nodes_.end() ? nullptr : it->second.get();
}

nanoseconds DeploymentSimulation::CostOf(size_t bytes, nanoseconds message) {
  constexpr int64_t kBytesPerKilobyte = 1024;
  return message + options_.costs.kilobyte * static_cast<int64_t>(bytes) /
                       kBytesPerKilobyte;
}

void DeploymentSimulation::StartHost(Node* node) {
  node->files = std::make_unique<turns::MemoryFiles>();
  HostOptions options;
  options.self.set_instance(node->id);
  options.self.set_name("machine-" + node->id);
  options.self.set_zone("zone-" + std::to_string(node->owner));
  options.self.set_serves_control(true);
  options.self.set_peer_address(node->id + ":7000");
  options.self.set_memory_bytes(uint64_t{256} << 20U);
  for (const Node* it : hosts_) {
    options.initial_members.push_back(it->id);
    options.seeds.push_back(it->id + ":7000");
  }
  options.data_folder = "disk";
  options.seed = options_.seed + static_cast<uint64_t>(node->owner);
  options.files = node->files.get();
  options.journal = [this, node](storage::JournalThread::EventSink events) {
    return std::make_unique<SimulatedJournal>(*this, node, std::move(events));
  };
  node->host = std::make_unique<DeploymentHost>(options, clock_, metrics_,
                                                *node->transport);
  node->handler = [host = node->host.get()](schema::PeerMessage message,
                                            const peer::Replier& replier) {
    if (message.has_group()) {
      host->OnGroupMessage(message.group());
      return;
    }
    const auto unpacked = Unpack(message);
    if (core::IsOk(unpacked)) {
      host->OnMessage(core::Value(unpacked), message.from(), replier);
    }
  };
  node->host->Start();
}

void DeploymentSimulation::StartClient(Node* node) {
  std::vector<std::string> seeds;
  for (const Node* it : hosts_) {
    seeds.push_back(it->id + ":7000");
  }
  node->client = std::make_unique<DeploymentClient>(
      seeds, random_(), clock_, metrics_, *node->transport,
      [](const schema::DeploymentUpdate&) {});
  node->handler = [](const schema::PeerMessage&, const peer::Replier&) {};
  node->client->Start();
}

void DeploymentSimulation::At(core::TimePoint time, std::function<void()> run) {
  events_.push({std::max(time, clock_.Now()), ++last_order_, std::move(run)});
}

void DeploymentSimulation::Post(Node* node, std::function<void()> function) {
  node->inbox.push_back(std::move(function));
  WakeAt(node, clock_.Now());
}

void DeploymentSimulation::WakeAt(Node* node, core::TimePoint time) {
  time = std::max({time, node->busy_until, clock_.Now()});
  if (time >= node->wake_at) {
    return;
  }
  node->wake_at = time;
  At(time, [this, node, time] {
    if (node->wake_at == time) {
      RunNode(node);
    }
  });
}

void DeploymentSimulation::RunNode(Node* node) {
  node->wake_at = core::TimePoint::max();
  if (node->busy_until > clock_.Now()) {
    WakeAt(node, node->busy_until);
    return;
  }
  current_ = node;
  time_.SetOwner(node->owner);
  node->work = options_.costs.turn_of_loop;
  for (const auto& it : std::exchange(node->inbox, {})) {
    it();
  }
  time_.FireDue(node->owner);
  time_.DeliverPosted();
  ChargeApplied(node);
  current_ = nullptr;
  const auto busy =
      node->cores > 0
          ? nanoseconds(static_cast<int64_t>(
                static_cast<double>(node->work.count()) / node->cores))
          : nanoseconds(0);
  node->busy_until = std::max(node->busy_until, clock_.Now()) + busy;
  const core::TimePoint arrival = node->busy_until + kLatency;
  for (auto& it : std::exchange(node->outbox, {})) {
    At(arrival, std::move(it));
  }
  if (!node->inbox.empty()) {
    WakeAt(node, node->busy_until);
  }
  if (const auto next = time_.NextDeadline(node->owner)) {
    WakeAt(node, *next);
  }
}

void DeploymentSimulation::ChargeApplied(Node* node) {
  if (!node->host) {
    return;
  }
  const control::ApplyCounts now = node->host->state().counts();
  const control::ApplyCounts before = std::exchange(node->counted, now);
  const auto charge = [node](uint64_t from, uint64_t to, nanoseconds cost) {
    node->work += cost * static_cast<int64_t>(to - from);
  };
  charge(before.commands, now.commands, options_.costs.command);
  charge(before.claims, now.claims, options_.costs.claim);
  charge(before.settlements, now.settlements, options_.costs.settlement);
}

void DeploymentSimulation::RunUntil(core::TimePoint time) {
  while (!events_.empty() && events_.top().at <= time) {
    const Event event = events_.top();
    events_.pop();
    clock_.Advance(event.at - clock_.Now());
    event.run();
  }
  clock_.Advance(time - clock_.Now());
}

bool DeploymentSimulation::Start() {
  const auto in_node = [this](Node* node, auto&& function) {
    Post(node, function);
  };
  for (Node* it : hosts_) {
    in_node(it, [this, it] { StartHost(it); });
  }
  const core::TimePoint limit = clock_.Now() + kStartLimit;
  while (Leader() == hosts_.size() && clock_.Now() < limit) {
    RunUntil(clock_.Now() + milliseconds(10));
  }
  if (Leader() == hosts_.size()) {
    return false;
  }
  Node* leader = hosts_[Leader()];
  for (int n = 0; n < kUpstreams; ++n) {
    schema::DeploymentCommand command;
    command.mutable_upstream()->set_upstream("upstream-" + std::to_string(n));
    command.mutable_upstream()->set_service("service");
    command.mutable_upstream()->set_address("10.2.0." + std::to_string(n + 1) +
                                            ":80");
    in_node(leader, [leader, command] {
      leader->host->Propose(
          command, [](const core::Result<schema::DeploymentReply>&) {});
    });
  }
  for (Node* it : entries_) {
    in_node(it, [this, it] { StartClient(it); });
  }
  const auto all_current = [this] {
    return std::all_of(entries_.begin(), entries_.end(), [](const Node* it) {
      return it->client && it->client->IsCurrent();
    });
  };
  while (!all_current() && clock_.Now() < limit) {
    RunUntil(clock_.Now() + milliseconds(10));
  }
  load_started_ = clock_.Now();
  return all_current();
}

size_t DeploymentSimulation::Leader() const {
  const auto it =
      std::find_if(hosts_.begin(), hosts_.end(), [](const Node* node) {
        return node->host && node->host->is_leader() && node->host->IsCurrent();
      });
  return static_cast<size_t>(it - hosts_.begin());
}

void DeploymentSimulation::Freeze(size_t n, milliseconds duration) {
  Node* node = hosts_.at(n);
  node->busy_until = std::max(node->busy_until, clock_.Now() + duration);
}

void DeploymentSimulation::SetCores(size_t n, double cores) {
  hosts_.at(n)->cores = cores;
}

void DeploymentSimulation::Run(milliseconds duration,
                               double programs_per_second) {
  const core::TimePoint until = clock_.Now() + duration;
  ScheduleArrival(until, programs_per_second);
  RunUntil(until);
}

void DeploymentSimulation::ScheduleArrival(core::TimePoint until,
                                           double per_second) {
  std::exponential_distribution<double> gap(per_second);
  const core::TimePoint next =
      clock_.Now() + nanoseconds(static_cast<int64_t>(gap(random_) * 1e9));
  if (next >= until) {
    return;
  }
  At(next, [this, until, per_second] {
    BeginProgram();
    ScheduleArrival(until, per_second);
  });
}

size_t DeploymentSimulation::second() const {
  return static_cast<size_t>(
      core::MillisecondsBetween(load_started_, clock_.Now()).count() / 1000);
}

void DeploymentSimulation::BeginProgram() {
  auto program = std::make_shared<Program>();
  program->id = "program-" + std::to_string(++last_program_);
  program->second = second();
  program->turns_left = options_.turns_per_program;
  program->tries_left = kTriesPerTurn;
  program->entry = entries_[random_() % entries_.size()];
  seconds_.resize(std::max(seconds_.size(), program->second + 1));
  ++seconds_[program->second].offered;
  ClaimTurn(program);
}

void DeploymentSimulation::ClaimTurn(const ProgramPtr& program) {
  // Callers keep their connections, but for some of their requests.
  if (random_() % kRequestsPerMove == 0) {
    program->entry = entries_[random_() % entries_.size()];
  }
  relay::TokenClaim claim;
  claim.program = program->id;
  claim.request_id = program->id + "-" + std::to_string(++program->requests);
  claim.budget = kTokensPerTurn * options_.turns_per_program * kTriesPerTurn;
  claim.tokens = kTokensPerTurn;
  claim.retention = std::chrono::seconds(60);
  Post(program->entry, [this, program, claim] {
    program->entry->client->Claim(
        claim, kClaimTimeout,
        [this, program, claim, asked_at = clock_.Now()](const auto& reply) {
          OnClaimed(program, claim, asked_at, reply);
        });
  });
}

void DeploymentSimulation::OnClaimed(
    const ProgramPtr& program, const relay::TokenClaim& claim,
    core::TimePoint asked_at, const core::Result<relay::ClaimReply>& reply) {
  Node* entry = program->entry;
  SecondOfLoad& second = seconds_[program->second];
  if (core::IsOk(reply)) {
    At(clock_.Now() + kTurnTime, [this, program, claim, entry] {
      Post(entry, [entry, claim] {
        entry->client->Settle(claim, kTokensPerTurn / 2);
      });
      program->tries_left = kTriesPerTurn;
      if (--program->turns_left == 0) {
        ++seconds_[program->second].served;
        return;
      }
      At(clock_.Now() + kPause, [this, program] { ClaimTurn(program); });
    });
    return;
  }
  const core::Error& error = core::ErrorOf(reply);
  if (error.code != core::ErrorCode::kOverloaded ||
      error.execution != core::Execution::kNotRun) {
    entry->client->Settle(claim, 0);
  }
  ++second.refused;
  second.refusal_wait += core::MillisecondsBetween(asked_at, clock_.Now());
  if (--program->tries_left > 0) {
    const milliseconds wait = std::max(
        error.retry_after.value_or(kLeastRetryAfter), kLeastRetryAfter);
    At(clock_.Now() + wait, [this, program] { ClaimTurn(program); });
  }
}

SecondOfLoad DeploymentSimulation::Total(size_t from, size_t to) const {
  SecondOfLoad total;
  for (size_t n = from; n < std::min(to, seconds_.size()); ++n) {
    total.offered += seconds_[n].offered;
    total.served += seconds_[n].served;
    total.refused += seconds_[n].refused;
    total.refusal_wait += seconds_[n].refusal_wait;
  }
  return total;
}

std::string DeploymentSimulation::Describe() const {
  std::ostringstream out;
  for (size_t n = 0; n < seconds_.size(); ++n) {
    const SecondOfLoad& it = seconds_[n];
    out << n << " s: " << it.served << " of " << it.offered << " served, "
        << it.refused << " claims refused after "
        << (it.refused > 0 ? it.refusal_wait.count() / it.refused : 0)
        << " ms\n";
  }
  return out.str();
}

}  // namespace hawthorn::cluster
