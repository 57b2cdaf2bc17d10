#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "schema/generated/deployment.pb.h"

namespace hawthorn::control {

/// Token spending and stream versions of programs. Each record is kept in its
/// serialized form, which takes a tenth of the memory of the message, and a
/// snapshot copies the records as they are.
class SpendingTable {
 public:
  /// Retention of a program whose routes name none, in ms.
  static constexpr int64_t kDefaultRetentionMs = 600'000;
  /// Added to the retention that a route names, in ms: turns that are still
  /// open, and settlements that wait for a leader.
  static constexpr int64_t kRetentionMarginMs = 30'000;

  /// A record that is open for changes.
  struct OpenRecord {
    schema::ProgramSpending& spending;
    /// It was not known before; it has only its id.
    bool is_new = false;
  };

  /// Opens the record of `program` for changes, up to the next call that opens
  /// another or closes it.
  OpenRecord Open(const std::string& program);
  /// Stores the record that is open, if any.
  void Close();
  /// Returns the record of `program`, with the changes so far if it is open;
  /// std::nullopt if it is not known.
  std::optional<schema::ProgramSpending> Find(const std::string& program) const;
  bool Contains(const std::string& program) const {
    return records_.contains(program);
  }
  /// Stores a record in its serialized form. Returns false if it is unreadable.
  bool SetSerialized(std::string record);
  /// Removes the programs whose retention has passed at `now_ms` on the group's
  /// clock.
  void Expire(int64_t now_ms);

  size_t size() const { return records_.size(); }
  /// Memory that the records take, in bytes, to within the allocator's
  /// rounding.
  size_t memory_bytes() const;
  /// Size of what AppendTo appends, at most, in bytes.
  size_t snapshot_bytes() const;
  /// Appends all records as the field `programs` of a DeploymentSnapshot, in
  /// the order of their ids.
  void AppendTo(std::string* snapshot) const;

  /// Returns the longer one of two retentions, of which 0 stands for
  /// kDefaultRetentionMs.
  static int64_t LongerRetention(int64_t a, int64_t b);

 private:
  struct Record {
    int64_t expires_ms = 0;
    std::string serialized;
  };

  static int64_t ExpiryOf(const schema::ProgramSpending& spending);
  void Store(const std::string& program, Record record);

  std::map<std::string, Record> records_;
  /// The record that is open; otherwise only its memory is used again.
  schema::ProgramSpending open_;
  bool is_open_ = false;
  /// Sizes of all ids and serialized records.
  size_t content_bytes_ = 0;
};

}  // namespace hawthorn::control
