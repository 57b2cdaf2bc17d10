#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "schema/generated/deployment.pb.h"

namespace hawthorn::cluster {

/// The instances of a deployment that carry out exchanges for others.
class ForwarderList {
 public:
  /// Instances of its own zone, and of other zones, that one instance is told
  /// of. Few suffice, even if most instances are partitioned.
  static constexpr size_t kSampleSize = 8;

  class Builder;

  ForwarderList() = default;

  /// The forwarders that `instance` is told of, in the order of their ids. Each
  /// instance is told of others, so that their load is spread, and a change of
  /// the list changes few samples.
  std::vector<schema::Forwarder> SampleFor(const std::string& instance,
                                           const std::string& zone) const;
  /// Digest of the list; 0 if it is empty.
  uint64_t digest() const { return digest_; }
  schema::ForwarderList ToMessage() const;

  bool operator==(const ForwarderList& other) const {
    return digest_ == other.digest_;
  }

 private:
  std::map<std::string, schema::Forwarder> forwarders_;
  uint64_t digest_ = 0;
};

/// Collects a list from several sources.
class ForwarderList::Builder {
 public:
  Builder& Add(const google::protobuf::RepeatedPtrField<schema::Forwarder>& it);
  Builder& Add(const schema::Forwarder& forwarder);
  ForwarderList Build();

 private:
  std::map<std::string, schema::Forwarder> forwarders_;
};

}  // namespace hawthorn::cluster
