#pragma once

#include <QJsonObject>
#include <QTimer>
#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "transport/http_server.h"

namespace hawthorn::standins {

/// Minimal model engine: streams a deterministic answer token by token, can
/// resume at an offset, simulates a prefix cache per program and counts its
/// runs. A request whose last message contains "CRASH-ENGINE" aborts the
/// process.
class StandinEngine {
 public:
  StandinEngine(transport::HttpServer& server,
                std::chrono::milliseconds token_interval);

  void OnRequest(const transport::HttpRequest& request);
  void OnClientDisconnected(transport::ExchangeId id);
  /// Current load report.
  QJsonObject Load() const;

 private:
  struct Stream {
    std::vector<std::string> tokens;
    size_t offset = 0;
    size_t prompt_tokens = 0;
    size_t cached_tokens = 0;
    std::string program;
  };

  void Generate(const transport::HttpRequest& request);
  void ExecuteOrder(const transport::HttpRequest& request);
  void Step();

  transport::HttpServer& server_;
  QTimer timer_;
  std::map<transport::ExchangeId, Stream> streams_;
  std::map<std::string, size_t> cache_;
  uint64_t runs_ = 0;
  uint64_t cancelled_ = 0;
  uint64_t highest_fencing_ = 0;
};

}  // namespace hawthorn::standins
