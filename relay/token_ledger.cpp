#include "relay/token_ledger.h"

namespace hawthorn::relay {

schema::TokenReservation ReservationOf(const TokenClaim& claim) {
  schema::TokenReservation reserve;
  reserve.set_program(claim.program);
  reserve.set_request(claim.request_id);
  reserve.set_budget(claim.budget);
  reserve.set_tokens(claim.tokens);
  if (claim.stream) {
    reserve.mutable_stream()->set_version(claim.stream->version);
    reserve.mutable_stream()->set_round(claim.stream->round);
  }
  reserve.set_resumes(claim.resumes);
  reserve.set_resumed_request(claim.resumed_request);
  reserve.set_stream_owner(claim.stream_owner);
  reserve.set_resumed_owner(claim.resumed_owner);
  reserve.set_content(claim.content);
  reserve.set_retention_ms(claim.retention.count());
  for (const std::string& it : claim.services) {
    reserve.add_services(it);
  }
  return reserve;
}

}  // namespace hawthorn::relay
