#include "fleet.h"

#include <signal.h>

#include <QCoreApplication>
#include <QDir>
#include <QFile>
#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QProcessEnvironment>
#include <QTcpServer>
#include <utility>

namespace hawthorn::soak {

namespace {

constexpr int kZones = 3;

/// Asks the kernel for a port that is free on loopback.
uint16_t FreePort() {
  QTcpServer server;
  server.listen(QHostAddress::LocalHost);
  return server.serverPort();
}

QString Text(const std::string& text) { return QString::fromStdString(text); }

}  // namespace

std::string Fleet::ZoneOf(int number) {
  return "zone-" + std::to_string(number % kZones);
}

Fleet::Fleet(Findings& findings, const std::string& logs, int controls,
             int ledgers, int entries)
    : findings_(findings),
      logs_(logs),
      peer_port_(FreePort()),
      control_port_(FreePort()),
      caller_port_(FreePort()),
      readiness_port_(FreePort()) {
  Add("control", Duty::kControl, 1, controls);
  Add("ledger", Duty::kLedger, 2, ledgers);
  Add("entry", Duty::kEntry, 3, entries);
}

Fleet::~Fleet() {
  for (const auto& it : instances_) {
    it->wanted = false;
    if (it->process) {
      it->process->kill();
      it->process->waitForFinished();
    }
  }
}

void Fleet::Add(const std::string& name, Duty duty, int net, int count) {
  // Parallel runs get different networks.
  const auto run = static_cast<int>(QCoreApplication::applicationPid() % 250);
  for (int n = 0; n < count; ++n) {
    auto it = std::make_unique<Instance>();
    it->name = name + "-" + std::to_string(n);
    it->duty = duty;
    it->ip = "127." + std::to_string(run + 2) + "." + std::to_string(net) +
             "." + std::to_string(n + 1);
    it->zone = ZoneOf(n);
    instances_.push_back(std::move(it));
  }
}

std::vector<Instance*> Fleet::Of(Duty duty) {
  std::vector<Instance*> found;
  for (const auto& it : instances_) {
    if (it->duty == duty) {
      found.push_back(it.get());
    }
  }
  return found;
}

std::string Fleet::CallerAddress(const Instance& it) const {
  return it.ip + ":" + std::to_string(caller_port_);
}

std::string Fleet::ControlAddress(const Instance& it) const {
  return it.ip + ":" + std::to_string(control_port_);
}

std::vector<std::string> Fleet::ControlAddresses() {
  std::vector<std::string> addresses;
  for (const Instance* it : Of(Duty::kControl)) {
    addresses.push_back(ControlAddress(*it));
  }
  return addresses;
}

std::string Fleet::WriteSettings(const Instance& it, bool first_start) {
  QJsonObject listen;
  QJsonArray seeds;
  for (const Instance* seed : Of(Duty::kControl)) {
    if (seeds.size() < 3) {
      seeds.append(Text(ControlAddress(*seed)));
    }
  }
  if (it.duty == Duty::kControl) {
    listen["control"] = Text(ControlAddress(it));
  }
  if (it.duty == Duty::kEntry) {
    listen["front"] = Text(CallerAddress(it));
    listen["ready"] = Text(it.ip + ":" + std::to_string(readiness_port_));
  }
  QJsonObject settings{{"node_name", Text(it.name)},
                       {"ip", Text(it.ip)},
                       {"zone", Text(it.zone)},
                       {"listen_addrs", listen},
                       {"port_range", QJsonArray{peer_port_, peer_port_ + 1}},
                       {"seeds", seeds},
                       {"bootstrap", first_start},
                       {"bounds", QJsonObject{{"grace_s", kGraceSeconds}}}};
  if (it.duty != Duty::kEntry) {
    const QString data = folder_.filePath(Text(it.name));
    QDir().mkpath(data);
    settings["data_dir"] = data;
  }
  const QString path = folder_.filePath(Text(it.name + ".json"));
  QFile file(path);
  file.open(QIODevice::WriteOnly);
  file.write(QJsonDocument(settings).toJson());
  return path.toStdString();
}

void Fleet::StartAll() {
  for (const auto& it : instances_) {
    Start(*it, true);
  }
}

void Fleet::Start(Instance& it, bool first_start) {
  it.process = std::make_unique<QProcess>();
  it.process->setStandardOutputFile(Text(logs_ + "/" + it.name + ".log"),
                                    QIODevice::Append);
  it.process->setStandardErrorFile(Text(logs_ + "/" + it.name + ".err"),
                                   QIODevice::Append);
  QProcessEnvironment environment = QProcessEnvironment::systemEnvironment();
  environment.insert("LD_PRELOAD", NETWORK_FAULT);
  it.process->setProcessEnvironment(environment);
  it.process->start(HAWTHORND,
                    {"--platform", "--settings",
                     Text(WriteSettings(it, first_start)), "--metrics_port=0"});
  it.process->waitForStarted();
  it.paused = false;
  it.partition = Partition::kNone;
  it.wanted = true;
}

void Fleet::Signal(Instance& it, int number) {
  if (it.process && it.process->state() == QProcess::Running) {
    ::kill(static_cast<pid_t>(it.process->processId()), number);
  }
}

void Fleet::Pause(Instance& it) {
  it.paused = true;
  it.last_unplanned = findings_.Now();
  Signal(it, SIGSTOP);
}

void Fleet::Resume(Instance& it) {
  if (std::exchange(it.paused, false)) {
    it.last_unplanned = findings_.Now();
    Signal(it, SIGCONT);
  }
}

void Fleet::SetPartition(Instance& it, Partition partition) {
  it.partition = partition;
  if (it.process && it.process->state() == QProcess::Running) {
    sigval value{};
    value.sival_int = static_cast<int>(partition);
    sigqueue(static_cast<pid_t>(it.process->processId()), PartitionSignal(),
             value);
  }
}

void Fleet::Kill(Instance& it) {
  it.last_unplanned = findings_.Now();
  it.wanted = false;
  it.paused = false;
  if (it.process) {
    it.process->kill();
    it.process->waitForFinished();
  }
}

void Fleet::WipeDisk(Instance& it) {
  QDir(folder_.filePath(Text(it.name))).removeRecursively();
}

void Fleet::CheckProcesses() {
  for (const auto& it : instances_) {
    const bool ended =
        it->process && it->process->state() == QProcess::NotRunning;
    if (!ended || !it->wanted) {
      continue;
    }
    const bool planned =
        findings_.Now() - it->last_planned <= (kGraceSeconds + 1) * 1000;
    if (!planned || it->process->exitStatus() != QProcess::NormalExit ||
        it->process->exitCode() != 0) {
      findings_.Add("process ends",
                    it->name + " ended by itself, code " +
                        std::to_string(it->process->exitCode()));
      it->last_unplanned = findings_.Now();
    }
    Start(*it);
  }
}

}  // namespace hawthorn::soak
