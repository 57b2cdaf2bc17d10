// An upstream that is full refuses a request that must not run twice, and says
// that it has not run it. Later it repeats that refusal, as a faulty upstream
// may, at the point where its next response is expected.
#include "../standins/harness.hh"

using namespace review;

namespace {

constexpr int kFronts = 3;
constexpr int kSlots = 4;
constexpr int kPlaces = 6;  // Slots and places in the queue of an upstream.
/// Rounds of quick requests and a burst after them, until a request has run
/// twice. The faulty upstream sends at
/// most one response a second time for kAnswersPerCopy answers, which is less
/// than 3 in 100.
constexpr int kRounds = 30;
constexpr int64_t kLastRoundMs = 80000;
constexpr int kQuickRequests = 60;
constexpr int kAnswersPerCopy = 36;
/// The requests of the burst: most come through one front, so that the others
/// do not know yet that the upstreams are full.
constexpr int kBurst = 28;
constexpr int kBurstAtFirst = 16;
/// The upstream is faulty for 5 s, then sound for 2 s, and so on.
constexpr int64_t kFaultMs = 5000;
constexpr int64_t kFaultEveryMs = 7000;
constexpr int64_t kWorkMs = 100;
constexpr int64_t kQuickWorkMs = 2;
constexpr int64_t kDeadlineMs = 3000;

constexpr const char* kConfiguration = R"({"version":7,"routes":[
 {"name":"r-deposit","host":"shop.example","path_prefix":"/deposit/",
  "kind":"non_idempotent","timeout_ms":3000,"slo_ms":400,"priority":2,
  "service":"shop-app","max_attempts":1,"retain":false,"sticky":false}],
 "services":[{"name":"shop-app","health_path":"/health","max_conns":110,
  "protocol":"h1","tls":false}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,
  "header_timeout_ms":3000,"idle_timeout_ms":15000}})";

/// What ran and what was answered, of all upstreams.
struct Ledger {
  std::mutex mutex;
  std::map<std::string, int> runs;
  std::map<std::string, int> statuses;

  bool HasDouble() {
    const std::lock_guard<std::mutex> lock(mutex);
    for (const auto& [id, count] : runs) {
      if (count > 1) {
        return true;
      }
    }
    return false;
  }
};

/// An application with a few slots and a short queue.
class Application {
 public:
  Application(Ledger& ledger, bool is_faulty)
      : ledger_(ledger), is_faulty_(is_faulty) {}

  void Serve(Upstream& self, Connection& connection) {
    std::string refusal;  // If it was the last response on this connection.
    while (!self.over()) {
      Message request;
      if (!connection.ReadRequest(&request, NowMs() + 200)) {
        if (connection.end() == "timeout") {
          continue;
        }
        return;
      }
      const std::string id = request.Field("X-Request-Id");
      if (request.Field("X-Expect-Instance") != self.id()) {
        connection.Send(Head(421, id, true) + "Content-Length: 0\r\n\r\n");
        continue;
      }
      ++answers_;
      if (taken_.fetch_add(1) >= kPlaces) {
        --taken_;
        NOTE("  %s is full and refuses %s: 503, X-Not-Executed",
             self.id().c_str(), id.c_str());
        refusal = Head(503, id, true) + Load() + "Content-Length: 4\r\n\r\nfull";
        connection.Send(refusal);
        continue;
      }
      // A few responses are sent a second time, late: before the response to
      // the next request on their connection. Of the moments at which that can
      // happen, those are taken at which the next request is the same one.
      if (is_faulty_ && NowMs() % kFaultEveryMs < kFaultMs &&
          !refusal.empty() && IdOf(refusal) == id &&
          answers_ >= (copies_ + 1) * kAnswersPerCopy) {
        ++copies_;
        NOTE("  %s sends its refusal of %s once more, before its answer to %s; "
             "it is its answer %d",
             self.id().c_str(), IdOf(refusal).c_str(), id.c_str(),
             answers_.load());
        connection.Send(refusal);
      }
      refusal.clear();
      while (running_.fetch_add(1) >= kSlots) {
        --running_;
        Sleep(1);
      }
      const bool quick = request.Target().find("/quick") != std::string::npos;
      {
        const std::lock_guard<std::mutex> lock(ledger_.mutex);
        const int runs = ++ledger_.runs[id];
        NOTE("  %s runs %s (run %d of it)", self.id().c_str(), id.c_str(),
             runs);
      }
      Sleep(quick ? kQuickWorkMs : kWorkMs);
      --running_;
      --taken_;
      const std::string body = "charged " + id;
      connection.Send(Head(200, id, false) + Load() +
                      "X-Server-Signature: s." + id + "\r\nContent-Length: " +
                      std::to_string(body.size()) + "\r\n\r\n" + body);
    }
  }

