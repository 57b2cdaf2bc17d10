#include "main/ctl/explain_command.h"

#include <QJsonDocument>
#include <QJsonObject>
#include <algorithm>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <optional>

namespace hawthorn::ctl {

namespace {

struct Record {
  std::string time;
  QJsonObject fields;
  std::string message;
};

/// Record in a log line. Log collectors may prepend text to the JSON object.
std::optional<Record> Parse(const std::string& line) {
  const size_t start = line.find('{');
  if (start == std::string::npos) {
    return std::nullopt;
  }
  const QJsonObject object =
      QJsonDocument::fromJson(QByteArray::fromStdString(line.substr(start)))
          .object();
  if (object.isEmpty()) {
    return std::nullopt;
  }
  return Record{object.value("timestamp").toString().toStdString(),
                object.value("context_map").toObject(),
                object.value("message").toString().toStdString()};
}

bool IsAbout(const Record& record, const std::string& id) {
  for (const char* field : {"request", "program", "upstream", "machine"}) {
    if (record.fields.value(QLatin1String(field)).toString().toStdString() ==
        id) {
      return true;
    }
  }
  return false;
}

void Print(const Record& record, bool json) {
  if (json) {
    QJsonObject out = record.fields;
    out.insert("time", QString::fromStdString(record.time));
    out.insert("message", QString::fromStdString(record.message));
    std::cout << QJsonDocument(out).toJson(QJsonDocument::Compact).toStdString()
              << "\n";
    return;
  }
  std::cout << record.time << "  " << record.message;
  for (auto it = record.fields.begin(); it != record.fields.end(); ++it) {
    const std::string value = it.value().toString().toStdString();
    if (!value.empty()) {
      std::cout << "  " << it.key().toStdString() << "=" << value;
    }
  }
  std::cout << "\n";
}

}  // namespace

int Explain(const Options& options, const std::vector<std::string>& arguments) {
  if (arguments.size() < 2) {
    std::cerr << "explain needs an id and at least one log file\n";
    return kExitUsage;
  }
  std::vector<Record> records;
  for (size_t n = 1; n < arguments.size(); ++n) {
    std::ifstream in(arguments[n]);
    if (!in) {
      std::cerr << arguments[n] << ": cannot be read\n";
      return kExitFindings;
    }
    for (std::string line; std::getline(in, line);) {
      if (line.find(arguments[0]) == std::string::npos) {
        continue;
      }
      std::optional<Record> record = Parse(line);
      if (record && IsAbout(*record, arguments[0])) {
        records.push_back(std::move(*record));
      }
    }
  }
  std::stable_sort(
      records.begin(), records.end(),
      [](const Record& a, const Record& b) { return a.time < b.time; });
  for (const Record& record : records) {
    Print(record, options.json);
  }
  if (records.empty()) {
    std::cerr << "no records found for " << arguments[0] << "\n";
    return kExitRefused;
  }
  return kExitOk;
}

}  // namespace hawthorn::ctl
