#include "traffic.h"

#include <algorithm>
#include <array>
#include <utility>

#include "faulty_upstream.h"

namespace hawthorn::soak {

namespace {

constexpr std::chrono::milliseconds kThinkTime{15};
/// The deadline, and what an answer may take beyond it on a busy machine.
constexpr std::chrono::milliseconds kAnswerTimeout{6000};
/// A request whose connection ends earlier than this after it was sent may not
/// have been read.
constexpr int64_t kLossSlackMs = 200;
/// Time for which an unplanned fault of an instance excuses what callers see.
constexpr int64_t kExcuseMs = 4000;
constexpr int64_t kTurnTokens = kStreamEvents * kTokensPerEvent;
constexpr int64_t kBudget = 3 * kTurnTokens;
constexpr int kCallsOfProgram = 12;

template <typename T>
T& Pick(std::vector<T>& list, std::mt19937_64& random) {
  return list[random() % list.size()];
}

}  // namespace

bool IsRefusal(int status) {
  return status == 402 || status == 408 || status == 421 || status == 429 ||
         status == 503;
}

Exchange::Exchange(const std::string& address) {
  timer_.setSingleShot(true);
  QObject::connect(&timer_, &QTimer::timeout, &timer_, [this] {
    result_.timed_out = true;
    socket_.Close();
    Finish(0);
  });
  transport::StreamSocket::Events events;
  events.on_connected = [this] { result_.connected = true; };
  events.on_bytes = [this](std::string_view it) { OnBytes(it); };
  events.on_end = [this](transport::SocketEnd how) {
    const bool whole = how == transport::SocketEnd::kFinished && reader_ &&
                       head_status_ != 0 && core::IsOk(reader_->FeedEnd());
    Finish(whole ? head_status_ : 0);
  };
  socket_.SetEvents(std::move(events));
  socket_.Connect(core::Value(transport::ParseAddress(address)));
}

void Exchange::Send(const std::string& request,
                    std::chrono::milliseconds timeout, Done done) {
  const bool connected = result_.connected;
  result_ = {};
  result_.connected = connected;
  head_status_ = 0;
  done_ = std::move(done);
  transport::ResponseReader::Events events;
  events.on_head = [this](const transport::ResponseHead& head,
                          std::optional<uint64_t>) {
    head_status_ = head.status;
    result_.fields = head.fields;
  };
  events.on_body = [this](std::string_view it) { result_.body += it; };
  reader_ = std::make_unique<transport::ResponseReader>(std::move(events));
  timer_.start(timeout);
  socket_.Write(request);
}

void Exchange::OnBytes(std::string_view bytes) {
  if (!done_) {
    reusable_ = false;
    socket_.Close();
    return;
  }
  result_.any_bytes = true;
  const core::Result<size_t> used = reader_->Feed(bytes);
  if (!core::IsOk(used)) {
    socket_.Close();
    Finish(0);
    return;
  }
  if (reader_->complete()) {
    result_.keep_alive =
        reader_->keep_alive() && core::Value(used) == bytes.size();
    Finish(head_status_);
  }
}

void Exchange::Finish(int status) {
  timer_.stop();
  reusable_ = status != 0 && result_.keep_alive;
  result_.status = status;
  if (const Done done = std::exchange(done_, nullptr)) {
    done(result_);
  }
}

ProgramCaller::ProgramCaller(Findings& findings, Fleet& fleet, int number,
                             uint64_t seed)
    : findings_(findings),
      fleet_(fleet),
      name_("c" + std::to_string(number)),
      random_(seed) {
  BeginProgram();
}

void ProgramCaller::BeginProgram() {
  program_ = name_ + "p" + std::to_string(++programs_);
  tokens_ = 0;
  calls_ = 0;
}

std::string ProgramCaller::RequestText(const Sent& sent) const {
  std::string text = sent.kind == "read" ? "GET" : "POST";
  text += " /" + sent.kind + "/x HTTP/1.1\r\nHost: " + kHost +
          "\r\nX-Request-Id: " + sent.id + "\r\nX-Program-Id: " + program_ +
          "\r\nX-Deadline-Ms: " + std::to_string(kDeadlineMs) + "\r\n";
  if (sent.kind == "turn") {
    text += "X-Token-Budget: " + std::to_string(kBudget) +
            "\r\nX-Token-Usage: 100," + std::to_string(kTurnTokens) +
            "\r\nX-Prompt-Prefix: a:50," + program_ + ":50\r\n";
  }
  return text +
         (sent.kind == "read" ? "\r\n" : "Content-Length: 4\r\n\r\nbody");
}

void ProgramCaller::Next() {
  if (stopping_) {
    idle_ = true;
    return;
  }
  if (++calls_ > kCallsOfProgram) {
    BeginProgram();
  }
  static constexpr std::array<const char*, 4> kKinds{"turn", "once", "turn",
                                                     "read"};
  Sent sent;
  sent.id = name_ + "r" + std::to_string(++next_request_);
  sent.kind = kKinds[random_() % kKinds.size()];
  sent.reused = exchange_ && exchange_->reusable() && random_() % 8 != 0;
  if (!sent.reused) {
    std::vector<Instance*> entries = fleet_.Of(Duty::kEntry);
    connected_to_ = Pick(entries, random_);
    exchange_ =
        std::make_shared<Exchange>(fleet_.CallerAddress(*connected_to_));
  }
  sent.entry = connected_to_;
  sent.at = findings_.Now();
  findings_.Request(sent.id).kind = sent.kind;
  exchange_->Send(
      RequestText(sent), kAnswerTimeout,
      [this, sent, guard = exchange_](const Exchange::Result& result) {
        OnResult(sent, result);
        // The exchange is not deleted within its own callback.
        QTimer::singleShot(kThinkTime, [this, guard] { Next(); });
      });
}

void ProgramCaller::OnResult(const Sent& sent, const Exchange::Result& result) {
  ++findings_.statuses[result.status];
  if (IsRefusal(result.status)) {
    findings_.Request(sent.id).refused = true;
  }
  if (result.status == 401 || result.status == 403 || result.status == 404) {
    findings_.Add("a route of every configuration is found",
                  sent.id + " at " + sent.entry->name + " got " +
                      std::to_string(result.status));
  }
  if (sent.kind == "turn") {
    CountTokens(sent, result);
    if (result.status == 402) {
      BeginProgram();
    }
  }
  if (result.status == 0) {
    CheckEnd(sent, result);
  } else if (result.status == 200) {
    CheckBody(sent, result);
  }
}

void ProgramCaller::CheckEnd(const Sent& sent, const Exchange::Result& result) {
  if (result.any_bytes) {
    // It broke off visibly, as its upstream's did.
    return;
  }
  const Instance& entry = *sent.entry;
  if (entry.paused || sent.at - entry.last_unplanned < kExcuseMs) {
    return;
  }
  const int64_t took = findings_.Now() - sent.at;
  const std::string what =
      sent.id + " at " + entry.name + " after " + std::to_string(took) + " ms";
  if (result.timed_out) {
    if (result.connected) {
      findings_.Add("an answer in time", what);
    }
    return;
  }
  const bool read = findings_.Request(sent.id).runs > 0 ||
                    (result.connected && !sent.reused && took > kLossSlackMs);
  if (read) {
    findings_.Add("accepted requests are answered", what);
  }
}

void ProgramCaller::CheckBody(const Sent& sent,
                              const Exchange::Result& result) {
  const std::string* id = transport::FindField(result.fields, "X-Request-Id");
  const std::string* mark =
      transport::FindField(result.fields, "X-Server-Signature");
  if (id == nullptr || *id != sent.id || mark == nullptr ||
      *mark != "s." + sent.id || result.body != BodyOf(sent.id, sent.kind)) {
    findings_.Add("the whole answer to the own request",
                  sent.id + " got " + result.body.substr(0, 80));
  }
}

void ProgramCaller::CountTokens(const Sent& sent,
                                const Exchange::Result& result) {
  const auto marks =
      std::count(result.body.begin(), result.body.end(), '\n') / 3;
  if (result.status == 200 || result.status == 0) {
    tokens_ += marks * kTokensPerEvent;
  }
  if (tokens_ > kBudget + kTurnTokens) {
    findings_.Add("the budget holds", sent.id + " of " + program_ + " at " +
                                          std::to_string(tokens_));
  }
}

}  // namespace hawthorn::soak
