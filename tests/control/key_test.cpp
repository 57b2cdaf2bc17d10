#include "control/key.h"

#include <catch2/catch.hpp>
#include <set>
#include <string>

namespace hawthorn::control {
namespace {

TEST_CASE("A key matches its digest and no changed key does") {
  const GeneratedKey key = GenerateKey(SystemRandomSource());
  CHECK(key.digest.salt().size() == 16);
  CHECK(key.digest.digest().size() == 32);
  CHECK(KeyIdOf(key.token) == key.digest.id());
  CHECK(VerifyKey(key.token, key.digest));
  for (size_t i = 0; i < key.token.size(); ++i) {
    std::string changed = key.token;
    changed[i] = changed[i] == 'x' ? 'y' : 'x';
    CHECK_FALSE(VerifyKey(changed, key.digest));
  }
  CHECK_FALSE(VerifyKey("", key.digest));
  CHECK_FALSE(VerifyKey("", schema::KeyDigest()));
}

TEST_CASE("The digest is the SHA-256 of salt and key") {
  // SHA-256 of "abc", from FIPS 180-2.
  const std::string digest = HashKey("c", "ab");
  CHECK(static_cast<unsigned char>(digest[0]) == 0xba);
  CHECK(static_cast<unsigned char>(digest[31]) == 0xad);
}

TEST_CASE("Keys from the system random source differ") {
  std::set<std::string> tokens;
  for (int i = 0; i < 100; ++i) {
    tokens.insert(GenerateKey(SystemRandomSource()).token);
  }
  CHECK(tokens.size() == 100);
}

}  // namespace
}  // namespace hawthorn::control
