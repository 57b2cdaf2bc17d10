#include "tests/turns/chain_requests.h"

namespace hawthorn::turns {

using std::chrono::milliseconds;

std::vector<std::string> WriteChains(TurnWorld& world, size_t client,
                                     const std::string& prefix) {
  std::vector<std::string> kept;
  for (int i = 0; i < kChains; ++i) {
    relay::TurnRecord record;
    record.turn = prefix + std::to_string(i);
    record.input = "input";
    record.output = "output";
    record.retention = kRetention;
    world.client(client).Write(
        record, kTimeout,
        [&kept, turn = record.turn](const core::Status& status) {
          if (core::IsOk(status)) {
            kept.push_back(turn);
          }
        });
  }
  world.Run(kTimeout + milliseconds(100));
  return kept;
}

Reads ReadAll(TurnWorld& world, size_t client,
              const std::vector<std::string>& turns) {
  Reads reads;
  for (const std::string& it : turns) {
    world.client(client).Read(
        "", it, kTimeout, [&reads](const core::Result<relay::TurnChain>& read) {
          if (core::IsOk(read)) {
            ++reads.found;
          } else if (core::ErrorOf(read).code == core::ErrorCode::kNotFound) {
            ++reads.denied;
          } else {
            ++reads.uncertain;
          }
        });
  }
  world.Run(kTimeout + milliseconds(100));
  return reads;
}

}  // namespace hawthorn::turns
