#include "settings/message_file.h"

#include <absl/strings/str_cat.h>

#include <filesystem>
#include <fstream>
#include <sstream>
#include <system_error>

namespace hawthorn::settings {

std::variant<std::string, core::FindingList> ReadTextFile(
    const std::string& path, size_t max_bytes) {
  core::FindingList findings;
  std::error_code ec;
  if (!std::filesystem::is_regular_file(path, ec)) {
    findings.Add({path, 0, 0}, "the file does not exist or is no file",
                 "the path of a readable file");
    return findings;
  }
  if (std::filesystem::file_size(path, ec) > max_bytes || ec) {
    findings.Add({path, 0, 0}, "the file is too large",
                 absl::StrCat("at most ", max_bytes, " bytes"));
    return findings;
  }
  std::ifstream stream(path, std::ios::binary);
  std::ostringstream content;
  content << stream.rdbuf();
  if (!stream.is_open() || stream.bad()) {
    findings.Add({path, 0, 0}, "the file cannot be read",
                 "the path of a readable file");
    return findings;
  }
  return content.str();
}

void AddProblems(const std::vector<Problem>& problems, YamlDocument* document) {
  for (const Problem& it : problems) {
    if (document->faulty_paths.insert(it.path).second) {
      document->findings.Add(document->positions.Find(it.path), it.message,
                             it.allowed);
    }
  }
}

}  // namespace hawthorn::settings
