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

/// Typed reading of a JSON object. Every wrong or unknown field is collected
/// and reported together by Finish().
class JsonFields {
 public:
  explicit JsonFields(QJsonObject object) : object_(std::move(object)) {}

  /// Text or an empty one if the field is absent.
  std::string Text(const std::string& name);
  std::string RequiredText(const std::string& name);
  /// Whole number from 0, or `absent` if the field is absent.
  int64_t Number(const std::string& name, int64_t absent);
  /// Whole number from 1; it must be there.
  int64_t Required(const std::string& name);
  bool Flag(const std::string& name);
  QJsonObject Object(const std::string& name);
  QJsonArray Array(const std::string& name);

  /// Adds a finding of the caller.
  void Fault(std::string message) { faults_.push_back(std::move(message)); }
  /// Adds the findings of a nested object.
  void Take(const core::Status& nested);

  /// Error kInvalidArgument that lists every finding; `prefix` stands before
  /// the names of unknown fields.
  core::Status Finish(const std::string& prefix = "");

 private:
  QJsonValue Get(const std::string& name);

  QJsonObject object_;
  std::set<std::string> known_;
  std::vector<std::string> faults_;
};

/// Text form of `outcome`: "ran", "not run" or "unknown".
QString OutcomeName(schema::Outcome outcome);

/// JSON form of a program without its history.
QJsonObject SummaryObject(const schema::ProgramSummary& summary);

/// JSON form of a program and its history.
QJsonObject ProgramObject(const schema::LedgerQueryReply& reply);

}  // namespace hawthorn::main
