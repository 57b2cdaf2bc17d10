#include "peer/handshake.h"

#include <QCryptographicHash>
#include <QMessageAuthenticationCode>
#include <QtEndian>
#include <utility>

#include "peer/errors.h"

namespace hawthorn::peer {

namespace {

constexpr std::string_view kMagic = "HWL1";
constexpr size_t kLengthBytes = 2;
constexpr std::string_view kInitiatorRole = "initiator";
constexpr std::string_view kAcceptorRole = "acceptor";

struct Transcript {
  const core::InstanceId& initiator;
  const core::InstanceId& acceptor;
  const std::string& initiator_nonce;
  const std::string& acceptor_nonce;
};

void AddField(QMessageAuthenticationCode& code, std::string_view field) {
  const auto size = qToBigEndian(static_cast<quint32>(field.size()));
  code.addData(reinterpret_cast<const char*>(&size), sizeof(size));
  code.addData(field.data(), static_cast<qsizetype>(field.size()));
}

std::string ComputeProof(const std::string& key, std::string_view role,
                         const Transcript& it) {
  QMessageAuthenticationCode code(QCryptographicHash::Sha256,
                                  QByteArray::fromStdString(key));
  AddField(code, kMagic);
  AddField(code, role);
  AddField(code, it.initiator.text());
  AddField(code, it.acceptor.text());
  AddField(code, it.initiator_nonce);
  AddField(code, it.acceptor_nonce);
  return code.result().toStdString();
}

core::Error AuthenticationError(const char* message) {
  return MakeError(core::ErrorCode::kUnauthenticated, message,
                   core::Execution::kNotRun);
}

}  // namespace

bool EqualInConstantTime(std::string_view a, std::string_view b) {
  if (a.size() != b.size()) {
    return false;
  }
  unsigned char difference = 0;
  for (size_t n = 0; n < a.size(); ++n) {
    difference |= static_cast<unsigned char>(a[n] ^ b[n]);
  }
  return difference == 0;
}

std::string FrameHandshake(const schema::LinkHandshake& message) {
  const std::string body = message.SerializeAsString();
  const auto size = qToBigEndian(static_cast<quint16>(body.size()));
  std::string frame(kMagic);
  frame.append(reinterpret_cast<const char*>(&size), kLengthBytes);
  frame.append(body);
  return frame;
}

core::Result<std::optional<schema::LinkHandshake>> HandshakeReader::Next() {
  const size_t compared = std::min(buffer_.size(), kMagic.size());
  if (buffer_.compare(0, compared, kMagic.substr(0, compared)) != 0) {
    return AuthenticationError("the received bytes are not a link handshake");
  }
  const size_t header = kMagic.size() + kLengthBytes;
  if (buffer_.size() < header) {
    return std::optional<schema::LinkHandshake>();
  }
  const size_t size = qFromBigEndian<quint16>(buffer_.data() + kMagic.size());
  if (size > kMaxHandshakeBytes) {
    return AuthenticationError("the handshake message is too large");
  }
  if (buffer_.size() < header + size) {
    return std::optional<schema::LinkHandshake>();
  }
  schema::LinkHandshake message;
  if (!message.ParseFromArray(buffer_.data() + header,
                              static_cast<int>(size))) {
    return AuthenticationError("the handshake message is malformed");
  }
  buffer_.erase(0, header + size);
  return std::optional(std::move(message));
}

std::string HandshakeReader::TakeRemaining() {
  return std::exchange(buffer_, {});
}

HandshakeInitiator::HandshakeInitiator(core::InstanceId self,
                                       core::InstanceId peer, std::string key,
                                       std::string nonce)
    : self_(std::move(self)),
      peer_(std::move(peer)),
      key_(std::move(key)),
      nonce_(std::move(nonce)) {}

schema::LinkHandshake HandshakeInitiator::Hello() const {
  schema::LinkHandshake hello;
  hello.set_from(self_.text());
  hello.set_to(peer_.text());
  hello.set_nonce(nonce_);
  return hello;
}

core::Result<schema::LinkHandshake> HandshakeInitiator::OnChallenge(
    const schema::LinkHandshake& challenge) const {
  const Transcript transcript{self_, peer_, nonce_, challenge.nonce()};
  if (challenge.nonce().size() != kNonceBytes ||
      !EqualInConstantTime(ComputeProof(key_, kAcceptorRole, transcript),
                           challenge.proof())) {
    return AuthenticationError("the peer did not prove the shared key");
  }
  schema::LinkHandshake proof;
  proof.set_proof(ComputeProof(key_, kInitiatorRole, transcript));
  return proof;
}

HandshakeAcceptor::HandshakeAcceptor(core::InstanceId self, std::string key,
                                     std::string nonce)
    : self_(std::move(self)), key_(std::move(key)), nonce_(std::move(nonce)) {}

core::Result<schema::LinkHandshake> HandshakeAcceptor::OnHello(
    const schema::LinkHandshake& hello) {
  if (hello.nonce().size() != kNonceBytes || hello.from().empty()) {
    return AuthenticationError("the first handshake message is malformed");
  }
  if (hello.to() != self_.text()) {
    return AuthenticationError(
        "the handshake is addressed to another instance");
  }
  peer_ = core::InstanceId(hello.from());
  peer_nonce_ = hello.nonce();
  schema::LinkHandshake challenge;
  challenge.set_nonce(nonce_);
  challenge.set_proof(
      ComputeProof(key_, kAcceptorRole, {peer_, self_, peer_nonce_, nonce_}));
  return challenge;
}

core::Result<core::InstanceId> HandshakeAcceptor::OnProof(
    const schema::LinkHandshake& proof) const {
  const Transcript transcript{peer_, self_, peer_nonce_, nonce_};
  if (!EqualInConstantTime(ComputeProof(key_, kInitiatorRole, transcript),
                           proof.proof())) {
    return AuthenticationError("the peer did not prove the shared key");
  }
  return peer_;
}

}  // namespace hawthorn::peer
