#include "tests/main/deployment.h"

#include <signal.h>

#include <QFile>
#include <QJsonArray>
#include <QJsonDocument>
#include <QTcpServer>
#include <catch2/catch.hpp>
#include <fstream>

#include "control/key.h"
#include "main/http/json.h"
#include "tests/support/event_loop.h"

namespace hawthorn::test {

namespace {

constexpr char kConfiguration[] =
    "services:\n"
    "  - {id: asistente, kind: model, policy: combined}\n"
    "  - {id: reservas, kind: plain, policy: fcfs, "
    "idempotent_operations: [list-dates]}\n"
    "classes:\n"
    "  - {id: chat, weight: 2, interactive: true}\n";

std::string Hex(const std::string& bytes) {
  return QByteArray::fromStdString(bytes).toHex().toStdString();
}

int FreePort() {
  QTcpServer server;
  server.listen(QHostAddress::LocalHost);
  return server.serverPort();
}

QString PathOf(const QTemporaryDir& folder, const std::string& name) {
  return folder.filePath(QString::fromStdString(name));
}

void Write(const QString& path, const std::string& text) {
  std::ofstream out(path.toStdString());
  out << text;
}

}  // namespace

QJsonObject Response::json() const {
  return QJsonDocument::fromJson(QByteArray::fromStdString(body)).object();
}

std::string Response::error(const char* member) const {
  return json()["error"].toObject()[member].toString().toStdString();
}

QJsonObject ModelCall(int number, const std::string& text, bool stream) {
  const QJsonObject message{{"role", "user"},
                            {"content", QString::fromStdString(text)}};
  return {{"number", number},    {"service", "asistente"},
          {"class", "chat"},     {"stream", stream},
          {"timeout_ms", 20000}, {"messages", QJsonArray{message}}};
}

QJsonObject PlainCall(int number, const std::string& operation) {
  return {{"number", number},
          {"service", "reservas"},
          {"operation", QString::fromStdString(operation)},
          {"timeout_ms", 20000},
          {"input", QJsonObject{{"date", "2027-01-04"}}}};
}

Deployment::Deployment(std::vector<InstancePlan> instances)
    : instances_(std::move(instances)),
      client_(std::make_unique<transport::HttpClient>(
          [this](uint64_t id, const std::string& chunk) {
            if (responses_.contains(id)) {
              responses_[id]->body += chunk;
            }
          },
          [this](uint64_t id, const transport::ClientResponse& response) {
            if (responses_.contains(id)) {
              responses_[id]->status = response.status;
              responses_[id]->complete = response.complete;
              responses_.erase(id);
            }
          })) {
  for (const InstancePlan& it : instances_) {
    peer_ports_[it.name] = FreePort();
  }
  WriteFiles();
}

Deployment::~Deployment() {
  client_.reset();
  for (auto& [name, it] : processes_) {
    it.process->kill();
    it.process->waitForFinished();
  }
}

void Deployment::WriteFiles() {
  const auto random = control::SystemRandomSource();
  const control::GeneratedKey key = control::GenerateKey(random);
  organisation_key_ = key.token;
  operator_key_ = control::GenerateSecret(random);
  Write(PathOf(folder_, "operator.key"), operator_key_ + "\n");
  Write(PathOf(folder_, "peer.key"), control::GenerateSecret(random) + "\n");
  Write(PathOf(folder_, "configuration.yaml"),
        "organisations:\n  - id: families\n    keys:\n      - {id: \"" +
            key.digest.id() + "\", salt: \"" + Hex(key.digest.salt()) +
            "\", digest: \"" + Hex(key.digest.digest()) + "\"}\n" +
            kConfiguration);
  for (const InstancePlan& it : instances_) {
    Write(PathOf(folder_, it.name + ".yaml"), SettingsOf(it));
  }
}

std::string Deployment::SettingsOf(const InstancePlan& plan) const {
  std::string text = "instance: " + plan.name + "\nzone: " + plan.zone +
                     "\nhttp_listen: \"127.0.0.1:0\"\npeer_listen: "
                     "\"127.0.0.1:" +
                     std::to_string(peer_ports_.at(plan.name)) +
                     "\"\npeer_key_file: peer.key\noperator_key_file: "
                     "operator.key\nfirst_configuration_file: "
                     "configuration.yaml\nlog_level: warn\n"
                     "test_hooks: {allow_link_cuts: true}\n";
  if (plan.disk) {
    text += "data_folder: data-" + plan.name + "\n";
  }
  text += "instances:\n";
  for (const InstancePlan& it : instances_) {
    text +=
        "  - {instance: " + it.name + ", zone: " + it.zone +
        ", address: \"127.0.0.1:" + std::to_string(peer_ports_.at(it.name)) +
        "\", control_voter: " + (it.disk ? "true" : "false") +
        ", has_disk: " + (it.disk ? "true" : "false") + ", ledger_zones: [" +
        it.zone + "]}\n";
  }
  return text;
}

std::string Deployment::LaunchAndReadLine(const std::string& name,
                                          const QString& program,
                                          const QStringList& arguments) {
  Process& entry = processes_[name];
  entry.process = std::make_unique<QProcess>();
  entry.process->setWorkingDirectory(folder_.path());
  entry.process->setStandardErrorFile(PathOf(folder_, name + ".log"),
                                      QIODevice::Append);
  entry.process->start(program, arguments);
  const bool ready = WaitFor([&] {
    return entry.process->canReadLine() ||
           entry.process->state() == QProcess::NotRunning;
  });
  const std::string line = entry.process->readLine().trimmed().toStdString();
  if (!ready || line.empty()) {
    QFile log(PathOf(folder_, name + ".log"));
    log.open(QIODevice::ReadOnly);
    FAIL(name << " did not start: " << log.readAll().toStdString());
  }
  return line;
}

void Deployment::AppendSettings(const std::string& instance,
                                const std::string& text) {
  std::ofstream(PathOf(folder_, instance + ".yaml").toStdString(),
                std::ios::app)
      << text;
}

void Deployment::Start(const std::string& instance) {
  const std::string line = LaunchAndReadLine(
      instance, HAWTHORND, {"--settings", PathOf(folder_, instance + ".yaml")});
  const size_t begin = line.find("http=") + 5;
  processes_[instance].address =
      "127.0.0.1:" + line.substr(begin, line.find(' ', begin) - begin);
}

void Deployment::StartAll() {
  for (const InstancePlan& it : instances_) {
    Start(it.name);
  }
  for (const InstancePlan& it : instances_) {
    WaitReady(it.name);
  }
}

void Deployment::WaitReady(const std::string& instance) {
  Response last;
  const bool ready = WaitFor([&] {
    last = Call(instance, "/health", {}, "GET");
    return last.status == 200;
  });
  INFO(instance << ": " << last.body);
  REQUIRE(ready);
}

void Deployment::WaitVoters(const std::string& instance,
                            const std::string& group, int count) {
  std::string last;
  const bool formed = WaitFor([&] {
    const Response response = Operate(instance, "/v1/admin/members", {}, "GET");
    last = response.body;
    const QJsonArray groups = response.json()["groups"].toArray();
    return std::any_of(groups.begin(), groups.end(), [&](const auto& it) {
      const QJsonArray members = it.toObject()["members"].toArray();
      const auto voters = std::count_if(
          members.begin(), members.end(),
          [](const auto& m) { return m.toObject()["voter"].toBool(); });
      return it.toObject()["group"].toString().toStdString() == group &&
             voters == count;
    });
  });
  INFO(last);
  REQUIRE(formed);
}

void Deployment::Kill(const std::string& name) {
  processes_[name].process->kill();
  processes_[name].process->waitForFinished();
}

void Deployment::SendTerm(const std::string& name) {
  processes_[name].process->terminate();
}

int Deployment::WaitExit(const std::string& name) {
  QProcess& process = *processes_[name].process;
  REQUIRE(WaitFor([&] { return process.state() == QProcess::NotRunning; }));
  return process.exitStatus() == QProcess::NormalExit ? process.exitCode() : -1;
}

int Deployment::Terminate(const std::string& name) {
  SendTerm(name);
  return WaitExit(name);
}

bool Deployment::IsRunning(const std::string& name) const {
  return processes_.at(name).process->state() != QProcess::NotRunning;
}

void Deployment::StartUpstream(const std::string& name, const std::string& role,
                               const std::string& service,
                               const std::string& zone, int token_ms) {
  QString instances;
  for (const InstancePlan& it : instances_) {
    if (it.zone == zone) {
      instances += (instances.isEmpty() ? "" : ",") +
                   QString::fromStdString(processes_[it.name].address);
    }
  }
  const auto flag = [](const char* key, const std::string& value) {
    return QString("--") + key + "=" + QString::fromStdString(value);
  };
  processes_[name].address = LaunchAndReadLine(
      name, HAWTHORN_STANDIN,
      {flag("role", role), flag("name", name), flag("service", service),
       flag("zone", zone), "--instances=" + instances,
       flag("key", operator_key_), flag("token_ms", std::to_string(token_ms))});
}

int64_t Deployment::CountOf(const std::string& upstream, const char* name) {
  return Call(upstream, "/runs", {}, "GET").json()[name].toInteger(-1);
}

void Deployment::WaitUpstreams(const std::string& instance, int count) {
  REQUIRE(WaitFor([&] {
    const QJsonArray list = Operate(instance, "/v1/admin/upstreams", {}, "GET")
                                .json()["upstreams"]
                                .toArray();
    return std::count_if(list.begin(), list.end(), [](const auto& it) {
             return it.toObject()["takes_work"].toBool();
           }) == count;
  }));
}

transport::ClientRequest Deployment::MakeRequest(const std::string& address,
                                                 const std::string& path,
                                                 const std::string& key) const {
  transport::ClientRequest request;
  request.address = address;
  request.target = path;
  request.headers = {{"Authorization", "Bearer " + key}};
  return request;
}

Response Deployment::Run(const transport::ClientRequest& request) {
  auto response = std::make_shared<Response>();
  responses_[request.id] = response;
  client_->Start(request);
  WaitFor([&] { return !responses_.contains(request.id); });
  return *response;
}

Response Deployment::Call(const std::string& instance, const std::string& path,
                          const QJsonObject& body, const std::string& method) {
  auto request =
      MakeRequest(processes_[instance].address, path, organisation_key_);
  request.id = ++last_call_;
  request.method = method;
  request.body = method == "GET" ? "" : main::ToJson(body);
  return Run(request);
}

Response Deployment::Operate(const std::string& instance,
                             const std::string& path, const QJsonObject& body,
                             const std::string& method) {
  auto request = MakeRequest(processes_[instance].address, path, operator_key_);
  request.id = ++last_call_;
  request.method = method;
  request.body = method == "GET" ? "" : main::ToJson(body);
  return Run(request);
}

std::shared_ptr<Response> Deployment::Begin(const std::string& instance,
                                            const std::string& path,
                                            const QJsonObject& body) {
  auto request =
      MakeRequest(processes_[instance].address, path, organisation_key_);
  request.id = ++last_call_;
  request.body = main::ToJson(body);
  auto response = std::make_shared<Response>();
  responses_[request.id] = response;
  client_->Start(request);
  return response;
}

void Deployment::Disconnect(const std::shared_ptr<Response>& response) {
  for (auto it = responses_.begin(); it != responses_.end(); ++it) {
    if (it->second == response) {
      client_->Cancel(it->first);
      responses_.erase(it);
      return;
    }
  }
}

std::string Deployment::CreateProgram(const std::string& instance) {
  Response response;
  const bool created = WaitFor([&] {
    response =
        Call(instance, "/v1/programs",
             {{"class", "chat"}, {"budget", QJsonObject{{"tokens", 100000}}}});
    return response.status == 201;
  });
  INFO(response.body);
  REQUIRE(created);
  return response.json()["program"].toString().toStdString();
}

std::string Deployment::LeaderOf(const std::string& instance,
                                 const std::string& group) {
  const QJsonArray groups = Operate(instance, "/v1/admin/members", {}, "GET")
                                .json()["groups"]
                                .toArray();
  for (const auto& it : groups) {
    if (it.toObject()["group"].toString().toStdString() == group) {
      return it.toObject()["leader"].toString().toStdString();
    }
  }
  return "";
}

}  // namespace hawthorn::test
