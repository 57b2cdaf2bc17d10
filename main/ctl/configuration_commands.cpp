#include "main/ctl/configuration_commands.h"

#include <QJsonArray>
#include <QRandomGenerator>
#include <chrono>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

#include "control/operation_id.h"
#include "core/clock.h"
#include "main/ctl/operator_client.h"
#include "main/ctl/report.h"
#include "main/ctl/table.h"
#include "main/http/json.h"
#include "settings/settings.h"

namespace hawthorn::ctl {

namespace {

constexpr std::chrono::milliseconds kPollInterval{100};

std::vector<std::string> Lines(const std::string& text) {
  std::vector<std::string> lines;
  std::istringstream in(text);
  for (std::string line; std::getline(in, line);) {
    lines.push_back(line);
  }
  return lines;
}

/// Lines of `a` and `b` that are not in their longest common subsequence,
/// marked with "-" and "+".
std::string DiffLines(const std::vector<std::string>& a,
                      const std::vector<std::string>& b) {
  std::vector<std::vector<size_t>> common(a.size() + 1,
                                          std::vector<size_t>(b.size() + 1, 0));
  for (size_t i = a.size(); i-- > 0;) {
    for (size_t j = b.size(); j-- > 0;) {
      common[i][j] = a[i] == b[j]
                         ? common[i + 1][j + 1] + 1
                         : std::max(common[i + 1][j], common[i][j + 1]);
    }
  }
  std::string text;
  size_t i = 0;
  size_t j = 0;
  while (i < a.size() || j < b.size()) {
    if (i < a.size() && j < b.size() && a[i] == b[j]) {
      ++i;
      ++j;
    } else if (j == b.size() ||
               (i < a.size() && common[i + 1][j] >= common[i][j + 1])) {
      text += "- " + a[i++] + "\n";
    } else {
      text += "+ " + b[j++] + "\n";
    }
  }
  return text;
}

/// The configuration file as canonical YAML; none after reporting an error.
std::optional<std::string> ReadConfiguration(const std::string& path) {
  const auto parsed = settings::LoadConfiguration(path);
  if (std::holds_alternative<core::FindingList>(parsed)) {
    std::cerr << std::get<core::FindingList>(parsed).Report();
    return std::nullopt;
  }
  return settings::ConfigurationToYaml(std::get<schema::Configuration>(parsed));
}

/// Names of the live instances whose revision is older.
std::string Behind(const QJsonObject& members, int64_t revision) {
  std::string names;
  const QJsonArray instances = members["instances"].toArray();
  for (const auto& it : instances) {
    const QJsonObject instance = it.toObject();
    const bool alive = instance["state"].toString() == "alive";
    if (alive && instance["revision"].toInteger() < revision) {
      names += " " + instance["instance"].toString().toStdString();
    }
  }
  return names;
}

}  // namespace

int ConfigGet(const Options& options, const std::vector<std::string>&) {
  OperatorClient client(options.instance, options.key);
  const auto result = client.Get("/v1/admin/config");
  if (!core::IsOk(result)) {
    return Report(core::ErrorOf(result));
  }
  const QJsonObject& object = core::Value(result);
  if (options.json) {
    std::cout << main::ToJson(object) << "\n";
    return kExitOk;
  }
  std::cout << "# revision " << object["revision"].toInteger() << " by "
            << object["author"].toString().toStdString() << "\n"
            << object["yaml"].toString().toStdString();
  return kExitOk;
}

int ConfigDiff(const Options& options,
               const std::vector<std::string>& arguments) {
  const auto wanted = ReadConfiguration(arguments[0]);
  if (!wanted) {
    return kExitFindings;
  }
  OperatorClient client(options.instance, options.key);
  const auto result = client.Get("/v1/admin/config");
  if (!core::IsOk(result)) {
    return Report(core::ErrorOf(result));
  }
  const std::string current =
      core::Value(result)["yaml"].toString().toStdString();
  std::cout << DiffLines(Lines(current), Lines(*wanted));
  return kExitOk;
}

int ConfigApply(const Options& options,
                const std::vector<std::string>& arguments) {
  const auto wanted = ReadConfiguration(arguments[0]);
  if (!wanted) {
    return kExitFindings;
  }
  OperatorClient client(options.instance, options.key);
  int64_t expected = options.expect;
  if (expected < 0) {
    const auto current = client.Get("/v1/admin/config");
    if (!core::IsOk(current)) {
      return Report(core::ErrorOf(current));
    }
    expected = core::Value(current)["revision"].toInteger();
  }
  // With the same id, a retry gets the result of the first request.
  const std::string operation =
      options.operation.empty()
          ? control::MakeOperationId(core::SystemClock().WallNow(),
                                     QRandomGenerator::system()->generate64())
          : options.operation;
  const auto result =
      client.Post("/v1/admin/config/apply",
                  {{"expected", static_cast<qint64>(expected)},
                   {"author", QString::fromStdString(options.author)},
                   {"operation", QString::fromStdString(operation)},
                   {"yaml", QString::fromStdString(*wanted)}});
  if (!core::IsOk(result)) {
    return Report(core::ErrorOf(result));
  }
  std::cout << "revision " << core::Value(result)["revision"].toInteger()
            << "\n";
  return kExitOk;
}

int ConfigHistory(const Options& options, const std::vector<std::string>&) {
  OperatorClient client(options.instance, options.key);
  const auto result = client.Get("/v1/admin/config/history");
  if (!core::IsOk(result)) {
    return Report(core::ErrorOf(result));
  }
  std::cout << (options.json
                    ? main::ToJson(core::Value(result)) + "\n"
                    : DrawTable(
                          core::Value(result)["history"].toArray(),
                          {"revision", "author", "operation", "wall_ms"}));
  return kExitOk;
}

int ConfigWait(const Options& options,
               const std::vector<std::string>& arguments) {
  const int64_t revision = std::strtoll(arguments[0].c_str(), nullptr, 10);
  OperatorClient client(options.instance, options.key);
  const auto end = std::chrono::steady_clock::now() +
                   std::chrono::seconds(options.timeout_s);
  std::string behind;
  while (std::chrono::steady_clock::now() < end) {
    const auto members = client.Get("/v1/admin/members");
    if (!core::IsOk(members)) {
      return Report(core::ErrorOf(members));
    }
    behind = Behind(core::Value(members), revision);
    if (behind.empty()) {
      std::cout << "revision " << revision << " runs on all live instances\n";
      return kExitOk;
    }
    std::cerr << "\rwaiting for" << behind << std::flush;
    std::this_thread::sleep_for(kPollInterval);
  }
  std::cerr << "\nolder revision at" << behind << "\n";
  return kExitTimeout;
}

}  // namespace hawthorn::ctl
