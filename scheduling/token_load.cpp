#include "scheduling/token_load.h"

#include <algorithm>
#include <utility>

namespace hawthorn::scheduling {

namespace {

/// Weight of one call in the mean.
constexpr double kSmoothing = 0.05;

}  // namespace

int64_t MemoryTokensOf(const CallRequest& call) {
  return std::max<int64_t>(0, call.prompt_tokens) +
         std::max<int64_t>(0, call.max_output_tokens);
}

void TokenLoad::OnStart(CallId call, int64_t tokens) {
  const auto [it, added] = calls_.try_emplace(call, tokens);
  if (added) {
    own_ += tokens;
  }
}

void TokenLoad::OnEnd(CallId call) {
  const auto it = calls_.find(call);
  if (it != calls_.end()) {
    own_ -= it->second;
    calls_.erase(it);
  }
}

bool TokenLoad::Fits(int64_t tokens, int64_t capacity, double other_calls,
                     double mean_tokens) const {
  if (capacity <= 0) {
    return true;
  }
  if (tokens > capacity) {
    return false;
  }
  const double others = std::max(0.0, other_calls) * mean_tokens;
  return static_cast<double>(own_ + tokens) + others <=
         static_cast<double>(capacity);
}

void MeanCallTokens::Add(int64_t tokens) {
  const auto value = static_cast<double>(tokens);
  value_ = std::exchange(has_value_, true)
               ? value_ + kSmoothing * (value - value_)
               : value;
}

}  // namespace hawthorn::scheduling
