#pragma once

#include <compare>
#include <string>
#include <vector>

// Findings: all errors of an input, collected in one pass.
namespace hawthorn::core {

/// Position in an input file. Lines and columns count from 1; 0 means that
/// the finding is about the whole file.
struct FilePosition {
  std::string file;
  int line = 0;
  int column = 0;

  auto operator<=>(const FilePosition&) const = default;
};

/// An error in an input, and what is allowed in its place.
struct Finding {
  FilePosition position;
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
  void Add(FilePosition position, std::string message,
           std::string allowed = "");

  bool empty() const { return findings_.empty(); }
  const std::vector<Finding>& findings() const { return findings_; }

  /// All findings sorted by position, one per line.
  std::string Report() const;

 private:
  std::vector<Finding> findings_;
};

}  // namespace hawthorn::core
