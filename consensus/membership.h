#pragma once

#include <compare>
#include <string>
#include <string_view>
#include <vector>

#include "core/error.h"
#include "schema/generated/consensus.pb.h"
#include "storage/log_store.h"

namespace hawthorn::consensus {

using storage::ReplicaId;

/// One replica of a group.
struct Member {
  ReplicaId id;
  /// A learner receives the log but does not vote.
  bool voter = true;
  /// The replica has a disk.
  bool durable = false;

  auto operator<=>(const Member&) const = default;
};

/// Change of one member. Membership changes one member at a time.
struct MembershipChange {
  enum class Kind {
    kAddLearner,  ///< Adds a replica that does not vote.
    kPromote,     ///< Makes a voter of a learner that has caught up.
    kRemove,      ///< Removes a learner or voter.
  };
  Kind kind = Kind::kAddLearner;
  ReplicaId id;
  /// For kAddLearner: the replica has a disk.
  bool durable = false;

  auto operator<=>(const MembershipChange&) const = default;
};

/// Members of a group; an immutable value.
class Membership {
 public:
  Membership() = default;
  /// Sorts the members by identity.
  explicit Membership(std::vector<Member> members);

  const std::vector<Member>& members() const { return members_; }
  bool empty() const { return members_.empty(); }

  /// The member with this identity, including the incarnation, or null.
  const Member* Find(const ReplicaId& id) const;
  /// The first member of `instance` in any incarnation, or null.
  const Member* FindInstance(std::string_view instance) const;
  bool IsVoter(const ReplicaId& id) const;
  size_t voter_count() const;
  size_t durable_voter_count() const;
  /// Number of voters that forms a majority.
  size_t quorum() const { return voter_count() / 2 + 1; }

  /// The membership after `change`; kInvalidArgument, kConflict or kNotFound if
  /// the change is not possible. Does not check whether a learner has caught
  /// up.
  core::Result<Membership> With(const MembershipChange& change) const;

  /// Conversion to and from a serialized GroupMembership.
  std::string Serialize() const;
  static Membership Parse(std::string_view bytes);

  bool operator==(const Membership&) const = default;

 private:
  std::vector<Member> members_;
};

/// Conversion between an identity and its message form.
schema::ReplicaIdentity ToProto(const ReplicaId& id);
ReplicaId FromProto(const schema::ReplicaIdentity& id);

/// Text form "instance#incarnation".
std::string ToString(const ReplicaId& id);

}  // namespace hawthorn::consensus
