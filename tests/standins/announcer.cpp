#include "tests/standins/announcer.h"

#include <QJsonDocument>

namespace hawthorn::standins {

namespace {
constexpr std::chrono::milliseconds kRenewInterval{500};
constexpr std::chrono::milliseconds kRequestTimeout{1000};
constexpr int kNotFound = 404;
}  // namespace

Announcer::Announcer(Announcement announcement,
                     std::vector<std::string> instances, std::string key,
                     LoadSource load)
    : announcement_(std::move(announcement)),
      instances_(std::move(instances)),
      key_(std::move(key)),
      load_(std::move(load)),
      client_([](auto, auto) {},
              [this](auto, const transport::ClientResponse& response) {
                OnEnd(response);
              }) {
  connect(&timer_, &QTimer::timeout, this, &Announcer::Renew);
}

void Announcer::Start() {
  timer_.start(kRenewInterval);
  Renew();
}

void Announcer::Leave(std::function<void()> done) {
  leaving_ = true;
  on_left_ = std::move(done);
  Post("/v1/upstreams/" + announcement_.upstream + "/leave", {});
}

void Announcer::Renew() {
  if (client_.open_calls() > 0) {
    return;
  }
  if (leaving_) {
    Post("/v1/upstreams/" + announcement_.upstream + "/leave", {});
    return;
  }
  if (announced_) {
    Post("/v1/upstreams/" + announcement_.upstream + "/renew", load_());
    return;
  }
  Post("/v1/upstreams",
       {{"upstream", QString::fromStdString(announcement_.upstream)},
        {"service", QString::fromStdString(announcement_.service)},
        {"zone", QString::fromStdString(announcement_.zone)},
        {"address", QString::fromStdString(announcement_.address)},
        {"max_running", announcement_.max_running},
        {"cache_tokens", announcement_.cache_tokens},
        {"verifies_fencing", announcement_.verifies_fencing}});
}

void Announcer::Post(const std::string& target, const QJsonObject& body) {
  transport::ClientRequest request;
  request.id = ++last_call_;
  request.address = instances_[current_];
  request.target = target;
  request.headers = {{"Content-Type", "application/json"},
                     {"Authorization", "Bearer " + key_}};
  request.body =
      QJsonDocument(body).toJson(QJsonDocument::Compact).toStdString();
  request.timeout = kRequestTimeout;
  client_.Start(request);
}

void Announcer::OnEnd(const transport::ClientResponse& response) {
  const bool ok = response.status >= 200 && response.status < 300;
  if (leaving_) {
    if (ok || response.status == kNotFound) {
      timer_.stop();
      on_left_();
    }
    return;
  }
  announced_ = ok;
  if (!ok && response.status != kNotFound) {
    current_ = (current_ + 1) % instances_.size();
  }
}

}  // namespace hawthorn::standins
