#include "main/ctl/table.h"

#include <algorithm>

namespace hawthorn::ctl {

namespace {

constexpr size_t kBarWidth = 40;
constexpr size_t kColumnGap = 2;

std::string CellText(const QJsonValue& value) {
  if (value.isDouble()) {
    return QString::number(value.toDouble(), 'g', 12).toStdString();
  }
  return value.toVariant().toString().toStdString();
}

std::string Padded(const std::string& text, size_t width) {
  return text + std::string(width > text.size() ? width - text.size() : 0, ' ');
}

std::string BucketName(const QJsonArray& bounds, qsizetype n) {
  if (n >= bounds.size()) {
    return "more";
  }
  return "<= " + CellText(bounds[n]) + " ms";
}

std::string DrawHistogram(const QJsonObject& histogram,
                          const QJsonArray& bounds) {
  const QJsonArray buckets = histogram["buckets"].toArray();
  int64_t largest = 1;
  for (const auto& it : buckets) {
    largest = std::max<int64_t>(largest, it.toInteger());
  }
  std::string text = histogram["organisation"].toString().toStdString() +
                     " / " + histogram["class"].toString().toStdString() +
                     "  count " + CellText(histogram["count"]) + "  mean " +
                     CellText(histogram["mean_ms"]) + " ms  p95 " +
                     CellText(histogram["p95_ms"]) + " ms\n";
  for (qsizetype n = 0; n < buckets.size(); ++n) {
    const int64_t count = buckets[n].toInteger();
    if (count == 0) {
      continue;
    }
    const size_t width =
        std::max<size_t>(1, static_cast<size_t>(count) * kBarWidth /
                                static_cast<size_t>(largest));
    text += "  " + Padded(BucketName(bounds, n), 14);
    text += std::string(width, '#') + " " + std::to_string(count) + "\n";
  }
  return text;
}

}  // namespace

std::string DrawTable(const QJsonArray& rows,
                      const std::vector<std::string>& keys) {
  std::vector<size_t> widths;
  for (const std::string& key : keys) {
    size_t width = key.size();
    for (const auto& row : rows) {
      const QJsonObject object = row.toObject();
      width =
          std::max(width, CellText(object[QString::fromStdString(key)]).size());
    }
    widths.push_back(width + kColumnGap);
  }
  std::string text;
  for (size_t n = 0; n < keys.size(); ++n) {
    text += Padded(keys[n], widths[n]);
  }
  text += "\n";
  for (const auto& row : rows) {
    const QJsonObject object = row.toObject();
    for (size_t n = 0; n < keys.size(); ++n) {
      text +=
          Padded(CellText(object[QString::fromStdString(keys[n])]), widths[n]);
    }
    text += "\n";
  }
  return text;
}

std::string DrawObject(const QJsonObject& object) {
  size_t width = 0;
  const QStringList keys = object.keys();
  for (const QString& key : keys) {
    width = std::max(width, static_cast<size_t>(key.size()) + kColumnGap);
  }
  std::string text;
  for (const QString& key : keys) {
    text += Padded(key.toStdString(), width) + CellText(object[key]) + "\n";
  }
  return text;
}

std::string DrawHistograms(const QJsonObject& metrics) {
  const QJsonArray bounds = metrics["bounds_ms"].toArray();
  std::string text;
  const QJsonArray histograms = metrics["histograms"].toArray();
  for (const auto& it : histograms) {
    text += DrawHistogram(it.toObject(), bounds);
  }
  return text.empty() ? "no calls yet\n" : text;
}

}  // namespace hawthorn::ctl
