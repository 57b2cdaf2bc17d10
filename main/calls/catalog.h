#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "control.pb.h"
#include "core/id.h"

namespace hawthorn::main {

/// Immutable index of one revision of the configuration, by id and by key.
class Catalog {
 public:
  Catalog(uint64_t revision, schema::Configuration configuration);
  Catalog(const Catalog&) = delete;
  Catalog& operator=(const Catalog&) = delete;

  uint64_t revision() const { return revision_; }
  const schema::Configuration& configuration() const { return configuration_; }

  /// Organisation that `key` belongs to. A key has the form "ID.SECRET": the id
  /// selects the digest, and the secret is compared in constant time.
  std::optional<core::OrganisationId> OrganisationOf(
      const std::string& key) const;

  /// Null if the configuration has no entry with that id.
  const schema::Organisation* FindOrganisation(
      const core::OrganisationId& id) const;
  const schema::Service* FindService(const core::ServiceId& id) const;
  const schema::ServiceClass* FindClass(const std::string& id) const;

 private:
  struct Index;

  uint64_t revision_;
  schema::Configuration configuration_;
  std::shared_ptr<const Index> index_;
};

}  // namespace hawthorn::main
