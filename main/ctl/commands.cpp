#include "main/ctl/commands.h"

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

#include "control/key.h"
#include "main/ctl/configuration_commands.h"
#include "main/ctl/explain_command.h"
#include "main/ctl/operator_client.h"
#include "main/ctl/policy_command.h"
#include "main/ctl/report.h"
#include "main/ctl/table.h"
#include "main/http/json.h"
#include "questionnaire/questionnaire.h"
#include "settings/reference.h"
#include "settings/settings.h"

namespace hawthorn::ctl {

namespace {

using Arguments = std::vector<std::string>;

int Show(const Options& options, const std::string& path,
         std::string (*draw)(const QJsonObject&)) {
  OperatorClient client(options.instance, options.key);
  const auto result = client.Get(path);
  if (!core::IsOk(result)) {
    return Report(core::ErrorOf(result));
  }
  std::cout << (options.json ? main::ToJson(core::Value(result)) + "\n"
                             : draw(core::Value(result)));
  return kExitOk;
}

int Status(const Options& options, const Arguments&) {
  return Show(options, "/v1/admin/status", DrawObject);
}

int Upstreams(const Options& options, const Arguments&) {
  return Show(options, "/v1/admin/upstreams", [](const QJsonObject& it) {
    return DrawTable(it["upstreams"].toArray(),
                     {"upstream", "service", "zone", "phase", "takes_work",
                      "running", "waiting", "max_running", "cached_tokens"});
  });
}

int Programs(const Options& options, const Arguments&) {
  return Show(options,
              "/v1/admin/programs?zone=" + options.zone +
                  "&organisation=" + options.organisation,
              [](const QJsonObject& it) {
                return DrawTable(
                    it["programs"].toArray(),
                    {"program", "organisation", "class", "state", "next_number",
                     "used_tokens", "budget_tokens", "reason"});
              });
}

int Metrics(const Options& options, const Arguments&) {
  return Show(options, "/v1/admin/metrics", DrawHistograms);
}

int Members(const Options& options, const Arguments&) {
  return Show(options, "/v1/admin/members", [](const QJsonObject& it) {
    std::string text =
        DrawTable(it["instances"].toArray(),
                  {"instance", "zone", "state", "draining", "revision"});
    const QJsonArray groups = it["groups"].toArray();
    text += "\n" + DrawTable(groups, {"group", "leader", "leads_here", "term",
                                      "applied"});
    return text;
  });
}

std::string ReadFile(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

int CheckSettings(const Options&, const Arguments& arguments) {
  const auto parsed = settings::LoadSettings(arguments[0]);
  if (std::holds_alternative<core::FindingList>(parsed)) {
    std::cerr << std::get<core::FindingList>(parsed).Report();
    return kExitFindings;
  }
  std::cout << arguments[0] << ": no findings\n";
  return kExitOk;
}

int ShowReference(const Options&, const Arguments&) {
  std::cout << settings::SettingsReference();
  return kExitOk;
}

int NewQuestionnaire(const Options&, const Arguments&) {
  std::cout << questionnaire::QuestionnaireForm();
  return kExitOk;
}

int WriteFiles(const std::string& folder,
               const questionnaire::GeneratedFiles& files) {
  for (const auto& [name, content] : files) {
    const std::filesystem::path path = std::filesystem::path(folder) / name;
    std::error_code ec;
    std::filesystem::create_directories(path.parent_path(), ec);
    std::ofstream out(path, std::ios::binary);
    out << content;
    out.close();
    if (ec || !out) {
      std::cerr << "cannot write " << path << "\n";
      return kExitRefused;
    }
    if (name.starts_with("keys/")) {
      std::filesystem::permissions(path,
                                   std::filesystem::perms::owner_read |
                                       std::filesystem::perms::owner_write,
                                   ec);
    }
    std::cout << "wrote " << path.string() << "\n";
  }
  return kExitOk;
}

int GenerateFiles(const Options& options, const Arguments& arguments) {
  if (options.out.empty()) {
    std::cerr << "--out FOLDER is required\n";
    return kExitUsage;
  }
  const auto generated =
      questionnaire::Generate(ReadFile(arguments[0]), arguments[0]);
  if (std::holds_alternative<core::FindingList>(generated)) {
    std::cerr << std::get<core::FindingList>(generated).Report();
    return kExitFindings;
  }
  auto files = std::get<questionnaire::GeneratedFiles>(generated);
  const bool has_keys =
      std::filesystem::exists(std::filesystem::path(options.out) / "keys");
  if (has_keys) {
    std::cerr << options.out << "/keys exists; keeping the keys and "
              << "configuration.yaml\n";
    files.erase("configuration.yaml");
    return WriteFiles(options.out, files);
  }
  for (auto& [name, content] :
       questionnaire::GenerateKeys(files, control::SystemRandomSource())) {
    files[name] = content;
  }
  return WriteFiles(options.out, files);
}

bool StartsWith(const std::vector<std::string>& words,
                const std::vector<std::string>& start) {
  return words.size() >= start.size() &&
         std::equal(start.begin(), start.end(), words.begin());
}

std::string Joined(const std::vector<std::string>& words) {
  std::string text;
  for (const std::string& it : words) {
    text += it + " ";
  }
  return text;
}

/// Whether a command accepts `n` arguments. Names that end with "..." accept
/// any number beyond the named ones.
bool TakesArguments(const Command& command, size_t n) {
  const std::string& names = command.arguments;
  if (names.empty()) {
    return n == 0;
  }
  const auto named =
      static_cast<size_t>(std::count(names.begin(), names.end(), ' ') + 1);
  return names.ends_with("...") ? n >= named : n == named;
}

}  // namespace

const std::vector<Command>& Commands() {
  static const std::vector<Command> commands = {
      {{"status"}, "", "state of the instance", Status},
      {{"upstreams"}, "", "upstreams that the instance knows", Upstreams},
      {{"programs"},
       "",
       "programs of a zone (--zone, --organisation)",
       Programs},
      {{"metrics"},
       "",
       "latency histograms by organisation and class",
       Metrics},
      {{"members", "list"}, "", "instances and replicated groups", Members},
      {{"config", "get"}, "", "current configuration", ConfigGet},
      {{"config", "diff"},
       "FILE",
       "difference between the current configuration and FILE",
       ConfigDiff},
      {{"config", "apply"},
       "FILE",
       "apply FILE (--expect REVISION, --operation ID, --author NAME)",
       ConfigApply},
      {{"config", "history"}, "", "accepted changes", ConfigHistory},
      {{"config", "wait"},
       "REVISION",
       "wait until every live instance runs REVISION (--timeout_s)",
       ConfigWait},
      {{"settings", "check"},
       "FILE",
       "report all errors in a settings file",
       CheckSettings},
      {{"settings", "reference"},
       "",
       "reference of all settings as Markdown",
       ShowReference},
      {{"questionnaire", "new"},
       "",
       "print an empty questionnaire",
       NewQuestionnaire},
      {{"questionnaire", "generate"},
       "ANSWERS",
       "settings and first configuration from answers (--out FOLDER)",
       GenerateFiles},
      {{"policy", "compare"},
       "",
       "compare policies (--traffic, --policy A,B, --seed, --out SVG)",
       ComparePolicies},
      {{"explain"},
       "ID FILE...",
       "records about a request, program or upstream in log files (--json)",
       Explain}};
  return commands;
}

std::string Usage() {
  std::string text =
      "hawthornctl [--instance IP:PORT] [--key_file FILE] "
      "[--json] COMMAND\n\nCommands:\n";
  for (const Command& it : Commands()) {
    std::string words = "  " + Joined(it.words) + it.arguments;
    words.resize(std::max<size_t>(words.size() + 1, 36), ' ');
    text += words + it.help + "\n";
  }
  return text +
         "\nExit codes: 0 done, 1 usage, 2 findings in a file, 3 instance "
         "not reachable,\n4 refused, 5 conflict with another change, 6 "
         "timed out\n";
}

int Run(const Options& options, const std::vector<std::string>& words) {
  for (const Command& it : Commands()) {
    if (!StartsWith(words, it.words)) {
      continue;
    }
    const Arguments arguments(
        words.begin() + static_cast<ptrdiff_t>(it.words.size()), words.end());
    if (!TakesArguments(it, arguments.size())) {
      std::cerr << "usage: hawthornctl " << Joined(it.words) << it.arguments
                << "\n";
      return kExitUsage;
    }
    return it.run(options, arguments);
  }
  std::cerr << Usage();
  return kExitUsage;
}

}  // namespace hawthorn::ctl
