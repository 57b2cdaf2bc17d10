#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "core/error.h"
#include "core/id.h"
#include "schema/generated/peer.pb.h"

// Mutual authentication at the start of a link, without I/O. Both sides prove
// that they know the shared key by an HMAC over the role, both ids and both
// nonces. No byte reaches HTTP/2 before that.
namespace hawthorn::peer {

/// Bytes of a nonce.
inline constexpr size_t kNonceBytes = 32;
/// Shortest key in bytes.
inline constexpr size_t kMinKeyBytes = 16;
/// Largest handshake message in bytes.
inline constexpr size_t kMaxHandshakeBytes = 1024;

/// Compares in a time that depends on the lengths alone.
bool EqualInConstantTime(std::string_view a, std::string_view b);

/// Frames a handshake message: magic, length, message.
std::string FrameHandshake(const schema::LinkHandshake& message);

/// Cuts handshake messages out of a byte stream.
class HandshakeReader {
 public:
  /// Appends received bytes.
  void Append(std::string_view bytes) { buffer_.append(bytes); }

  /// Next whole message, nothing if more bytes are needed, or an error if the
  /// bytes are no handshake.
  core::Result<std::optional<schema::LinkHandshake>> Next();

  /// Bytes after the last message that Next returned.
  std::string TakeRemaining();

 private:
  std::string buffer_;
};

/// The side that opened the connection.
class HandshakeInitiator {
 public:
  HandshakeInitiator(core::InstanceId self, core::InstanceId peer,
                     std::string key, std::string nonce);

  /// First message.
  schema::LinkHandshake Hello() const;
  /// Checks the acceptor's proof; returns the own one, or kUnauthenticated.
  core::Result<schema::LinkHandshake> OnChallenge(
      const schema::LinkHandshake& challenge) const;

 private:
  core::InstanceId self_;
  core::InstanceId peer_;
  std::string key_;
  std::string nonce_;
};

/// The side that accepted the connection.
class HandshakeAcceptor {
 public:
  HandshakeAcceptor(core::InstanceId self, std::string key, std::string nonce);

  /// Takes the first message; returns the challenge, or kUnauthenticated.
  core::Result<schema::LinkHandshake> OnHello(
      const schema::LinkHandshake& hello);
  /// Checks the initiator's proof; returns its id, or kUnauthenticated.
  core::Result<core::InstanceId> OnProof(
      const schema::LinkHandshake& proof) const;

 private:
  core::InstanceId self_;
  std::string key_;
  std::string nonce_;
  core::InstanceId peer_;
  std::string peer_nonce_;
};

}  // namespace hawthorn::peer
