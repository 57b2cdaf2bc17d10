#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "core/error.h"
#include "scheduling/call.h"

// Traffic that the comparison replays, and the file format of recordings.
namespace hawthorn::scheduling::compare {

/// One call of a program.
struct TrafficStep {
  /// Tool pause before the call.
  std::chrono::milliseconds pause{0};
  std::string service;
  /// Prompt tokens that belong neither to the history nor to the shared prefix.
  int64_t new_prompt_tokens = 0;
  int64_t output_tokens = 0;
  /// Indexes of the programs that start when this call has ended; the next call
  /// begins only after they have ended.
  std::vector<size_t> children;

  bool operator==(const TrafficStep&) const = default;
};

/// A chain of dependent calls.
struct TrafficProgram {
  std::string id;
  std::string organisation;
  uint32_t organisation_weight = 1;
  std::string service_class;
  uint32_t class_weight = 1;
  bool interactive = false;
  /// True for a sub-agent, which a step of its parent starts.
  bool is_child = false;
  std::chrono::milliseconds start{0};
  /// Prompt prefix shared with other programs.
  PrefixSegment shared;
  std::vector<TrafficStep> steps;

  bool operator==(const TrafficProgram&) const = default;
};

/// All programs of a run.
struct Traffic {
  std::vector<TrafficProgram> programs;

  bool operator==(const Traffic&) const = default;
};

/// Content of a traffic file: one TrafficCall per line, as JSON.
std::string FormatTraffic(const Traffic& traffic);

/// Parses the content of a traffic file. The message of kInvalidArgument names
/// the line.
core::Result<Traffic> ParseTraffic(const std::string& text);

}  // namespace hawthorn::scheduling::compare
