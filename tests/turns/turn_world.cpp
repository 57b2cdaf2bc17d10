#include "tests/turns/turn_world.h"

#include <utility>

namespace hawthorn::turns {

class WorldLinks final : public PeerLinks {
 public:
  WorldLinks(TurnWorld& world, std::string self)
      : world_(world), self_(std::move(self)) {}

  void Request(const std::string& instance, const schema::TurnMessage& message,
               std::chrono::milliseconds timeout,
               ReplyCallback callback) override {
    const auto done = std::make_shared<bool>(false);
    const ReplyCallback once =
        [done, callback](const core::Result<schema::TurnMessage>& reply) {
          if (!std::exchange(*done, true)) {
            callback(reply);
          }
        };
    world_.At(timeout, [once] {
      once(core::Error{core::ErrorCode::kDeadlineExceeded,
                       "no reply",
                       core::Execution::kUnknown,
                       {}});
    });
    const int copies =
        world_.random_() % 1000 < world_.duplicated_per_mille ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      world_.At(world_.Delay(), [this, instance, message, once] {
        world_.Deliver(self_, instance, message, once);
      });
    }
  }
  void After(std::chrono::milliseconds delay,
             std::function<void()> callback) override {
    world_.At(delay, std::move(callback));
  }
  void SetAddress(const std::string&, const std::string&) override {}

 private:
  TurnWorld& world_;
  std::string self_;
};

class WorldDisk final : public TurnDisk {
 public:
  WorldDisk(TurnWorld& world, storage::FileSystem& files,
            TurnLog::Options options)
      : world_(world), log_(files, std::move(options)) {}

  void Open(OpenCallback callback) override {
    Later<TurnLog::Opened>([this] { return log_.Open(); }, callback);
  }
  void Append(std::vector<std::string> payloads,
              AppendCallback callback) override {
    Later<std::vector<RecordLocation>>(
        [this, payloads] { return log_.Append(payloads); }, callback);
  }
  void Read(std::vector<RecordLocation> locations,
            ReadCallback callback) override {
    Later<std::vector<schema::StoredTurn>>(
        [this, locations]() -> core::Result<std::vector<schema::StoredTurn>> {
          std::vector<schema::StoredTurn> turns;
          for (const RecordLocation& it : locations) {
            auto turn = log_.Read(it);
            if (!core::IsOk(turn)) {
              return core::ErrorOf(turn);
            }
            turns.push_back(core::Value(turn));
          }
          return turns;
        },
        callback);
  }
  void RemoveSegment(uint32_t segment, DoneCallback callback) override {
    Later<std::monostate>(
        [this, segment] { return log_.RemoveSegment(segment); }, callback);
  }
  void MarkComplete(DoneCallback callback) override {
    Later<std::monostate>([this] { return log_.MarkComplete(); }, callback);
  }

 private:
  template <typename T>
  void Later(std::function<core::Result<T>()> work,
             std::function<void(const core::Result<T>&)> callback) {
    // The order of the jobs is kept, as on a thread.
    next_ = std::max(next_, world_.clock_.Now()) + world_.Delay();
    const auto delay = core::MillisecondsBetween(world_.clock_.Now(), next_);
    world_.At(delay, [alive = std::weak_ptr<bool>(alive_), work, callback] {
      if (!alive.expired()) {
        callback(work());
      }
    });
  }

