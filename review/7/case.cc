// One of three store machines is to be emptied while programs continue kept
// turns. Counts the turns that are answered 404 although the turn before was
// answered whole some hundred ms ago.
#include <memory>

#include "../standins-2/fleet.hh"

namespace {

using namespace review;  // NOLINT

constexpr int kPrograms = 12;
constexpr int kTurns = 10;
constexpr int kSecondsAfter = 5;
/// Time objective of a program.
constexpr int kProgramMs = 9000;

/// Answers with three events.
bool Turn(const Message& request, Connection& connection) {
  const std::string id = request.Field("x-request-id");
  std::string out = AnswerHead(
      id, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n");
  for (int n = 1; n <= 3; ++n) {
    out += Chunk("id: " + std::to_string(n) + "\ndata: " + id + "-" +
                 std::to_string(n) + "\n\n");
  }
  return connection.Write(out + "0\r\n\r\n");
}

}  // namespace

int main(int argc, char** argv) {
  Record record(argc > 1 ? argv[1] : "record.txt");
  Fleet fleet(record, 3, 3, 3);
  fleet.StartAll();
  if (!fleet.Control("POST", "/Config.Put", Configuration(110, 1200, true),
                     15000)) {
    record.Line("no configuration was acknowledged");
    return kCouldNotRun;
  }
  std::vector<std::unique_ptr<Worker>> workers;
  for (const char* zone : {"zone-a", "zone-b", "zone-c"}) {
    workers.push_back(std::make_unique<Worker>(
        fleet, record, "llm", zone, "v1", 12,
        [](Worker&, const Message& request, Connection& it) {
          return Turn(request, it);
        }));
    if (!workers.back()->Start()) {
      record.Line("no heartbeat was acknowledged");
      return kCouldNotRun;
    }
  }
  if (!fleet.AwaitReady(15000)) {
    record.Line("the front machines are not ready");
    return kCouldNotRun;
  }
  // The platform lets 10 s pass before traffic starts.
  Sleep(8000);

  std::atomic<bool> stop{false};
  std::atomic<int> whole{0};
  std::atomic<int> denied{0};
  std::atomic<int> other{0};
  std::vector<std::thread> programs;
  for (int n = 0; n < kPrograms; ++n) {
    programs.emplace_back([&, n] {
      while (!stop) {
        std::string previous;
        Clock::time_point previous_at;
        const std::string program = RandomHex(6);
        const auto aim = Clock::now() + milliseconds(kProgramMs);
        for (int k = 0; k < kTurns && !stop; ++k) {
          // All turns of a line arrive through one zone.
          const std::string front = fleet.Names("front")[n % 3];
          const std::string id = RandomHex(16);
          const auto left =
              std::chrono::duration_cast<milliseconds>(aim - Clock::now()).count();
          Fields fields = {{"X-Request-Id", id},
                           {"X-Deadline-Ms", "3000"},
                           {"X-Model", "m"},
                           {"X-Token-Usage", "300,33"},
                           {"X-Prompt-Prefix", "5c1e07a2:200," + id + ":100"},
                           {"X-Program-Id", "p" + program},
                           {"X-Session-Id", "s" + program},
                           {"X-Program-Deadline-Ms", std::to_string(left)}};
          if (!previous.empty()) {
            fields["X-Previous-Turn"] = previous;
          }
          const auto answer = Exchange(
              fleet.IpOf(front), Fleet::kFrontPort,
              RequestText("POST", "/chat/talk", fields, "input " + id + "\n"),
              4000);
          const int status = answer ? answer->status() : 0;
          if (status == 200 && answer->whole) {
            ++whole;
            previous = id;
            previous_at = Clock::now();
            Sleep(60);
            continue;
          }
          if (status == 404 && !previous.empty()) {
            ++denied;
            const double age =
                std::chrono::duration<double>(Clock::now() - previous_at).count();
            record.Line("turn %s of program %s at %s: 404, its previous turn %s "
                        "was answered whole %.2f s ago: %s",
                        id.c_str(), program.c_str(), front.c_str(),
                        previous.c_str(), age, answer->body.c_str());
          } else {
            ++other;
            record.Line("turn %s of program %s at %s: status %d%s", id.c_str(),
                        program.c_str(), front.c_str(), status,
                        answer && !answer->whole ? ", broken off" : "");
          }
          Sleep(100);
          break;
        }
      }
    });
  }
  Sleep(2000);
  record.Line("%d turns whole, %d denied, %d other so far", whole.load(),
              denied.load(), other.load());
  bool accepted = true;
  if (HasTrouble()) {
    Message answer;
    accepted = fleet.Control("POST", "/Retire.Start/store-1",
                             "{\"duration_s\":8}", 4000, &answer);
    record.Line("order to empty store-1: %s",
                accepted ? answer.first_line.c_str() : "not acknowledged");
  }
  Sleep(kSecondsAfter * 1000);
  stop = true;
  for (std::thread& it : programs) {
    it.join();
  }
  record.Line("%d turns whole, %d denied though the turn before was answered "
              "whole, %d other; LOST allows none",
              whole.load(), denied.load(), other.load());
  if (!accepted || whole < 100) {
    return denied > 0 ? kBroken : kCouldNotRun;
  }
  return denied > 0 ? kBroken : kHeld;
}
