#include "turns/turn_key.h"

#include <xxhash.h>

#include <cstring>

namespace hawthorn::turns {

namespace {

constexpr size_t kKeyBytes = 16;

void AppendNumber(std::string* out, uint64_t number) {
  for (size_t i = 0; i < sizeof(number); ++i) {
    out->push_back(static_cast<char>((number >> (8 * i)) & 0xffU));
  }
}

uint64_t NumberAt(std::string_view bytes, size_t offset) {
  uint64_t number = 0;
  for (size_t i = 0; i < sizeof(number); ++i) {
    number |=
        static_cast<uint64_t>(static_cast<unsigned char>(bytes[offset + i]))
        << (8 * i);
  }
  return number;
}

}  // namespace

TurnKey KeyOf(std::string_view organisation, std::string_view turn) {
  // The length keeps apart pairs whose concatenation is the same.
  std::string text;
  AppendNumber(&text, organisation.size());
  text.append(organisation).append(turn);
  const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
  return {hash.high64, hash.low64};
}

TurnKey KeyOf(const schema::StoredTurn& turn) {
  return KeyOf(turn.organisation(), turn.turn());
}

TurnKey PreviousKeyOf(const schema::StoredTurn& turn) {
  return KeyOf(turn.organisation(), turn.previous());
}

uint64_t ContentHashOf(const schema::StoredTurn& turn) {
  uint64_t hash = 0;
  for (const std::string* part :
       {&turn.previous(), &turn.chain_key(), &turn.input(), &turn.output()}) {
    hash = XXH64(part->data(), part->size(), hash + part->size());
  }
  return hash;
}

std::string PackKeys(const std::vector<TurnKey>& keys) {
  std::string out;
  out.reserve(keys.size() * kKeyBytes);
  for (const TurnKey& key : keys) {
    AppendNumber(&out, key.high);
    AppendNumber(&out, key.low);
  }
  return out;
}

std::vector<TurnKey> UnpackKeys(std::string_view bytes) {
  std::vector<TurnKey> keys;
  for (size_t i = 0; i + kKeyBytes <= bytes.size(); i += kKeyBytes) {
    keys.push_back({NumberAt(bytes, i), NumberAt(bytes, i + sizeof(uint64_t))});
  }
  return keys;
}

}  // namespace hawthorn::turns
