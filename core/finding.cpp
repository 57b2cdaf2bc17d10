#include "core/finding.h"

#include <algorithm>
#include <utility>

namespace hawthorn::core {

std::string ToString(const Finding& finding) {
  std::string text = finding.position.file;
  if (finding.position.line > 0) {
    text += ":" + std::to_string(finding.position.line);
    text += ":" + std::to_string(finding.position.column);
  }
  text += ": " + finding.message;
  if (!finding.allowed.empty()) {
    text += "; allowed: " + finding.allowed;
  }
  return text;
}

void FindingList::Add(FilePosition position, std::string message,
                      std::string allowed) {
  findings_.push_back(
      Finding{std::move(position), std::move(message), std::move(allowed)});
}

std::string FindingList::Report() const {
  std::vector<Finding> sorted = findings_;
  std::stable_sort(sorted.begin(), sorted.end(),
                   [](const Finding& a, const Finding& b) {
                     return a.position < b.position;
                   });
  std::string text;
  for (const Finding& it : sorted) {
    text += ToString(it) + "\n";
  }
  return text;
}

}  // namespace hawthorn::core
