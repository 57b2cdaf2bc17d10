#include "peer/handshake.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>

namespace hawthorn::peer {
namespace {

const core::InstanceId kLeft("left");
const core::InstanceId kRight("right");
constexpr const char* kKey = "0123456789abcdef";

std::string Nonce(char fill) { return std::string(kNonceBytes, fill); }

TEST_CASE("both sides authenticate each other with the same key") {
  const HandshakeInitiator initiator(kLeft, kRight, kKey, Nonce('i'));
  HandshakeAcceptor acceptor(kRight, kKey, Nonce('a'));
  const auto challenge = acceptor.OnHello(initiator.Hello());
  const auto proof = initiator.OnChallenge(core::Value(challenge));
  REQUIRE(core::Value(acceptor.OnProof(core::Value(proof))) == kLeft);
}

TEST_CASE("a proof is valid only for its ids, nonces and role") {
  const HandshakeInitiator initiator(kLeft, kRight, kKey, Nonce('i'));
  HandshakeAcceptor acceptor(kRight, kKey, Nonce('a'));
  const auto challenge = core::Value(acceptor.OnHello(initiator.Hello()));
  const auto proof = core::Value(initiator.OnChallenge(challenge));

  HandshakeAcceptor other_nonce(kRight, kKey, Nonce('b'));
  (void)other_nonce.OnHello(initiator.Hello());
  REQUIRE_FALSE(core::IsOk(other_nonce.OnProof(proof)));

  HandshakeAcceptor other_id(kRight, kKey, Nonce('a'));
  auto hello = initiator.Hello();
  hello.set_from("middle");
  (void)other_id.OnHello(hello);
  REQUIRE_FALSE(core::IsOk(other_id.OnProof(proof)));

  // The acceptor's own proof, reflected, is not accepted as the initiator's.
  schema::LinkHandshake reflected;
  reflected.set_proof(challenge.proof());
  REQUIRE_FALSE(core::IsOk(acceptor.OnProof(reflected)));

  HandshakeAcceptor elsewhere(core::InstanceId("other"), kKey, Nonce('a'));
  REQUIRE_FALSE(core::IsOk(elsewhere.OnHello(initiator.Hello())));
}

TEST_CASE("a proof with any changed bit is refused") {
  rc::prop("one flipped bit is detected", [] {
    const HandshakeInitiator initiator(kLeft, kRight, kKey, Nonce('i'));
    HandshakeAcceptor acceptor(kRight, kKey, Nonce('a'));
    auto challenge = core::Value(acceptor.OnHello(initiator.Hello()));
    auto proof = core::Value(initiator.OnChallenge(challenge));
    const auto bit = *rc::gen::inRange<size_t>(0, proof.proof().size() * 8);
    const auto flip = [bit](std::string& bytes) {
      bytes[bit / 8] = static_cast<char>(bytes[bit / 8] ^ (1 << (bit % 8)));
    };
    flip(*proof.mutable_proof());
    flip(*challenge.mutable_proof());
    RC_ASSERT(!core::IsOk(acceptor.OnProof(proof)));
    RC_ASSERT(!core::IsOk(initiator.OnChallenge(challenge)));
  });
}

TEST_CASE("handshake messages are read correctly at any split of the bytes") {
  rc::prop("the result does not depend on the split", [] {
    schema::LinkHandshake message;
    message.set_from("left");
    message.set_nonce(Nonce('n'));
    const std::string bytes = FrameHandshake(message) + "rest";
    const auto split = *rc::gen::inRange<size_t>(0, bytes.size());
    HandshakeReader reader;
    reader.Append(bytes.substr(0, split));
    auto next = reader.Next();
    RC_ASSERT(core::IsOk(next));
    const bool early = core::Value(next).has_value();
    reader.Append(bytes.substr(split));
    if (!early) {
      next = reader.Next();
    }
    RC_ASSERT(core::Value(next)->from() == "left");
    RC_ASSERT(reader.TakeRemaining() == "rest");
  });
}

}  // namespace
}  // namespace hawthorn::peer
