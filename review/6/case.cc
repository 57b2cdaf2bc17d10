// A worker starts again under its id with a newer version of its software,
// while streams run there. Counts the streams whose one answer has events of
// both versions.
#include <memory>

#include "../standins-2/fleet.hh"

namespace {

using namespace review;  // NOLINT

constexpr int kEvents = 14;
constexpr int kEventGapMs = 60;
constexpr int kStreams = 18;
/// ORDER: more than this many joined streams break the rule.
constexpr int kAllowed = 2;

/// Sends the events after Last-Event-Id; the data names the software version.
bool Stream(Worker& worker, const Message& request, Connection& connection) {
  const std::string version = worker.version();
  const std::string id = request.Field("x-request-id");
  if (!connection.Write(AnswerHead(
          id,
          "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"))) {
    return false;
  }
  const int first = atoi(request.Field("last-event-id").c_str()) + 1;
  for (int n = first; n <= kEvents; ++n) {
    Sleep(kEventGapMs);
    const std::string event = "id: " + std::to_string(n) + "\ndata: " + version +
                              " piece " + std::to_string(n) + "\n\n";
    if (connection.broken() || connection.PeerLeft() ||
        !connection.Write(Chunk(event))) {
      return false;
    }
  }
  return connection.Write("0\r\n\r\n");
}

}  // namespace

int main(int argc, char** argv) {
  Record record(argc > 1 ? argv[1] : "record.txt");
  Fleet fleet(record, 3, 3, 2);
  fleet.StartAll();
  if (!fleet.Control("POST", "/Config.Put", Configuration(110, 1200), 15000)) {
    record.Line("no configuration was acknowledged");
    return kCouldNotRun;
  }
  std::vector<std::unique_ptr<Worker>> workers;
  for (const char* zone : {"zone-a", "zone-b", "zone-c"}) {
    workers.push_back(std::make_unique<Worker>(fleet, record, "llm", zone, "v1",
                                               12, Stream));
    if (!workers.back()->Start()) {
      record.Line("no heartbeat was acknowledged");
      return kCouldNotRun;
    }
  }
  if (!fleet.AwaitReady(15000)) {
    record.Line("the front machines are not ready");
    return kCouldNotRun;
  }
  Sleep(2000);

  std::mutex mutex;
  int joined = 0;
  int whole = 0;
  std::vector<std::thread> clients;
  for (int n = 0; n < kStreams; ++n) {
    clients.emplace_back([&, n] {
      const std::string front = fleet.Names("front")[n % 2];
      const std::string id = RandomHex(16);
      const Fields fields = {{"X-Request-Id", id},
                             {"X-Deadline-Ms", "3000"},
                             {"X-Model", "m"},
                             {"X-Token-Usage", "912,160"},
                             {"X-Prompt-Prefix", "5c1e07a2:512," + id + ":400"},
                             {"X-Program-Id", "p" + id.substr(0, 6)},
                             {"X-Session-Id", "s" + id.substr(0, 6)},
                             {"X-Program-Deadline-Ms", "8000"},
                             {"X-Token-Budget", "4000"}};
      const auto answer =
          Exchange(fleet.IpOf(front), Fleet::kFrontPort,
                   RequestText("POST", "/chat/talk", fields, "input " + id), 5000);
      const std::string body = answer ? answer->body : std::string();
      const bool has_old = body.find("data: v1 ") != std::string::npos;
      const bool has_new = body.find("data: v2 ") != std::string::npos;
      record.Line("stream %s at %s: status %d, %s, versions%s%s", id.c_str(),
                  front.c_str(), answer ? answer->status() : 0,
                  answer && answer->whole ? "whole" : "broken off",
                  has_old ? " v1" : "", has_new ? " v2" : "");
      const std::lock_guard lock(mutex);
      joined += has_old && has_new ? 1 : 0;
      whole += answer && answer->status() == 200 && answer->whole ? 1 : 0;
    });
  }
  Sleep(350);
  if (HasTrouble()) {
    const int open = workers[0]->open();
    const bool known = workers[0]->Restart("v2", 100);
    record.Line("worker %s started again as v2 with %d connections open; its "
                "heartbeat was %s before it took requests",
                workers[0]->id().c_str(), open,
                known ? "acknowledged" : "not acknowledged");
  }
  for (std::thread& it : clients) {
    it.join();
  }
  record.Line("%d of %d streams whole, %d with events of two versions in one "
              "answer; ORDER allows %d",
              whole, kStreams, joined, kAllowed);
  if (whole < kStreams / 2) {
    return joined > kAllowed ? kBroken : kCouldNotRun;
  }
  return joined > kAllowed ? kBroken : kHeld;
}
