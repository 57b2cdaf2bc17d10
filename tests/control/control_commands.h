#pragma once

#include <cstdint>
#include <string>

#include "control.pb.h"

// Commands for the tests of the control group.
namespace hawthorn::control {

inline constexpr int64_t kNowMs = 1'764'800'000'000;

inline std::string OperationAt(int64_t n) {
  return std::to_string(kNowMs + n) + "-op";
}

/// Patch by operator `author` that puts the organisation `id`, with operation
/// `n`.
inline schema::ControlCommand PutOrganisation(uint64_t expected, int64_t n,
                                              const std::string& author,
                                              const std::string& id,
                                              uint32_t weight = 1) {
  schema::ControlCommand command;
  command.set_wall_ms(kNowMs + n);
  auto* patch = command.mutable_patch();
  patch->set_expected_revision(expected);
  patch->set_author(author);
  patch->set_operation(OperationAt(n));
  auto* organisation = patch->mutable_patch()->add_put_organisations();
  organisation->set_id(id);
  organisation->set_weight(weight);
  return command;
}

/// Places an order to an upstream that is unique to `n`.
inline schema::ControlCommand PlaceRole(int64_t n) {
  schema::ControlCommand command;
  command.set_wall_ms(kNowMs + n);
  auto* place = command.mutable_place_order();
  place->set_author("ana");
  place->set_operation(OperationAt(n));
  place->mutable_spec()->set_upstream("gpu-" + std::to_string(n));
  place->mutable_spec()->set_service("model-pool");
  place->mutable_spec()->set_kind(schema::ORDER_KIND_CHANGE_ROLE);
  place->mutable_spec()->set_role("decode");
  return command;
}

}  // namespace hawthorn::control
