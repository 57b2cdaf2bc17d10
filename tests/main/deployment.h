#pragma once

#include <QJsonObject>
#include <QProcess>
#include <QTemporaryDir>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "transport/http_client.h"

namespace hawthorn::test {

/// Response to an HTTP request.
struct Response {
  /// 0 if no response arrived.
  int status = 0;
  std::string body;
  bool complete = false;

  QJsonObject json() const;
  /// Member of the "error" object, for example "code".
  std::string error(const char* member) const;
};

/// Name, zone and storage of an instance of the test deployment.
struct InstancePlan {
  std::string name;
  std::string zone;
  bool disk = true;
};

using Plans = std::vector<InstancePlan>;

/// Runs real processes on loopback: instances, each with its own data folder,
/// and stand-in upstreams that announce themselves.
class Deployment {
 public:
  explicit Deployment(std::vector<InstancePlan> instances);
  ~Deployment();

  /// Adds lines to the settings file of an instance, for its next start.
  void AppendSettings(const std::string& instance, const std::string& text);
  /// Starts or restarts an instance and waits until it listens.
  void Start(const std::string& instance);
  void StartAll();
  /// Waits until the instance is ready for traffic.
  void WaitReady(const std::string& instance);
  /// Waits until `instance` reports `count` voters in `group`.
  void WaitVoters(const std::string& instance, const std::string& group,
                  int count);
  /// Kills an instance or upstream with SIGKILL.
  void Kill(const std::string& name);
  /// Shuts an instance or upstream down with SIGTERM and returns its exit code.
  int Terminate(const std::string& name);
  void SendTerm(const std::string& name);
  int WaitExit(const std::string& name);
  bool IsRunning(const std::string& name) const;

  /// Starts a stand-in upstream that announces itself to an instance of `zone`.
  void StartUpstream(const std::string& name, const std::string& role,
                     const std::string& service, const std::string& zone,
                     int token_ms = 2);
  /// Counter `name` that the stand-in itself keeps, for example "runs".
  int64_t CountOf(const std::string& upstream, const char* name);
  /// Waits until `instance` reports `count` upstreams that accept calls.
  void WaitUpstreams(const std::string& instance, int count);

  /// Sends a request with the organisation's key and waits for the response.
  Response Call(const std::string& instance, const std::string& path,
                const QJsonObject& body, const std::string& method = "POST");
  /// Sends a request with the operators' key and waits for the response.
  Response Operate(const std::string& instance, const std::string& path,
                   const QJsonObject& body, const std::string& method = "POST");
  /// Sends a request without waiting; the response is filled in as it arrives.
  std::shared_ptr<Response> Begin(const std::string& instance,
                                  const std::string& path,
                                  const QJsonObject& body);
  /// Aborts a request that Begin() sent.
  void Disconnect(const std::shared_ptr<Response>& response);

  std::string CreateProgram(const std::string& instance);
  /// Leader of `group` according to `instance`.
  std::string LeaderOf(const std::string& instance, const std::string& group);

 private:
  struct Process {
    std::unique_ptr<QProcess> process;
    std::string address;
  };

  void WriteFiles();
  std::string SettingsOf(const InstancePlan& plan) const;
  std::string LaunchAndReadLine(const std::string& name, const QString& program,
                                const QStringList& arguments);
  transport::ClientRequest MakeRequest(const std::string& address,
                                       const std::string& path,
                                       const std::string& key) const;
  Response Run(const transport::ClientRequest& request);

  std::vector<InstancePlan> instances_;
  QTemporaryDir folder_;
  std::map<std::string, int> peer_ports_;
  std::map<std::string, Process> processes_;
  std::string organisation_key_;
  std::string operator_key_;
  uint64_t last_call_ = 0;
  std::map<uint64_t, std::shared_ptr<Response>> responses_;
  std::unique_ptr<transport::HttpClient> client_;
};

/// Request body of a model call with one message.
QJsonObject ModelCall(int number, const std::string& text, bool stream = false);
/// Request body of a call to the booking service.
QJsonObject PlainCall(int number, const std::string& operation);

}  // namespace hawthorn::test
