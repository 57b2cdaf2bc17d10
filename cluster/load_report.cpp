#include "cluster/load_report.h"

#include <algorithm>
#include <utility>

#include "logging/log.h"

namespace hawthorn::cluster {

void LoadReport::OnCommit(std::chrono::nanoseconds latency) {
  ++commits_;
  longest_commit_ = std::max(longest_commit_, latency);
}

void LoadReport::OnLoopDelay(std::chrono::nanoseconds delay) {
  longest_delay_ = std::max(longest_delay_, delay);
}

void LoadReport::Write(const Figures& figures, core::TimePoint now) {
  next_ = now + kInterval;
  const Figures last = std::exchange(last_, figures);
  const auto milliseconds = [](std::chrono::nanoseconds time) {
    return std::to_string(
        std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
  };
  const auto grown = [](uint64_t before, uint64_t after) {
    return std::to_string(after - before);
  };
  const control::ApplyCounts& from = last.applied;
  const control::ApplyCounts& to = figures.applied;
  if (to != from || figures.uncommitted > 0) {
    logging::Log(
        logging::LogLevel::kInfo, "group load",
        {{"leads", figures.leads ? "true" : "false"},
         {"applied", grown(from.commands, to.commands)},
         {"applied_bytes", grown(from.bytes, to.bytes)},
         {"claims", grown(from.claims, to.claims)},
         {"repeated_claims", grown(from.repeated_claims, to.repeated_claims)},
         {"settlements", grown(from.settlements, to.settlements)},
         {"repeated_settlements",
          grown(from.repeated_settlements, to.repeated_settlements)},
         {"uncommitted", std::to_string(figures.uncommitted)},
         {"commits", std::to_string(commits_)},
         {"longest_commit_ms", milliseconds(longest_commit_)},
         {"abandoned", grown(last.abandoned, figures.abandoned)},
         {"refused", grown(last.refused, figures.refused)},
         {"longest_delay_ms", milliseconds(longest_delay_)},
         {"messages_in",
          grown(last.links.messages_in, figures.links.messages_in)},
         {"bytes_in", grown(last.links.bytes_in, figures.links.bytes_in)},
         {"bytes_out", grown(last.links.bytes_out, figures.links.bytes_out)},
         {"links_opened",
          grown(last.links.links_opened, figures.links.links_opened)},
         {"watchers", std::to_string(figures.watchers)},
         {"watches_added", grown(last.watches_added, figures.watches_added)},
         {"tables_sent", grown(last.tables_sent, figures.tables_sent)}});
  }
  longest_commit_ = {};
  longest_delay_ = {};
  commits_ = 0;
}

}  // namespace hawthorn::cluster
