#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/error.h"

// HTTP/1.1 messages as the relay forwards them: names, values and order of the
// header fields are preserved.
namespace hawthorn::transport {

struct HeaderField {
  std::string name;
  std::string value;

  bool operator==(const HeaderField&) const = default;
};

using HeaderList = std::vector<HeaderField>;

/// Compares ASCII texts without regard to case.
bool EqualsIgnoreCase(std::string_view a, std::string_view b);

/// Returns the value of the first field `name`, or null.
const std::string* FindField(const HeaderList& fields, std::string_view name);

/// A request whose body was received completely.
struct RelayRequest {
  std::string method;
  /// Path and query as sent.
  std::string target;
  std::string host;
  HeaderList fields;
  std::string body;

  bool operator==(const RelayRequest&) const = default;
};

/// Status and header fields of a response.
struct ResponseHead {
  int status = 0;
  HeaderList fields;

  bool operator==(const ResponseHead&) const = default;
};

/// Checks the head of a response from any source: its status, the names and
/// values of its fields (RFC 9110, sections 5 and 15), and its transfer coding
/// (RFC 9112, section 6.1). Returns kInvalidArgument with the reason if it is
/// not valid.
core::Status CheckHead(const ResponseHead& head);

/// Error of bytes that are not a valid response.
core::Error MalformedResponse(std::string reason);

/// Parses a request that RequestFramer completed. Decodes a chunked body.
RelayRequest ParseFramedRequest(std::string_view message);

/// Whether a header field is hop-by-hop, so that it is never forwarded.
/// `connection` is the value of the message's Connection field.
bool IsHopByHop(std::string_view name, std::string_view connection);

/// Serializes the status line and the fields, with the blank line at the end.
std::string SerializeHead(const ResponseHead& head);

/// Serializes one chunk of a chunked body. Returns nothing for empty bytes, as
/// an empty chunk would end the body.
std::string SerializeChunk(std::string_view bytes);

/// Chunk that ends a body.
inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

}  // namespace hawthorn::transport
