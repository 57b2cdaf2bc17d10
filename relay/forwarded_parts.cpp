#include "relay/forwarded_parts.h"

#include <utility>

#include "transport/http_status.h"

namespace hawthorn::relay {

schema::ForwardedPart EncodeHead(const transport::ResponseHead& head,
                                 std::optional<uint64_t> length) {
  schema::ForwardedPart part;
  schema::ForwardedHead* encoded = part.mutable_head();
  encoded->set_status(head.status);
  for (const transport::HeaderField& field : head.fields) {
    schema::HttpField* it = encoded->add_fields();
    it->set_name(field.name);
    it->set_value(field.value);
  }
  if (length) {
    encoded->set_length(*length);
  }
  return part;
}

core::Result<transport::ResponseHead> DecodeHead(
    const schema::ForwardedHead& encoded) {
  transport::ResponseHead head;
  head.status = encoded.status();
  for (const schema::HttpField& field : encoded.fields()) {
    head.fields.push_back({field.name(), field.value()});
  }
  const core::Status checked = transport::CheckHead(head);
  if (!core::IsOk(checked)) {
    return core::ErrorOf(checked);
  }
  if (transport::IsInterim(head.status)) {
    return transport::MalformedResponse("an interim response was forwarded");
  }
  return head;
}

schema::ForwardedPart EncodeEnd(schema::ForwardEnd end) {
  schema::ForwardedPart part;
  part.set_end(end);
  return part;
}

schema::ForwardEnd EndOf(LinkFailure failure) {
  switch (failure) {
    case LinkFailure::kUnreachable:
      return schema::FORWARD_END_UNREACHABLE;
    case LinkFailure::kClosed:
      return schema::FORWARD_END_CLOSED;
    case LinkFailure::kMalformed:
      return schema::FORWARD_END_MALFORMED;
    default:
      return schema::FORWARD_END_RESET;
  }
}

LinkFailure FailureOf(schema::ForwardEnd end) {
  switch (end) {
    case schema::FORWARD_END_UNREACHABLE:
      return LinkFailure::kUnreachable;
    case schema::FORWARD_END_PARTITIONED:
    case schema::FORWARD_END_UNKNOWN_UPSTREAM:
    case schema::FORWARD_END_REFUSED:
      return LinkFailure::kForwarderFailed;
    case schema::FORWARD_END_CLOSED:
      return LinkFailure::kClosed;
    case schema::FORWARD_END_MALFORMED:
      return LinkFailure::kMalformed;
    default:
      return LinkFailure::kReset;
  }
}

const char* ToString(schema::ForwardEnd end) {
  switch (end) {
    case schema::FORWARD_END_COMPLETE:
      return "complete";
    case schema::FORWARD_END_UNREACHABLE:
      return "the upstream is unreachable";
    case schema::FORWARD_END_PARTITIONED:
      return "no upstream was reached recently";
    case schema::FORWARD_END_SILENT:
      return "the upstream does not answer";
    case schema::FORWARD_END_CLOSED:
      return "the upstream closed the connection";
    case schema::FORWARD_END_RESET:
      return "the connection broke or the deadline passed";
    case schema::FORWARD_END_MALFORMED:
      return "the response is malformed";
    default:
      return "the other instance left";
  }
}

schema::PeerMessage Pack(schema::ForwardedPart part) {
  schema::PeerMessage message;
  *message.mutable_forwarded() = std::move(part);
  return message;
}

}  // namespace hawthorn::relay
