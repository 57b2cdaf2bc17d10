#include "control/deployment_state.h"

#include <google/protobuf/io/coded_stream.h>
#include <google/protobuf/wire_format_lite.h>

#include <algorithm>
#include <utility>

namespace hawthorn::control {

namespace {

/// Interval between sweeps for crashed requests and versions, in ms on the
/// group's clock.
constexpr int64_t kSweepIntervalMs = 30'000;
/// The same for idle programs.
constexpr int64_t kProgramSweepIntervalMs = 5'000;

/// Whether the announced `entry` is newer than the stored one.
bool IsNewer(const schema::UpstreamEntry& stored,
             const schema::UpstreamEntry& entry) {
  if (entry.started_at_ms() != stored.started_at_ms()) {
    return entry.started_at_ms() > stored.started_at_ms();
  }
  const bool may_return = !stored.gone() || stored.expired();
  return may_return && entry.sequence() >= stored.sequence();
}

/// Whether the announcement is of a draining incarnation, which stays so
/// whatever it announces.
bool StaysDraining(const schema::UpstreamEntry& stored,
                   const schema::UpstreamEntry& entry) {
  return stored.draining() && stored.started_at_ms() == entry.started_at_ms();
}

bool HasSameContent(const schema::UpstreamEntry& a,
                    const schema::UpstreamEntry& b) {
  return a.service() == b.service() && a.address() == b.address() &&
         a.zone() == b.zone() && a.max_running() == b.max_running() &&
         a.software_version() == b.software_version() &&
         a.draining() == b.draining() && a.gone() == b.gone() &&
         a.started_at_ms() == b.started_at_ms();
}

/// Spent tokens and open reservations.
int64_t CommittedTokens(const schema::ProgramSpending& spending) {
  int64_t total = spending.spent();
  for (const schema::OpenReservation& it : spending.open()) {
    total += it.tokens();
  }
  return total;
}

/// Finds the element of a repeated field that belongs to a request.
template <typename List>
auto FindByRequest(List& list, const std::string& request) {
  return std::find_if(list.begin(), list.end(), [&request](const auto& it) {
    return it.request() == request;
  });
}

/// Removes the open reservation of a request. Returns whether there was one.
bool RemoveOpen(const std::string& request, schema::ProgramSpending* spending) {
  auto& open = *spending->mutable_open();
  const auto it = FindByRequest(open, request);
  if (it == open.end()) {
    return false;
  }
  open.erase(it);
  return true;
}

bool IsSettled(const schema::ProgramSpending& spending,
               const std::string& request) {
  return std::find(spending.settled().begin(), spending.settled().end(),
                   request) != spending.settled().end();
}

/// Stream of a request, or null.
const schema::BoundStream* FindStream(const schema::ProgramSpending& spending,
                                      const std::string& request) {
  const auto it = FindByRequest(spending.streams(), request);
  return it == spending.streams().end() ? nullptr : &*it;
}

void AddStream(const schema::BoundStream& stream,
               schema::ProgramSpending* spending) {
  *spending->add_streams() = stream;
  if (static_cast<size_t>(spending->streams_size()) >
      DeploymentState::kBoundStreams) {
    spending->mutable_streams()->DeleteSubrange(0, 1);
    spending->set_dropped_streams(true);
  }
}

/// Passes the serialized record of each program in a snapshot to `on_program`
/// and returns the other fields; std::nullopt if the snapshot is unreadable.
/// The messages of all programs together would take ten times the memory.
template <typename Handler>
std::optional<std::string> SplitSnapshot(std::string_view snapshot,
                                         Handler&& on_program) {
  using google::protobuf::internal::WireFormatLite;
  constexpr uint32_t kProgramsTag =
      WireFormatLite::MakeTag(schema::DeploymentSnapshot::kProgramsFieldNumber,
                              WireFormatLite::WIRETYPE_LENGTH_DELIMITED);
  google::protobuf::io::CodedInputStream in(
      reinterpret_cast<const uint8_t*>(snapshot.data()),
      static_cast<int>(snapshot.size()));
  std::string rest;
  auto begin = static_cast<size_t>(in.CurrentPosition());
  while (const uint32_t tag = in.ReadTag()) {
    if (tag == kProgramsTag) {
      uint32_t size = 0;
      std::string record;
      if (!in.ReadVarint32(&size) ||
          !in.ReadString(&record, static_cast<int>(size)) ||
          !on_program(std::move(record))) {
        return std::nullopt;
      }
    } else if (!WireFormatLite::SkipField(&in, tag)) {
      return std::nullopt;
    }
    const auto end = static_cast<size_t>(in.CurrentPosition());
    if (tag != kProgramsTag) {
      rest.append(snapshot.substr(begin, end - begin));
    }
    begin = end;
  }
  return begin == snapshot.size() ? std::optional(std::move(rest))
                                  : std::nullopt;
}

/// Entry of the ledger that keeps the version of the reservation's stream.
const std::string& StreamOwner(const schema::TokenReservation& reservation) {
  return reservation.stream_owner().empty() ? reservation.program()
                                            : reservation.stream_owner();
}

}  // namespace

std::string DeploymentState::Apply(uint64_t /*index*/,
                                   std::string_view command) {
  schema::DeploymentReply reply;
  schema::DeploymentCommand parsed;
  if (!parsed.ParseFromArray(command.data(),
                             static_cast<int>(command.size()))) {
    return reply.SerializeAsString();
  }
  ++counts_.commands;
  counts_.bytes += command.size();
  const int64_t before_ms = clock_ms_;
  clock_ms_ += std::max<int64_t>(0, parsed.elapsed_ms());
  // Depends on the clock alone, so that a replica that was restored from a
  // snapshot sweeps at the same commands as the others.
  if (before_ms / kSweepIntervalMs != clock_ms_ / kSweepIntervalMs) {
    Sweep();
  }
  if (before_ms / kProgramSweepIntervalMs !=
      clock_ms_ / kProgramSweepIntervalMs) {
    programs_.Expire(clock_ms_);
  }
  crashes_.EndRefusals(clock_ms_);
  reply.set_known(true);
  switch (parsed.body_case()) {
    case schema::DeploymentCommand::kPublish:
      Publish(parsed.publish());
      break;
    case schema::DeploymentCommand::kUpstream:
      ApplyAnnouncement(parsed.upstream());
      break;
    case schema::DeploymentCommand::kReserve:
      Reserve(parsed.reserve(), &reply);
      break;
    case schema::DeploymentCommand::kSettle:
      for (const schema::TokenSettlement& it : parsed.settle().settlements()) {
        Settle(it);
      }
      break;
    case schema::DeploymentCommand::kInstance:
      ApplyInstance(parsed.instance());
      break;
    case schema::DeploymentCommand::kForgetInstance:
      instances_.erase(parsed.forget_instance());
      break;
    case schema::DeploymentCommand::kRetire:
      Retire(parsed.retire(), &reply);
      break;
    case schema::DeploymentCommand::kForgetUpstream:
      ForgetUpstream(parsed.forget_upstream());
      break;
    case schema::DeploymentCommand::kReportCrash:
      crashes_.Report(parsed.report_crash(), clock_ms_);
      break;
    case schema::DeploymentCommand::kDrainingUpstream:
      MarkDraining(parsed.draining_upstream());
      break;
    case schema::DeploymentCommand::kUpstreamLimit:
      SetRequestLimit(parsed.upstream_limit());
      break;
    case schema::DeploymentCommand::kSucceededRequest:
      crashes_.Succeeded(parsed.succeeded_request());
      break;
    case schema::DeploymentCommand::BODY_NOT_SET:
      break;
  }
  programs_.Close();
  reply.set_version(configuration_.version());
  return reply.SerializeAsString();
}

std::string DeploymentState::Snapshot() const {
  schema::DeploymentSnapshot head;
  *head.mutable_configuration() = configuration_;
  for (const auto& [id, entry] : upstreams_) {
    *head.add_upstreams() = entry;
  }
  head.set_upstream_revision(upstream_revision_);
  schema::DeploymentSnapshot tail;
  for (const auto& [id, record] : instances_) {
    *tail.add_instances() = record;
  }
  crashes_.Save(&tail);
  versions_.Save(&tail);
  tail.set_clock_ms(clock_ms_);
  // Fields in the order of their numbers, as in a message that is serialized
  // as a whole.
  std::string out;
  out.reserve(head.ByteSizeLong() + programs_.snapshot_bytes() +
              tail.ByteSizeLong());
  head.AppendToString(&out);
  programs_.AppendTo(&out);
  tail.AppendToString(&out);
  return out;
}

core::Status DeploymentState::Restore(std::string_view snapshot) {
  SpendingTable programs;
  const auto rest = SplitSnapshot(snapshot, [&programs](std::string record) {
    return programs.SetSerialized(std::move(record));
  });
  schema::DeploymentSnapshot parsed;
  if (!rest || !parsed.ParseFromString(*rest)) {
    return core::Error{core::ErrorCode::kStorage,
                       "the snapshot of the deployment is unreadable",
                       core::Execution::kNotRun,
                       {}};
  }
  const ApplyCounts counts = counts_;
  *this = DeploymentState();
  counts_ = counts;
  programs_ = std::move(programs);
  configuration_ = parsed.configuration();
  for (const schema::UpstreamEntry& entry : parsed.upstreams()) {
    upstreams_[entry.upstream()] = entry;
  }
  upstream_revision_ = parsed.upstream_revision();
  for (const schema::InstanceRecord& record : parsed.instances()) {
    instances_[record.instance()] = record;
  }
  crashes_.Load(parsed);
  versions_.Load(parsed);
  clock_ms_ = parsed.clock_ms();
  return std::monostate{};
}

const schema::InstanceRecord* DeploymentState::FindInstanceByName(
    std::string_view name) const {
  for (const auto& [id, record] : instances_) {
    if (record.name() == name) {
      return &record;
    }
  }
  return nullptr;
}

bool DeploymentState::WouldChange(const schema::UpstreamEntry& entry) const {
  const auto it = upstreams_.find(entry.upstream());
  if (it == upstreams_.end()) {
    return true;
  }
  if (!IsNewer(it->second, entry)) {
    return false;
  }
  if (!StaysDraining(it->second, entry)) {
    return !HasSameContent(it->second, entry);
  }
  schema::UpstreamEntry draining = entry;
  draining.set_draining(true);
  return !HasSameContent(it->second, draining);
}

void DeploymentState::Publish(const schema::PublishedConfiguration& published) {
  if (published.version() > configuration_.version()) {
    configuration_ = published;
  }
}

void DeploymentState::ApplyAnnouncement(schema::UpstreamEntry entry) {
  if (!WouldChange(entry)) {
    return;
  }
  const auto before = upstreams_.find(entry.upstream());
  if (before != upstreams_.end()) {
    versions_.Observe(before->second, clock_ms_);
  }
  versions_.Observe(entry, clock_ms_);
  for (auto& [id, other] : upstreams_) {
    const bool replaced = id != entry.upstream() && !other.gone() &&
                          !entry.gone() && other.address() == entry.address();
    if (!replaced) {
      continue;
    }
    if (other.started_at_ms() > entry.started_at_ms()) {
      // A newer upstream has the address, so this announcement is late.
      entry.set_gone(true);
      continue;
    }
    versions_.Observe(other, clock_ms_);
    other.set_gone(true);
    other.set_revision(++upstream_revision_);
  }
  entry.set_revision(++upstream_revision_);
  schema::UpstreamEntry& stored = upstreams_[entry.upstream()];
  entry.set_draining(entry.draining() || StaysDraining(stored, entry));
  // Announcements name no limit; responses of the same incarnation do.
  entry.clear_request_limit();
  if (stored.has_request_limit() &&
      stored.started_at_ms() == entry.started_at_ms()) {
    entry.set_request_limit(stored.request_limit());
  }
  stored = std::move(entry);
  const auto gone =
      std::count_if(upstreams_.begin(), upstreams_.end(),
                    [](const auto& it) { return it.second.gone(); });
  if (static_cast<size_t>(gone) > kMaxGoneUpstreams) {
    auto oldest = upstreams_.end();
    for (auto it = upstreams_.begin(); it != upstreams_.end(); ++it) {
      const bool older = oldest == upstreams_.end() ||
                         it->second.revision() < oldest->second.revision();
      if (it->second.gone() && older) {
        oldest = it;
      }
    }
    upstreams_.erase(oldest);
  }
}

void DeploymentState::MarkDraining(
    const schema::UpstreamIncarnation& draining) {
  const auto it = upstreams_.find(draining.upstream());
  if (it == upstreams_.end() || it->second.gone() || it->second.draining() ||
      it->second.started_at_ms() != draining.started_at_ms()) {
    return;
  }
  it->second.set_draining(true);
  it->second.set_revision(++upstream_revision_);
}

void DeploymentState::SetRequestLimit(const schema::UpstreamLimit& limit) {
  const auto it = upstreams_.find(limit.incarnation().upstream());
  if (it == upstreams_.end() || it->second.gone() ||
      it->second.started_at_ms() != limit.incarnation().started_at_ms()) {
    return;
  }
  schema::UpstreamEntry& entry = it->second;
  const bool limited = limit.has_requests_per_second();
  if (entry.has_request_limit() == limited &&
      entry.request_limit() == limit.requests_per_second()) {
    return;
  }
  if (limited) {
    entry.set_request_limit(limit.requests_per_second());
  } else {
    entry.clear_request_limit();
  }
  entry.set_revision(++upstream_revision_);
}

schema::ProgramSpending& DeploymentState::Use(const std::string& program,
                                              int64_t retention_ms) {
  const auto [spending, is_new] = programs_.Open(program);
  spending.set_retention_ms(is_new
                                ? retention_ms
                                : SpendingTable::LongerRetention(
                                      spending.retention_ms(), retention_ms));
  spending.set_last_used_ms(clock_ms_);
  return spending;
}

void DeploymentState::Reserve(const schema::TokenReservation& reservation,
                              schema::DeploymentReply* reply) {
  for (const schema::TokenSettlement& it : reservation.settlements()) {
    Settle(it);
  }
  schema::ProgramSpending& spending =
      Use(reservation.program(), reservation.retention_ms());
  const std::string& request = reservation.request();
  const bool settled = IsSettled(spending, request);
  const bool open =
      FindByRequest(spending.open(), request) != spending.open().end();
  ++counts_.claims;
  counts_.repeated_claims += settled || open ? 1 : 0;
  const int64_t committed = CommittedTokens(spending);
  if (!settled && !open &&
      committed + reservation.tokens() <= reservation.budget()) {
    schema::OpenReservation* added = spending.add_open();
    added->set_request(request);
    added->set_tokens(reservation.tokens());
    reply->set_granted(true);
  } else {
    reply->set_granted(open);
  }
  reply->set_remaining(reservation.budget() - CommittedTokens(spending));
  if (reply->granted()) {
    BindStream(reservation, reply);
  }
}

void DeploymentState::BindStream(const schema::TokenReservation& reservation,
                                 schema::DeploymentReply* reply) {
  const bool resumes =
      reservation.resumes() || !reservation.resumed_request().empty();
  if (!resumes && !reservation.has_stream()) {
    return;
  }
  schema::BoundStream stream;
  stream.set_request(reservation.request());
  stream.set_content(reservation.content());
  if (resumes) {
    const auto found = FindResumed(reservation);
    if (!found) {
      return;
    }
    *stream.mutable_stream() = *found;
  } else {
    *stream.mutable_stream() = reservation.stream();
  }
  schema::ProgramSpending& owner =
      Use(StreamOwner(reservation), reservation.retention_ms());
  const auto bound = FindByRequest(*owner.mutable_streams(), stream.request());
  if (bound == owner.mutable_streams()->end()) {
    AddStream(stream, &owner);
    *reply->mutable_stream() = stream.stream();
  } else {
    if (!resumes && reservation.stream().round() > bound->stream().round()) {
      *bound->mutable_stream() = reservation.stream();
    }
    *reply->mutable_stream() = bound->stream();
  }
}

std::optional<schema::StreamVersion> DeploymentState::FindResumed(
    const schema::TokenReservation& reservation) const {
  const std::string& resumed = reservation.resumed_request();
  const auto own = programs_.Find(StreamOwner(reservation));
  // A claim that is sent again finds what its first send found.
  if (const auto* bound =
          own ? FindStream(*own, reservation.request()) : nullptr) {
    return bound->stream();
  }
  for (const std::string* id :
       {&StreamOwner(reservation), &reservation.resumed_owner(),
        &reservation.program()}) {
    const auto owner = resumed.empty() ? std::nullopt : programs_.Find(*id);
    if (const auto* bound = owner ? FindStream(*owner, resumed) : nullptr) {
      return bound->stream();
    }
  }
  if (resumed.empty() && own) {
    if (auto found = FindByContent(*own, reservation.content())) {
      return found;
    }
  }
  const auto only = versions_.Only(reservation.services(), clock_ms_);
  if (!only) {
    return std::nullopt;
  }
  schema::StreamVersion stream;
  stream.set_version(*only);
  stream.set_round(1);
  return stream;
}

std::optional<schema::StreamVersion> DeploymentState::FindByContent(
    const schema::ProgramSpending& spending, uint64_t content) {
  if (content == 0 || spending.dropped_streams()) {
    return std::nullopt;
  }
  const schema::BoundStream* found = nullptr;
  bool is_known = false;
  for (const schema::BoundStream& it : spending.streams()) {
    if (it.content() != content && it.content() != 0) {
      continue;
    }
    if (found != nullptr &&
        found->stream().version() != it.stream().version()) {
      return std::nullopt;
    }
    // Replicas of an earlier build go through them in the order of requests.
    if (found == nullptr || it.request() > found->request()) {
      found = &it;
    }
    is_known = is_known || it.content() == content;
  }
  return is_known ? std::optional(found->stream()) : std::nullopt;
}

void DeploymentState::Settle(const schema::TokenSettlement& settlement) {
  schema::ProgramSpending& spending =
      Use(settlement.program(), settlement.retention_ms());
  ++counts_.settlements;
  counts_.repeated_settlements +=
      IsSettled(spending, settlement.request()) ? 1 : 0;
  if (RemoveOpen(settlement.request(), &spending)) {
    spending.set_spent(spending.spent() + settlement.tokens());
  }
  spending.add_settled(settlement.request());
  if (static_cast<size_t>(spending.settled_size()) > kSettledRequests) {
    spending.mutable_settled()->DeleteSubrange(0, 1);
  }
}

void DeploymentState::ApplyInstance(schema::InstanceRecord record) {
  const auto it = instances_.find(record.instance());
  const bool same_machine =
      it != instances_.end() && it->second.name() == record.name();
  record.set_retiring(same_machine && it->second.retiring());
  instances_[record.instance()] = std::move(record);
}

void DeploymentState::Retire(const std::string& name,
                             schema::DeploymentReply* reply) {
  reply->set_known(false);
  for (auto& [id, record] : instances_) {
    if (record.name() == name) {
      record.set_retiring(true);
      reply->set_known(true);
    }
  }
}

void DeploymentState::ForgetUpstream(const std::string& upstream) {
  const auto it = upstreams_.find(upstream);
  if (it == upstreams_.end() || it->second.gone()) {
    return;
  }
  versions_.Observe(it->second, clock_ms_);
  it->second.set_gone(true);
  it->second.set_expired(true);
  it->second.set_revision(++upstream_revision_);
}

void DeploymentState::Sweep() {
  crashes_.Expire(clock_ms_);
  for (const auto& [id, entry] : upstreams_) {
    if (!entry.gone()) {
      versions_.Observe(entry, clock_ms_);
    }
  }
  versions_.Expire(clock_ms_);
}

}  // namespace hawthorn::control
