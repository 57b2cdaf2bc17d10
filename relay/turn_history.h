#pragma once

#include <chrono>
#include <functional>
#include <string>

#include "core/error.h"

namespace hawthorn::relay {

/// Chain of turns that a new turn continues.
struct TurnChain {
  /// Input and output of all turns of the chain, the oldest first, as an
  /// upstream receives them.
  std::string text;
  /// Decides where the turns of the chain are kept; passed on to the turns that
  /// continue it.
  std::string chain_key;

  bool operator==(const TurnChain&) const = default;
};

/// A turn that has ended.
struct TurnRecord {
  /// Empty if the deployment has no organisations.
  std::string organisation;
  /// Id of the request whose response ended whole.
  std::string turn;
  /// Turn that this one continues; empty for the first of a chain.
  std::string previous;
  /// Key of the chain that it continues; empty for the first turn.
  std::string chain_key;
  std::string input;
  /// Data of each event, followed by a line feed.
  std::string output;
  /// How long the turn is kept with all turns before it.
  std::chrono::milliseconds retention{0};

  bool operator==(const TurnRecord&) const = default;
};

/// Durable record of the turns of conversations. Turns never change once they
/// are written.
class TurnHistory {
 public:
  using ReadCallback = std::function<void(const core::Result<TurnChain>&)>;
  using WriteCallback = std::function<void(const core::Status&)>;

  virtual ~TurnHistory() = default;

  /// Reads the chain that ends with `turn`. Errors: kNotFound if it is certain
  /// that the organisation has no such turn; kUnavailable if it is not.
  /// `callback` is called exactly once, no later than after `timeout` and never
  /// from within this call: the relay starts its claim after this call.
  virtual void Read(const std::string& organisation, const std::string& turn,
                    std::chrono::milliseconds timeout,
                    ReadCallback callback) = 0;
  /// Writes a turn. Success means that it survives the losses that the
  /// deployment tolerates. `callback` is called exactly once, no later than
  /// after `timeout`.
  virtual void Write(const TurnRecord& record,
                     std::chrono::milliseconds timeout,
                     WriteCallback callback) = 0;
};

}  // namespace hawthorn::relay
