#include "scheduling/compare/compare_format.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace hawthorn::scheduling::compare {
namespace {

constexpr double kPlotWidth = 720;
constexpr double kPlotHeight = 400;
constexpr double kMargin = 50;
constexpr size_t kPlotPoints = 200;
constexpr std::array<const char*, 6> kColours = {
    "#1f77b4", "#d62728", "#2ca02c", "#9467bd", "#ff7f0e", "#8c564b"};

std::string FormatRange(const Spread& spread) {
  return absl::StrFormat("%.2f [%.2f-%.2f]", spread.mean, spread.min,
                         spread.max);
}

std::string JsonSpread(const char* name, const Spread& spread) {
  return absl::StrFormat("\"%s\":{\"mean\":%.6g,\"min\":%.6g,\"max\":%.6g}",
                         name, spread.mean, spread.min, spread.max);
}

std::string JsonRow(const CompareRow& row) {
  std::string out =
      absl::StrFormat("{\"load\":%.4g,\"policy\":\"%s\"", row.load, row.policy);
  const std::array<std::pair<const char*, const Spread*>, 14> spreads = {{
      {"mean_seconds", &row.mean_seconds},
      {"p95_seconds", &row.p95_seconds},
      {"mean_stretch", &row.mean_stretch},
      {"p95_stretch", &row.p95_stretch},
      {"goodput", &row.goodput},
      {"wasted_engine_seconds", &row.wasted_engine_seconds},
      {"idle_token_seconds", &row.idle_token_seconds},
      {"prefilled_again", &row.prefilled_again},
      {"hit_rate", &row.hit_rate},
      {"failed_share", &row.failed_share},
      {"quote_p95_seconds", &row.quote_p95_seconds},
      {"mean_ratio", &row.mean_ratio},
      {"p95_ratio", &row.p95_ratio},
      {"waste_ratio", &row.waste_ratio},
  }};
  for (const auto& [name, spread] : spreads) {
    absl::StrAppend(&out, ",", JsonSpread(name, *spread));
  }
  absl::StrAppend(&out, ",\"programs\":", row.programs,
                  ",\"failed_attempts\":", row.failed_attempts,
                  ",\"fault_events\":", row.fault_events,
                  ",\"refused\":", row.refused, "}");
  return out;
}

/// Points of the cumulative distribution for an SVG polyline; the time axis is
/// logarithmic.
std::string PlotLine(const std::vector<double>& sorted, double low,
                     double high) {
  std::string points;
  for (size_t n = 0; n <= kPlotPoints; ++n) {
    const double q = static_cast<double>(n) / kPlotPoints;
    const double seconds = std::max(low, Quantile(sorted, q));
    const double x = std::log(seconds / low) / std::log(high / low);
    absl::StrAppendFormat(&points, "%.1f,%.1f ", kMargin + x * kPlotWidth,
                          kMargin + (1 - q) * kPlotHeight);
  }
  return points;
}

std::string PlotAxes(double low, double high) {
  std::string out = absl::StrFormat(
      "<rect x=\"%g\" y=\"%g\" width=\"%g\" height=\"%g\" fill=\"none\" "
      "stroke=\"#444\"/>\n",
      kMargin, kMargin, kPlotWidth, kPlotHeight);
  for (double tick = std::pow(10, std::ceil(std::log10(low))); tick <= high;
       tick *= 10) {
    const double x =
        kMargin + std::log(tick / low) / std::log(high / low) * kPlotWidth;
    absl::StrAppendFormat(
        &out,
        "<line x1=\"%g\" y1=\"%g\" x2=\"%g\" y2=\"%g\" stroke=\"#ccc\"/>"
        "<text x=\"%g\" y=\"%g\">%g s</text>\n",
        x, kMargin, x, kMargin + kPlotHeight, x - 8, kMargin + kPlotHeight + 16,
        tick);
  }
  absl::StrAppendFormat(&out,
                        "<text x=\"4\" y=\"%g\">100 %%</text>"
                        "<text x=\"4\" y=\"%g\">0 %%</text>\n",
                        kMargin + 4, kMargin + kPlotHeight);
  return out;
}

}  // namespace

