#include "tests/turns/chain_requests.h"

namespace hawthorn::turns {

std::vector<std::string> ChainRequests::Write(const std::string& prefix) {
  std::vector<std::string> kept;
  size_t answers = 0;
  for (size_t i = 0; i < kChains; ++i) {
    relay::TurnRecord record;
    record.turn = prefix + std::to_string(i);
    record.input = "input";
    record.output = "output";
    record.retention = kChainRetention;
    client_.Write(record, timeout_,
                  [&, turn = record.turn](const core::Status& status) {
                    ++answers;
                    if (core::IsOk(status)) {
                      kept.push_back(turn);
                    }
                  });
  }
  wait_([&] { return answers == kChains; });
  return kept;
}

Reads ChainRequests::Read(const std::vector<std::string>& turns) {
  Reads reads;
  for (const std::string& it : turns) {
    client_.Read(
        "", it, timeout_, [&reads](const core::Result<relay::TurnChain>& read) {
          if (core::IsOk(read)) {
            ++reads.found;
          } else if (core::ErrorOf(read).code == core::ErrorCode::kNotFound) {
            ++reads.denied;
          } else {
            ++reads.uncertain;
          }
        });
  }
  wait_([&] {
    return reads.found + reads.denied + reads.uncertain == turns.size();
  });
  return reads;
}

}  // namespace hawthorn::turns
