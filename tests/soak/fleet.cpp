#include "fleet.h"

#include <signal.h>

#include <QDir>
#include <QFile>
#include <QHostAddress>
#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QProcessEnvironment>
#include <algorithm>
#include <utility>

#include "process_fault.h"
#include "tests/support/loopback.h"

namespace hawthorn::soak {

namespace {

constexpr int kZones = 3;
/// An end this soon after a fault does not count as an end by itself.
constexpr int64_t kOwnEndMs = 1000;
/// Third number of the addresses of each duty.
constexpr int kControlNet = 1;
constexpr int kLedgerNet = 2;
constexpr int kEntryNet = 3;
/// Time without faults of machines with a disk before one may lose its disk.
constexpr int64_t kSyncMs = 6000;

QString Text(const std::string& text) { return QString::fromStdString(text); }

/// Sends a signal of network_fault with its value to a process.
void SendFault(const Instance& it, int number, int value) {
  if (it.process && it.process->state() == QProcess::Running) {
    sigval payload{};
    payload.sival_int = value;
    sigqueue(static_cast<pid_t>(it.process->processId()), number, payload);
  }
}

}  // namespace

std::string Fleet::ZoneOf(int number) {
  return "zone-" + std::to_string(number % kZones);
}

Fleet::Fleet(Findings& findings, const std::string& logs, int controls,
             int ledgers, int entries)
    : findings_(findings),
      logs_(logs),
      peer_port_(test::FreePort()),
      control_port_(test::FreePort()),
      caller_port_(test::FreePort()),
      readiness_port_(test::FreePort()) {
  Add("control", Duty::kControl, kControlNet, controls);
  Add("ledger", Duty::kLedger, kLedgerNet, ledgers);
  Add("entry", Duty::kEntry, kEntryNet, entries);
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
  const auto first = static_cast<int>(
      std::count_if(instances_.begin(), instances_.end(),
                    [duty](const auto& it) { return it->duty == duty; }));
  for (int n = first; n < first + count; ++n) {
    auto it = std::make_unique<Instance>();
    it->name = name + "-" + std::to_string(n);
    it->duty = duty;
    // Large fleets take up further networks of the run.
    it->ip =
        test::LoopbackNet(net + 10 * (n / 250)) + std::to_string(n % 250 + 1);
    it->zone = ZoneOf(n);
    instances_.push_back(std::move(it));
  }
}

std::vector<Instance*> Fleet::Of(Duty duty) {
  std::vector<Instance*> found;
  for (const auto& it : instances_) {
    if (it->duty == duty && !it->gone) {
      found.push_back(it.get());
    }
  }
  return found;
}

std::vector<Instance*> Fleet::WithDisk() {
  std::vector<Instance*> found = Of(Duty::kControl);
  const std::vector<Instance*> ledgers = Of(Duty::kLedger);
  found.insert(found.end(), ledgers.begin(), ledgers.end());
  return found;
}

bool Fleet::IsDisturbed(const Instance& it) const {
  const int64_t last = std::max(it.last_unplanned, it.last_planned);
  return it.paused || it.stalled || it.cut || findings_.Now() - last < kSyncMs;
}

bool Fleet::MayDisturbDisks() {
  const std::vector<Instance*> disks = WithDisk();
  const auto disturbed =
      std::count_if(disks.begin(), disks.end(),
                    [this](const Instance* it) { return IsDisturbed(*it); });
  return static_cast<size_t>(disturbed) < (disks.size() - 1) / 2;
}

bool Fleet::AllDisksCalm() {
  const std::vector<Instance*> disks = WithDisk();
  return std::none_of(disks.begin(), disks.end(),
                      [this](const Instance* it) { return IsDisturbed(*it); });
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
    if (static_cast<size_t>(seeds.size()) < kMaxSeeds) {
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
  if (it.gone || it.wanted) {
    // It was started or removed since this start was planned.
    return;
  }
  it.process = std::make_unique<QProcess>();
  it.process->setStandardOutputFile(Text(logs_ + "/" + it.name + ".log"),
                                    QIODevice::Append);
  it.process->setStandardErrorFile(Text(logs_ + "/" + it.name + ".err"),
                                   QIODevice::Append);
  QProcessEnvironment environment = QProcessEnvironment::systemEnvironment();
  environment.insert("LD_PRELOAD", NETWORK_FAULT);
  environment.insert(kOwnAddressVariable, Text(it.ip));
  it.process->setProcessEnvironment(environment);
  // A fault may come before network_fault is loaded, and is lost then.
  it.process->setChildProcessModifier([] {
    for (const int number :
         {PartitionSignal(), DiskStallSignal(), CutSignal()}) {
      signal(number, SIG_IGN);
    }
  });
  it.process->start(qEnvironmentVariable("SOAK_HAWTHORND", HAWTHORND),
                    {"--platform", "--settings",
                     Text(WriteSettings(it, first_start)), "--metrics_port=0"});
  it.process->waitForStarted();
  it.paused = false;
  it.partition = Partition::kNone;
  it.stalled = false;
  it.wanted = true;
  ++it.starts;
  Note(it);
}

void Fleet::Signal(Instance& it, int number) {
  if (it.process && it.process->state() == QProcess::Running) {
    ::kill(static_cast<pid_t>(it.process->processId()), number);
  }
}

void Fleet::Pause(Instance& it) {
  it.paused = true;
  it.last_unplanned = findings_.Now();
  Note(it);
  Signal(it, SIGSTOP);
}

void Fleet::Resume(Instance& it) {
  if (std::exchange(it.paused, false)) {
    it.last_unplanned = findings_.Now();
    Note(it);
    Signal(it, SIGCONT);
  }
}

void Fleet::SetPartition(Instance& it, Partition partition) {
  it.partition = partition;
  SendFault(it, PartitionSignal(), static_cast<int>(partition));
}

void Fleet::SetDiskStall(Instance& it, bool stalled) {
  it.stalled = stalled;
  it.last_unplanned = findings_.Now();
  Note(it);
  SendFault(it, DiskStallSignal(), stalled ? 1 : 0);
}

void Fleet::SetCut(Instance& from, Instance& to, bool cut) {
  SendFault(from, CutSignal(),
            PackCut(QHostAddress(Text(to.ip)).toIPv4Address(), cut));
}

void Fleet::MarkCut(Instance& it, bool cut) {
  it.cut = cut;
  it.last_unplanned = findings_.Now();
  Note(it);
}

void Fleet::Kill(Instance& it) {
  it.last_unplanned = findings_.Now();
  Note(it);
  it.wanted = false;
  it.paused = false;
  it.stalled = false;
  if (it.process) {
    it.process->kill();
    it.process->waitForFinished();
  }
}

void Fleet::WipeDisk(Instance& it) {
  QDir(folder_.filePath(Text(it.name))).removeRecursively();
}

void Fleet::KillAll() {
  for (const auto& it : instances_) {
    Signal(*it, SIGKILL);
  }
  for (const auto& it : instances_) {
    Kill(*it);
  }
}

Instance& Fleet::Replace(Instance& it) {
  Kill(it);
  it.gone = true;
  WipeDisk(it);
  Add(it.duty == Duty::kControl ? "control" : "ledger", it.duty,
      it.duty == Duty::kControl ? kControlNet : kLedgerNet, 1);
  Instance& successor = *instances_.back();
  successor.zone = it.zone;
  successor.last_unplanned = findings_.Now();
  Start(successor);
  return successor;
}

void Fleet::CheckProcesses() {
  for (const auto& it : instances_) {
    const bool ended =
        it->process && it->process->state() == QProcess::NotRunning;
    if (!ended || !it->wanted) {
      continue;
    }
    const int64_t now = findings_.Now();
    // A stop that was paused ends later: ends within a second of a fault of
    // the own machine do not count.
    const bool planned =
        now - it->last_planned <= (kGraceSeconds + 1) * 1000 ||
        (now - it->last_unplanned <= kOwnEndMs &&
         it->last_unplanned - it->last_planned <= 2 * kGraceSeconds * 1000);
    if (!planned || it->process->exitStatus() != QProcess::NormalExit ||
        it->process->exitCode() != 0) {
      findings_.Add("process ends",
                    it->name + " ended by itself, code " +
                        std::to_string(it->process->exitCode()));
      it->last_unplanned = findings_.Now();
    }
    it->wanted = false;
    Start(*it);
  }
}

}  // namespace hawthorn::soak
