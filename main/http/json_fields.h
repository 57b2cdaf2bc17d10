#pragma once

#include <QJsonArray>
#include <QJsonObject>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "core/error.h"
#include "query.pb.h"

namespace hawthorn::main {

/// Typed access to the fields of a JSON object. Finish() reports all wrong and
/// unknown fields together.
class JsonFields {
 public:
  explicit JsonFields(QJsonObject object) : object_(std::move(object)) {}

  /// Text of the field, empty if the field is absent.
  std::string Text(const std::string& name);
  std::string RequiredText(const std::string& name);
  /// Integer from 0, or `absent` if the field is absent.
  int64_t Number(const std::string& name, int64_t absent);
  /// Integer from 1; the field is required.
  int64_t RequiredNumber(const std::string& name);
  bool Flag(const std::string& name);
  QJsonObject Object(const std::string& name);
  QJsonArray Array(const std::string& name);

  /// Adds an error that the caller found.
  void AddError(std::string message) { errors_.push_back(std::move(message)); }
  /// Adds the errors of a nested object.
  void AddErrors(const core::Status& nested);

  /// Error kInvalidArgument that lists all errors, or OK; `prefix` is prepended
  /// to the names of unknown fields.
  core::Status Finish(const std::string& prefix = "");

 private:
  QJsonValue Get(const std::string& name);

  QJsonObject object_;
  std::set<std::string> known_;
  std::vector<std::string> errors_;
};

/// Text form of `outcome`: "ran", "not run" or "unknown".
QString OutcomeName(schema::Outcome outcome);

/// JSON form of a program without its history.
QJsonObject SummaryObject(const schema::ProgramSummary& summary);

/// JSON form of a program and its history.
QJsonObject ProgramObject(const schema::LedgerQueryReply& reply);

}  // namespace hawthorn::main
