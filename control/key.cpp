#include "control/key.h"

#include <absl/strings/escaping.h>
#include <absl/strings/str_cat.h>

#include <QByteArray>
#include <QCryptographicHash>
#include <QRandomGenerator>

namespace hawthorn::control {
namespace {

constexpr size_t kSecretBytes = 32;
constexpr size_t kSaltBytes = 16;
constexpr size_t kIdBytes = 8;

void AddTo(QCryptographicHash* hash, std::string_view text) {
  hash->addData(
      QByteArrayView(text.data(), static_cast<qsizetype>(text.size())));
}

}  // namespace

RandomSource SystemRandomSource() {
  return [](size_t size) {
    std::string bytes;
    while (bytes.size() < size) {
      bytes += static_cast<char>(QRandomGenerator::system()->bounded(256));
    }
    return bytes;
  };
}

std::string HashKey(std::string_view key, std::string_view salt) {
  QCryptographicHash hash(QCryptographicHash::Sha256);
  AddTo(&hash, salt);
  AddTo(&hash, key);
  return hash.result().toStdString();
}

bool EqualsInConstantTime(std::string_view a, std::string_view b) {
  if (a.size() != b.size()) {
    return false;
  }
  volatile unsigned char difference = 0;
  for (size_t i = 0; i < a.size(); ++i) {
    difference = static_cast<unsigned char>(
        difference |
        (static_cast<unsigned char>(a[i]) ^ static_cast<unsigned char>(b[i])));
  }
  return difference == 0;
}

bool VerifyKey(std::string_view key, const schema::KeyDigest& digest) {
  return !digest.digest().empty() &&
         EqualsInConstantTime(HashKey(key, digest.salt()), digest.digest());
}

GeneratedKey GenerateKey(const RandomSource& random) {
  GeneratedKey key;
  const std::string id = absl::BytesToHexString(random(kIdBytes));
  key.token =
      absl::StrCat(id, ".", absl::BytesToHexString(random(kSecretBytes)));
  key.digest.set_id(id);
  key.digest.set_salt(random(kSaltBytes));
  key.digest.set_digest(HashKey(key.token, key.digest.salt()));
  return key;
}

std::string_view KeyIdOf(std::string_view token) {
  const size_t dot = token.find('.');
  return dot == std::string_view::npos ? std::string_view()
                                       : token.substr(0, dot);
}

std::string GenerateSecret(const RandomSource& random) {
  return absl::BytesToHexString(random(kSecretBytes));
}

}  // namespace hawthorn::control
