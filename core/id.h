#pragma once

#include <compare>
#include <functional>
#include <string>
#include <utility>

// Identifiers as distinct types, so that one kind cannot be used as another.
namespace hawthorn::core {

/// Immutable identifier; `Tag` makes each kind a distinct type.
template <typename Tag>
class Id {
 public:
  Id() = default;
  explicit Id(std::string text) : text_(std::move(text)) {}

  const std::string& text() const { return text_; }
  bool empty() const { return text_.empty(); }
  auto operator<=>(const Id&) const = default;

 private:
  std::string text_;
};

using InstanceId = Id<struct InstanceTag>;
using ZoneId = Id<struct ZoneTag>;
using OrganisationId = Id<struct OrganisationTag>;
using UpstreamId = Id<struct UpstreamTag>;
using ServiceId = Id<struct ServiceTag>;
using ProgramId = Id<struct ProgramTag>;

}  // namespace hawthorn::core

template <typename Tag>
struct std::hash<hawthorn::core::Id<Tag>> {
  size_t operator()(const hawthorn::core::Id<Tag>& id) const {
    return std::hash<std::string>{}(id.text());
  }
};
