#include "control/deployment_state.h"

#include <algorithm>
#include <utility>

namespace hawthorn::control {

namespace {

/// Interval between sweeps for idle programs and crashed requests, in ms on the
/// group's clock.
constexpr int64_t kSweepIntervalMs = 30'000;

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

/// Entry of the ledger that keeps the version of the reservation's stream.
const std::string& StreamOwner(const schema::TokenReservation& reservation) {
  return reservation.stream_owner().empty() ? reservation.program()
                                            : reservation.stream_owner();
}

}  // namespace

int64_t DeploymentState::Spending::Committed() const {
  int64_t total = spent;
  for (const auto& [request, tokens] : open) {
    total += tokens;
  }
  return total;
}

std::string DeploymentState::Apply(uint64_t /*index*/,
                                   std::string_view command) {
  schema::DeploymentReply reply;
  schema::DeploymentCommand parsed;
  if (!parsed.ParseFromArray(command.data(),
                             static_cast<int>(command.size()))) {
    return reply.SerializeAsString();
  }
  const int64_t before_ms = clock_ms_;
  clock_ms_ += std::max<int64_t>(0, parsed.elapsed_ms());
  // Depends on the clock alone, so that a replica that was restored from a
  // snapshot sweeps at the same commands as the others.
  if (before_ms / kSweepIntervalMs != clock_ms_ / kSweepIntervalMs) {
    Sweep();
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
  reply.set_version(configuration_.version());
  return reply.SerializeAsString();
}

std::string DeploymentState::Snapshot() const {
  schema::DeploymentSnapshot snapshot;
  *snapshot.mutable_configuration() = configuration_;
  for (const auto& [id, entry] : upstreams_) {
    *snapshot.add_upstreams() = entry;
  }
  snapshot.set_upstream_revision(upstream_revision_);
  for (const auto& [id, spending] : programs_) {
    schema::ProgramSpending* out = snapshot.add_programs();
    out->set_program(id);
    out->set_spent(spending.spent);
    out->set_last_used_ms(spending.last_used_ms);
    for (const auto& [request, tokens] : spending.open) {
      schema::OpenReservation* open = out->add_open();
      open->set_request(request);
      open->set_tokens(tokens);
    }
    for (const std::string& request : spending.settled) {
      out->add_settled(request);
    }
    for (const std::string& request : spending.stream_order) {
      *out->add_streams() = spending.streams.at(request);
    }
    out->set_dropped_streams(spending.dropped_streams);
  }
  for (const auto& [id, record] : instances_) {
    *snapshot.add_instances() = record;
  }
  crashes_.Save(&snapshot);
  versions_.Save(&snapshot);
  snapshot.set_clock_ms(clock_ms_);
  return snapshot.SerializeAsString();
}

core::Status DeploymentState::Restore(std::string_view snapshot) {
  schema::DeploymentSnapshot parsed;
  if (!parsed.ParseFromArray(snapshot.data(),
                             static_cast<int>(snapshot.size()))) {
    return core::Error{core::ErrorCode::kStorage,
                       "the snapshot of the deployment is unreadable",
                       core::Execution::kNotRun,
                       {}};
  }
  *this = DeploymentState();
  configuration_ = parsed.configuration();
  for (const schema::UpstreamEntry& entry : parsed.upstreams()) {
    upstreams_[entry.upstream()] = entry;
  }
  upstream_revision_ = parsed.upstream_revision();
  for (const schema::ProgramSpending& it : parsed.programs()) {
    Spending& spending = programs_[it.program()];
    spending.spent = it.spent();
    spending.last_used_ms = it.last_used_ms();
    for (const schema::OpenReservation& open : it.open()) {
      spending.open[open.request()] = open.tokens();
    }
    spending.settled.assign(it.settled().begin(), it.settled().end());
    for (const schema::BoundStream& bound : it.streams()) {
      AddStream(bound, &spending);
    }
    spending.dropped_streams = it.dropped_streams();
  }
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

void DeploymentState::Reserve(const schema::TokenReservation& reservation,
                              schema::DeploymentReply* reply) {
  for (const schema::TokenSettlement& it : reservation.settlements()) {
    Settle(it);
  }
  Spending& spending = programs_[reservation.program()];
  spending.last_used_ms = clock_ms_;
  const bool settled =
      std::find(spending.settled.begin(), spending.settled.end(),
                reservation.request()) != spending.settled.end();
  const bool open = spending.open.contains(reservation.request());
  const int64_t committed = spending.Committed();
  if (!settled && !open &&
      committed + reservation.tokens() <= reservation.budget()) {
    spending.open[reservation.request()] = reservation.tokens();
    reply->set_granted(true);
  } else {
    reply->set_granted(open);
  }
  reply->set_remaining(reservation.budget() - spending.Committed());
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
  Spending& owner = programs_[StreamOwner(reservation)];
  owner.last_used_ms = clock_ms_;
  const auto bound = owner.streams.find(reservation.request());
  if (bound == owner.streams.end()) {
    AddStream(stream, &owner);
  } else if (!resumes &&
             reservation.stream().round() > bound->second.stream().round()) {
    *bound->second.mutable_stream() = reservation.stream();
  }
  *reply->mutable_stream() = owner.streams.at(reservation.request()).stream();
}

std::optional<schema::StreamVersion> DeploymentState::FindResumed(
    const schema::TokenReservation& reservation) const {
  const std::string& resumed = reservation.resumed_request();
  const auto own = programs_.find(StreamOwner(reservation));
  if (own != programs_.end()) {
    // A claim that is sent again finds what its first send found.
    const auto bound = own->second.streams.find(reservation.request());
    if (bound != own->second.streams.end()) {
      return bound->second.stream();
    }
  }
  for (const std::string* id :
       {&StreamOwner(reservation), &reservation.resumed_owner(),
        &reservation.program()}) {
    const auto owner = programs_.find(*id);
    if (resumed.empty() || owner == programs_.end()) {
      continue;
    }
    const auto bound = owner->second.streams.find(resumed);
    if (bound != owner->second.streams.end()) {
      return bound->second.stream();
    }
  }
  if (resumed.empty() && own != programs_.end()) {
    if (auto found = FindByContent(own->second, reservation.content())) {
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
    const Spending& spending, uint64_t content) {
  if (content == 0 || spending.dropped_streams) {
    return std::nullopt;
  }
  const schema::StreamVersion* found = nullptr;
  bool is_known = false;
  for (const auto& [request, it] : spending.streams) {
    if (it.content() != content && it.content() != 0) {
      continue;
    }
    if (found != nullptr && found->version() != it.stream().version()) {
      return std::nullopt;
    }
    found = &it.stream();
    is_known = is_known || it.content() == content;
  }
  return is_known ? std::optional(*found) : std::nullopt;
}

void DeploymentState::AddStream(const schema::BoundStream& stream,
                                Spending* spending) {
  const std::string& request = stream.request();
  if (!spending->streams.try_emplace(request, stream).second) {
    return;
  }
  spending->stream_order.push_back(request);
  if (spending->stream_order.size() > kBoundStreams) {
    spending->streams.erase(spending->stream_order.front());
    spending->stream_order.pop_front();
    spending->dropped_streams = true;
  }
}

void DeploymentState::Settle(const schema::TokenSettlement& settlement) {
  Spending& spending = programs_[settlement.program()];
  spending.last_used_ms = clock_ms_;
  if (spending.open.erase(settlement.request()) > 0) {
    spending.spent += settlement.tokens();
  }
  spending.settled.push_back(settlement.request());
  if (spending.settled.size() > kSettledRequests) {
    spending.settled.pop_front();
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
  std::erase_if(programs_, [this](const auto& it) {
    return it.second.last_used_ms + kProgramRetentionMs < clock_ms_;
  });
}

}  // namespace hawthorn::control
