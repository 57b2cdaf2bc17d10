#include <QTemporaryDir>
#include <QTimer>
#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

#include "peer/peer_transport.h"
#include "tests/relay/relay_fixture.h"
#include "turns/disk_thread.h"
#include "turns/peer_links.h"
#include "turns/turn_client.h"
#include "turns/turn_store.h"

namespace hawthorn::turns {

namespace {

using test::WaitFor;

std::unique_ptr<peer::PeerTransport> MakeTransport(const std::string& name) {
  peer::PeerOptions options;
  options.self = core::InstanceId(name);
  options.listen_address = "127.0.0.1:0";
  options.key = "0123456789abcdef0123456789abcdef";
  options.accept_unknown_peers = true;
  auto transport = std::make_unique<peer::PeerTransport>(std::move(options));
  REQUIRE(core::IsOk(transport->Listen()));
  return transport;
}

/// A store with real files and links.
class Ledger {
 public:
  Ledger(const std::string& name, const std::string& folder,
         const core::Clock& clock, bool first_start,
         const std::vector<schema::InstanceRecord>& list)
      : transport(MakeTransport(name)),
        links_(*transport),
        disk_(files_, {folder, first_start, std::hash<std::string>{}(folder)}),
        store({clock, metrics_, links_, disk_, name,
               [&list](InstanceListCallback callback) { callback(list); }}) {
    transport->SetHandler([this](const schema::PeerMessage& message,
                                 const peer::Replier& replier) {
      const auto request = Unpack(message);
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
    QObject::connect(&timer_, &QTimer::timeout, [this] { store.Tick(); });
    timer_.start(TurnStore::kTickInterval);
  }

  std::unique_ptr<peer::PeerTransport> transport;

 private:
  core::Metrics metrics_;
  storage::PosixFileSystem files_;
  TransportLinks links_;
  DiskThread disk_;
  QTimer timer_;

 public:
  TurnStore store;
};

/// Four ledgers in two zones, and a relay that uses them.
class Deployment {
 public:
  Deployment() {
    for (size_t i = 0; i < 4; ++i) {
      ledgers_.push_back(MakeLedger(i, true));
    }
    Announce();
    REQUIRE(WaitFor([this] { return AllComplete(); }));
  }

  void PowerLoss() {
    ledgers_.clear();
    for (size_t i = 0; i < 4; ++i) {
      ledgers_.push_back(MakeLedger(i, false));
    }
    Announce();
  }
  void Stop(size_t number) { ledgers_[number].reset(); }
  void EraseAndRestart(size_t number) {
    ledgers_[number].reset();
    generation_[number] = "-new";
    ledgers_[number] = MakeLedger(number, false);
    Announce();
  }
  bool AllComplete() const {
    return std::all_of(ledgers_.begin(), ledgers_.end(),
                       [](const auto& it) { return it->store.complete(); });
  }
  TurnStore& store(size_t number) { return ledgers_[number]->store; }

  TurnClient& client() { return client_; }

 private:
  std::unique_ptr<Ledger> MakeLedger(size_t number, bool first_start) {
    const std::string name = "l" + std::to_string(number);
    return std::make_unique<Ledger>(
        name,
        folder_.filePath(QString::fromStdString(name + generation_[number]))
            .toStdString(),
        clock_, first_start, records_);
  }
  void Announce() {
    records_.resize(ledgers_.size());
    for (size_t i = 0; i < ledgers_.size(); ++i) {
      records_[i].set_instance("l" + std::to_string(i));
      records_[i].set_zone(i % 2 == 0 ? "a" : "b");
      records_[i].set_peer_address(
          "127.0.0.1:" + std::to_string(ledgers_[i]->transport->port()));
    }
    client_.SetInstances(records_);
    for (const auto& it : ledgers_) {
      it->store.SetKeepers(KeepersOf(records_));
    }
  }

  QTemporaryDir folder_;
  std::vector<schema::InstanceRecord> records_;
  core::SystemClock clock_;
  core::Metrics metrics_;
  std::vector<std::string> generation_ = std::vector<std::string>(4);
  std::vector<std::unique_ptr<Ledger>> ledgers_;
  std::unique_ptr<peer::PeerTransport> transport_ = MakeTransport("entry");
  TransportLinks links_{*transport_};
  TurnClient client_{
      {clock_, metrics_, links_, "a",
       [this](InstanceListCallback callback) { callback(records_); }}};
};

}  // namespace

// Guards against a chain that is not the same bytes after it went through the
// relay, the links and the disks, after a power loss of all ledgers, and after
// the loss of a disk; and against denials while ledgers are missing.
TEST_CASE("a conversation goes on over real links and disks") {
  Deployment deployment;
  relay::RelayFixture it(relay::RelayCall::kProgressTimeout, nullptr, nullptr,
                         nullptr, &deployment.client());
  relay::ScriptedUpstream upstream(
      [](const std::string& request) -> relay::ScriptedUpstream::Step {
        return {relay::StreamHead(request) + relay::EventChunk(1) +
                relay::EventChunk(2) + "0\r\n\r\n"};
      });
  it.AddUpstream("u", upstream.address());
  relay::Caller caller(it.port());
  const auto turn = [&](const std::string& id, const std::string& previous) {
    const size_t before = caller.received().size();
    caller.Send(relay::RelayFixture::Request(
        "/kept/x", id,
        previous.empty() ? "" : "X-Previous-Turn: " + previous + "\r\n"));
    REQUIRE(WaitFor([&] {
      return caller.received().size() > before &&
             (caller.received().ends_with("\r\n0\r\n\r\n") ||
              caller.received().find("Retry-After", before) !=
                  std::string::npos ||
              caller.received().find(" 404 ", before) != std::string::npos);
    }));
    return caller.received().substr(before, 12);
  };
  CHECK(turn("t1", "") == "HTTP/1.1 200");
  CHECK(turn("t2", "t1") == "HTTP/1.1 200");
  CHECK(upstream.requests()[1].ends_with("\r\n\r\nhie1\ne2\nhi"));
  CHECK(turn("x", "none") == "HTTP/1.1 404");
  deployment.PowerLoss();
  CHECK(turn("t3", "t2") == "HTTP/1.1 200");
  CHECK(upstream.requests()[2].ends_with("\r\n\r\nhie1\ne2\nhie1\ne2\nhi"));
  deployment.EraseAndRestart(0);
  CHECK(turn("t4", "t3") == "HTTP/1.1 200");
  REQUIRE(WaitFor([&] { return deployment.AllComplete(); }));
  deployment.Stop(1);
  CHECK(turn("t5", "t4") == "HTTP/1.1 200");
  CHECK(turn("x", "none") == "HTTP/1.1 404");
  deployment.Stop(2);
  deployment.Stop(3);
  CHECK(turn("z", "none") == "HTTP/1.1 503");
}

}  // namespace hawthorn::turns
