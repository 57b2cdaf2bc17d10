#include "scheduling/compare/traffic_profile.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cmath>
#include <random>

namespace hawthorn::scheduling::compare {
namespace {

using std::chrono::milliseconds;

constexpr size_t kShops = 30;
constexpr uint64_t kAssistantPrompt = 1;
constexpr uint64_t kCatalogPrompt = 1000;
constexpr uint64_t kBriefPrompt = 2000;
constexpr int64_t kAssistantPromptTokens = 1500;

/// Generates the programs of a Traffic.
class Generator {
 public:
  explicit Generator(uint64_t seed) : random_(seed) {}

  Traffic Take() { return std::move(traffic_); }

  double Exponential(double mean) {
    return std::exponential_distribution<double>(1 / mean)(random_);
  }

  void AddQuetzal(milliseconds start) {
    TrafficProgram program = MakeProgram(start, "chat", true);
    program.organisation = "quetzal";
    program.shared = {kAssistantPrompt, kAssistantPromptTokens};
    const bool is_long = Chance(0.25);
    program.service_class = is_long ? "long-chat" : "short-chat";
    const int64_t turns = is_long ? Between(12, 30) : Between(3, 6);
    for (int64_t n = 0; n < turns; ++n) {
      AddModelStep(program, "asistente", {80, is_long ? 900 : 300}, {40, 250});
      if (Chance(0.3)) {
        AddPlainStep(program, "reservas");
      }
    }
    const size_t parent = AddProgram(std::move(program));
    if (is_long && Chance(0.3)) {
      AddSubAgents(parent, Between(1, 3));
    }
  }

  void AddPeachtree(milliseconds start) {
    const double kind = std::uniform_real_distribution<double>(0, 1)(random_);
    const size_t shop = RandomShop();
    if (kind < 0.45) {
      AddQuote(start, shop);
    } else if (kind < 0.65) {
      AddDraft(start, shop);
    } else {
      AddLookup(start, shop);
    }
  }

  void AddDraft(milliseconds start, size_t shop) {
    TrafficProgram program = MakeProgram(start, "draft", false);
    program.organisation = absl::StrCat("shop-", shop);
    program.shared = {kBriefPrompt + shop,
                      10000 + static_cast<int64_t>(shop % 6) * 2000};
    const int64_t turns = Between(6, 14);
    for (int64_t n = 0; n < turns; ++n) {
      AddModelStep(program, "model-pool", {150, 800}, {200, 600});
    }
    AddProgram(std::move(program));
  }

 private:
  struct Range {
    int64_t low;
    int64_t high;
  };

  TrafficProgram MakeProgram(milliseconds start,
                             const std::string& service_class,
                             bool interactive) {
    TrafficProgram program;
    program.id = absl::StrCat(service_class, "-", traffic_.programs.size());
    program.service_class = service_class;
    program.interactive = interactive;
    program.class_weight = interactive ? 4 : 1;
    program.start = start;
    return program;
  }

  size_t AddProgram(TrafficProgram program) {
    program.steps.front().pause = milliseconds(0);
    traffic_.programs.push_back(std::move(program));
    return traffic_.programs.size() - 1;
  }

  bool Chance(double p) { return std::bernoulli_distribution(p)(random_); }

  int64_t Between(int64_t low, int64_t high) {
    return std::uniform_int_distribution<int64_t>(low, high)(random_);
  }

  /// Random shop; shops with a lower index get more traffic.
  size_t RandomShop() {
    const double u = std::uniform_real_distribution<double>(0, 1)(random_);
    return std::min(kShops - 1, static_cast<size_t>(u * u * kShops));
  }

  /// Random tool pause. Most tools return within a second; one in twenty takes
  /// several seconds.
  milliseconds RandomPause() {
    if (Chance(0.05)) {
      return milliseconds(Between(4000, 15000));
    }
    return milliseconds(static_cast<int64_t>(100 + Exponential(500)));
  }

  void AddModelStep(TrafficProgram& program, const std::string& service,
                    Range prompt, Range output) {
    TrafficStep step;
    step.pause = RandomPause();
    step.service = service;
    step.new_prompt_tokens = Between(prompt.low, prompt.high);
    step.output_tokens = Between(output.low, output.high);
    program.steps.push_back(std::move(step));
  }

