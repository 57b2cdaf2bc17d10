#include <sys/resource.h>

#include <QCoreApplication>
#include <QElapsedTimer>
#include <QTemporaryDir>
#include <QTimer>
#include <algorithm>
#include <cstdio>
#include <memory>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/metrics.h"
#include "logging/log.h"
#include "peer/peer_transport.h"
#include "turns/disk_thread.h"
#include "turns/peer_links.h"
#include "turns/turn_client.h"
#include "turns/turn_store.h"

// Stores of turns in one process over loopback links and real files: turns a
// second, processor time and bytes of a turn, time to open a folder, time to
// replace a lost disk. Takes under a minute and stops by itself.
namespace {

using namespace hawthorn;
using namespace hawthorn::turns;

constexpr size_t kStores = 10;
constexpr size_t kZoneCount = 4;
constexpr size_t kChains = 2000;
constexpr size_t kTurnsInChain = 6;
constexpr size_t kInFlight = 64;
constexpr size_t kInputBytes = 2100;
constexpr size_t kOutputBytes = 480;
constexpr int kTimeoutMs = 60000;

double CpuSeconds() {
  rusage use{};
  getrusage(RUSAGE_SELF, &use);
  const auto seconds = [](const timeval& it) {
    return static_cast<double>(it.tv_sec) +
           static_cast<double>(it.tv_usec) / 1e6;
  };
  return seconds(use.ru_utime) + seconds(use.ru_stime);
}

std::unique_ptr<peer::PeerTransport> MakeTransport(const std::string& name) {
  peer::PeerOptions options;
  options.self = core::InstanceId(name);
  options.listen_address = "127.0.0.1:0";
  options.key = "0123456789abcdef0123456789abcdef";
  options.accept_unknown_peers = true;
  auto transport = std::make_unique<peer::PeerTransport>(std::move(options));
  if (!core::IsOk(transport->Listen())) {
    std::exit(1);
  }
  return transport;
}

struct Store {
  Store(const std::string& name, const std::string& folder, bool first_start,
        const std::vector<schema::InstanceRecord>& list)
      : transport(MakeTransport(name)),
        links(*transport),
        disk(files, {folder, first_start, std::hash<std::string>{}(folder)}),
        store({clock, metrics, links, disk, name,
               [&list](InstanceListCallback callback) { callback(list); }}) {
    transport->SetHandler([this](const schema::PeerMessage& message,
                                 const peer::Replier& replier) {
      const auto request = Unpack(message);
      if (!core::IsOk(request)) {
        replier.Fail(core::ErrorOf(request));
        return;
      }
      store.OnMessage(core::Value(request), message.from(),
                      [replier](const core::Result<schema::TurnMessage>& it) {
                        if (core::IsOk(it)) {
                          replier.Reply(Pack(core::Value(it)));
                        } else {
                          replier.Fail(core::ErrorOf(it));
                        }
                      });
    });
    store.Start();
    QObject::connect(&timer, &QTimer::timeout, [this] { store.Tick(); });
    timer.start(TurnStore::kTickInterval);
  }

  core::SuspendAwareClock clock;
  core::Metrics metrics;
  std::unique_ptr<peer::PeerTransport> transport;
  storage::PosixFileSystem files;
  TransportLinks links;
  DiskThread disk;
  QTimer timer;
  TurnStore store;
};

template <typename Done>
bool WaitFor(Done done) {
  QElapsedTimer timer;
  timer.start();
  while (!done() && timer.elapsed() < kTimeoutMs) {
    QCoreApplication::processEvents(QEventLoop::AllEvents, 5);
  }
  return done();
}

class Bench {
 public:
  int Run() {
    for (size_t i = 0; i < kStores; ++i) {
      stores_.push_back(Make(i, "", true));
    }
    Announce();
    if (!WaitFor([this] { return AllComplete(); })) {
      return 1;
    }
    const double cpu = CpuSeconds();
    QElapsedTimer timer;
    timer.start();
    for (size_t i = 0; i < kInFlight; ++i) {
      StartChain();
    }
    const size_t all = kChains * kTurnsInChain;
    if (!WaitFor([&] { return done_ + failed_ >= all; })) {
      std::printf("timeout: %zu turns done\n", done_);
      return 1;
    }
    const auto seconds = static_cast<double>(timer.elapsed()) / 1000;
    const double used = CpuSeconds() - cpu;
    const auto turns = static_cast<double>(done_);
    std::printf("turns %zu, failed %zu, %.0f a second\n", done_, failed_,
                turns / seconds);
    std::printf("processor time of a turn, all stores and the entry: %.0f us\n",
                used / turns * 1e6);
    uint64_t syncs = 0;
    size_t records = 0;
    for (const auto& it : stores_) {
      syncs += it->metrics.CounterValue("turns_syncs");
      records += it->store.size();
    }
    std::printf("copies %.2f, syncs of a turn %.2f\n",
                static_cast<double>(records) / turns,
                static_cast<double>(syncs) / turns);
    uint64_t bytes = transport_->counters().bytes_out;
    uint64_t messages = transport_->counters().messages_out;
    for (const auto& it : stores_) {
      bytes += it->transport->counters().bytes_out;
      messages += it->transport->counters().messages_out;
    }
    std::printf("sent for a turn: %.0f bytes, %.1f messages\n",
                static_cast<double>(bytes) / turns,
                static_cast<double>(messages) / turns);
    timer.start();
    stores_[0].reset();
    stores_[0] = Make(0, "", false);
    if (!WaitFor([this] { return stores_[0]->store.is_open(); })) {
      return 1;
    }
    std::printf("folder of %zu records opened in %lld ms\n",
                stores_[0]->store.size(),
                static_cast<long long>(timer.elapsed()));
    timer.start();
    stores_[0].reset();
    stores_[0] = Make(0, "-new", false);
    Announce();
    if (!WaitFor([this] { return stores_[0]->store.complete(); })) {
      return 1;
    }
    std::printf("lost disk replaced, %zu records, in %lld ms\n",
                stores_[0]->store.size(),
                static_cast<long long>(timer.elapsed()));
    return failed_ == 0 ? 0 : 1;
  }

