#include <QPointer>
#include <algorithm>
#include <memory>
#include <utility>

#include "logging/log.h"
#include "relay/forwarded_link.h"
#include "relay/forwarded_parts.h"
#include "relay/relay.h"

// Exchanges that other instances carry out for this one, since it cannot reach
// an upstream, and those that this one carries out for them.
namespace hawthorn::relay {

void Relay::SetForwarders(const std::vector<schema::Forwarder>& forwarders) {
  if (parts_.peers == nullptr) {
    return;
  }
  std::vector<ForwarderInfo> listed;
  for (const schema::Forwarder& it : forwarders) {
    const core::Status status = parts_.peers->SetPeer(
        core::InstanceId(it.instance()), it.peer_address());
    if (!core::IsOk(status)) {
      logging::Log(logging::LogLevel::kWarn, "unusable forwarder",
                   {{"instance", it.instance()},
                    {"reason", core::ErrorOf(status).message}});
      continue;
    }
    listed.push_back({it.instance(), it.zone()});
  }
  for (const std::string& it : forwarders_.Set(listed, parts_.clock.Now())) {
    parts_.peers->RemovePeer(core::InstanceId(it));
  }
}

void Relay::OnForwardRequest(const schema::PeerMessage& message,
                             const peer::Replier& replier) {
  forward_server_.OnRequest(message.forward(), message.from(), replier);
}

schema::ForwardRequest Relay::ForwardRequestFor(const Upstream& upstream) {
  schema::ForwardRequest request;
  request.set_upstream(upstream.entry.upstream());
  request.set_started_at_ms(upstream.entry.started_at_ms());
  return request;
}

std::variant<ExchangeLink*, LinkFailure> Relay::OpenThroughForwarder(
    const RelayCall& call, const Upstream& upstream, bool must_be_fresh) {
  const auto forwarder =
      forwarders_.Choose(call.failed_forwarders(), parts_.clock.Now());
  if (!forwarder) {
    parts_.metrics.Count("relay_no_forwarder");
    return LinkFailure::kUnreachable;
  }
  parts_.metrics.Count("relay_forwarded");
  schema::ForwardRequest request = ForwardRequestFor(upstream);
  request.set_request_id(call.head().request_id);
  request.set_must_be_fresh(must_be_fresh);
  request.set_time_left_ms(call.TimeLeft().count());
  forwarded_links_.Add(upstream.entry.upstream());
  forwarders_.OnStarted(*forwarder);
  return new ForwardedLink(
      *parts_.peers, *forwarder, std::move(request),
      [this, forwarder = *forwarder](bool reached) {
        if (reached) {
          forwarders_.OnSuccess(forwarder, parts_.clock.Now());
        } else {
          forwarders_.OnFailure(forwarder, parts_.clock.Now());
        }
      },
      this);
}

void Relay::CheckDirect(const std::string& upstream,
                        std::function<void(bool)> on_checked) {
  const auto it = upstreams_.find(upstream);
  if (it == upstreams_.end()) {
    // It was removed and only finishes its open calls. If it fails, the
    // timeouts of the connection detect that.
    QMetaObject::invokeMethod(
        this, [on_checked = std::move(on_checked)] { on_checked(true); },
        Qt::QueuedConnection);
    return;
  }
  parts_.metrics.Count("relay_upstream_checks");
  links_.Check(upstream, it->second.address, std::move(on_checked));
}

bool Relay::HadContact() const {
  return links_.last_heard() != core::TimePoint() &&
         parts_.clock.Now() - links_.last_heard() < kContactTime;
}

void Relay::EnsureContact(const std::string& except,
                          std::function<void()> on_known) {
  const auto other =
      std::find_if(upstreams_.begin(), upstreams_.end(), [&](const auto& it) {
        return it.first != except &&
               paths_.Of(it.first) == UpstreamPath::kDirect &&
               !scheduler_.IsSuspended(core::UpstreamId(it.first));
      });
  if (HadContact() || other == upstreams_.end()) {
    on_known();
    return;
  }
  CheckAnswer(other->first, false,
              [on_known = std::move(on_known)](bool) { on_known(); });
}

void Relay::CheckLink(const RelayCall& call,
                      std::function<void(ReachCheck)> on_checked) {
  const std::string& upstream = call.summary().last_upstream;
  const std::string forwarder =
      call.link() == nullptr ? "" : call.link()->forwarder();
  const auto it = upstreams_.find(upstream);
  const bool is_direct = forwarder.empty() && it != upstreams_.end();
  if (is_direct && IsHalfOpen(it->second, call.sent_at())) {
    QMetaObject::invokeMethod(
        this,
        [on_checked = std::move(on_checked)] {
          on_checked(ReachCheck::kHalfOpen);
        },
        Qt::QueuedConnection);
    return;
  }
  const bool asks_answer =
      it != upstreams_.end() &&
      silence_.TakeQuestion(upstream, call.sent_at(), HeardOf(it->second),
                            parts_.clock.Now());
  if (is_direct && asks_answer) {
    CheckHalfOpen(upstream, [on_checked =
                                 std::move(on_checked)](bool is_half_open) {
      on_checked(is_half_open ? ReachCheck::kHalfOpen : ReachCheck::kReachable);
    });
    return;
  }
  if (forwarder.empty() || it == upstreams_.end()) {
    CheckDirect(upstream, [on_checked = std::move(on_checked)](bool reachable) {
      on_checked(reachable ? ReachCheck::kReachable : ReachCheck::kUnreachable);
    });
    return;
  }
  AskForwarder(forwarder, it->second,
               asks_answer ? Question::kAnswer : Question::kConnection,
               std::move(on_checked));
}

void Relay::CheckAlive(const std::string& upstream,
                       std::function<void(bool)> on_checked) {
  CheckDirect(upstream, [this, upstream, on_checked = std::move(on_checked)](
                            bool reachable) mutable {
    if (reachable) {
      on_checked(true);
      return;
    }
    EnsureContact(upstream, [this, upstream,
                             on_checked = std::move(on_checked)]() mutable {
      ProbeForwarders(upstream, std::move(on_checked));
    });
  });
}

void Relay::AskForwarder(const std::string& forwarder, const Upstream& upstream,
                         Question question,
                         std::function<void(ReachCheck)> on_answer) {
  const bool needs_answer = question == Question::kAnswer;
  schema::PeerMessage message;
  *message.mutable_forward() = ForwardRequestFor(upstream);
  message.mutable_forward()->set_needs_answer(needs_answer);
  parts_.peers->Request(core::InstanceId(forwarder), std::move(message),
                        needs_answer ? kAnswerProbeTimeout : kProbeTimeout,
                        [guard = QPointer<Relay>(this), forwarder,
                         on_answer = std::move(on_answer)](
                            const core::Result<schema::PeerMessage>& reply) {
                          if (!guard) {
                            return;
                          }
                          const schema::ForwardEnd end =
                              core::IsOk(reply)
                                  ? core::Value(reply).forwarded().end()
                                  : schema::FORWARD_END_UNSPECIFIED;
                          const core::TimePoint now = guard->parts_.clock.Now();
                          switch (end) {
                            case schema::FORWARD_END_COMPLETE:
                              guard->forwarders_.OnSuccess(forwarder, now);
                              on_answer(ReachCheck::kReachable);
                              return;
                            case schema::FORWARD_END_SILENT:
                              on_answer(ReachCheck::kSilent);
                              return;
                            case schema::FORWARD_END_UNREACHABLE:
                              on_answer(ReachCheck::kUnreachable);
                              return;
                            default:
                              guard->forwarders_.OnFailure(forwarder, now);
                              on_answer(ReachCheck::kUnknown);
                          }
                        });
}

void Relay::ProbeForwarders(const std::string& upstream,
                            std::function<void(bool)> on_answer) {
  std::vector<std::function<void(bool)>>& waiting = probes_[upstream];
  const bool is_running = !waiting.empty();
  waiting.push_back(std::move(on_answer));
  if (is_running) {
    return;
  }
  const auto it = upstreams_.find(upstream);
  const std::vector<std::string> asked =
      it == upstreams_.end()
          ? std::vector<std::string>()
          : forwarders_.ChooseProbes(kProbes, parts_.clock.Now());
  if (asked.empty()) {
    QMetaObject::invokeMethod(
        this, [this, upstream] { OnProbed(upstream, "", false); },
        Qt::QueuedConnection);
    return;
  }
  parts_.metrics.Count("relay_probes", asked.size());
  struct Answers {
    size_t missing = 0;
    bool unreachable = false;
  };
  const auto answers = std::make_shared<Answers>(Answers{asked.size(), false});
  for (const std::string& forwarder : asked) {
    AskForwarder(
        forwarder, it->second, Question::kConnection,
        [this, upstream, forwarder, answers](ReachCheck result) {
          if (answers->missing == 0) {
            return;
          }
          --answers->missing;
          if (result == ReachCheck::kReachable) {
            answers->missing = 0;
            OnProbed(upstream, forwarder, true);
            return;
          }
          answers->unreachable =
              answers->unreachable || result == ReachCheck::kUnreachable;
          if (answers->missing == 0) {
            // The word of this instance counts like that of others.
            OnProbed(upstream, "", !answers->unreachable && !HadContact());
          }
        });
  }
}

void Relay::OnProbed(const std::string& upstream, const std::string& reached_by,
                     bool may_be_alive) {
  const bool reached = !reached_by.empty();
  const auto waiting = std::exchange(probes_[upstream], {});
  probes_.erase(upstream);
  const bool is_new = reached && upstreams_.contains(upstream) &&
                      paths_.Of(upstream) == UpstreamPath::kDirect;
  if (is_new) {
    paths_.SetForwarded(upstream, parts_.clock.Now());
    // Idle connections would count against this instance's share of the
    // connection limit.
    links_.Forget(upstream);
    parts_.metrics.Count("relay_paths_forwarded");
    logging::Log(logging::LogLevel::kWarn,
                 "upstream reached through other instances",
                 {{"upstream", upstream},
                  {"forwarder", reached_by},
                  {"forwarded", std::to_string(paths_.forwarded_count())},
                  {"known", std::to_string(upstreams_.size())}});
    StartChecks();
  }
  if (reached) {
    scheduler_.Resume(core::UpstreamId(upstream));
    SchedulePump();
  }
  for (const auto& it : waiting) {
    if (it) {
      it(may_be_alive);
    }
  }
  if (is_new && parts_.clock.Now() >= next_survey_) {
    // This instance is partitioned, probably from other upstreams too.
    next_survey_ = parts_.clock.Now() + kSurveyInterval;
    SurveyUpstreams("another one is reached only through other instances",
                    [](const schema::UpstreamEntry&) { return true; });
  }
}

void Relay::SurveyUpstreams(
    const char* reason,
    const std::function<bool(const schema::UpstreamEntry&)>& includes) {
  for (const auto& [id, upstream] : upstreams_) {
    if (!includes(upstream.entry) ||
        paths_.Of(id) == UpstreamPath::kForwarded ||
        scheduler_.IsSuspended(core::UpstreamId(id))) {
      continue;
    }
    CheckDirect(id, [this, id = id, reason](bool reachable) {
      if (!reachable) {
        Suspend(id, reason);
      }
    });
  }
}

void Relay::Suspend(const std::string& upstream, const char* reason) {
  if (!upstreams_.contains(upstream) ||
      paths_.Of(upstream) == UpstreamPath::kForwarded) {
    return;
  }
  scheduler_.Suspend(core::UpstreamId(upstream), parts_.clock.Now());
  LogUnreachable(upstream, reason);
  StartChecks();
  ProbeForwarders(upstream, nullptr);
}

void Relay::CheckForwardedPaths() {
  for (const std::string& id : paths_.TakeDueChecks(parts_.clock.Now())) {
    const auto on_checked = [this, id](bool reachable) {
      if (paths_.OnDirectCheck(id, reachable, parts_.clock.Now())) {
        parts_.metrics.Count("relay_paths_direct_again");
        logging::Log(logging::LogLevel::kInfo,
                     "upstream reached directly again",
                     {{"upstream", id},
                      {"forwarded", std::to_string(paths_.forwarded_count())}});
      }
    };
    if (paths_.NeedsAnswer(id)) {
      CheckAnswer(id, true, on_checked);
    } else {
      CheckDirect(id, on_checked);
    }
  }
}

std::optional<schema::ForwardEnd> Relay::ForwardObstacle(
    const schema::ForwardRequest& request) const {
  const auto it = upstreams_.find(request.upstream());
  if (it == upstreams_.end() ||
      it->second.entry.started_at_ms() != request.started_at_ms()) {
    return schema::FORWARD_END_UNKNOWN_UPSTREAM;
  }
  if (paths_.Of(request.upstream()) == UpstreamPath::kForwarded) {
    return schema::FORWARD_END_PARTITIONED;
  }
  if (scheduler_.IsSuspended(core::UpstreamId(request.upstream()))) {
    return schema::FORWARD_END_UNREACHABLE;
  }
  return std::nullopt;
}

std::variant<UpstreamLink*, schema::ForwardEnd> Relay::OpenForwarded(
    const schema::ForwardRequest& request) {
  if (parts_.buffers != nullptr && parts_.buffers->IsOver()) {
    parts_.metrics.Count("relay_forward_refused_buffers");
    return schema::FORWARD_END_REFUSED;
  }
  if (const auto obstacle = ForwardObstacle(request)) {
    return *obstacle == schema::FORWARD_END_UNREACHABLE ? UnreachableEnd()
                                                        : *obstacle;
  }
  const std::string& id = request.upstream();
  parts_.metrics.Count("relay_forwarded_for_others");
  served_links_.Add(id);
  return links_.Acquire(id, upstreams_.at(id).address, request.must_be_fresh(),
                        request.request_id());
}

void Relay::CloseForwarded(const schema::ForwardRequest& request,
                           UpstreamLink* link, const ResponseInfo& response) {
  const std::string& id = request.upstream();
  served_links_.Remove(id);
  const auto it = upstreams_.find(id);
  const bool is_kept = it != upstreams_.end() &&
                       !IsDraining(it->second.entry) && !response.draining &&
                       links_.OpenCount(id) <= ConnectionLimit(it->second);
  ReturnLink({id, request.started_at_ms(), request.request_id()}, is_kept, link,
             response);
}

void Relay::CheckForwarded(const schema::ForwardRequest& request,
                           std::function<void(schema::ForwardEnd)> on_checked) {
  const auto report_unreachable = [this, id = request.upstream(), on_checked] {
    EnsureContact(id, [this, on_checked] { on_checked(UnreachableEnd()); });
  };
  if (const auto obstacle = ForwardObstacle(request)) {
    if (*obstacle == schema::FORWARD_END_UNREACHABLE) {
      report_unreachable();
    } else {
      on_checked(*obstacle);
    }
    return;
  }
  if (request.needs_answer()) {
    AnswerWhetherHeard(request, std::move(on_checked));
    return;
  }
  CheckDirect(request.upstream(),
              [on_checked, report_unreachable](bool reachable) {
                if (reachable) {
                  on_checked(schema::FORWARD_END_COMPLETE);
                } else {
                  report_unreachable();
                }
              });
}

void Relay::OnForwardedEnded(const schema::ForwardRequest& request,
                             const std::string& origin, schema::ForwardEnd end,
                             const std::string& reason) {
  logging::Log(logging::LogLevel::kInfo, "exchange forwarded",
               {{"request", request.request_id()},
                {"origin", origin},
                {"upstream", request.upstream()},
                {"end", ToString(end)},
                {"reason", reason}});
  const bool failed_to_connect = end == schema::FORWARD_END_UNREACHABLE ||
                                 end == schema::FORWARD_END_PARTITIONED;
  if (failed_to_connect &&
      !scheduler_.IsSuspended(core::UpstreamId(request.upstream()))) {
    Suspend(request.upstream(), "an exchange of another instance failed");
  }
}

}  // namespace hawthorn::relay
