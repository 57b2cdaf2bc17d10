#include "tests/consensus/simulation.h"

#include <algorithm>
#include <utility>

namespace hawthorn::consensus {

namespace {

constexpr int kStepMs = 5;
constexpr int kCallerTimeoutMs = 1500;
constexpr int kRepairMs = 30000;
constexpr int kFaultsInPlan = 15;
/// Kinds of faults of random plans, which do not change with new kinds: a seed
/// stands for its plan.
constexpr int kKindsInPlan = 7;
constexpr int kCurrentMs = 500;

std::string NameOf(size_t node) { return std::string(1, char('a' + node)); }

}  // namespace

SimulationOptions RandomPlanOptions(uint64_t seed) {
  switch (seed % kSetups) {
    case 0:
      return {3, 3, false, seed};
    case 1:
      return {5, 5, false, seed};
    case 2:
      return {3, 1, true, seed};
    default:
      return {5, 2, true, seed};
  }
}

core::Status SimulatedDisk::Write(const storage::LogBatch& batch) {
  state_.hard_state = batch.hard_state;
  if (batch.reset_log) {
    state_.entries.clear();
  }
  if (batch.snapshot) {
    state_.snapshot = batch.snapshot;
  }
  for (const LogEntry& entry : batch.entries) {
    std::erase_if(state_.entries, [&](const LogEntry& stored) {
      return stored.index >= entry.index;
    });
    state_.entries.push_back(entry);
  }
  const uint64_t index = state_.snapshot ? state_.snapshot->index : 0;
  std::erase_if(state_.entries,
                [&](const LogEntry& entry) { return entry.index <= index; });
  return std::monostate{};
}

std::string Simulation::Machine::Apply(uint64_t index,
                                       std::string_view command) {
  const auto [it, is_new] =
      owner_->applied_.try_emplace(index, std::string(command));
  if (!is_new && it->second != command) {
    owner_->ReportViolation("entry " + std::to_string(index) + " changed");
  }
  return state_.Apply(index, command);
}

core::Status Simulation::Machine::Restore(std::string_view bytes) {
  ++owner_->counts_.snapshots_installed;
  return state_.Restore(bytes);
}

Simulation::Simulation(SimulationOptions options)
    : options_(options), random_(options.seed), nodes_(options.replicas) {
  for (size_t i = 0; i < nodes_.size(); ++i) {
    nodes_[i].drift = RandomBelow(31) - 15;
    nodes_[i].disk = std::make_unique<SimulatedDisk>(++last_incarnation_,
                                                     i < options_.with_disk);
    Open(i);
  }
}

void Simulation::Open(size_t node) {
  GroupOptions options;
  options.snapshot_entries = 40;
  options.replica.id.instance = NameOf(node);
  options.replica.seed = random_();
  options.replica.retained_entries = 10;
  options.replica.snapshot_chunk_bytes = 64;
  options.replica.max_append_bytes = 64;
  options.replica.max_appends_in_flight = options_.max_appends_in_flight;
  options.replica.require_durable_copy = options_.require_durable_copy;
  options.replica.lease_reads = options_.lease_reads;
  if (options_.lazy) {
    options.replica.lazy_interval = std::chrono::milliseconds(30);
    options.replica.announce_commits = false;
  }
  for (size_t i = 0; i < nodes_.size(); ++i) {
    options.replica.instances.push_back(NameOf(i));
  }
  Node& it = nodes_[node];
  it.machine = Machine(this);
  auto opened =
      Group<Machine>::Open(options, it.disk.get(), &it.machine, NowOf(it));
  it.group = core::TakeValue(std::move(opened));
  it.restart_at = -1;
  ++it.starts;
}

core::TimePoint Simulation::NowOf(const Node& node) const {
  return core::TimePoint() +
         std::chrono::microseconds(now_ms_ * (1000 + node.drift));
}

void Simulation::Run(int ms) {
  const int64_t end = now_ms_ + ms;
  while (now_ms_ < end && violation_.empty()) {
    now_ms_ += kStepMs;
    Deliver();
    for (size_t i = 0; i < nodes_.size(); ++i) {
      StepNode(i);
    }
    for (size_t i = 0; i < callers_.size(); ++i) {
      StepCaller(i);
    }
    CheckLeaders();
    CheckCurrentState();
  }
}

void Simulation::StepNode(size_t node) {
  Node& it = nodes_[node];
  if (!it.group) {
    if (it.restart_at >= 0 && now_ms_ >= it.restart_at) {
      Restart(node);
    }
    return;
  }
  it.group->Tick(NowOf(it));
  StepDisk(&it);
  SendAll(node);
}

void Simulation::StepDisk(Node* node) {
  if (now_ms_ < node->stall_disk_until) {
    counts_.stalled_syncs += node->writing ? 1 : 0;
  } else if (node->writing && now_ms_ >= node->sync_at) {
    const storage::LogBatch batch = *std::exchange(node->writing, {});
    core::Status status;
    if (now_ms_ < node->fail_writes_until) {
      status = core::Error{core::ErrorCode::kStorage, "no space", {}, {}};
      ++counts_.failed_writes;
    } else {
      status = node->disk->Write(batch);
    }
    node->group->OnPersisted(batch.sequence, status, NowOf(*node));
  }
  if (!node->writing) {
    node->writing = node->group->TakeBatch(NowOf(*node));
    node->sync_at = now_ms_ + (node->disk->durable() ? RandomBelow(20) : 0);
  }
}

void Simulation::SendAll(size_t node) {
  Node& it = nodes_[node];
  for (const schema::ConsensusMessage& message :
       it.group->TakeOutbox(NowOf(it))) {
    const auto to = static_cast<size_t>(message.to().instance()[0] - 'a');
    const bool separated = (now_ms_ < it.partitioned_until) !=
                           (now_ms_ < nodes_[to].partitioned_until);
    if (now_ms_ < it.no_output_until || separated) {
      ++counts_.cut;
      continue;
    }
    Enqueue(to, message);
  }
}

bool Simulation::ShouldInject(int per_mille, uint64_t injected) {
  // A run without this fault would test nothing, so force the first one once it
  // is overdue.
  const bool due = per_mille > 0 && injected == 0 &&
                   enqueued_ > static_cast<uint64_t>(1000 / per_mille);
  return RandomBelow(1000) < per_mille || due;
}

void Simulation::Enqueue(size_t to, const schema::ConsensusMessage& message) {
  ++enqueued_;
  if (ShouldInject(options_.lost, counts_.lost)) {
    ++counts_.lost;
    return;
  }
  int delay = 1 + RandomBelow(10);
  if (ShouldInject(options_.delayed, counts_.delayed)) {
    ++counts_.delayed;
    delay += RandomBelow(2000);
  }
  network_.emplace(now_ms_ + delay, QueuedMessage{message, to});
  if (ShouldInject(options_.duplicated, counts_.duplicated)) {
    ++counts_.duplicated;
    network_.emplace(now_ms_ + delay + RandomBelow(500),
                     QueuedMessage{message, to});
  }
}

void Simulation::Deliver() {
  while (!network_.empty() && network_.begin()->first <= now_ms_) {
    const QueuedMessage queued = std::move(network_.begin()->second);
    network_.erase(network_.begin());
    Node& it = nodes_[queued.to];
    if (now_ms_ < it.no_input_until) {
      ++counts_.cut;
    } else if (it.group) {
      it.group->Step(queued.message, NowOf(it));
    }
  }
}

void Simulation::StepCaller(size_t caller) {
  Caller& it = callers_[caller];
  if (it.open && now_ms_ - it.open->invoked > kCallerTimeoutMs) {
    ++counts_.unknown;
    it.open.reset();
  }
  if (!it.open && RandomBelow(4) == 0) {
    Begin(caller);
  }
}

void Simulation::Begin(size_t caller) {
  Caller& it = callers_[caller];
  Node& node = nodes_[it.target];
  if (!node.group || !node.group->is_leader()) {
    it.target =
        static_cast<size_t>(RandomBelow(static_cast<int>(nodes_.size())));
    return;
  }
  const uint64_t request = ++last_request_;
  it.request = request;
  it.open = Operation{RandomBelow(2) == 0, "", 0, now_ms_, 0};
  if (!it.open->is_write) {
    const size_t target = it.target;
    node.group->Read(
        [this, caller, request, target](const core::Status& status) {
          if (!core::IsOk(status)) {
            Complete(caller, request, false, core::ErrorOf(status));
            return;
          }
          const RegisterMachine& state = nodes_[target].machine.state();
          Complete(caller, request, false,
                   std::to_string(state.version()) + " " + state.value());
        },
        NowOf(node));
    return;
  }
  it.open->value = "w" + std::to_string(request);
  written_.push_back(*it.open);
  node.group->Propose(
      std::to_string(it.version) + " " + it.open->value,
      [this, caller, request](const core::Result<std::string>& result) {
        Complete(caller, request, true, result);
      },
      NowOf(node));
}

void Simulation::Complete(size_t caller, uint64_t request, bool is_write,
                          const core::Result<std::string>& result) {
  Caller& it = callers_[caller];
  if (!it.open || it.request != request) {
    return;
  }
  Operation op = *std::exchange(it.open, std::nullopt);
  op.returned = now_ms_;
  if (!core::IsOk(result)) {
    it.target =
        static_cast<size_t>(RandomBelow(static_cast<int>(nodes_.size())));
    counts_.unknown +=
        core::ErrorOf(result).execution == core::Execution::kUnknown ? 1 : 0;
    return;
  }
  const std::string& reply = core::Value(result);
  if (!is_write) {
    op.version = std::stoull(reply);
    op.value = reply.substr(reply.find(' ') + 1);
    ++counts_.reads;
  } else {
    op.version = std::stoull(reply.substr(3));
    op.is_write = reply.starts_with("ok");
    op.value = op.is_write ? op.value : "";
    counts_.acknowledged += op.is_write ? 1 : 0;
  }
  it.version = op.version;
  history_.push_back(op);
}

void Simulation::CheckLeaders() {
  for (const Node& node : nodes_) {
    if (!node.group || !node.group->is_leader()) {
      continue;
    }
    const Replica& replica = node.group->replica();
    const auto [it, is_new] =
        leaders_.try_emplace(replica.term(), replica.id());
    if (it->second != replica.id()) {
      ReportViolation("two leaders of term " + std::to_string(replica.term()));
    }
  }
}

void Simulation::CheckCurrentState() {
  uint64_t committed =
      committed_since_.empty() ? 0 : committed_since_.rbegin()->second;
  for (const Node& node : nodes_) {
    if (node.group && node.group->is_leader() &&
        node.group->replica().commit_index() > committed) {
      committed = node.group->replica().commit_index();
      committed_since_[now_ms_] = committed;
    }
  }
  for (const Node& node : nodes_) {
    if (!node.group) {
      continue;
    }
    const auto as_of = node.group->replica().CurrentAsOf();
    const auto as_of_us = std::chrono::duration_cast<std::chrono::microseconds>(
        as_of.value_or(core::TimePoint()).time_since_epoch());
    const int64_t as_of_ms = as_of_us.count() / (1000 + node.drift);
    if (!node.group->is_leader()) {
      const bool current = as_of && as_of_ms + kCurrentMs > now_ms_;
      ++(current ? counts_.steps_current : counts_.steps_behind);
    }
    const auto after = committed_since_.upper_bound(as_of_ms);
    if (!as_of || after == committed_since_.begin()) {
      continue;
    }
    const auto [since, index] = *std::prev(after);
    if (node.group->applied_index() < index) {
      ReportViolation(ToString(node.group->replica().id()) + " has applied " +
                      std::to_string(node.group->applied_index()) +
                      " and takes its state for that of " +
                      std::to_string(as_of_ms) + " ms, but " +
                      std::to_string(index) + " was committed at " +
                      std::to_string(since) + " ms");
    }
  }
}

void Simulation::ReportViolation(const std::string& what) {
  if (violation_.empty()) {
    violation_ = what + " at " + std::to_string(now_ms_) + " ms";
  }
}

int Simulation::RandomBelow(int below) {
  return std::uniform_int_distribution<int>(0, below - 1)(random_);
}

std::optional<size_t> Simulation::Leader() const {
  std::optional<size_t> best;
  for (size_t i = 0; i < nodes_.size(); ++i) {
    const auto& group = nodes_[i].group;
    if (group && group->is_leader() &&
        (!best ||
         group->replica().term() > nodes_[*best].group->replica().term())) {
      best = i;
    }
  }
  return best;
}

bool Simulation::AllInstancesVote() const {
  const auto leader = Leader();
  if (!leader) {
    return false;
  }
  const Replica& replica = nodes_[*leader].group->replica();
  if (!replica.membership_committed() ||
      replica.membership().members().size() != nodes_.size()) {
    return false;
  }
  return std::all_of(nodes_.begin(), nodes_.end(), [&](const Node& node) {
    return node.group &&
           replica.membership().IsVoter(node.group->replica().id());
  });
}

bool Simulation::WaitUntilAllVote(int ms) {
  const int64_t end = now_ms_ + ms;
  while (now_ms_ < end && violation_.empty()) {
    if (AllInstancesVote()) {
      return true;
    }
    Run(kStepMs);
  }
  return AllInstancesVote();
}

void Simulation::Crash(size_t node, bool lose_state) {
  Node& it = nodes_[node];
  if (it.writing && RandomBelow(2) == 0 && !lose_state) {
    it.disk->Write(*it.writing);
    ++counts_.synced_without_report;
  } else if (it.writing) {
    ++counts_.unsynced_batches_lost;
  }
  it.writing.reset();
  it.group.reset();
  if (lose_state || !it.disk->durable()) {
    it.disk = std::make_unique<SimulatedDisk>(++last_incarnation_,
                                              it.disk->durable());
  }
}

void Simulation::Restart(size_t node) {
  if (!nodes_[node].group) {
    Open(node);
  }
}

size_t Simulation::ResolveTarget(int target) {
  if (target == 0 && Leader()) {
    return *Leader();
  }
  return static_cast<size_t>(target) % nodes_.size();
}

bool Simulation::Apply(const Fault& fault) {
  const size_t node = ResolveTarget(fault.target);
  Node& it = nodes_[node];
  const int64_t until = now_ms_ + fault.duration_ms;
  const bool loses_state =
      fault.kind == FaultKind::kLoseState ||
      (fault.kind == FaultKind::kCrash && !it.disk->durable());
  // A majority of copies must survive, so only one replica may lose its state
  // at a time.
  if ((loses_state && !WaitUntilAllVote(kRepairMs)) || !it.group) {
    Run(fault.duration_ms);
    return false;
  }
  switch (fault.kind) {
    case FaultKind::kCrash:
    case FaultKind::kLoseState:
      Crash(node, fault.kind == FaultKind::kLoseState);
      it.restart_at = until;
      break;
    case FaultKind::kCutOutgoing:
      it.no_output_until = until;
      break;
    case FaultKind::kCutIncoming:
      it.no_input_until = until;
      break;
    case FaultKind::kIsolate:
      it.no_output_until = until;
      it.no_input_until = until;
      break;
    case FaultKind::kFailWrites:
      it.fail_writes_until = until;
      break;
    case FaultKind::kPartition:
      it.partitioned_until = until;
      nodes_[ResolveTarget(0)].partitioned_until = until;
      break;
    case FaultKind::kStallDisk:
      it.stall_disk_until = until;
      break;
    case FaultKind::kTransferLeadership:
      if (!Leader() || !core::IsOk(nodes_[*Leader()].group->TransferLeadership(
                           "", NowOf(nodes_[*Leader()])))) {
        Run(fault.duration_ms);
        return false;
      }
      break;
  }
  ++counts_.faults[static_cast<size_t>(fault.kind)];
  Run(fault.duration_ms + kStepMs);
  return true;
}

void Simulation::RunRandomPlan(uint64_t seed) {
  std::mt19937_64 random(seed);
  const auto random_below = [&](int below) {
    return static_cast<int>(random() % static_cast<uint64_t>(below));
  };
  WaitUntilAllVote(kRepairMs);
  for (int i = 0; i < kFaultsInPlan; ++i) {
    const auto kind = static_cast<FaultKind>(random_below(kKindsInPlan));
    const int target = random_below(8);
    const int duration_ms = 300 + random_below(2200);
    Apply(Fault{kind, target, duration_ms});
  }
  Finish();
}

void Simulation::Finish() {
  for (size_t i = 0; i < nodes_.size(); ++i) {
    nodes_[i].no_input_until = 0;
    nodes_[i].no_output_until = 0;
    nodes_[i].fail_writes_until = 0;
    nodes_[i].stall_disk_until = 0;
    nodes_[i].partitioned_until = 0;
    Restart(i);
  }
  options_.lost = 0;
  options_.delayed = std::min(options_.delayed, SimulationOptions().delayed);
  const bool all_vote = WaitUntilAllVote(kRepairMs);
  const uint64_t before = counts_.acknowledged;
  Run(3000);
  if (!all_vote) {
    ReportViolation("not all instances became voters again");
  } else if (counts_.acknowledged == before) {
    ReportViolation("no write was acknowledged after all faults ended");
  }
  CheckFinalState();
}

void Simulation::CheckFinalState() {
  // Stop the callers, so that all replicas can reach the same index.
  for (int i = 0; i < 1000; ++i) {
    now_ms_ += kStepMs;
    Deliver();
    for (size_t node = 0; node < nodes_.size(); ++node) {
      StepNode(node);
    }
  }
  const std::vector<std::string>& values = nodes_[0].machine.state().values();
  for (const Node& node : nodes_) {
    if (node.machine.state().values() != values) {
      ReportViolation("state machines differ");
    }
  }
  for (const Operation& op : history_) {
    if (op.is_write &&
        (op.version > values.size() || values[op.version - 1] != op.value)) {
      ReportViolation("acknowledged write " + op.value + " was lost");
    }
  }
  const std::string history_violation = CheckLinearizable(history_, written_);
  if (!history_violation.empty()) {
    ReportViolation(history_violation);
  }
}

}  // namespace hawthorn::consensus
