#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/error.h"

// HTTP/1.1 messages as the relay hands them on: names, values and order of
// the fields stay as they arrived.
namespace hawthorn::transport {

struct HeaderField {
  std::string name;
  std::string value;

  bool operator==(const HeaderField&) const = default;
};

using HeaderList = std::vector<HeaderField>;

/// Compares names without regard to case.
bool EqualsIgnoreCase(std::string_view a, std::string_view b);

/// Value of the first field `name`, or null.
const std::string* FindField(const HeaderList& fields, std::string_view name);

/// A request whose body has arrived whole.
struct RelayRequest {
  std::string method;
  /// Path and query as sent.
  std::string target;
  std::string host;
  HeaderList fields;
  std::string body;

  bool operator==(const RelayRequest&) const = default;
};

/// Status line and fields of an answer.
struct ResponseHead {
  int status = 0;
  HeaderList fields;

  bool operator==(const ResponseHead&) const = default;
};

/// Splits a request that RequestFramer completed; its chunks are joined.
RelayRequest ParseFramedRequest(std::string_view message);

/// Whether a field concerns one connection only and is never forwarded.
/// `connection` is the value of the message's Connection field.
bool IsHopByHop(std::string_view name, std::string_view connection);

/// Status line and fields with the closing blank line.
std::string SerializeHead(const ResponseHead& head);

/// One chunk of a chunked body; nothing for empty bytes, which would end it.
std::string SerializeChunk(std::string_view bytes);

/// Chunk that ends a body.
inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

}  // namespace hawthorn::transport
