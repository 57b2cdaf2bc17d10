#pragma once

#include <compare>
#include <string>
#include <vector>

// Findings: everything wrong with an input, collected in one pass.
namespace hawthorn::core {

/// Position in an input file. Lines and columns count from 1; 0 means that
/// the finding is about the whole file.
struct Place {
  std::string file;
  int line = 0;
  int column = 0;

  auto operator<=>(const Place&) const = default;
};

/// One thing wrong with an input and what would be allowed there.
struct Finding {
  Place place;
  std::string message;
  std::string allowed;

  auto operator<=>(const Finding&) const = default;
};

/// Text form "file:line:column: message; allowed: ...".
std::string ToString(const Finding& finding);

/// Collects findings in the order of discovery.
class FindingList {
 public:
  /// Adds one finding; `allowed` may be empty.
  void Add(Place place, std::string message, std::string allowed = "");

  bool empty() const { return findings_.empty(); }
  const std::vector<Finding>& findings() const { return findings_; }

  /// All findings in the order of their places, one a line.
  std::string Report() const;

 private:
  std::vector<Finding> findings_;
};

}  // namespace hawthorn::core
