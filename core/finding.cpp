#include "core/finding.h"

#include <algorithm>
#include <utility>

namespace hawthorn::core {

std::string ToString(const Finding& finding) {
  std::string text = finding.place.file;
  if (finding.place.line > 0) {
    text += ":" + std::to_string(finding.place.line);
    text += ":" + std::to_string(finding.place.column);
  }
  text += ": " + finding.message;
  if (!finding.allowed.empty()) {
    text += "; allowed: " + finding.allowed;
  }
  return text;
}

void FindingList::Add(Place place, std::string message, std::string allowed) {
  findings_.push_back(
      Finding{std::move(place), std::move(message), std::move(allowed)});
}

std::string FindingList::Report() const {
  std::vector<Finding> sorted = findings_;
  std::stable_sort(
      sorted.begin(), sorted.end(),
      [](const Finding& a, const Finding& b) { return a.place < b.place; });
  std::string text;
  for (const Finding& it : sorted) {
    text += ToString(it) + "\n";
  }
  return text;
}

}  // namespace hawthorn::core
