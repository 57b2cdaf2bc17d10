#pragma once

#include <cstdint>
#include <optional>

#include "core/error.h"
#include "relay/exchange_link.h"
#include "schema/generated/peer.pb.h"
#include "transport/http_message.h"

// Encoding of responses that one instance forwards to another.
namespace hawthorn::relay {

schema::ForwardedPart EncodeHead(const transport::ResponseHead& head,
                                 std::optional<uint64_t> length);
/// Returns kInvalidArgument if the head is not that of a valid response: the
/// instance that sent it may have checked less.
core::Result<transport::ResponseHead> DecodeHead(
    const schema::ForwardedHead& encoded);
schema::ForwardedPart EncodeEnd(schema::ForwardEnd end);
/// How an exchange ended whose own connection failed so.
schema::ForwardEnd EndOf(LinkFailure failure);
/// How the link of an exchange failed that another instance ended so; not for
/// FORWARD_END_COMPLETE.
LinkFailure FailureOf(schema::ForwardEnd end);
/// Text for log records.
const char* ToString(schema::ForwardEnd end);
/// A part as a message between instances.
schema::PeerMessage Pack(schema::ForwardedPart part);

}  // namespace hawthorn::relay
