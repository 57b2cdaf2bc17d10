// Stand-in upstream for tests and the demo: a model engine or a plain service
// that implements the protocol of docs/UPSTREAMS.md.
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/strings/str_split.h>
#include <signal.h>
#include <unistd.h>

#include <QCoreApplication>
#include <QSocketNotifier>
#include <cstdio>
#include <memory>

#include "core/clock.h"
#include "tests/standins/announcer.h"
#include "tests/standins/standin_engine.h"
#include "tests/standins/standin_service.h"
#include "transport/http_server.h"

ABSL_FLAG(std::string, role, "engine", "engine or service");
ABSL_FLAG(std::string, name, "upstream-1", "id of the upstream");
ABSL_FLAG(std::string, service, "model", "service that it serves");
ABSL_FLAG(std::string, zone, "zone-a", "availability zone");
ABSL_FLAG(std::string, instances, "",
          "addresses of instances, comma-separated");
ABSL_FLAG(std::string, key, "", "key of upstreams");
ABSL_FLAG(int, max_running, 8, "requests that run at once");
ABSL_FLAG(int, token_ms, 5, "time for each token in milliseconds");
ABSL_FLAG(int, port, 0, "port; 0 lets the kernel choose");

namespace {

int signal_pipe[2];

void OnSignal(int) {
  const char byte = 1;
  [[maybe_unused]] const auto n = write(signal_pipe[1], &byte, 1);
}

}  // namespace

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  QCoreApplication app(argc, argv);
  const bool is_engine = absl::GetFlag(FLAGS_role) == "engine";
  const hawthorn::core::SystemClock clock;
  std::unique_ptr<hawthorn::standins::StandinEngine> engine;
  std::unique_ptr<hawthorn::standins::StandinService> service;
  hawthorn::transport::HttpServer server(
      {}, clock,
      [&](const auto& request) {
        is_engine ? engine->OnRequest(request) : service->OnRequest(request);
      },
      [&](auto id) {
        if (is_engine) {
          engine->OnClientDisconnected(id);
        }
      });
  engine = std::make_unique<hawthorn::standins::StandinEngine>(
      server, std::chrono::milliseconds(absl::GetFlag(FLAGS_token_ms)));
  service = std::make_unique<hawthorn::standins::StandinService>(server);
  const auto port =
      server.Listen("127.0.0.1", uint16_t(absl::GetFlag(FLAGS_port)));
  if (!hawthorn::core::IsOk(port)) {
    std::fprintf(stderr, "%s\n", hawthorn::core::ErrorOf(port).message.c_str());
    return 1;
  }
  const std::string address =
      "127.0.0.1:" + std::to_string(hawthorn::core::Value(port));
  std::printf("%s\n", address.c_str());
  std::fflush(stdout);
  hawthorn::standins::Announcer announcer(
      {absl::GetFlag(FLAGS_name), absl::GetFlag(FLAGS_service),
       absl::GetFlag(FLAGS_zone), address, absl::GetFlag(FLAGS_max_running)},
      absl::StrSplit(absl::GetFlag(FLAGS_instances), ','),
      absl::GetFlag(FLAGS_key),
      [&] { return is_engine ? engine->Load() : service->Load(); });
  announcer.Start();
  if (pipe(signal_pipe) != 0) {
    return 1;
  }
  signal(SIGTERM, OnSignal);
  QSocketNotifier notifier(signal_pipe[0], QSocketNotifier::Read);
  QObject::connect(&notifier, &QSocketNotifier::activated, [&] {
    notifier.setEnabled(false);
    announcer.Leave([] { QCoreApplication::quit(); });
  });
  return QCoreApplication::exec();
}
