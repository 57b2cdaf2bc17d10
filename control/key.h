#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

#include "control.pb.h"

// Keys of organisations. Keys are long random tokens, so a single salted
// SHA-256 protects them as well as a slow password hash: 256 random bits cannot
// be found by a dictionary attack or by exhaustive search.
namespace hawthorn::control {

/// Returns `size` random bytes from a cryptographically secure source.
using RandomSource = std::function<std::string(size_t size)>;

/// The operating system's random source.
RandomSource SystemRandomSource();

/// A new key: the token for its holder and the digest for the configuration.
struct GeneratedKey {
  std::string token;
  schema::KeyDigest digest;
};

/// Salted digest of `key`, 32 bytes.
std::string HashKey(std::string_view key, std::string_view salt);

/// Whether `key` matches the digest; compares in constant time.
bool VerifyKey(std::string_view key, const schema::KeyDigest& digest);

/// Whether two strings are equal. The time depends only on their lengths.
bool EqualsInConstantTime(std::string_view a, std::string_view b);

/// Generates a key "ID.SECRET" with a secret part of 32 random bytes, and a new
/// salt.
GeneratedKey GenerateKey(const RandomSource& random);

/// Public id of the key `token`; empty if it has none.
std::string_view KeyIdOf(std::string_view token);

/// Generates a secret of 32 random bytes in hexadecimal, for key files.
std::string GenerateSecret(const RandomSource& random);

}  // namespace hawthorn::control
