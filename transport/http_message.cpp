#include "transport/http_message.h"

#include <absl/strings/escaping.h>
#include <strings.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <iterator>
#include <utility>

#include "transport/http_status.h"
#include "transport/text.h"

namespace hawthorn::transport {

namespace {

constexpr std::string_view kLineEnd = "\r\n";
constexpr std::array<std::string_view, 9> kHopByHopFields = {
    "connection", "keep-alive",        "proxy-authenticate",
    "te",         "proxy-connection",  "proxy-authorization",
    "trailer",    "transfer-encoding", "upgrade"};

/// Maximum size of a reason, which may quote a response, in the log.
constexpr size_t kMaxReasonBytes = 256;

/// Removes the text up to the first `separator` from `text` and returns it.
std::string_view TakeUntil(std::string_view* text, char separator) {
  const size_t end = text->find(separator);
  const std::string_view head = text->substr(0, end);
  text->remove_prefix(end == std::string_view::npos ? text->size() : end + 1);
  return head;
}

std::string_view TakeLine(std::string_view* rest) {
  const size_t end = rest->find(kLineEnd);
  const std::string_view line = rest->substr(0, end);
  rest->remove_prefix(end == std::string_view::npos ? rest->size()
                                                    : end + kLineEnd.size());
  return line;
}

std::string JoinChunks(std::string_view rest) {
  std::string body;
  while (!rest.empty()) {
    const std::string_view line = TakeLine(&rest);
    uint64_t size = 0;
    std::from_chars(line.data(), line.data() + line.size(), size, 16);
    if (size == 0 || size > rest.size()) {
      return body;
    }
    body.append(rest.substr(0, size));
    rest.remove_prefix(std::min<size_t>(rest.size(), size + kLineEnd.size()));
  }
  return body;
}

}  // namespace

bool EqualsIgnoreCase(std::string_view a, std::string_view b) {
  return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

const std::string* FindField(const HeaderList& fields, std::string_view name) {
  for (const HeaderField& field : fields) {
    if (EqualsIgnoreCase(field.name, name)) {
      return &field.value;
    }
  }
  return nullptr;
}

core::Error MalformedResponse(std::string reason) {
  reason.resize(std::min(reason.size(), kMaxReasonBytes));
  return core::Error{core::ErrorCode::kInvalidArgument,
                     std::move(reason),
                     core::Execution::kUnknown,
                     {}};
}

core::Status CheckHead(const ResponseHead& head) {
  if (head.status < kMinStatus || head.status > kMaxStatus) {
    return MalformedResponse("status " + std::to_string(head.status) +
                             " is not between 100 and 599");
  }
  if (head.status == status::kSwitchingProtocols) {
    return MalformedResponse("no request asked for another protocol");
  }
  for (const HeaderField& field : head.fields) {
    if (!IsToken(field.name)) {
      return MalformedResponse("field name '" + absl::CHexEscape(field.name) +
                               "' is not a token");
    }
    if (HasControlByte(field.value)) {
      return MalformedResponse("the value of field " + field.name +
                               " has a control byte");
    }
    // The only coding that is removed here; requests ask for no other one.
    if (EqualsIgnoreCase(field.name, "transfer-encoding") &&
        !EqualsIgnoreCase(Trim(field.value), "chunked")) {
      return MalformedResponse("transfer coding '" +
                               absl::CHexEscape(field.value) +
                               "' is not chunked");
    }
  }
  return std::monostate{};
}

RelayRequest ParseFramedRequest(std::string_view message) {
  RelayRequest request;
  std::string_view start = TakeLine(&message);
  request.method = std::string(TakeUntil(&start, ' '));
  request.target = std::string(TakeUntil(&start, ' '));
  while (true) {
    const std::string_view line = TakeLine(&message);
    if (line.empty()) {
      break;
    }
    std::string_view value = line;
    const std::string_view name = TakeUntil(&value, ':');
    request.fields.push_back({std::string(name), std::string(Trim(value))});
  }
  const std::string* host = FindField(request.fields, "host");
  request.host = host == nullptr ? std::string() : *host;
  request.body = FindField(request.fields, "transfer-encoding") != nullptr
                     ? JoinChunks(message)
                     : std::string(message);
  return request;
}

bool IsHopByHop(std::string_view name, std::string_view connection) {
  for (const std::string_view field : kHopByHopFields) {
    if (EqualsIgnoreCase(name, field)) {
      return true;
    }
  }
  while (!connection.empty()) {
    if (EqualsIgnoreCase(name, Trim(TakeUntil(&connection, ',')))) {
      return true;
    }
  }
  return false;
}

std::string SerializeHead(const ResponseHead& head) {
  std::string out = "HTTP/1.1 ";
  out.append(std::to_string(head.status)).append(" ");
  out.append(StatusText(head.status)).append(kLineEnd);
  for (const HeaderField& field : head.fields) {
    out.append(field.name).append(": ").append(field.value).append(kLineEnd);
  }
  return out.append(kLineEnd);
}

std::string SerializeChunk(std::string_view bytes) {
  if (bytes.empty()) {
    return {};
  }
  std::array<char, sizeof(size_t) * 2> digits{};
  const auto [end, ec] =
      std::to_chars(digits.begin(), digits.end(), bytes.size(), 16);
  std::string out(digits.begin(), end);
  return out.append(kLineEnd).append(bytes).append(kLineEnd);
}

}  // namespace hawthorn::transport
