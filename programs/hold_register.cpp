#include "programs/hold_register.h"

#include <absl/strings/str_cat.h>

#include "programs/reply.h"

namespace hawthorn::programs {

using detail::MakeReply;

namespace {

schema::Hold ToHold(const schema::AcquireHold& acquire) {
  schema::Hold hold;
  hold.set_upstream(acquire.upstream());
  hold.set_hold(acquire.hold());
  hold.set_organisation(acquire.organisation());
  hold.set_program(acquire.program());
  hold.set_tokens(acquire.tokens());
  hold.set_lease_until_wall_ms(acquire.lease_until_wall_ms());
  hold.set_sequence(acquire.sequence());
  return hold;
}

}  // namespace

schema::LedgerReply HoldRegister::Acquire(const schema::AcquireHold& acquire) {
  const Key key{acquire.upstream(), acquire.hold()};
  const auto it = holds_.find(key);
  if (it != holds_.end()) {
    const schema::Hold& known = it->second;
    const bool unowned = known.program().empty();
    const bool same = known.program() == acquire.program() &&
                      known.organisation() == acquire.organisation();
    if (!unowned && !same) {
      return MakeReply(schema::VERDICT_CONFLICT,
                       "the hold belongs to another program");
    }
    if (same && known.to_release()) {
      return MakeReply(schema::VERDICT_EXPIRED,
                       "the lease ended and the hold is being released");
    }
    Erase(key);
  }
  Insert(ToHold(acquire));
  return MakeReply(schema::VERDICT_ACCEPTED);
}

void HoldRegister::AddUnowned(const schema::AcquireHold& acquire) {
  const Key key{acquire.upstream(), acquire.hold()};
  if (holds_.contains(key)) {
    return;
  }
  schema::Hold hold = ToHold(acquire);
  hold.set_to_release(true);
  Insert(hold);
}

schema::LedgerReply HoldRegister::Release(const schema::ReleaseHold& release) {
  const Key key{release.upstream(), release.hold()};
  if (!holds_.contains(key)) {
    return MakeReply(schema::VERDICT_RECORDED, "no such hold");
  }
  Erase(key);
  return MakeReply(schema::VERDICT_ACCEPTED);
}

void HoldRegister::ReleaseAllOf(const std::string& organisation,
                                const std::string& program) {
  const auto it = by_owner_.find(Key{organisation, program});
  if (it == by_owner_.end()) {
    return;
  }
  const absl::btree_set<Key> keys = it->second;
  for (const Key& key : keys) {
    MarkForRelease(key);
  }
}

void HoldRegister::Expire(int64_t now_ms) {
  while (!by_lease_.empty() && by_lease_.begin()->first <= now_ms) {
    const Key key = by_lease_.begin()->second;
    MarkForRelease(key);
  }
}

schema::LedgerReply HoldRegister::Apply(const schema::CacheEvent& event) {
  Upstream& upstream = upstreams_[event.upstream()];
  if (event.incarnation() < upstream.incarnation ||
      (event.incarnation() == upstream.incarnation &&
       event.sequence() <= upstream.sequence)) {
    return MakeReply(schema::VERDICT_STALE, "the event is late or doubled");
  }
  const bool next = event.incarnation() == upstream.incarnation &&
                    event.sequence() == upstream.sequence + 1;
  if (!next || upstream.gap) {
    upstream.gap = true;
    schema::LedgerReply reply = MakeReply(
        schema::VERDICT_OUT_OF_ORDER,
        absl::StrCat("event ", event.sequence(), " after ", upstream.sequence,
                     ": the engine's listing is needed"));
    reply.set_reconcile(true);
    return reply;
  }
  upstream.sequence = event.sequence();
  if (!event.dropped_hold().empty()) {
    Erase(Key{event.upstream(), event.dropped_hold()});
  }
  return MakeReply(schema::VERDICT_ACCEPTED);
}

schema::LedgerReply HoldRegister::Apply(const schema::ReconcileHolds& listing) {
  Upstream& upstream = upstreams_[listing.upstream()];
  const bool restarted = listing.incarnation() > upstream.incarnation;
  if (listing.incarnation() < upstream.incarnation ||
      (!restarted && listing.sequence() < upstream.sequence)) {
    return MakeReply(schema::VERDICT_STALE, "the listing is late");
  }
  upstream = {listing.incarnation(), listing.sequence(), false};
  const absl::btree_set<std::string> kept(listing.holds().begin(),
                                          listing.holds().end());
  for (const Key& key : KeysOf(listing.upstream())) {
    // A hold that was created after the listing is not part of it.
    const bool newer =
        !restarted && holds_.at(key).sequence() > listing.sequence();
    if (!newer && !kept.contains(key.second)) {
      Erase(key);
    }
  }
  for (const std::string& hold : kept) {
    schema::AcquireHold unknown;
    unknown.set_upstream(listing.upstream());
    unknown.set_hold(hold);
    AddUnowned(unknown);
  }
  return MakeReply(schema::VERDICT_ACCEPTED);
}

void HoldRegister::Apply(const schema::UpstreamLost& lost) {
  for (const Key& key : KeysOf(lost.upstream())) {
    Erase(key);
  }
  upstreams_.erase(lost.upstream());
}

std::vector<schema::Hold> HoldRegister::ToRelease() const {
  std::vector<schema::Hold> result;
  for (const Key& key : marked_for_release_) {
    result.push_back(holds_.at(key));
  }
  return result;
}

std::vector<schema::Hold> HoldRegister::HoldsOf(
    const std::string& organisation, const std::string& program) const {
  std::vector<schema::Hold> result;
  const auto it = by_owner_.find(Key{organisation, program});
  if (it == by_owner_.end()) {
    return result;
  }
  for (const Key& key : it->second) {
    result.push_back(holds_.at(key));
  }
  return result;
}

std::vector<std::string> HoldRegister::UpstreamsWithGap() const {
  std::vector<std::string> result;
  for (const auto& [name, upstream] : upstreams_) {
    if (upstream.gap) {
      result.push_back(name);
    }
  }
  return result;
}

void HoldRegister::WriteTo(schema::LedgerSnapshot* snapshot) const {
  for (const auto& [key, hold] : holds_) {
    *snapshot->add_holds() = hold;
  }
  for (const auto& [name, upstream] : upstreams_) {
    schema::SnapshotUpstream* const out = snapshot->add_upstreams();
    out->set_upstream(name);
    out->set_incarnation(upstream.incarnation);
    out->set_sequence(upstream.sequence);
    out->set_gap(upstream.gap);
  }
}

void HoldRegister::ReadFrom(const schema::LedgerSnapshot& snapshot) {
  *this = HoldRegister();
  for (const schema::Hold& it : snapshot.holds()) {
    Insert(it);
  }
  for (const schema::SnapshotUpstream& it : snapshot.upstreams()) {
    upstreams_[it.upstream()] = {it.incarnation(), it.sequence(), it.gap()};
  }
}

void HoldRegister::Insert(const schema::Hold& hold) {
  const Key key{hold.upstream(), hold.hold()};
  holds_[key] = hold;
  if (hold.to_release()) {
    marked_for_release_.insert(key);
    ++to_release_.holds;
    to_release_.tokens += hold.tokens();
    return;
  }
  by_owner_[Key{hold.organisation(), hold.program()}].insert(key);
  by_lease_.emplace(hold.lease_until_wall_ms(), key);
  ++held_.holds;
  held_.tokens += hold.tokens();
}

void HoldRegister::Erase(const Key& key) {
  const auto it = holds_.find(key);
  if (it == holds_.end()) {
    return;
  }
  const schema::Hold hold = it->second;
  holds_.erase(it);
  if (hold.to_release()) {
    marked_for_release_.erase(key);
    --to_release_.holds;
    to_release_.tokens -= hold.tokens();
    return;
  }
  const auto owner = by_owner_.find(Key{hold.organisation(), hold.program()});
  owner->second.erase(key);
  if (owner->second.empty()) {
    by_owner_.erase(owner);
  }
  by_lease_.erase({hold.lease_until_wall_ms(), key});
  --held_.holds;
  held_.tokens -= hold.tokens();
}

void HoldRegister::MarkForRelease(const Key& key) {
  schema::Hold hold = holds_.at(key);
  Erase(key);
  hold.set_to_release(true);
  Insert(hold);
}

std::vector<HoldRegister::Key> HoldRegister::KeysOf(
    const std::string& upstream) const {
  std::vector<Key> keys;
  for (auto it = holds_.lower_bound(Key{upstream, ""});
       it != holds_.end() && it->first.first == upstream; ++it) {
    keys.push_back(it->first);
  }
  return keys;
}

}  // namespace hawthorn::programs
