#include "tests/standins/standin_engine.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <algorithm>
#include <cstdlib>
#include <sstream>

namespace hawthorn::standins {

namespace {

constexpr char kCrashMarker[] = "CRASH-ENGINE";
constexpr size_t kBytesPerToken = 4;

std::string Compact(const QJsonObject& object) {
  return QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString();
}

/// Deterministic answer: repeats the last message, cut to `n` tokens.
std::vector<std::string> AnswerTokens(const std::string& last, size_t n) {
  std::vector<std::string> tokens = {"Answer", " to:"};
  std::istringstream words(last);
  std::string word;
  while (words >> word) {
    tokens.push_back(" " + word);
  }
  tokens.resize(std::min(tokens.size(), std::max<size_t>(1, n)));
  return tokens;
}

}  // namespace

StandinEngine::StandinEngine(transport::HttpServer& server,
                             std::chrono::milliseconds token_interval)
    : server_(server) {
  QObject::connect(&timer_, &QTimer::timeout, [this] { Step(); });
  timer_.start(token_interval);
}

void StandinEngine::OnRequest(const transport::HttpRequest& request) {
  if (request.path == "/v1/generate" && request.method == "POST") {
    Generate(request);
    return;
  }
  if (request.path == "/v1/orders" && request.method == "POST") {
    ExecuteOrder(request);
    return;
  }
  if (request.path == "/runs") {
    server_.Respond(request.id, 200, {{"Content-Type", "application/json"}},
                    Compact({{"runs", qint64(runs_)},
                             {"cancelled", qint64(cancelled_)},
                             {"running", qint64(streams_.size())}}));
    return;
  }
  server_.Respond(request.id, 404, {}, "");
}

void StandinEngine::Generate(const transport::HttpRequest& request) {
  const QJsonObject body =
      QJsonDocument::fromJson(QByteArray::fromStdString(request.body)).object();
  const QJsonArray messages = body["messages"].toArray();
  const std::string last =
      messages.isEmpty()
          ? std::string()
          : messages.last().toObject()["content"].toString().toStdString();
  if (last.find(kCrashMarker) != std::string::npos) {
    std::abort();
  }
  ++runs_;
  Stream stream;
  stream.program = body["program"].toString().toStdString();
  stream.tokens = AnswerTokens(last, size_t(body["max_tokens"].toInt(64)));
  stream.offset =
      std::min(stream.tokens.size(), size_t(body["offset"].toInt(0)));
  for (const auto& it : messages) {
    const auto content = it.toObject()["content"].toString();
    stream.prompt_tokens += size_t(content.size()) / kBytesPerToken + 1;
  }
  stream.cached_tokens = std::min(cache_[stream.program], stream.prompt_tokens);
  streams_[request.id] = stream;
  server_.BeginStream(request.id, 200, {{"Content-Type", "text/event-stream"}});
}

void StandinEngine::ExecuteOrder(const transport::HttpRequest& request) {
  const QJsonObject body =
      QJsonDocument::fromJson(QByteArray::fromStdString(request.body)).object();
  const auto fencing = uint64_t(body["fencing"].toDouble());
  if (fencing < highest_fencing_) {
    server_.Respond(request.id, 409, {}, Compact({{"refused", "old fencing"}}));
    return;
  }
  highest_fencing_ = fencing;
  server_.Respond(request.id, 200, {}, Compact({{"done", true}}));
}

void StandinEngine::Step() {
  std::vector<transport::ExchangeId> ended;
  for (auto& [id, stream] : streams_) {
    if (stream.offset < stream.tokens.size()) {
      const QJsonObject event{
          {"offset", qint64(stream.offset)},
          {"token", QString::fromStdString(stream.tokens[stream.offset])}};
      ++stream.offset;
      server_.WriteChunk(id, "data: " + Compact(event) + "\n\n");
      continue;
    }
    const size_t total = stream.prompt_tokens + stream.tokens.size();
    cache_[stream.program] = total;
    server_.WriteChunk(
        id, "data: " +
                Compact({{"done", true},
                         {"prompt_tokens", qint64(stream.prompt_tokens)},
                         {"cached_tokens", qint64(stream.cached_tokens)},
                         {"completion_tokens", qint64(stream.tokens.size())}}) +
                "\n\n");
    server_.EndStream(id);
    ended.push_back(id);
  }
  for (const auto id : ended) {
    streams_.erase(id);
  }
}

void StandinEngine::OnClientDisconnected(transport::ExchangeId id) {
  if (streams_.erase(id) > 0) {
    ++cancelled_;
  }
}

QJsonObject StandinEngine::Load() const {
  size_t cached = 0;
  for (const auto& [program, tokens] : cache_) {
    cached += tokens;
  }
  return {{"running", qint64(streams_.size())},
          {"waiting", 0},
          {"cached_tokens", qint64(cached)}};
}

}  // namespace hawthorn::standins