  TurnWorld& world_;
  TurnLog log_;
  core::TimePoint next_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

TurnWorld::TurnWorld(uint64_t seed, size_t stores, size_t zones)
    : random_(seed) {
  const auto zone_of = [zones](size_t i) {
    return std::string(1, static_cast<char>('a' + i % zones));
  };
  for (size_t i = 0; i < stores; ++i) {
    machines_.push_back(std::make_unique<Machine>());
    machines_.back()->zone = zone_of(i);
    machines_.back()->links = std::make_unique<WorldLinks>(*this, NameOf(i));
  }
  clients_.resize(zones);
  for (size_t i = 0; i < zones; ++i) {
    client_links_.push_back(
        std::make_unique<WorldLinks>(*this, "c" + std::to_string(i)));
    client_zones_.push_back(zone_of(i));
    StartClient(i);
  }
  for (size_t i = 0; i < stores; ++i) {
    StartStore(i, true);
  }
  Announce();
  Run(std::chrono::milliseconds(3000));
}

TurnWorld::~TurnWorld() { events_.clear(); }

void TurnWorld::StartClient(size_t number) {
  clients_[number] = std::make_unique<TurnClient>(TurnClient::Parts{
      clock_, metrics_, *client_links_[number], client_zones_[number],
      ReaderFor("c" + std::to_string(number))});
}

void TurnWorld::RestartClient(size_t number) {
  StartClient(number);
  Announce();
}

void TurnWorld::Remove(size_t number) {
  EraseDisk(number);
  machines_[number]->removed = true;
}

size_t TurnWorld::AddStore(const std::string& zone) {
  const size_t number = machines_.size();
  machines_.push_back(std::make_unique<Machine>());
  machines_.back()->zone = zone;
  machines_.back()->links = std::make_unique<WorldLinks>(*this, NameOf(number));
  StartStore(number, false);
  return number;
}

InstanceListReader TurnWorld::ReaderFor(const std::string& name) {
  return [this, name](InstanceListCallback callback) {
    At(Delay(), [this, name, callback = std::move(callback)] {
      if (group_answers && !cut.contains(name)) {
        // The answer travels, so that it may be behind when it arrives.
        At(Delay(), [callback, records = Records()] { callback(records); });
      } else {
        callback(core::Error{core::ErrorCode::kUnavailable,
                             "no leader is known",
                             core::Execution::kNotRun,
                             {}});
      }
    });
  };
}

std::vector<schema::InstanceRecord> TurnWorld::Records() const {
  std::vector<schema::InstanceRecord> records;
  for (size_t i = 0; i < machines_.size(); ++i) {
    schema::InstanceRecord record;
    record.set_instance(NameOf(i));
    record.set_zone(machines_[i]->zone);
    record.set_retiring(retiring.contains(NameOf(i)));
    records.push_back(record);
  }
  return records;
}

void TurnWorld::Announce() {
  const std::vector<schema::InstanceRecord> records = Records();
  for (size_t i = 0; i < clients_.size(); ++i) {
    Tell("c" + std::to_string(i), records);
  }
  for (size_t i = 0; i < machines_.size(); ++i) {
    Tell(NameOf(i), records);
  }
}

void TurnWorld::Tell(const std::string& name,
                     const std::vector<schema::InstanceRecord>& records) {
  if (behind.contains(name)) {
    return;
  }
  const auto take = [this, name, records] {
    const size_t number = std::stoul(name.substr(1));
    if (name.front() == 'c') {
      clients_[number]->SetInstances(records);
    } else if (machines_[number]->store) {
      machines_[number]->store->SetKeepers(KeepersOf(records));
    }
  };
  if (watch_delay.count() == 0) {
    take();
    return;
  }
  const auto delay = std::chrono::milliseconds(
      random_() % static_cast<uint64_t>(watch_delay.count()));
  core::TimePoint& told_at = told_at_[name];
  told_at = std::max(told_at, clock_.Now() + delay);
  At(core::MillisecondsBetween(clock_.Now(), told_at), take);
}

void TurnWorld::StartStore(size_t number, bool first_start) {
  Machine& it = *machines_[number];
  TurnLog::Options options;
  options.folder = "d";
  options.first_start = first_start;
  options.new_incarnation = random_();
  options.segment_bytes = 2000;
  it.disk = std::make_unique<WorldDisk>(*this, it.files, options);
  it.store = std::make_unique<TurnStore>(
      TurnStore::Parts{clock_, metrics_, *it.links, *it.disk, NameOf(number),
                       ReaderFor(NameOf(number))});
  it.store->Start();
  Announce();
}

void TurnWorld::Crash(size_t number) {
  Machine& it = *machines_[number];
  it.store.reset();
  it.disk.reset();
  it.files.Crash(random_);
}

void TurnWorld::EraseDisk(size_t number) {
  Crash(number);
  machines_[number]->files.files.clear();
}

bool TurnWorld::IsHealthy() const {
  for (const auto& it : machines_) {
    if (it->removed) {
      continue;
    }
    if (!it->store || !it->store->complete()) {
      return false;
    }
    // A turn that has just been written is not checked yet, which is no loss.
    if (it->store->size() > 0 && it->store->waiting_checks() > 0) {
      return false;
    }
  }
  return true;
}

void TurnWorld::At(std::chrono::milliseconds delay,
                   std::function<void()> event) {
  events_.emplace(clock_.Now() + delay, std::move(event));
}

std::chrono::milliseconds TurnWorld::Delay() {
  return std::chrono::milliseconds(1 +
                                   random_() % (random_() % 50 == 0 ? 200 : 4));
}

void TurnWorld::Deliver(const std::string& from, const std::string& to,
                        const schema::TurnMessage& message,
                        const PeerLinks::ReplyCallback& reply) {
  const size_t number = std::stoul(to.substr(1));
  TurnStore* target = machines_[number]->store.get();
  if (target == nullptr || !Reaches(from, to) ||
      random_() % 1000 < lost_per_mille) {
    return;
  }
  target->OnMessage(
      message, from,
      [this, from, to, reply](const core::Result<schema::TurnMessage>& answer) {
        if (random_() % 1000 < lost_per_mille) {
          return;
        }
        At(Delay(), [this, from, to, reply, answer] {
          if (Reaches(from, to)) {
            reply(answer);
          }
        });
      });
}

void TurnWorld::Run(std::chrono::milliseconds time) {
  const core::TimePoint end = clock_.Now() + time;
  while (clock_.Now() < end) {
    // Ticks are on a common grid; the delays of messages are random.
    const core::TimePoint tick = clock_.Now() + TurnStore::kTickInterval;
    while (!events_.empty() && events_.begin()->first <= tick) {
      const auto event = events_.begin();
      clock_.Advance(event->first - clock_.Now());
      const std::function<void()> function = std::move(event->second);
      events_.erase(event);
      function();
    }
    clock_.Advance(tick - clock_.Now());
    for (const auto& it : machines_) {
      if (it->store) {
        it->store->Tick();
      }
    }
  }
}

bool WaitHealthy(TurnWorld& world) {
  for (int i = 0; i < 600 && !world.IsHealthy(); ++i) {
    world.Run(std::chrono::milliseconds(500));
  }
  return world.IsHealthy();
}

}  // namespace hawthorn::turns
