#include "consensus/membership.h"

#include <algorithm>
#include <utility>

namespace hawthorn::consensus {

namespace {

core::Error Refuse(core::ErrorCode code, std::string message) {
  return core::Error{code, std::move(message), core::Execution::kNotRun, {}};
}

}  // namespace

Membership::Membership(std::vector<Member> members)
    : members_(std::move(members)) {
  std::sort(members_.begin(), members_.end());
}

const Member* Membership::Find(const ReplicaId& id) const {
  const auto it =
      std::find_if(members_.begin(), members_.end(),
                   [&](const Member& member) { return member.id == id; });
  return it == members_.end() ? nullptr : &*it;
}

const Member* Membership::FindInstance(std::string_view instance) const {
  const auto it = std::find_if(
      members_.begin(), members_.end(),
      [&](const Member& member) { return member.id.instance == instance; });
  return it == members_.end() ? nullptr : &*it;
}

bool Membership::IsVoter(const ReplicaId& id) const {
  const Member* member = Find(id);
  return member != nullptr && member->voter;
}

size_t Membership::voter_count() const {
  return static_cast<size_t>(
      std::count_if(members_.begin(), members_.end(),
                    [](const Member& member) { return member.voter; }));
}

size_t Membership::durable_voter_count() const {
  return static_cast<size_t>(std::count_if(
      members_.begin(), members_.end(),
      [](const Member& member) { return member.voter && member.durable; }));
}

core::Result<Membership> Membership::With(
    const MembershipChange& change) const {
  std::vector<Member> members = members_;
  const auto it = std::find_if(
      members.begin(), members.end(),
      [&](const Member& member) { return member.id == change.id; });
  if (change.kind == MembershipChange::Kind::kAddLearner) {
    if (change.id.empty() || change.id.incarnation == 0) {
      return Refuse(core::ErrorCode::kInvalidArgument,
                    "a replica needs an instance and an incarnation");
    }
    const Member* old = FindInstance(change.id.instance);
    const bool replaces_last_disk =
        old != nullptr && old->durable && old->voter && change.durable &&
        old->id != change.id && durable_voter_count() == 1 && voter_count() > 1;
    if (old != nullptr && !replaces_last_disk) {
      return Refuse(
          core::ErrorCode::kConflict,
          change.id.instance + " is a member; remove its old identity first");
    }
    members.push_back(Member{change.id, false, change.durable});
    return Membership(std::move(members));
  }
  if (it == members.end()) {
    return Refuse(core::ErrorCode::kNotFound,
                  ToString(change.id) + " is not a member");
  }
  if (change.kind == MembershipChange::Kind::kPromote) {
    if (it->voter) {
      return Refuse(core::ErrorCode::kConflict,
                    ToString(change.id) + " is a voter already");
    }
    it->voter = true;
    return Membership(std::move(members));
  }
  if (it->voter && voter_count() == 1) {
    return Refuse(core::ErrorCode::kInvalidArgument,
                  "the last voter cannot be removed");
  }
  members.erase(it);
  return Membership(std::move(members));
}

std::string Membership::Serialize() const {
  schema::GroupMembership message;
  for (const Member& member : members_) {
    schema::GroupMember* out = message.add_members();
    *out->mutable_id() = ToProto(member.id);
    out->set_voter(member.voter);
    out->set_durable(member.durable);
  }
  return message.SerializeAsString();
}

Membership Membership::Parse(std::string_view bytes) {
  schema::GroupMembership message;
  message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()));
  std::vector<Member> members;
  for (const schema::GroupMember& member : message.members()) {
    members.push_back(
        Member{FromProto(member.id()), member.voter(), member.durable()});
  }
  return Membership(std::move(members));
}

schema::ReplicaIdentity ToProto(const ReplicaId& id) {
  schema::ReplicaIdentity out;
  out.set_instance(id.instance);
  out.set_incarnation(id.incarnation);
  return out;
}

ReplicaId FromProto(const schema::ReplicaIdentity& id) {
  return ReplicaId{id.instance(), id.incarnation()};
}

std::string ToString(const ReplicaId& id) {
  return id.instance + "#" + std::to_string(id.incarnation);
}

}  // namespace hawthorn::consensus
