// Store machines are added while programs continue from turns that the system
// keeps. Each next turn arrives at another front.
#include "../standins/harness.hh"

using namespace review;

namespace {

constexpr int kFronts = 3;
constexpr int kStores = 3;
constexpr int kAdded = 2;
/// Deployments that are tried one after the other, until a turn is denied.
constexpr int kTrials = 14;
constexpr int64_t kLastTrialMs = 80000;
constexpr int kPrograms = 24;
constexpr int kTurnsOfProgram = 12;
constexpr int kEvents = 2;
constexpr int64_t kEventMs = 4;
constexpr int64_t kStartMs = 2500;
constexpr int64_t kBeforeMs = 1000;
constexpr int64_t kAfterMs = 1500;

constexpr const char* kConfiguration = R"({"version":7,"routes":[
 {"name":"r-chat","host":"chat.example","path_prefix":"/chat/",
  "kind":"stream","timeout_ms":3000,"slo_ms":400,"priority":2,
  "service":"lm-pool","max_attempts":2,"retain":true,"retention_s":60.0,
  "sticky":true,"resumable":false,"gap_aim_ms":200}],
 "services":[{"name":"lm-pool","health_path":"/health","max_conns":480,
  "protocol":"h1","tls":false,"engine":{"capacity":12,"kv_capacity":161595,
  "token_kv_bytes":35136,"link_mbps":740000.0,"moves":true,"backups":true,
  "tokens_per_event":11,"most":12,"pin_ms":4000.0,"hold_ms":2000.0,
  "handle_s":5.0,"models":[{"name":"m"}]}}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,
  "header_timeout_ms":3000,"idle_timeout_ms":15000}})";

