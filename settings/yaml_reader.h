#pragma once

#include <google/protobuf/message.h>

#include <map>
#include <set>
#include <string>
#include <string_view>

#include "core/finding.h"

namespace hawthorn::settings {

/// Places of the fields that a file holds, by their path such as
/// "instances[2].zone"; the empty path is the file itself.
class PlaceMap {
 public:
  /// Remembers where `path` stands.
  void Set(const std::string& path, core::Place place);

  /// Place of `path` or, if the file does not hold it, of the closest group
  /// around it.
  core::Place Find(std::string path) const;

 private:
  std::map<std::string, core::Place> places_;
};

/// A message as a file gives it, with the places of its fields and everything
/// that is wrong with its form.
struct YamlDocument {
  PlaceMap places;
  /// Paths that have a finding already; checks of their value are pointless.
  std::set<std::string> faulty_paths;
  core::FindingList findings;
};

/// Reads `text` into `message`: missing keys get their default values;
/// unknown and doubled keys, wrong types and missing units become findings.
/// Values are not checked against bounds. Never throws.
YamlDocument ReadYaml(std::string_view text, const std::string& file,
                      google::protobuf::Message* message);

}  // namespace hawthorn::settings
