#include "membership/fencing_token.h"

namespace hawthorn::membership {

FencingToken FencingCounter::Next() {
  last_ = FencingToken(last_.number() + 1);
  return last_;
}

bool FencingGuard::Admit(const std::string& resource, FencingToken token) {
  FencingToken& highest = highest_[resource];
  if (token < highest) {
    return false;
  }
  highest = token;
  return true;
}

FencingToken FencingGuard::HighestOf(const std::string& resource) const {
  const auto it = highest_.find(resource);
  return it == highest_.end() ? FencingToken() : it->second;
}

}  // namespace hawthorn::membership
