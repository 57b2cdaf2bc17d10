#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <string>

// Fencing tokens: increasing numbers by which a resource can refuse a former
// lease holder.
namespace hawthorn::membership {

/// Number that increases with each grant of a lease. A renewal keeps it.
class FencingToken {
 public:
  FencingToken() = default;
  explicit FencingToken(uint64_t number) : number_(number) {}

  uint64_t number() const { return number_; }
  auto operator<=>(const FencingToken&) const = default;

 private:
  uint64_t number_ = 0;
};

/// Source of increasing tokens. The granter of the lease keeps its state, which
/// must survive a restart, for example in a replicated state machine.
class FencingCounter {
 public:
  FencingCounter() = default;
  /// Continues after `last`.
  explicit FencingCounter(FencingToken last) : last_(last) {}

  /// Returns a token higher than all earlier ones.
  FencingToken Next();
  FencingToken last() const { return last_; }

 private:
  FencingToken last_;
};

/// Check of fencing tokens in a protected resource.
class FencingGuard {
 public:
  /// Returns whether an order with `token` is admitted for `resource`: it is
  /// unless a higher token was admitted before.
  bool Admit(const std::string& resource, FencingToken token);

  /// Highest token that was admitted for `resource`.
  FencingToken HighestOf(const std::string& resource) const;

 private:
  std::map<std::string, FencingToken> highest_;
};

}  // namespace hawthorn::membership
