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

/// Answer of one HTTP request.
struct Answer {
  /// 0 where no answer arrived.
  int status = 0;
  std::string body;
  bool complete = false;

  QJsonObject json() const;
  /// Member of the "error" object, for example "code".
  std::string error(const char* member) const;
};

/// An instance of a deployment as a test names it.
struct InstancePlan {
  std::string name;
  std::string zone;
  bool disk = true;
};

using Plans = std::vector<InstancePlan>;

/// Real processes on loopback with a data folder each: instances, and
/// stand-in upstreams that announce themselves.
class Deployment {
 public:
  explicit Deployment(std::vector<InstancePlan> instances);
  ~Deployment();

  /// Starts an instance, or starts it again, and waits until it listens.
  void Start(const std::string& instance);
  void StartAll();
  /// Waits until the instance takes traffic.
  void WaitReady(const std::string& instance);
  /// Waits until `count` instances vote in `group` as `instance` sees it.
  void WaitVoters(const std::string& instance, const std::string& group,
                  int count);
  /// Ends an instance or upstream at once.
  void Kill(const std::string& name);
  /// Asks an instance or upstream to shut down; returns its exit code.
  int Terminate(const std::string& name);
  void SendTerm(const std::string& name);
  int WaitExit(const std::string& name);
  bool IsRunning(const std::string& name) const;

  /// Starts a stand-in that announces itself to instances of `zone`.
  void StartUpstream(const std::string& name, const std::string& role,
                     const std::string& service, const std::string& zone,
                     int token_ms = 2);
  /// Count `name` of the stand-in's own record, for example "runs".
  int64_t CountOf(const std::string& upstream, const char* name);
  /// Waits until `instance` knows `count` upstreams that take work.
  void WaitUpstreams(const std::string& instance, int count);

  /// Request with the organisation's key.
  Answer Call(const std::string& instance, const std::string& path,
              const QJsonObject& body, const std::string& method = "POST");
  /// Request with the operators' key.
  Answer Operate(const std::string& instance, const std::string& path,
                 const QJsonObject& body, const std::string& method = "POST");
  /// Starts a request without waiting; its answer grows as it arrives.
  std::shared_ptr<Answer> Begin(const std::string& instance,
                                const std::string& path,
                                const QJsonObject& body);
  /// Leaves a request that was begun.
  void Leave(const std::shared_ptr<Answer>& answer);

  std::string CreateProgram(const std::string& instance);
  /// Instance that leads `group` as `instance` sees it.
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
  Answer Run(const transport::ClientRequest& request);

  std::vector<InstancePlan> instances_;
  QTemporaryDir folder_;
  std::map<std::string, int> peer_ports_;
  std::map<std::string, Process> processes_;
  std::string organisation_key_;
  std::string operator_key_;
  uint64_t last_call_ = 0;
  std::map<uint64_t, std::shared_ptr<Answer>> answers_;
  std::unique_ptr<transport::HttpClient> client_;
};

/// Body of a model call with one message.
QJsonObject ModelCall(int number, const std::string& text, bool stream = false);
/// Body of a call to the booking application.
QJsonObject PlainCall(int number, const std::string& operation);

}  // namespace hawthorn::test
