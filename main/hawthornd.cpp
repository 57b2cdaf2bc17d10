// The hawthornd daemon: runs one instance.
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <signal.h>
#include <unistd.h>

#include <QCoreApplication>
#include <QSocketNotifier>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <sstream>

#include "logging/log.h"
#include "main/daemon.h"
#include "main/guarded_application.h"
#include "main/roles/platform_process.h"
#include "platform/boot_settings.h"
#include "settings/settings.h"

ABSL_FLAG(std::string, settings, "", "settings file of this instance");
ABSL_FLAG(
    bool, platform, false,
    "run on the users' platform: --settings is a platform settings file, by "
    "default the one that the environment names");
ABSL_FLAG(uint16_t, metrics_port, 0,
          "with --platform: port that serves the metrics; 0 disables it");
ABSL_FLAG(std::string, log_level, "info",
          "with --platform: debug, info, warn or error");

namespace hawthorn::main {
namespace {

constexpr int kExitSettings = 2;
constexpr int kExitStart = 3;

int signal_pipe[2];

void OnSignal(int) {
  const char byte = 1;
  [[maybe_unused]] const auto n = write(signal_pipe[1], &byte, 1);
}

std::string ReadSecret(const std::string& path) {
  std::ifstream in(path);
  std::string secret;
  std::getline(in, secret);
  return secret;
}

int RunOnPlatform(int argc, char** argv) {
  PlatformOptions options;
  options.settings_path = absl::GetFlag(FLAGS_settings);
  if (options.settings_path.empty()) {
    options.settings_path = platform::SettingsPath();
  }
  options.metrics_port = absl::GetFlag(FLAGS_metrics_port);
  options.log_level = absl::GetFlag(FLAGS_log_level);
  if (!logging::IsLogLevel(options.log_level)) {
    std::cerr << "--log_level: \"" << options.log_level
              << "\" is none of debug, info, warn and error\n";
    return kExitSettings;
  }
  return RunPlatformProcess(argc, argv, options);
}

int Run(int argc, char** argv) {
  if (absl::GetFlag(FLAGS_platform)) {
    return RunOnPlatform(argc, argv);
  }
  const auto loaded = settings::LoadSettings(absl::GetFlag(FLAGS_settings));
  if (std::holds_alternative<core::FindingList>(loaded)) {
    std::cerr << std::get<core::FindingList>(loaded).Report();
    return kExitSettings;
  }
  const auto& settings = std::get<schema::Settings>(loaded);
  schema::Configuration first;
  if (!settings.first_configuration_file().empty()) {
    const auto parsed =
        settings::LoadConfiguration(settings.first_configuration_file());
    if (std::holds_alternative<core::FindingList>(parsed)) {
      std::cerr << std::get<core::FindingList>(parsed).Report();
      return kExitSettings;
    }
    first = std::get<schema::Configuration>(parsed);
  }
  logging::StartLog(
      {settings.instance(), settings.log_level(), settings.log_file()});
  const hawthorn::main::GuardedApplication app(argc, argv);
  const core::SystemClock clock;
  Daemon daemon(settings,
                {ReadSecret(settings.peer_key_file()),
                 ReadSecret(settings.operator_key_file()),
                 ReadSecret(settings.upstream_key_file().empty()
                                ? settings.operator_key_file()
                                : settings.upstream_key_file())},
                clock);
  const core::Status started = daemon.Start(first);
  if (!core::IsOk(started)) {
    std::cerr << "hawthornd: " << core::ErrorOf(started).message << "\n";
    return kExitStart;
  }
  if (pipe(signal_pipe) != 0) {
    return kExitStart;
  }
  signal(SIGTERM, OnSignal);
  signal(SIGINT, OnSignal);
  signal(SIGPIPE, SIG_IGN);
  QSocketNotifier notifier(signal_pipe[0], QSocketNotifier::Read);
  QObject::connect(&notifier, &QSocketNotifier::activated, [&] {
    notifier.setEnabled(false);
    daemon.Drain();
  });
  std::printf("ready http=%u peer=%u\n", daemon.http_port(),
              daemon.peer_port());
  std::fflush(stdout);
  return QCoreApplication::exec();
}

}  // namespace
}  // namespace hawthorn::main

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage(
      "hawthornd --settings FILE\n"
      "Runs one instance. Exit codes: 0 drained, 2 faulty settings, 3 could "
      "not start.");
  absl::ParseCommandLine(argc, argv);
  return hawthorn::main::Run(argc, argv);
}
