#include "relay/organisation.h"

#include <QByteArrayView>
#include <QCryptographicHash>
#include <algorithm>
#include <cstring>
#include <utility>

namespace hawthorn::relay {

KeyDigest DigestOfKey(std::string_view key) {
  QCryptographicHash hash(QCryptographicHash::Sha256);
  hash.addData(QByteArrayView(key.data(), static_cast<qsizetype>(key.size())));
  const QByteArray result = hash.result();
  KeyDigest digest{};
  std::copy_n(
      result.begin(),
      std::min<size_t>(digest.size(), static_cast<size_t>(result.size())),
      digest.begin());
  return digest;
}

size_t OrganisationTable::DigestHash::operator()(
    const KeyDigest& digest) const {
  size_t hash = 0;
  std::memcpy(&hash, digest.data(), sizeof(hash));
  return hash;
}

bool OrganisationTable::DigestEqual::operator()(const KeyDigest& a,
                                                const KeyDigest& b) const {
  unsigned difference = 0;
  for (size_t n = 0; n < a.size(); ++n) {
    difference |= static_cast<unsigned>(a[n] ^ b[n]);
  }
  return difference == 0;
}

bool OrganisationTable::Add(Organisation organisation) {
  if (!names_.emplace(organisation.name, organisations_.size()).second) {
    return false;
  }
  organisations_.push_back(std::move(organisation));
  return true;
}

const Organisation* OrganisationTable::AddKey(const KeyDigest& digest) {
  const auto [it, is_new] = keys_.emplace(digest, organisations_.size() - 1);
  return is_new ? nullptr : &organisations_[it->second];
}

const Organisation* OrganisationTable::Find(std::string_view key) const {
  if (key.empty() || key.size() > kMaxKeyBytes) {
    return nullptr;
  }
  const auto it = keys_.find(DigestOfKey(key));
  return it == keys_.end() ? nullptr : &organisations_[it->second];
}

scheduling::QuotaLimits OrganisationTable::Limits() const {
  scheduling::QuotaLimits limits;
  for (const Organisation& it : organisations_) {
    if (it.limit.IsLimited()) {
      limits.emplace(it.name, it.limit);
    }
  }
  return limits;
}

}  // namespace hawthorn::relay
