#pragma once

#include <QJsonObject>
#include <QObject>
#include <QTimer>
#include <functional>
#include <string>
#include <vector>

#include "transport/http_client.h"

namespace hawthorn::standins {

/// Announcement of a stand-in upstream.
struct Announcement {
  std::string upstream;
  std::string service;
  std::string zone;
  std::string address;
  int max_running = 8;
  int cache_tokens = 100000;
  bool verifies_fencing = false;
};

/// Announces an upstream to an instance, renews its lease with load reports and
/// announces when it leaves.
class Announcer final : public QObject {
  Q_OBJECT

 public:
  using LoadSource = std::function<QJsonObject()>;

  /// `instances` are tried in turn until one accepts the request.
  Announcer(Announcement announcement, std::vector<std::string> instances,
            std::string key, LoadSource load);

  void Start();
  /// Announces that the upstream leaves; calls `done` once an instance has
  /// acknowledged it.
  void Leave(std::function<void()> done);

 private:
  void Renew();
  void Post(const std::string& target, const QJsonObject& body);
  void OnEnd(const transport::ClientResponse& response);

  Announcement announcement_;
  std::vector<std::string> instances_;
  std::string key_;
  LoadSource load_;
  transport::HttpClient client_;
  QTimer timer_;
  size_t current_ = 0;
  uint64_t last_call_ = 0;
  bool announced_ = false;
  bool leaving_ = false;
  std::function<void()> on_left_;
};

}  // namespace hawthorn::standins
