#pragma once

#include <QProcess>
#include <QTemporaryDir>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "findings.h"
#include "network_fault.h"

namespace hawthorn::soak {

/// Duty of a process.
enum class Duty { kControl, kLedger, kEntry };

/// A process of the system on an address of its own in the loopback network.
struct Instance {
  std::string name;
  Duty duty = Duty::kEntry;
  std::string ip;
  std::string zone;
  std::unique_ptr<QProcess> process;
  bool paused = false;
  Partition partition = Partition::kNone;
  /// It is to be running, so that an end by itself is a finding.
  bool wanted = false;
  /// Removed for good; another instance takes its place.
  bool gone = false;
  /// Its disk does not sync.
  bool stalled = false;
  /// Links between it and other instances are cut.
  bool cut = false;
  /// Starts of its process.
  int starts = 0;
  /// Time of the last start, end or fault, or of the end of a fault.
  int64_t last_disruption = 0;
  /// Time of the last fault that may cut its connections; planned stops do not.
  int64_t last_unplanned = -1'000'000;
  /// Time of the last planned stop.
  int64_t last_planned = -1'000'000;
};

/// The processes of a deployment: real hawthornd processes on loopback.
class Fleet {
 public:
  static constexpr qint64 kGraceSeconds = 8;
  /// The first control instances are in the settings of all.
  static constexpr size_t kMaxSeeds = 3;

  Fleet(Findings& findings, const std::string& logs, int controls, int ledgers,
        int entries);
  ~Fleet();

  void StartAll();
  void Start(Instance& it, bool first_start = false);
  void Signal(Instance& it, int number);
  void Pause(Instance& it);
  void Resume(Instance& it);
  /// Partitions an instance from all upstreams, or ends that.
  void SetPartition(Instance& it, Partition partition);
  /// Kills the process; Start runs it again.
  void Kill(Instance& it);
  /// Removes the stored state of a stopped process.
  void WipeDisk(Instance& it);
  /// Makes each sync of the process hang, or ends that.
  void SetDiskStall(Instance& it, bool stalled);
  /// Loses all bytes from an instance to another, or ends that.
  void SetCut(Instance& from, Instance& to, bool cut);
  /// Notes that the links of an instance are cut or whole again.
  void MarkCut(Instance& it, bool cut);
  /// Kills all processes at once.
  void KillAll();
  /// Removes an instance for good and starts an empty one at a new address.
  Instance& Replace(Instance& it);
  /// Reports processes that ended by themselves and starts them again.
  void CheckProcesses();

  std::vector<std::unique_ptr<Instance>>& instances() { return instances_; }
  /// Folder of what the instances store.
  std::string folder() const { return folder_.path().toStdString(); }
  /// Instances that were not removed.
  std::vector<Instance*> Of(Duty duty);
  std::vector<Instance*> WithDisk();
  /// Whether one more machine with a disk may be disturbed.
  bool MayDisturbDisks();
  bool AllDisksCalm();
  std::string CallerAddress(const Instance& it) const;
  std::string ControlAddress(const Instance& it) const;
  std::vector<std::string> ControlAddresses();
  static std::string ZoneOf(int number);

 private:
  void Add(const std::string& name, Duty duty, int net, int count);
  /// Whether an instance is or was lately out of work.
  bool IsDisturbed(const Instance& it) const;
  void Note(Instance& it) { it.last_disruption = findings_.Now(); }
  std::string WriteSettings(const Instance& it, bool first_start);

  Findings& findings_;
  QTemporaryDir folder_;
  std::string logs_;
  std::vector<std::unique_ptr<Instance>> instances_;
  uint16_t peer_port_;
  uint16_t control_port_;
  uint16_t caller_port_;
  uint16_t readiness_port_;
};

}  // namespace hawthorn::soak
