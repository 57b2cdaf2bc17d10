#pragma once

#include <QJsonArray>
#include <QJsonObject>
#include <string>
#include <vector>

namespace hawthorn::ctl {

/// Formats the objects of `rows` as a table with one column per key.
std::string DrawTable(const QJsonArray& rows,
                      const std::vector<std::string>& keys);

/// Formats an object as lines "key  value".
std::string DrawObject(const QJsonObject& object);

/// Formats latency histograms as bars, one block per organisation and class;
/// `metrics` is the response of /v1/admin/metrics.
std::string DrawHistograms(const QJsonObject& metrics);

}  // namespace hawthorn::ctl
