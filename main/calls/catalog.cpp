#include "main/calls/catalog.h"

#include <unordered_map>
#include <utility>

#include "control/key.h"

namespace hawthorn::main {

struct Catalog::Index {
  struct KeyEntry {
    std::string organisation;
    const schema::KeyDigest* digest;
  };
  std::unordered_map<std::string, KeyEntry> keys;
  std::unordered_map<std::string, const schema::Organisation*> organisations;
  std::unordered_map<std::string, const schema::Service*> services;
  std::unordered_map<std::string, const schema::ServiceClass*> classes;
};

Catalog::Catalog(uint64_t revision, schema::Configuration configuration)
    : revision_(revision), configuration_(std::move(configuration)) {
  auto index = std::make_shared<Index>();
  for (const auto& it : configuration_.organisations()) {
    index->organisations[it.id()] = &it;
    for (const auto& key : it.keys()) {
      index->keys[key.id()] = {it.id(), &key};
    }
  }
  for (const auto& it : configuration_.services()) {
    index->services[it.id()] = &it;
  }
  for (const auto& it : configuration_.classes()) {
    index->classes[it.id()] = &it;
  }
  index_ = std::move(index);
}

std::optional<core::OrganisationId> Catalog::OrganisationOf(
    const std::string& key) const {
  const auto it = index_->keys.find(key.substr(0, key.find('.')));
  if (it == index_->keys.end()) {
    return std::nullopt;
  }
  if (!control::VerifyKey(key, *it->second.digest)) {
    return std::nullopt;
  }
  return core::OrganisationId(it->second.organisation);
}

const schema::Organisation* Catalog::FindOrganisation(
    const core::OrganisationId& id) const {
  const auto it = index_->organisations.find(id.text());
  return it == index_->organisations.end() ? nullptr : it->second;
}

const schema::Service* Catalog::FindService(const core::ServiceId& id) const {
  const auto it = index_->services.find(id.text());
  return it == index_->services.end() ? nullptr : it->second;
}

const schema::ServiceClass* Catalog::FindClass(const std::string& id) const {
  const auto it = index_->classes.find(id);
  return it == index_->classes.end() ? nullptr : it->second;
}

}  // namespace hawthorn::main
