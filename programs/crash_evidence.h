#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "schema/generated/deployment.pb.h"

namespace hawthorn::programs {

/// What crashed upstreams had in common, at several grains: a whole content, a
/// prompt prefix of a target, or a target (method, host and path). A grain is
/// refused when the crashes speak against it alone; what upstreams crash of for
/// other reasons runs at some of the crashes and succeeds between them.
/// Deterministic.
class CrashEvidence {
 public:
  /// Number of crashes in sequence that refuse a grain: each of its requests
  /// must have been sent after the crash before. Upstreams that end together
  /// count once.
  static constexpr size_t kCrashLimit = 3;
  /// Difference of the delays of two reports up to which a request counts as
  /// sent after a crash.
  static constexpr int64_t kSlackMs = 5;
  /// Time within which upstreams that end count as ended together.
  static constexpr int64_t kTogetherMs = 20;
  /// Different contents that must be part of the crashes of a grain that is
  /// coarser than a content: one content alone is refused by itself.
  static constexpr size_t kContentLimit = 2;
  /// A grain must be part of this percentage of all crashes since its first.
  static constexpr size_t kCoveragePercent = 75;
  /// Time for which a grain is refused; doubles with each further time, up to
  /// the longest. Requests that do no harm and share the grain come back then,
  /// and their first success clears it.
  static constexpr int64_t kFirstRefusalMs = 30'000;
  static constexpr int64_t kLongestRefusalMs = 600'000;
  /// How long evidence is kept after the last crash of a grain.
  static constexpr int64_t kRetentionMs = 600'000;
  static constexpr size_t kMaxGrains = 4096;

  enum class Kind { kContent, kPrefix, kTarget };

  struct Refusal {
    Kind kind = Kind::kTarget;
    /// Method, host and path.
    std::string target;
    int64_t until_ms = 0;

    bool operator==(const Refusal&) const = default;
  };

  /// Adds a report; the content counts as a grain if `with_content` is set.
  /// Returns whether refused() or suspected() changed.
  bool Report(const schema::ReportCrash& report, bool with_content,
              int64_t now_ms);
  /// An upstream ran a request of the grain to its end: clears the grain unless
  /// it is refused now.
  bool Succeeded(uint64_t digest);
  /// Ends refusals that are over. Returns whether any did.
  bool EndRefusals(int64_t now_ms);
  /// Drops old evidence. Returns whether suspected() changed.
  bool Expire(int64_t now_ms);

  const std::map<uint64_t, Refusal>& refused() const { return refused_; }
  /// Grains with a crash that are not refused; a success clears them.
  const std::set<uint64_t>& suspected() const { return suspected_; }

  void Save(schema::DeploymentSnapshot* snapshot) const;
  void Load(const schema::DeploymentSnapshot& snapshot);

  static const char* ToString(Kind kind);

 private:
  using Incarnation = std::pair<std::string, uint64_t>;

  struct Crash {
    int64_t at_ms = 0;
    /// When the latest request of the grain that ran was sent.
    int64_t sent_ms = 0;
    std::set<uint64_t> contents;
  };
  struct Grain {
    Kind kind = Kind::kTarget;
    std::string target;
    /// By the order number of the crash.
    std::map<uint64_t, Crash> crashes;
    /// How often it was refused.
    uint32_t refusals = 0;
  };

  /// Whether the crashes speak against the grain.
  bool IsGuilty(const Grain& grain) const;
  void Refuse(uint64_t digest, Grain* grain, int64_t now_ms);
  void DropOldest();

  uint64_t next_order_ = 1;
  std::map<Incarnation, std::pair<uint64_t, int64_t>> incarnations_;
  std::map<uint64_t, Grain> grains_;
  std::map<uint64_t, Refusal> refused_;
  std::set<uint64_t> suspected_;
};

}  // namespace hawthorn::programs
