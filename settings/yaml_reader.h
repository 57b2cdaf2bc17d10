#pragma once

#include <google/protobuf/message.h>

#include <map>
#include <set>
#include <string>
#include <string_view>

#include "core/finding.h"

namespace hawthorn::settings {

/// Positions of the fields in a file, by path such as "instances[2].zone"; the
/// empty path is the file itself.
class PositionMap {
 public:
  /// Records the position of `path`.
  void Set(const std::string& path, core::FilePosition position);

  /// Position of `path` or, if the file does not contain it, of the closest
  /// enclosing group.
  core::FilePosition Find(std::string path) const;

 private:
  std::map<std::string, core::FilePosition> positions_;
};

/// Positions of the fields of a parsed file, and all findings about its syntax.
struct YamlDocument {
  PositionMap positions;
  /// Paths that already have a finding, so that their values are not checked.
  std::set<std::string> faulty_paths;
  core::FindingList findings;
};

/// Parses `text` into `message`. Missing keys get their default values; unknown
/// and duplicate keys, wrong types and missing units are findings. Values are
/// not checked against bounds. Never throws.
YamlDocument ReadYaml(std::string_view text, const std::string& file,
                      google::protobuf::Message* message);

}  // namespace hawthorn::settings
