#pragma once

#include <QObject>
#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "configuration_history.h"
#include "contact.h"
#include "fleet.h"
#include "traffic.h"

namespace hawthorn::soak {

/// Operators that race with configurations of every kind, and reads of the
/// configuration at any instance.
class Operator {
 public:
  Operator(Findings& findings, Fleet& fleet, uint64_t seed);

  void Start();
  void Stop() { stopping_ = true; }
  /// Newest version that was acknowledged.
  uint64_t acknowledged() const;
  /// Whether no order waits for its answer after Stop().
  bool idle() const { return busy_ == 0; }
  /// Reads the configuration at `control` and checks it; calls back with its
  /// version, 0 if it was refused.
  void Read(const Instance& control, std::function<void(uint64_t)> on_version);

  ConfigurationHistory& history() { return history_; }
  Contact& contact() { return contact_; }

 private:
  enum class Kind { kChange, kResend, kOlder, kOther, kInvalid };
  struct Order {
    Kind kind = Kind::kChange;
    uint64_t version = 0;
    std::string text;
    int64_t sent_at = 0;
    int attempts = 0;
    /// The next acknowledgement gets lost.
    bool loses_answer = false;
  };

  void Publish();
  Order MakeOrder();
  void Send(Order order);
  void OnAnswer(Order order, const std::string& control, int status);
  void ReadBack();
  void CheckRead(const std::string& control, int64_t sent,
                 const std::string& body);
  static const char* NameOf(Kind kind);
  const Instance& AnyControl();
  std::shared_ptr<Exchange> Open(const Instance& control);

  Findings& findings_;
  Fleet& fleet_;
  Contact contact_;
  std::mt19937_64 random_;
  ConfigurationHistory history_;
  std::vector<std::shared_ptr<Exchange>> exchanges_;
  int busy_ = 0;
  bool stopping_ = false;
  /// Ends the timers with this object.
  QObject timers_;
};

}  // namespace hawthorn::soak
