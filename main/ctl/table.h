#pragma once

#include <QJsonArray>
#include <QJsonObject>
#include <string>
#include <vector>

namespace hawthorn::ctl {

/// Draws the objects of `rows` as a table with one column for each key.
std::string DrawTable(const QJsonArray& rows,
                      const std::vector<std::string>& keys);

/// Draws one object as lines "key  value".
std::string DrawObject(const QJsonObject& object);

/// Draws latency histograms as bars, one block for each organisation and
/// class; `metrics` is the answer of /v1/admin/metrics.
std::string DrawHistograms(const QJsonObject& metrics);

}  // namespace hawthorn::ctl
