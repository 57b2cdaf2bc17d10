#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

#include "control.pb.h"

// Keys of organisations. Keys are long random tokens, so a single salted
// SHA-256 keeps them as safe as a slow password hash would: no dictionary
// holds them and 256 random bits cannot be searched.
namespace hawthorn::control {

/// Fills a buffer with `size` random bytes from a source fit for secrets.
using RandomSource = std::function<std::string(size_t size)>;

/// Random bytes of the operating system.
RandomSource SystemRandomSource();

/// A new key: the token for its holder and the digest for the configuration.
struct GeneratedKey {
  std::string token;
  schema::KeyDigest digest;
};

/// Digest of `key` under `salt`, 32 bytes.
std::string HashKey(std::string_view key, std::string_view salt);

/// Whether `key` has this digest; compares in constant time.
bool VerifyKey(std::string_view key, const schema::KeyDigest& digest);

/// Whether two texts are equal, in a time that depends on their lengths only.
bool EqualsInConstantTime(std::string_view a, std::string_view b);

/// Makes a key "ID.SECRET" with 32 random bytes in its secret part and a
/// fresh salt.
GeneratedKey NewKey(const RandomSource& random);

/// Public id of the key `token`, empty if it has none.
std::string_view KeyIdOf(std::string_view token);

/// Makes a secret of 32 random bytes as hexadecimal digits, for key files.
std::string NewSecret(const RandomSource& random);

}  // namespace hawthorn::control
