// Three of six store machines lose their disks, one after the other, each with
// time to recover. Counts the kept turns of before that reach no worker any
// more.
#include <memory>

#include "../standins-2/fleet.hh"

namespace {

using namespace review;  // NOLINT

constexpr int kPrograms = 60;
/// LOST: tries at machines in touch after which a turn counts.
constexpr int kTries = 6;
constexpr int kTryGapMs = 400;
/// As on the site's day trouble-2.
constexpr int kDownMs = 1000;
constexpr int kApartMs = 6600;

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

/// Time objective of a program.
constexpr int kProgramMs = 55000;

struct Program {
  std::string id;
  std::string front;
  std::string turn;
  Clock::time_point begun = Clock::now();
};

}  // namespace

int main(int argc, char** argv) {
  Record record(argc > 1 ? argv[1] : "record.txt");
  Fleet fleet(record, 3, 6, 3, "cccaab");
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

  const auto send = [&](const Program& program, const std::string& id) {
    const auto left =
        kProgramMs - std::chrono::duration_cast<milliseconds>(Clock::now() -
                                                              program.begun)
                         .count();
    Fields fields = {{"X-Request-Id", id},
                     {"X-Deadline-Ms", "3000"},
                     {"X-Model", "m"},
                     {"X-Token-Usage", "300,33"},
                     {"X-Prompt-Prefix", "5c1e07a2:200," + id + ":100"},
                     {"X-Program-Id", program.id},
                     {"X-Session-Id", "s" + program.id},
                     {"X-Program-Deadline-Ms", std::to_string(left)}};
    if (!program.turn.empty()) {
      fields["X-Previous-Turn"] = program.turn;
    }
    return Exchange(
        fleet.IpOf(program.front), Fleet::kFrontPort,
        RequestText("POST", "/chat/talk", fields, "input " + id + "\n"), 4000);
  };
  const auto is_whole = [](const std::optional<Message>& answer) {
    return answer && answer->status() == 200 && answer->whole;
  };

  std::vector<Program> programs;
  for (int n = 0; n < kPrograms; ++n) {
    Program program{"p" + RandomHex(6), fleet.Names("front")[n % 2], ""};
    const std::string id = RandomHex(16);
    const auto answer = send(program, id);
    if (!is_whole(answer)) {
      record.Line("the first turn of %s was not served", program.id.c_str());
      return kCouldNotRun;
    }
    program.turn = id;
    programs.push_back(program);
  }
  record.Line("%d first turns were answered whole", kPrograms);
  const auto answered = Clock::now();
  Sleep(3000);

  for (const char* name : {"store-4", "store-5", "store-6"}) {
    if (HasTrouble()) {
      fleet.LoseDisk(name);
    }
    Sleep(kDownMs);
    if (HasTrouble()) {
      fleet.Start(name);
    }
    Sleep(kApartMs - kDownMs);
  }
  // More than contact_ms without any event.
  Sleep(4000);

  std::atomic<int> lost{0};
  std::atomic<int> continued{0};
  std::vector<std::thread> tries;
  for (const Program& program : programs) {
    tries.emplace_back([&, program] {
      std::string statuses;
      for (int n = 0; n < kTries; ++n) {
        const std::string id = RandomHex(16);
        const auto answer = send(program, id);
        bool reached = false;
        for (const auto& worker : workers) {
          for (const Worker::Run& run : worker->runs()) {
            reached = reached || run.request == id;
          }
        }
        if (reached) {
          ++continued;
          return;
        }
        statuses += " " + std::to_string(answer ? answer->status() : 0);
        if (answer && answer->status() == 404) {
          break;
        }
        Sleep(kTryGapMs);
      }
      ++lost;
      record.Line("program %s at %s: turn %s was answered whole %.0f s ago, what "
                  "continues it reached no worker:%s",
                  program.id.c_str(), program.front.c_str(), program.turn.c_str(),
                  std::chrono::duration<double>(Clock::now() - answered).count(),
                  statuses.c_str());
    });
  }
  for (std::thread& it : tries) {
    it.join();
  }
  int first_turns = 0;
  for (int n = 0; n < 10; ++n) {
    first_turns += is_whole(send({"p" + RandomHex(6),
                                  fleet.Names("front")[n % 3], ""},
                                 RandomHex(16)))
                       ? 1
                       : 0;
  }
  record.Line("%d of 10 new first turns served", first_turns);
  record.Line("%d of %d programs go on, %d turns are lost; LOST allows none",
              continued.load(), kPrograms, lost.load());
  if (first_turns < 9) {
    return kCouldNotRun;
  }
  return lost > 0 ? kBroken : kHeld;
}