 private:
  std::unique_ptr<Store> Make(size_t number, const std::string& suffix,
                              bool first_start) {
    const std::string name = "s" + std::to_string(number);
    return std::make_unique<Store>(
        name,
        folder_.filePath(QString::fromStdString(name + suffix)).toStdString(),
        first_start, records_);
  }
  void Announce() {
    records_.resize(kStores);
    for (size_t i = 0; i < kStores; ++i) {
      records_[i].set_instance("s" + std::to_string(i));
      records_[i].set_zone(
          std::string(1, static_cast<char>('a' + i % kZoneCount)));
      records_[i].set_peer_address(
          "127.0.0.1:" + std::to_string(stores_[i]->transport->port()));
    }
    client_.SetInstances(records_);
    for (const auto& it : stores_) {
      it->store.SetKeepers(KeepersOf(records_));
    }
  }
  bool AllComplete() const {
    return std::all_of(stores_.begin(), stores_.end(),
                       [](const auto& it) { return it->store.complete(); });
  }
  void StartChain() {
    if (next_chain_ < kChains) {
      Turn(next_chain_++, 0, {});
    }
  }
  static std::string IdOf(size_t chain, size_t turn) {
    return "request-" + std::to_string(chain) + "-" + std::to_string(turn);
  }
  void Turn(size_t chain, size_t turn, const std::string& chain_key) {
    relay::TurnRecord record;
    record.turn = IdOf(chain, turn);
    record.previous = turn == 0 ? "" : IdOf(chain, turn - 1);
    record.chain_key = chain_key;
    record.input = std::string(kInputBytes, 'i');
    record.output = std::string(kOutputBytes, 'o');
    record.retention = std::chrono::milliseconds(60000);
    client_.Write(record, std::chrono::milliseconds(10000),
                  [this, chain, turn](const core::Status& status) {
                    ++(core::IsOk(status) ? done_ : failed_);
                    Next(chain, turn);
                  });
  }
  void Next(size_t chain, size_t turn) {
    if (turn + 1 == kTurnsInChain) {
      StartChain();
      return;
    }
    client_.Read(
        "", IdOf(chain, turn), std::chrono::milliseconds(5000),
        [this, chain, turn](const core::Result<relay::TurnChain>& it) {
          const size_t bytes = (turn + 1) * (kInputBytes + kOutputBytes);
          if (!core::IsOk(it) || core::Value(it).text.size() != bytes) {
            failed_ += kTurnsInChain - turn - 1;
            StartChain();
            return;
          }
          Turn(chain, turn + 1, core::Value(it).chain_key);
        });
  }

  std::vector<schema::InstanceRecord> records_;
  QTemporaryDir folder_;
  core::SuspendAwareClock clock_;
  core::Metrics metrics_;
  std::vector<std::unique_ptr<Store>> stores_;
  std::unique_ptr<peer::PeerTransport> transport_ = MakeTransport("entry");
  TransportLinks links_{*transport_};
  TurnClient client_{
      {clock_, metrics_, links_, "a",
       [this](InstanceListCallback callback) { callback(records_); }}};
  size_t next_chain_ = 0;
  size_t done_ = 0;
  size_t failed_ = 0;
};

}  // namespace

int main(int argc, char** argv) {
  const QCoreApplication application(argc, argv);
  logging::StartLog({"bench", "error", "-", false});
  const int code = Bench().Run();
  logging::StopLog();
  return code;
}