void Serve(Upstream& self, Connection& connection) {
  while (!self.over()) {
    Message request;
    if (!connection.ReadRequest(&request, NowMs() + 200)) {
      if (connection.end() == "timeout") {
        continue;
      }
      return;
    }
    const std::string id = request.Field("X-Request-Id");
    std::string answer = "HTTP/1.1 200 -\r\nX-Request-Id: " + id +
                         "\r\nX-Server-Signature: s." + id +
                         "\r\nContent-Type: text/event-stream\r\n"
                         "Transfer-Encoding: chunked\r\n\r\n";
    if (request.Field("X-Expect-Instance") != self.id()) {
      connection.Send("HTTP/1.1 421 -\r\nX-Request-Id: " + id +
                      "\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
      continue;
    }
    NOTE("  %s runs %s", self.id().c_str(), id.c_str());
    for (int n = 1; n <= kEvents; ++n) {
      const std::string event = "id: " + std::to_string(n) + "\ndata: " + id +
                                "-" + std::to_string(n) + "\n\n";
      char size[16];
      std::snprintf(size, sizeof(size), "%zx\r\n", event.size());
      answer += size + event + "\r\n";
      if (n == kEvents) {
        answer += "0\r\n\r\n";
      }
      Sleep(kEventMs);
      if (!connection.Send(answer)) {
        return;
      }
      answer.clear();
    }
  }
}

struct Totals {
  std::atomic<int> whole{0};
  std::atomic<int> continued{0};
  std::atomic<int> denied{0};
  std::atomic<int> unsure{0};
  std::atomic<bool> over{false};
};

/// Runs programs one after the other. A program whose turn fails is left.
void RunPrograms(Fleet& fleet, int client, Totals* totals) {
  std::vector<std::unique_ptr<Connection>> connections(kFronts);
  for (int program = 0; !totals->over; ++program) {
    const std::string name =
        "p" + std::to_string(client) + "x" + std::to_string(program);
    std::string previous;
    int previous_front = 0;
    int64_t previous_end = 0;
    for (int turn = 0; turn < kTurnsOfProgram && !totals->over; ++turn) {
      const int front = (client + turn) % kFronts;
      const std::string id = name + "t" + std::to_string(turn);
      std::vector<std::pair<std::string, std::string>> fields = {
          {"X-Request-Id", id},       {"X-Program-Id", name},
          {"X-Session-Id", name},     {"X-Program-Deadline-Ms", "9000"},
          {"X-Token-Budget", "5000"}, {"X-Token-Usage", "100,22"},
          {"X-Model", "m"},           {"X-Deadline-Ms", "3000"}};
      if (!previous.empty()) {
        fields.emplace_back("X-Previous-Turn", previous);
      }
      auto& connection = connections[front];
      if (!connection) {
        connection = Connection::To(fleet.Front(front), 1000);
      }
      if (!connection) {
        Sleep(50);
        break;
      }
      const int64_t sent = NowMs();
      const Answer answer =
          Exchange(*connection,
                   Request("POST", "/chat/1", "chat.example", fields,
                           "input of " + id + "\n"),
                   NowMs() + 3000);
      NOTE("front %d answers %d (%s) to %s after %s", front, answer.status,
           answer.whole ? "whole" : answer.end.c_str(), id.c_str(),
           previous.empty() ? "none" : previous.c_str());
      if (!answer.whole ||
          answer.message.Field("Connection").find("close") !=
              std::string::npos) {
        connection.reset();
      }
      if (answer.status == 404 || answer.status == 410) {
        ++totals->denied;
        NOTE("LOST: front %d answers %d to %s, which continues from %s: that "
             "was answered whole by front %d %lld ms before this was sent (%s)",
             front, answer.status, id.c_str(), previous.c_str(),
             previous_front, static_cast<long long>(sent - previous_end),
             answer.message.body.c_str());
        break;
      }
      if (answer.status != 200 || !answer.whole) {
        ++totals->unsure;
        if (answer.status != 503) {
          NOTE("%s fails: %d, %s", id.c_str(), answer.status,
               answer.end.c_str());
        }
        Sleep(50);
        break;
      }
      ++totals->whole;
      totals->continued += previous.empty() ? 0 : 1;
      previous = id;
      previous_front = front;
      previous_end = NowMs();
    }
  }
}

/// Runs one deployment. Returns whether it could run.
bool RunTrial(const std::string& root, const std::string& folder,
              Totals* totals) {
  std::filesystem::create_directories(folder);
  Fleet fleet(root, folder, 3, kStores, kFronts);
  const Watchdog watchdog(fleet, 110000);
  if (!fleet.StartAll() || !fleet.Configure(kConfiguration, 30000)) {
    return false;
  }
  std::vector<std::unique_ptr<Upstream>> upstreams;
  for (int n = 0; n < 9; ++n) {
    upstreams.push_back(std::make_unique<Upstream>(
        fleet,
        Upstream::Options{"i-" + std::to_string(n), "lm-pool", Fleet::ZoneOf(n),
                          "v1", 12},
        Serve));
    if (!upstreams.back()->Announce()) {
      return false;
    }
  }
  if (!fleet.WaitReady(30000)) {
    return false;
  }
  Sleep(kStartMs);
  std::vector<std::thread> clients;
  for (int n = 0; n < kPrograms; ++n) {
    clients.emplace_back([&, n] { RunPrograms(fleet, n, totals); });
  }
  Sleep(kBeforeMs);
  NOTE("before: %d turns whole, %d of them continued another, %d failed",
       totals->whole.load(), totals->continued.load(), totals->unsure.load());
  if (HasTrouble()) {
    for (int n = 0; n < kAdded; ++n) {
      Machine* added = fleet.AddMachine(
          "store-" + Fleet::ZoneOf(n) + "-2", Duty::kStore,
          fleet.net() + "2." + std::to_string(kStores + n + 1),
          Fleet::ZoneOf(n));
      fleet.Start(*added, false);
    }
  }
  Sleep(kAfterMs);
  totals->over = true;
  for (std::thread& it : clients) {
    it.join();
  }
  return fleet.AllRun();
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 4) {
    return kCouldNotRun;
  }
  Record::Get().Open(argv[3]);
  bool is_broken = false;
  for (int trial = 1; trial <= kTrials && !is_broken && NowMs() < kLastTrialMs;
       ++trial) {
    NOTE("trial %d", trial);
    Totals totals;
    const std::string folder = std::string(argv[2]) + "/" + std::to_string(trial);
    if (!RunTrial(argv[1], folder, &totals) || totals.continued < 100) {
      return kCouldNotRun;
    }
    NOTE("%d turns whole, %d of them continued another, %d failed otherwise, "
         "%d turns denied though they were answered whole",
         totals.whole.load(), totals.continued.load(), totals.unsure.load(),
         totals.denied.load());
    is_broken = totals.denied > 0;
  }
  return is_broken ? kBroken : kHeld;
}
