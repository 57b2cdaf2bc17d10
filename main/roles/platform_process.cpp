#include "main/roles/platform_process.h"

#include <signal.h>
#include <unistd.h>

#include <QCoreApplication>
#include <QSocketNotifier>
#include <array>
#include <iostream>
#include <memory>
#include <utility>

#include "core/clock.h"
#include "core/metrics.h"
#include "logging/guarded_call.h"
#include "logging/log.h"
#include "main/guarded_application.h"
#include "main/roles/control_role.h"
#include "main/roles/entry_role.h"
#include "platform/boot_settings.h"

namespace hawthorn::main {

namespace {

using logging::Log;
using logging::LogLevel;

constexpr int kExitSettings = 2;
constexpr int kExitStart = 3;
/// The settings file may change without a signal, so the seeds are reloaded at
/// this interval.
constexpr std::chrono::seconds kReloadInterval{5};
/// Not a secret: the platform provides none, and its private network keeps out
/// other parties. The key only rejects connections from other deployments that
/// were configured by mistake.
constexpr const char* kPlatformKey = "hawthorn-platform-link";

std::array<int, 2> signal_pipe{-1, -1};

void OnSignal(int number) {
  const char byte = static_cast<char>(number);
  [[maybe_unused]] const auto n = write(signal_pipe[1], &byte, 1);
}

peer::PeerOptions PeerOptionsOf(const platform::BootSettings& settings) {
  peer::PeerOptions options;
  options.self = core::InstanceId(settings.ip);
  options.listen_address = settings.PeerAddress();
  options.key = kPlatformKey;
  options.accept_unknown_peers = true;
  // A dead link must be detected and replaced within 3 s, the time without
  // contact that is tolerated.
  options.ping_after = std::chrono::milliseconds(400);
  options.receive_timeout = std::chrono::milliseconds(1000);
  // A machine without power does not respond at all, so the timeout and the
  // backoff are short: the next attempt may find it up.
  options.handshake_timeout = std::chrono::milliseconds(250);
  options.initial_backoff = std::chrono::milliseconds(30);
  options.max_backoff = std::chrono::milliseconds(300);
  // An open link costs pings. Links to instances that are asked about an
  // upstream or forward exchanges are seldom needed.
  options.idle_timeout = std::chrono::milliseconds(10000);
  options.seed = std::hash<std::string>{}(settings.ip);
  return options;
}

class PlatformProcess {
 public:
  PlatformProcess(PlatformOptions options, platform::BootSettings settings)
      : options_(std::move(options)),
        settings_(std::move(settings)),
        peers_(PeerOptionsOf(settings_)),
        metrics_endpoint_([this](transport::HttpSession& session,
                                 const transport::RelayRequest&) {
          role_->UpdateGauges();
          metrics_.SetGauge(
              "log_records_left_out",
              static_cast<double>(logging::SuppressedLogRecords()));
          metrics_.SetGauge("unexpected_errors",
                            static_cast<double>(logging::UnexpectedErrors()));
          session.Respond(200, {{"Content-Type", "text/plain; version=0.0.4"}},
                          metrics_.Exposition());
        }) {
    if (settings_.caller_address.empty()) {
      role_ =
          std::make_unique<ControlRole>(settings_, clock_, metrics_, peers_);
    } else {
      role_ = std::make_unique<EntryRole>(settings_, clock_, metrics_, peers_);
    }
    QObject::connect(&reload_timer_, &QTimer::timeout, &reload_timer_,
                     [this] { Reload(); });
  }

  core::Status Start() {
    ReportUnusableSeeds();
    core::Status status = peers_.Listen();
    if (core::IsOk(status)) {
      status = role_->Start();
    }
    if (core::IsOk(status) && options_.metrics_port != 0) {
      status = metrics_endpoint_.Listen({settings_.ip, options_.metrics_port});
    }
    if (!core::IsOk(status)) {
      return status;
    }
    reload_timer_.start(kReloadInterval);
    return std::monostate{};
  }

  void OnSignalByte(char number) {
    if (number == SIGHUP) {
      Log(LogLevel::kInfo, "reloading settings");
      Reload();
      return;
    }
    Log(LogLevel::kInfo, "stopping", {{"signal", std::to_string(number)}});
    role_->Drain([] { QCoreApplication::exit(0); });
  }

 private:
  void Reload() {
    auto loaded = platform::LoadBootSettings(options_.settings_path);
    if (std::holds_alternative<core::FindingList>(loaded)) {
      Log(LogLevel::kWarn,
          "invalid settings file, keeping the current settings",
          {{"findings", std::get<core::FindingList>(loaded).Report()}});
      return;
    }
    const auto& settings = std::get<platform::BootSettings>(loaded);
    if (settings.seeds == settings_.seeds &&
        settings.unusable_seeds == settings_.unusable_seeds) {
      return;
    }
    settings_.seeds = settings.seeds;
    settings_.unusable_seeds = settings.unusable_seeds;
    ReportUnusableSeeds();
    Log(LogLevel::kInfo, "seeds changed");
    role_->AddSeeds(settings_.SeedPeers());
  }

  void ReportUnusableSeeds() {
    for (const std::string& it : settings_.unusable_seeds) {
      metrics_.Count("settings_unusable_seeds");
      Log(LogLevel::kWarn, "seed left out",
          {{"seed", it}, {"reason", "not an address"}});
    }
  }

  PlatformOptions options_;
  platform::BootSettings settings_;
  core::SuspendAwareClock clock_;
  core::Metrics metrics_;
  peer::PeerTransport peers_;
  transport::HttpEndpoint metrics_endpoint_;
  std::unique_ptr<Role> role_;
  QTimer reload_timer_;
};

}  // namespace

int RunPlatformProcess(int argc, char** argv, const PlatformOptions& options) {
  auto loaded = platform::LoadBootSettings(options.settings_path);
  if (std::holds_alternative<core::FindingList>(loaded)) {
    std::cerr << std::get<core::FindingList>(loaded).Report();
    return kExitSettings;
  }
  auto settings = std::get<platform::BootSettings>(std::move(loaded));
  if (pipe(signal_pipe.data()) != 0) {
    return kExitStart;
  }
  signal(SIGTERM, OnSignal);
  signal(SIGINT, OnSignal);
  signal(SIGHUP, OnSignal);
  signal(SIGPIPE, SIG_IGN);
  logging::StartLog({settings.instance_name, options.log_level, "-", false});
  // Qt's GLib event dispatcher needs more system calls per iteration than its
  // own dispatcher.
  qputenv("QT_NO_GLIB", "1");
  const GuardedApplication app(argc, argv);
  const std::string instance_name = settings.instance_name;
  PlatformProcess process(options, std::move(settings));
  const core::Status started = process.Start();
  if (!core::IsOk(started)) {
    Log(LogLevel::kError, "could not start",
        {{"error", core::ErrorOf(started).message}});
    logging::StopLog();
    return kExitStart;
  }
  Log(LogLevel::kInfo, "started");
  QSocketNotifier notifier(signal_pipe[0], QSocketNotifier::Read);
  QObject::connect(&notifier, &QSocketNotifier::activated, [&process] {
    char number = 0;
    if (read(signal_pipe[0], &number, 1) == 1) {
      process.OnSignalByte(number);
    }
  });
  const int code = QCoreApplication::exec();
  Log(LogLevel::kInfo, "stopped", {{"code", std::to_string(code)}});
  logging::StopLog();
  return code;
}

}  // namespace hawthorn::main