  int answers() const { return answers_; }
  int copies() const { return copies_; }

 private:
  static std::string Head(int status, const std::string& id, bool not_run) {
    return "HTTP/1.1 " + std::to_string(status) + " -\r\nX-Request-Id: " + id +
           "\r\n" + (not_run ? "X-Not-Executed: 1\r\n" : "");
  }
  static std::string IdOf(const std::string& head) {
    const size_t at = head.find("X-Request-Id: ") + 14;
    return head.substr(at, head.find('\r', at) - at);
  }
  std::string Load() const {
    const int running = std::min(running_.load(), kSlots);
    return "X-Server-Load: " + std::to_string(running) + "," +
           std::to_string(std::max(0, taken_.load() - running)) + "," +
           std::to_string(kSlots) + "\r\n";
  }

  Ledger& ledger_;
  const bool is_faulty_;
  std::atomic<int> copies_{0};
  std::atomic<int> answers_{0};
  std::atomic<int> taken_{0};
  std::atomic<int> running_{0};
};

/// Sends one request as a client does, on a connection of its own.
void Send(Fleet& fleet, Ledger& ledger, int front, const std::string& id,
          bool quick) {
  NOTE("a client sends %s to front %d", id.c_str(), front);
  const Answer answer =
      Call(fleet.Front(front),
           Request("POST", quick ? "/deposit/quick" : "/deposit/1",
                   "shop.example",
                   {{"X-Request-Id", id},
                    {"X-Deadline-Ms", std::to_string(kDeadlineMs)}},
                   "amount=100"),
           kDeadlineMs);
  NOTE("the client gets %d for %s (%s): %s", answer.status, id.c_str(),
       answer.end.c_str(), answer.message.body.c_str());
  const std::lock_guard<std::mutex> lock(ledger.mutex);
  ledger.statuses[id] = answer.status;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 4) {
    return kCouldNotRun;
  }
  Record::Get().Open(argv[3]);
  Fleet fleet(argv[1], argv[2], 3, 3, kFronts);
  const Watchdog watchdog(fleet, 110000);
  if (!fleet.StartAll() || !fleet.Configure(kConfiguration, 30000)) {
    return kCouldNotRun;
  }
  Ledger ledger;
  Application faulty(ledger, HasTrouble());
  Application sound(ledger, false);
  Upstream first(fleet, {"i-faulty", "shop-app", Fleet::ZoneOf(0), "v1", kSlots},
                 [&](Upstream& self, Connection& connection) {
                   faulty.Serve(self, connection);
                 });
  Upstream second(fleet, {"i-sound", "shop-app", Fleet::ZoneOf(1), "v1", kSlots},
                  [&](Upstream& self, Connection& connection) {
                    sound.Serve(self, connection);
                  });
  if (!first.Announce() || !second.Announce() || !fleet.WaitReady(30000)) {
    return kCouldNotRun;
  }
  Sleep(1500);
  for (int round = 1; round <= kRounds; ++round) {
    const std::string suffix = "-" + std::to_string(round);
    for (int n = 0; n < kQuickRequests; ++n) {
      Send(fleet, ledger, n % kFronts, "quick-" + std::to_string(n) + suffix,
           true);
    }
    NOTE("round %d: %d quick requests were answered, then a burst", round,
         kQuickRequests);
    Sleep(700);
    std::vector<std::thread> clients;
    for (int n = 0; n < kBurst; ++n) {
      const int front = n < kBurstAtFirst ? 0 : 1 + n % 2;
      clients.emplace_back([&, n, front] {
        Send(fleet, ledger, front, "req-" + std::to_string(n + 1) + suffix,
             false);
      });
      Sleep(2);
    }
    for (std::thread& it : clients) {
      it.join();
    }
    if (ledger.HasDouble() || NowMs() > kLastRoundMs) {
      break;
    }
  }
  Sleep(1000);
  if (!fleet.AllRun()) {
    return kCouldNotRun;
  }
  int served = 0;
  int broken = 0;
  const std::lock_guard<std::mutex> lock(ledger.mutex);
  for (const auto& [id, status] : ledger.statuses) {
    const int runs = ledger.runs[id];
    served += status == 200 ? 1 : 0;
    if (runs > 1) {
      ++broken;
      NOTE("TWICE: %s ran %d times", id.c_str(), runs);
    }
    if (runs > 0 && (status == 503 || status == 429)) {
      ++broken;
      NOTE("REFUSED: %s was answered %d and has run", id.c_str(), status);
    }
  }
  NOTE("%d of %zu requests were served; the faulty upstream gave %d answers and "
       "%d copies; %d breaks of a rule",
       served, ledger.statuses.size(), faulty.answers(), faulty.copies(),
       broken);
  if (served < kQuickRequests) {
    return kCouldNotRun;
  }
  return broken > 0 ? kBroken : kHeld;
}
