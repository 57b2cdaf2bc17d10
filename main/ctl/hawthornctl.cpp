// hawthornctl: the operators' command-line tool.
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <QCoreApplication>
#include <cstdlib>
#include <fstream>

#include "main/ctl/commands.h"

ABSL_FLAG(std::string, instance, "127.0.0.1:8080",
          "address of an instance, IP:port");
ABSL_FLAG(std::string, key_file, "", "file with the operators' key");
ABSL_FLAG(bool, json, false, "print JSON");
ABSL_FLAG(std::string, out, "", "folder or file to write to");
ABSL_FLAG(std::string, author, "", "author of a change; default $USER");
ABSL_FLAG(std::string, operation, "", "id of a change; reuse it for a retry");
ABSL_FLAG(int64_t, expect, -1, "revision that a change is based on");
ABSL_FLAG(std::string, zone, "", "availability zone");
ABSL_FLAG(std::string, organisation, "", "organisation");
ABSL_FLAG(std::string, traffic, "quetzal", "traffic file or profile");
ABSL_FLAG(std::vector<std::string>, policy,
          std::vector<std::string>({"fcfs", "combined"}),
          "policies to compare, comma-separated");
ABSL_FLAG(int64_t, seed, 1, "seed of the traffic");
ABSL_FLAG(int, timeout_s, 30, "longest wait in seconds");

namespace {

std::string FirstLine(const std::string& path) {
  std::ifstream in(path);
  std::string line;
  std::getline(in, line);
  return line;
}

std::string Author() {
  std::string author = absl::GetFlag(FLAGS_author);
  const char* user = std::getenv("USER");
  if (!author.empty()) {
    return author;
  }
  return user == nullptr ? "operator" : user;
}

}  // namespace

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage(hawthorn::ctl::Usage());
  std::vector<std::string> words;
  for (const char* it : absl::ParseCommandLine(argc, argv)) {
    words.emplace_back(it);
  }
  words.erase(words.begin());
  QCoreApplication app(argc, argv);
  hawthorn::ctl::Options options;
  options.instance = absl::GetFlag(FLAGS_instance);
  options.key = FirstLine(absl::GetFlag(FLAGS_key_file));
  options.json = absl::GetFlag(FLAGS_json);
  options.out = absl::GetFlag(FLAGS_out);
  options.author = Author();
  options.operation = absl::GetFlag(FLAGS_operation);
  options.expect = absl::GetFlag(FLAGS_expect);
  options.zone = absl::GetFlag(FLAGS_zone);
  options.organisation = absl::GetFlag(FLAGS_organisation);
  options.traffic = absl::GetFlag(FLAGS_traffic);
  options.policies = absl::GetFlag(FLAGS_policy);
  options.seed = absl::GetFlag(FLAGS_seed);
  options.timeout_s = absl::GetFlag(FLAGS_timeout_s);
  return hawthorn::ctl::Run(options, words);
}
