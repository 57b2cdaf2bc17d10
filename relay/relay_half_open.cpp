#include <algorithm>
#include <memory>
#include <utility>

#include "logging/log.h"
#include "relay/relay.h"

// Half-open paths: connections to an upstream are accepted and nothing is
// answered, while other instances get answers.
namespace hawthorn::relay {

SilenceWatch::Heard Relay::HeardOf(const Upstream& upstream) const {
  SilenceWatch::Heard heard;
  heard.upstream = links_.LastHeard(upstream.entry.upstream());
  for (const auto& [id, it] : upstreams_) {
    if (it.entry.zone() == upstream.entry.zone()) {
      heard.zone = std::max(heard.zone, links_.LastHeard(id));
    }
  }
  return heard;
}

void Relay::CheckAnswer(const std::string& upstream, bool must_be_new,
                        std::function<void(bool)> on_checked) {
  const auto it = upstreams_.find(upstream);
  if (it == upstreams_.end()) {
    QMetaObject::invokeMethod(
        this, [on_checked = std::move(on_checked)] { on_checked(true); },
        Qt::QueuedConnection);
    return;
  }
  parts_.metrics.Count("relay_answer_checks");
  links_.CheckAnswer(upstream, it->second.address, parts_.codec.EncodeProbe(),
                     must_be_new, std::move(on_checked));
}

bool Relay::IsHalfOpen(const Upstream& upstream,
                       core::TimePoint sent_at) const {
  const std::string& id = upstream.entry.upstream();
  return paths_.NeedsAnswer(id) && links_.LastHeard(id) < sent_at;
}

void Relay::CheckHalfOpen(const std::string& upstream,
                          std::function<void(bool)> on_known) {
  if (!half_open_checks_.insert(upstream).second) {
    // The check that runs tells the path, which the next check of the call
    // sees.
    QMetaObject::invokeMethod(
        this, [on_known = std::move(on_known)] { on_known(false); },
        Qt::QueuedConnection);
    return;
  }
  const auto end = [this, upstream,
                    on_known = std::move(on_known)](bool is_half_open) {
    half_open_checks_.erase(upstream);
    on_known(is_half_open);
  };
  CheckAnswer(upstream, false, [this, upstream, end](bool answered) {
    if (answered) {
      end(false);
      return;
    }
    FindAnswering(upstream, [this, upstream, end](const std::string& by) {
      if (by.empty()) {
        // It pauses, or nobody can tell.
        end(false);
        return;
      }
      // It may have paused until the other instance asked it, and an old
      // connection may be broken while new ones work.
      CheckAnswer(upstream, true, [this, upstream, by, end](bool is_answered) {
        if (!is_answered) {
          MarkHalfOpen(upstream, by);
        }
        end(!is_answered);
      });
    });
  });
}

void Relay::FindAnswering(
    const std::string& upstream,
    const std::function<void(const std::string&)>& on_found) {
  const auto it = upstreams_.find(upstream);
  const std::vector<std::string> asked =
      it == upstreams_.end()
          ? std::vector<std::string>()
          : forwarders_.ChooseProbes(kProbes, parts_.clock.Now());
  if (asked.empty()) {
    on_found("");
    return;
  }
  parts_.metrics.Count("relay_probes", asked.size());
  const auto missing = std::make_shared<size_t>(asked.size());
  for (const std::string& forwarder : asked) {
    AskForwarder(forwarder, it->second, Question::kAnswer,
                 [forwarder, missing, on_found](ReachCheck result) {
                   if (*missing == 0) {
                     return;
                   }
                   --*missing;
                   if (result == ReachCheck::kReachable) {
                     *missing = 0;
                     on_found(forwarder);
                   } else if (*missing == 0) {
                     on_found("");
                   }
                 });
  }
}

void Relay::MarkHalfOpen(const std::string& upstream,
                         const std::string& answered_to) {
  if (!upstreams_.contains(upstream) ||
      paths_.Of(upstream) == UpstreamPath::kForwarded) {
    return;
  }
  paths_.SetForwarded(upstream, parts_.clock.Now(), true);
  links_.Forget(upstream);
  parts_.metrics.Count("relay_paths_half_open");
  logging::Log(logging::LogLevel::kWarn, "path to an upstream is half-open",
               {{"upstream", upstream},
                {"answered_to", answered_to},
                {"forwarded", std::to_string(paths_.forwarded_count())},
                {"known", std::to_string(upstreams_.size())}});
  StartChecks();
  SchedulePump();
  const core::TimePoint now = parts_.clock.Now();
  if (now < next_half_open_survey_) {
    return;
  }
  next_half_open_survey_ = now + kSurveyInterval;
  for (const auto& [id, other] : upstreams_) {
    if (paths_.Of(id) == UpstreamPath::kDirect &&
        now - links_.LastHeard(id) >= kContactTime &&
        !scheduler_.IsSuspended(core::UpstreamId(id))) {
      CheckHalfOpen(id, [](bool) {});
    }
  }
}

void Relay::AnswerWhetherHeard(
    const schema::ForwardRequest& request,
    std::function<void(schema::ForwardEnd)> on_checked) {
  CheckAnswer(request.upstream(), false,
              [this, id = request.upstream(),
               on_checked = std::move(on_checked)](bool answered) {
                if (answered) {
                  on_checked(schema::FORWARD_END_COMPLETE);
                  return;
                }
                EnsureContact(id, [this, on_checked] {
                  on_checked(HadContact() ? schema::FORWARD_END_SILENT
                                          : schema::FORWARD_END_PARTITIONED);
                });
              });
}

}  // namespace hawthorn::relay