  void AddPlainStep(TrafficProgram& program, const std::string& service) {
    TrafficStep step;
    step.service = service;
    step.output_tokens = Between(10, 60);
    program.steps.push_back(std::move(step));
  }

  void AddSubAgents(size_t parent, int64_t count) {
    const size_t step = traffic_.programs[parent].steps.size() / 2;
    const milliseconds start = traffic_.programs[parent].start;
    for (int64_t n = 0; n < count; ++n) {
      TrafficProgram child = MakeProgram(start, "travel", true);
      child.organisation = traffic_.programs[parent].organisation;
      child.is_child = true;
      child.shared = {kAssistantPrompt, kAssistantPromptTokens};
      const int64_t turns = Between(2, 4);
      for (int64_t turn = 0; turn < turns; ++turn) {
        AddModelStep(child, "asistente", {200, 800}, {60, 200});
      }
      const size_t index = AddProgram(std::move(child));
      traffic_.programs[parent].steps[step].children.push_back(index);
    }
  }

  void AddQuote(milliseconds start, size_t shop) {
    TrafficProgram program = MakeProgram(start, "quote", true);
    program.organisation = absl::StrCat("shop-", shop);
    program.shared = {kCatalogPrompt + shop,
                      3000 + static_cast<int64_t>(shop % 4) * 1000};
    const int64_t turns = Between(3, 7);
    for (int64_t n = 0; n < turns; ++n) {
      AddModelStep(program, "model-pool", {100, 400}, {50, 200});
    }
    AddPlainStep(program, "shop-app");
    AddProgram(std::move(program));
  }

  void AddLookup(milliseconds start, size_t shop) {
    TrafficProgram program = MakeProgram(start, "lookup", true);
    program.organisation = absl::StrCat("shop-", shop);
    program.shared = {kCatalogPrompt + shop,
                      3000 + static_cast<int64_t>(shop % 4) * 1000};
    AddModelStep(program, "model-pool", {60, 150}, {20, 60});
    AddPlainStep(program, "shop-app");
    AddModelStep(program, "model-pool", {100, 300}, {40, 120});
    AddProgram(std::move(program));
  }

  std::mt19937_64 random_;
  Traffic traffic_;
};

EngineSettings PlainEngine() {
  EngineSettings engine;
  engine.max_running = 16;
  engine.cache_tokens = 0;
  engine.step_base = std::chrono::microseconds(5000);
  engine.step_per_sequence = std::chrono::microseconds(20);
  engine.prefill_per_token = std::chrono::nanoseconds(0);
  return engine;
}

}  // namespace

std::vector<Profile> Profiles() {
  Profile quetzal;
  quetzal.name = "quetzal";
  quetzal.latency_weight = 0.9;
  quetzal.services = {{"asistente", 8, EngineSettings()},
                      {"reservas", 4, PlainEngine()}};
  Profile peachtree;
  peachtree.name = "peachtree";
  peachtree.latency_weight = 0.3;
  peachtree.services = {{"model-pool", 9, EngineSettings()},
                        {"shop-app", 6, PlainEngine()}};
  return {quetzal, peachtree};
}

Traffic GenerateTraffic(const Profile& profile, double programs_per_second,
                        milliseconds duration, uint64_t seed) {
  Generator generator(seed);
  const double end = static_cast<double>(duration.count());
  const double gap = 1000 / programs_per_second;
  for (double at = generator.Exponential(gap); at < end;
       at += generator.Exponential(gap)) {
    const milliseconds start(static_cast<int64_t>(at));
    if (profile.name == "quetzal") {
      generator.AddQuetzal(start);
    } else {
      generator.AddPeachtree(start);
    }
  }
  return generator.Take();
}

void AddDraftingFlood(Traffic& traffic, double programs_per_second,
                      milliseconds begin, milliseconds end, uint64_t seed) {
  Generator generator(seed);
  const double gap = 1000 / programs_per_second;
  for (double at = static_cast<double>(begin.count());
       at < static_cast<double>(end.count());
       at += generator.Exponential(gap)) {
    generator.AddDraft(milliseconds(static_cast<int64_t>(at)), kShops);
  }
  for (TrafficProgram& program : generator.Take().programs) {
    program.id = absl::StrCat("flood-", program.id);
    program.service_class = "flood-draft";
    traffic.programs.push_back(std::move(program));
  }
}

}  // namespace hawthorn::scheduling::compare
