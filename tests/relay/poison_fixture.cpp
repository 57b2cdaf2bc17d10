#include "poison_fixture.h"

namespace hawthorn::relay {

SharedDeployment::SharedDeployment() {
  for (RelayFixture& it : relays_) {
    it.on_crash = [this](const schema::ReportCrash& report) {
      schema::DeploymentCommand command;
      *command.mutable_report_crash() = report;
      Commit(command);
      ++reports_;
    };
    it.on_success = [this](uint64_t digest) {
      schema::DeploymentCommand command;
      command.set_succeeded_request(digest);
      Commit(command);
    };
  }
}

void SharedDeployment::Commit(schema::DeploymentCommand command) {
  if (!has_leader) {
    return;
  }
  if (since_commit_.isValid()) {
    command.set_elapsed_ms(since_commit_.elapsed());
  }
  since_commit_.start();
  state_.Apply(++index_, command.SerializeAsString());
  for (RelayFixture& it : relays_) {
    it.relay().SetPoisonRequests(state_.crashes().AllRefused(),
                                 state_.crashes().AllSuspected());
  }
}

void SharedDeployment::AddUpstream() {
  const size_t number = upstreams_.size();
  upstreams_.push_back(std::make_unique<ScriptedUpstream>(
      [this, number](const std::string& request) -> ScriptedUpstream::Step {
        if (request.find(kPoisonPath) != std::string::npos) {
          QTimer::singleShot(kCrashDelay, this, [this, number] {
            ++crashes_;
            Crash(number);
          });
          return {};
        }
        if (withhold_answers && request.find(kSlowPath) != std::string::npos) {
          return {};
        }
        return {SignedResponse(request, "fine")};
      }));
  for (RelayFixture& it : relays_) {
    it.AddUpstream("u" + std::to_string(number), upstreams_.back()->address());
  }
}

size_t SharedDeployment::RequestCount() const {
  size_t count = 0;
  for (const auto& it : upstreams_) {
    count += it->requests().size();
  }
  return count;
}

void SharedDeployment::Start(size_t relay, const std::string& path,
                             const std::string& program,
                             const std::string& body) {
  callers_.push_back(std::make_unique<Caller>(relays_.at(relay).port()));
  callers_.back()->Send(
      RelayFixture::Request(path, "r" + std::to_string(callers_.size()),
                            "X-Program-Id: " + program + "\r\n", body));
}

int SharedDeployment::Send(size_t relay, const std::string& path,
                           const std::string& program,
                           const std::string& body) {
  Start(relay, path, program, body);
  const Caller& caller = *callers_.back();
  const std::string prefix = "HTTP/1.1 ";
  if (!WaitFor([&] { return caller.received().size() > prefix.size() + 3; })) {
    return 0;
  }
  return std::stoi(caller.received().substr(prefix.size(), 3));
}

}  // namespace hawthorn::relay
