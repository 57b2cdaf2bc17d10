#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <string>

// Fencing tokens: numbers that let a resource refuse a former lease holder.
namespace hawthorn::membership {

/// Number that rises with each grant of a lease.
class FencingToken {
 public:
  FencingToken() = default;
  explicit FencingToken(uint64_t number) : number_(number) {}

  uint64_t number() const { return number_; }
  auto operator<=>(const FencingToken&) const = default;

 private:
  uint64_t number_ = 0;
};

/// Source of rising tokens. Its state belongs to whoever grants the lease and
/// must survive a restart, for example in a replicated state machine.
class FencingCounter {
 public:
  FencingCounter() = default;
  /// Continues after `last`.
  explicit FencingCounter(FencingToken last) : last_(last) {}

  /// Returns a token above all earlier ones.
  FencingToken Next();
  FencingToken last() const { return last_; }

 private:
  FencingToken last_;
};

/// The check that a protected resource makes.
class FencingGuard {
 public:
  /// Returns whether an order under `token` may pass for `resource`; a token
  /// below one that has passed may not.
  bool Admit(const std::string& resource, FencingToken token);

  /// Highest token that has passed for `resource`.
  FencingToken HighestOf(const std::string& resource) const;

 private:
  std::map<std::string, FencingToken> highest_;
};

}  // namespace hawthorn::membership
