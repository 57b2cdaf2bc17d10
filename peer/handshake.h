#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "core/error.h"
#include "core/id.h"
#include "schema/generated/peer.pb.h"

// Mutual authentication at the start of a link, without I/O. Each side proves
// that it knows the shared key by an HMAC over its role, both ids and both
// nonces. HTTP/2 starts only after that.
namespace hawthorn::peer {

/// Size of a nonce in bytes.
inline constexpr size_t kNonceBytes = 32;
/// Minimum size of the shared key in bytes.
inline constexpr size_t kMinKeyBytes = 16;
/// Size limit of a handshake message in bytes.
inline constexpr size_t kMaxHandshakeBytes = 1024;

/// Compares two texts in a time that depends only on their lengths, so that it
/// does not reveal where they differ.
bool EqualInConstantTime(std::string_view a, std::string_view b);

/// Serializes a handshake message with its frame: magic, length, message.
std::string FrameHandshake(const schema::LinkHandshake& message);

/// Reads handshake messages from a byte stream.
class HandshakeReader {
 public:
  /// Appends received bytes.
  void Append(std::string_view bytes) { buffer_.append(bytes); }

  /// Returns the next complete message, nothing if more bytes are needed, or an
  /// error if the bytes are not a handshake.
  core::Result<std::optional<schema::LinkHandshake>> Next();

  /// Removes and returns the bytes after the last message that Next returned.
  std::string TakeRemaining();

 private:
  std::string buffer_;
};

/// The side that opened the connection.
class HandshakeInitiator {
 public:
  HandshakeInitiator(core::InstanceId self, core::InstanceId peer,
                     std::string key, std::string nonce);

  /// Returns the first message.
  schema::LinkHandshake Hello() const;
  /// Checks the acceptor's proof. Returns the initiator's proof, or
  /// kUnauthenticated.
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

  /// Handles the first message. Returns the challenge, or kUnauthenticated.
  core::Result<schema::LinkHandshake> OnHello(
      const schema::LinkHandshake& hello);
  /// Checks the initiator's proof. Returns its id, or kUnauthenticated.
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
