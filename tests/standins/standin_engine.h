#pragma once

#include <QJsonObject>
#include <QTimer>
#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "transport/http_server.h"

namespace hawthorn::standins {

/// Small model engine: streams a deterministic answer token by token, resumes
/// at an offset, keeps a prefix cache for each program and counts what ran.
/// A request whose last message contains "CRASH-ENGINE" ends the process.
class StandinEngine {
 public:
  StandinEngine(transport::HttpServer& server,
                std::chrono::milliseconds token_interval);

  void OnRequest(const transport::HttpRequest& request);
  void OnLeft(transport::ExchangeId id);
  /// Load report of the engine.
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
