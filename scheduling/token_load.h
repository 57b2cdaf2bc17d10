#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include "scheduling/call.h"

namespace hawthorn::scheduling {

/// Tokens of memory that a call occupies at an upstream at most: its prompt and
/// all that it may generate. Parts of the prompt that calls share count for
/// each of them, as the upstream may hold them twice.
int64_t MemoryTokensOf(const CallRequest& call);

/// Tokens that the calls of this instance occupy in the memory of an upstream.
class TokenLoad {
 public:
  void OnStart(CallId call, int64_t tokens);
  void OnEnd(CallId call);

  /// Tokens of this instance's calls.
  int64_t own() const { return own_; }
  /// Whether a call of `tokens` fits into `capacity` beside these and the calls
  /// of other instances, which are known only by an estimate of their number.
  /// A capacity of 0 is unlimited.
  bool Fits(int64_t tokens, int64_t capacity, double other_calls,
            double mean_tokens) const;

 private:
  std::unordered_map<CallId, int64_t> calls_;
  int64_t own_ = 0;
};

/// Mean memory of a call, over the calls that this instance has sent.
class MeanCallTokens {
 public:
  void Add(int64_t tokens);
  double value() const { return value_; }

 private:
  double value_ = 0;
  bool has_value_ = false;
};

}  // namespace hawthorn::scheduling