std::string FormatTable(const CompareReport& report) {
  std::string out = absl::StrFormat(
      "profile %s, fault %s, capacity %.3f programs/s\n"
      "%-5s %-18s %8s %8s %7s %7s %8s %6s %9s %6s %8s  %-18s %-18s %-18s\n",
      report.profile, report.fault, report.capacity, "load", "policy", "mean s",
      "p95 s", "stretch", "p95", "goodput", "hits", "waste s", "fail%",
      "quote95", "mean ratio", "p95 ratio", "waste ratio");
  for (const CompareRow& row : report.rows) {
    absl::StrAppendFormat(
        &out,
        "%-5.2f %-18s %8.2f %8.2f %7.2f %7.2f %8.3f %6.2f %9.0f %6.2f %8.2f  "
        "%-18s %-18s %-18s\n",
        row.load, row.policy, row.mean_seconds.mean, row.p95_seconds.mean,
        row.mean_stretch.mean, row.p95_stretch.mean, row.goodput.mean,
        row.hit_rate.mean, row.wasted_engine_seconds.mean,
        100 * row.failed_share.mean, row.quote_p95_seconds.mean,
        FormatRange(row.mean_ratio), FormatRange(row.p95_ratio),
        FormatRange(row.waste_ratio));
  }
  for (const CompareRow& row : report.rows) {
    absl::StrAppendFormat(
        &out,
        "%-5.2f %-18s programs %d, attempts failed %d, faults met %d, refused "
        "%d, goodput %s, idle %s Mtoken s, prefilled again %s Mtoken\n",
        row.load, row.policy, row.programs, row.failed_attempts,
        row.fault_events, row.refused, FormatRange(row.goodput),
        absl::StrFormat("%.1f", row.idle_token_seconds.mean / 1e6),
        absl::StrFormat("%.2f", row.prefilled_again.mean / 1e6));
  }
  return out;
}

std::string FormatJson(const CompareReport& report) {
  std::string out = absl::StrFormat(
      "{\"profile\":\"%s\",\"fault\":\"%s\",\"capacity\":%.6g,\"rows\":[",
      report.profile, report.fault, report.capacity);
  for (size_t n = 0; n < report.rows.size(); ++n) {
    absl::StrAppend(&out, n == 0 ? "" : ",", JsonRow(report.rows[n]));
  }
  return out + "]}\n";
}

std::string FormatSvg(const CompareReport& report) {
  double low = 1;
  double high = 10;
  for (const CompareRow& row : report.rows) {
    if (!row.latencies.empty()) {
      low = std::min(low, std::max(0.01, row.latencies.front()));
      high = std::max(high, row.latencies.back());
    }
  }
  std::string out = absl::StrFormat(
      "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%g\" height=\"%g\" "
      "font-family=\"sans-serif\" font-size=\"12\">\n"
      "<text x=\"%g\" y=\"24\">Program latency, %s, fault %s: part of the "
      "programs that ended</text>\n",
      kPlotWidth + 2 * kMargin, kPlotHeight + 2 * kMargin, kMargin,
      report.profile, report.fault);
  out += PlotAxes(low, high);
  for (size_t n = 0; n < report.rows.size(); ++n) {
    const CompareRow& row = report.rows[n];
    const char* colour = kColours[n % kColours.size()];
    absl::StrAppendFormat(&out,
                          "<polyline fill=\"none\" stroke=\"%s\" "
                          "points=\"%s\"/>\n",
                          colour, PlotLine(row.latencies, low, high));
    absl::StrAppendFormat(&out,
                          "<text x=\"%g\" y=\"%g\" fill=\"%s\">%s at load "
                          "%.2f</text>\n",
                          kMargin + 10,
                          kMargin + 18 + 16 * static_cast<double>(n), colour,
                          row.policy, row.load);
  }
  return out + "</svg>\n";
}

}  // namespace hawthorn::scheduling::compare
