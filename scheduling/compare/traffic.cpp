#include "scheduling/compare/traffic.h"

#include <absl/strings/str_cat.h>
#include <google/protobuf/util/json_util.h>

#include <algorithm>
#include <map>
#include <sstream>

#include "schema/generated/traffic.pb.h"

namespace hawthorn::scheduling::compare {
namespace {

using schema::TrafficCall;

core::Error InvalidLine(size_t line, const std::string& reason) {
  core::Error error;
  error.code = core::ErrorCode::kInvalidArgument;
  error.message = absl::StrCat("traffic line ", line, ": ", reason);
  return error;
}

void AppendCall(const TrafficCall& call, std::string& out) {
  std::string line;
  const auto status = google::protobuf::util::MessageToJsonString(call, &line);
  if (status.ok()) {
    out += line;
    out += '\n';
  }
}

/// Writes a program and its children in the order of their calls. The arrival
/// times of later calls assume that calls take no time to serve.
void AppendProgram(const Traffic& traffic, size_t index,
                   const std::string& parent, int64_t arrival_ms,
                   std::string& out) {
  const TrafficProgram& program = traffic.programs[index];
  for (size_t n = 0; n < program.steps.size(); ++n) {
    const TrafficStep& step = program.steps[n];
    arrival_ms += step.pause.count();
    TrafficCall call;
    call.set_program(program.id);
    call.set_parent(parent);
    call.set_organisation(program.organisation);
    call.set_organisation_weight(program.organisation_weight);
    call.set_service_class(program.service_class);
    call.set_class_weight(program.class_weight);
    call.set_interactive(program.interactive);
    call.set_service(step.service);
    call.set_arrival_ms(arrival_ms);
    call.set_pause_ms(n == 0 ? 0 : step.pause.count());
    call.set_new_prompt_tokens(step.new_prompt_tokens);
    call.set_output_tokens(step.output_tokens);
    call.set_shared_prefix(program.shared.hash);
    call.set_shared_prefix_tokens(program.shared.tokens);
    AppendCall(call, out);
    for (const size_t child : step.children) {
      AppendProgram(traffic, child, program.id, arrival_ms, out);
    }
  }
}

/// Groups the calls of a recording into programs.
class TrafficBuilder {
 public:
  /// Adds a call. Returns an error message if the call is invalid, else an
  /// empty string.
  std::string Add(const TrafficCall& call) {
    if (call.program().empty() || call.service().empty()) {
      return "program and service are required";
    }
    if (call.new_prompt_tokens() < 0 || call.output_tokens() < 0 ||
        call.pause_ms() < 0 || call.shared_prefix_tokens() < 0) {
      return "tokens and pauses must not be negative";
    }
    const auto [it, added] =
        index_.try_emplace(call.program(), traffic_.programs.size());
    if (added) {
      if (!call.parent().empty() && !index_.contains(call.parent())) {
        index_.erase(it);
        return absl::StrCat("parent \"", call.parent(),
                            "\" has no call on an earlier line");
      }
      Start(call, it->second);
    }
    TrafficStep step;
    step.pause = std::chrono::milliseconds(call.pause_ms());
    step.service = call.service();
    step.new_prompt_tokens = call.new_prompt_tokens();
    step.output_tokens = call.output_tokens();
    traffic_.programs[it->second].steps.push_back(std::move(step));
    return "";
  }

  Traffic Take() { return std::move(traffic_); }

 private:
  void Start(const TrafficCall& call, size_t index) {
    TrafficProgram program;
    program.id = call.program();
    program.organisation = call.organisation();
    program.organisation_weight = call.organisation_weight();
    program.service_class = call.service_class();
    program.class_weight = call.class_weight();
    program.interactive = call.interactive();
    program.is_child = !call.parent().empty();
    program.start = std::chrono::milliseconds(call.arrival_ms());
    program.shared = {call.shared_prefix(), call.shared_prefix_tokens()};
    traffic_.programs.push_back(std::move(program));
    if (!call.parent().empty()) {
      TrafficProgram& parent = traffic_.programs[index_[call.parent()]];
      parent.steps.back().children.push_back(index);
    }
  }

  Traffic traffic_;
  std::map<std::string, size_t> index_;
};

}  // namespace

std::string FormatTraffic(const Traffic& traffic) {
  std::string out;
  for (size_t n = 0; n < traffic.programs.size(); ++n) {
    if (!traffic.programs[n].is_child) {
      AppendProgram(traffic, n, "", traffic.programs[n].start.count(), out);
    }
  }
  return out;
}

core::Result<Traffic> ParseTraffic(const std::string& text) {
  TrafficBuilder builder;
  std::istringstream lines(text);
  std::string line;
  for (size_t number = 1; std::getline(lines, line); ++number) {
    if (line.empty()) {
      continue;
    }
    TrafficCall call;
    const auto status =
        google::protobuf::util::JsonStringToMessage(line, &call);
    if (!status.ok()) {
      return InvalidLine(number, "not a TrafficCall as JSON");
    }
    const std::string reason = builder.Add(call);
    if (!reason.empty()) {
      return InvalidLine(number, reason);
    }
  }
  return builder.Take();
}

}  // namespace hawthorn::scheduling::compare
