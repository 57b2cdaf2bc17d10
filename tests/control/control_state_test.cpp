#include "control/control_state.h"

#include <catch2/catch.hpp>
#include <string>

namespace hawthorn::control {
namespace {

constexpr int64_t kNowMs = 1'764'800'000'000;

std::string OperationAt(int64_t n) {
  return std::to_string(kNowMs + n) + "-op";
}

schema::ControlCommand PutOrganisation(uint64_t expected, int64_t n,
                                       const std::string& author,
                                       const std::string& id) {
  schema::ControlCommand command;
  command.set_wall_ms(kNowMs + n);
  auto* patch = command.mutable_patch();
  patch->set_expected_revision(expected);
  patch->set_author(author);
  patch->set_operation(OperationAt(n));
  auto* organisation = patch->mutable_patch()->add_put_organisations();
  organisation->set_id(id);
  organisation->set_weight(1);
  return command;
}

TEST_CASE("Of two operators under an equal revision one wins") {
  ControlState state;
  const auto first = state.Apply(PutOrganisation(0, 1, "ana", "quetzal"));
  const auto second = state.Apply(PutOrganisation(0, 2, "ben", "peachtree"));
  CHECK(first.verdict() == schema::CONTROL_VERDICT_ACCEPTED);
  CHECK(first.revision() == 1);
  CHECK(second.verdict() == schema::CONTROL_VERDICT_CONFLICT);
  CHECK(second.winner_author() == "ana");
  CHECK(second.winner_operation() == OperationAt(1));
  CHECK(state.current().configuration().organisations_size() == 1);
}

TEST_CASE("A resend returns the first answer and runs nothing") {
  ControlState state;
  const auto command = PutOrganisation(0, 1, "ana", "quetzal");
  const auto first = state.Apply(command);
  state.Apply(PutOrganisation(1, 2, "ben", "peachtree"));
  const auto again = state.Apply(command);
  CHECK(again.repeated_answer());
  CHECK(again.verdict() == first.verdict());
  CHECK(again.revision() == 1);
  CHECK(state.revision() == 2);
}

}  // namespace
}  // namespace hawthorn::control
