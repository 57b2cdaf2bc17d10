#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "core/error.h"
#include "scheduling/call.h"

// Traffic as the comparison replays it, and the file format of recordings.
namespace hawthorn::scheduling::compare {

/// One call of a program.
struct TrafficStep {
  /// Tool pause before the call.
  std::chrono::milliseconds pause{0};
  std::string service;
  /// Prompt tokens that are neither history nor shared.
  int64_t new_prompt_tokens = 0;
  int64_t output_tokens = 0;
  /// Programs, by index, that start when this call has ended and end before
  /// the next one begins.
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
  /// True for a sub-agent; it starts with its parent's step.
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

/// Text of a traffic file: one TrafficCall a line, as JSON.
std::string FormatTraffic(const Traffic& traffic);

/// Reads the text of a traffic file. Error kInvalidArgument names the line.
core::Result<Traffic> ParseTraffic(const std::string& text);

}  // namespace hawthorn::scheduling::compare
