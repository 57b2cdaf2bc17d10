#include "main/http/operator_api.h"

#include "control/key.h"
#include "main/http/json.h"
#include "transport/http_status.h"

namespace hawthorn::main {

namespace {

constexpr char kAdminPath[] = "/v1/admin/";
constexpr char kBearer[] = "Bearer ";
constexpr char kReady[] = "ready";

}  // namespace

OperatorApi::OperatorApi(HttpSink& http, const core::Metrics& metrics,
                         std::string key, std::function<std::string()> health)
    : http_(http),
      metrics_(metrics),
      key_(std::move(key)),
      health_(std::move(health)) {}

void OperatorApi::Register(const std::string& name, Handler handler) {
  handlers_[name] = std::move(handler);
}

bool OperatorApi::OnRequest(const transport::HttpRequest& request) {
  if (request.path == "/health") {
    const std::string state = health_();
    http_.Respond(
        request.id,
        state == kReady ? transport::status::kOk
                        : transport::status::kServiceUnavailable,
        JsonHeaders(),
        ToJson(QJsonObject{{"state", QString::fromStdString(state)}}) + "\n");
    return true;
  }
  if (request.path == "/metrics") {
    http_.Respond(request.id, transport::status::kOk,
                  {{"Content-Type", "text/plain; version=0.0.4"}},
                  metrics_.Exposition());
    return true;
  }
  if (!request.path.starts_with(kAdminPath)) {
    return false;
  }
  HandleAdminRequest(request);
  return true;
}

void OperatorApi::HandleAdminRequest(const transport::HttpRequest& request) {
  const auto refuse = [this, id = request.id](const core::Error& error) {
    http_.Respond(id, StatusOf(error.code), ErrorHeaders(error),
                  ToJson(ErrorObject(error)) + "\n");
  };
  if (!control::EqualsInConstantTime(request.Header("authorization"),
                                     kBearer + key_)) {
    refuse(NotRun(core::ErrorCode::kUnauthenticated,
                  "the operator's key is missing or wrong"));
    return;
  }
  const auto it = handlers_.find(request.path.substr(sizeof kAdminPath - 1));
  if (it == handlers_.end()) {
    refuse(NotRun(core::ErrorCode::kNotFound, "no such route"));
    return;
  }
  it->second(request, [this, refuse, id = request.id](
                          const core::Result<QJsonObject>& result) {
    if (!core::IsOk(result)) {
      refuse(core::ErrorOf(result));
      return;
    }
    http_.Respond(id, transport::status::kOk, JsonHeaders(),
                  ToJson(core::Value(result)) + "\n");
  });
}

}  // namespace hawthorn::main
