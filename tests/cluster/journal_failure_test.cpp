// A host whose disk refuses writes.
#include <QElapsedTimer>
#include <QTemporaryDir>
#include <catch2/catch.hpp>
#include <memory>
#include <string>

#include "cluster/deployment_host.h"
#include "core/clock.h"
#include "core/metrics.h"
#include "peer/peer_transport.h"
#include "tests/support/event_loop.h"
#include "tests/support/refusing_files.h"

namespace hawthorn::cluster {
namespace {

using test::WaitFor;

// Guards against a journal that tries again at once, which keeps its thread and
// the event loop busy and the log full for as long as the disk refuses writes.
TEST_CASE("A host whose disk refuses writes tries again after a pause") {
  const std::string id = "127.0.0.11";
  peer::PeerOptions peer_options;
  peer_options.self = core::InstanceId(id);
  peer_options.listen_address = id + ":0";
  peer_options.key = "a key for tests only";
  peer::PeerTransport peers(std::move(peer_options));
  peers.Listen();
  const QTemporaryDir disk;
  test::RefusingFiles files;
  const core::SystemClock clock;
  core::Metrics metrics;
  HostOptions options;
  options.self.set_instance(id);
  options.self.set_peer_address(id + ":" + std::to_string(peers.port()));
  options.initial_members = {id};
  options.data_folder = disk.path().toStdString();
  options.files = &files;
  DeploymentHost host(options, clock, metrics, peers);
  REQUIRE(core::IsOk(host.Start()));
  REQUIRE(WaitFor([&] { return host.is_leader() && host.IsCurrent(); }));
  const auto publish = [&host](uint64_t version) {
    schema::DeploymentCommand command;
    command.mutable_publish()->set_version(version);
    std::optional<bool> done;
    host.Propose(command,
                 [&done](const core::Result<schema::DeploymentReply>& it) {
                   done = core::IsOk(it);
                 });
    WaitFor([&done] { return done.has_value(); });
    return done == true;
  };
  REQUIRE(publish(1));

  files.SetRefusals({true, true, true});
  CHECK_FALSE(publish(2));
  QElapsedTimer timer;
  timer.start();
  const int before = files.refused();
  WaitFor([&timer] { return timer.elapsed() > 1000; });
  // Each try is refused an append or a truncation.
  CHECK(files.refused() - before > 0);
  CHECK(files.refused() - before <= 1000 / 100 + 1);

  files.SetRefusals({});
  CHECK(WaitFor([&] { return host.is_leader() && publish(3); }));
  CHECK(host.state().configuration().version() == 3);
}

}  // namespace
}  // namespace hawthorn::cluster
