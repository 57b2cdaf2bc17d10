#include "relay/upstream_link_pool.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace hawthorn::relay {

namespace {

/// Interval at which expired idle connections are closed.
constexpr std::chrono::milliseconds kExpiryInterval{1000};

}  // namespace

UpstreamLinkPool::UpstreamLinkPool(const core::Clock& clock,
                                   transport::BufferBudget* buffers,
                                   QObject* parent)
    : QObject(parent), clock_(clock), buffers_(buffers) {
  connect(&expiry_timer_, &QTimer::timeout, this,
          &UpstreamLinkPool::CloseExpired);
}

UpstreamLink* UpstreamLinkPool::TakeIdle(Links* links, size_t index) {
  UpstreamLink* link = links->idle[index].link;
  links->idle.erase(links->idle.begin() + static_cast<ptrdiff_t>(index));
  link->SetIdleEndHandler(nullptr);
  return link;
}

UpstreamLink* UpstreamLinkPool::Acquire(const std::string& upstream,
                                        const transport::SocketAddress& address,
                                        bool must_be_fresh,
                                        const std::string& request_id) {
  Links& links = links_[upstream];
  const core::TimePoint now = clock_.Now();
  ++links.in_use;
  const auto close = [](UpstreamLink* link) {
    link->Abandon();
    link->deleteLater();
  };
  std::optional<size_t> carried;
  for (size_t i = links.idle.size(); i-- > 0;) {
    const IdleLink& it = links.idle[i];
    const bool is_open = it.link->is_open();
    const bool is_fresh =
        !must_be_fresh || now - it.idle_since < kMaxFreshIdleTime;
    if (is_open && !is_fresh) {
      break;
    }
    if (!is_open || now >= it.expires_at) {
      close(TakeIdle(&links, i));
      carried.reset();
    } else if (!it.link->MayCarry(request_id)) {
      carried = i;
    } else {
      return TakeIdle(&links, i);
    }
  }
  if (carried) {
    // The new connection takes its place among those that are allowed.
    close(TakeIdle(&links, *carried));
  }
  return NewLink(upstream, address);
}

UpstreamLink* UpstreamLinkPool::NewLink(
    const std::string& upstream, const transport::SocketAddress& address) {
  ++opened_;
  auto* link = new UpstreamLink(address, buffers_, this);
  link->SetBytesHandler([this, upstream] {
    last_heard_ = links_[upstream].last_heard = clock_.Now();
  });
  return link;
}

core::TimePoint UpstreamLinkPool::LastHeard(const std::string& upstream) const {
  const auto it = links_.find(upstream);
  return it == links_.end() ? core::TimePoint() : it->second.last_heard;
}

void UpstreamLinkPool::CheckAnswer(const std::string& upstream,
                                   const transport::SocketAddress& address,
                                   const std::string& request, bool must_be_new,
                                   std::function<void(bool)> on_checked) {
  Links& links = links_[upstream];
  links.answer_checks.push_back(std::move(on_checked));
  if (links.answer_checks.size() > 1) {
    return;
  }
  UpstreamLink* link = nullptr;
  if (must_be_new) {
    ++links.in_use;
    link = NewLink(upstream, address);
  } else {
    link = Acquire(upstream, address, false, {});
  }
  auto* timer = new QTimer(link);
  timer->setSingleShot(true);
  connect(timer, &QTimer::timeout, this,
          [this, upstream, link] { OnAnswerChecked(upstream, link, false); });
  timer->start(kAnswerTimeout);
  UpstreamLink::Events events;
  events.on_complete = [this, upstream, link, timer] {
    timer->stop();
    OnAnswerChecked(upstream, link, true);
  };
  events.on_failed = [this, upstream, link, timer](LinkFailure failure,
                                                   const std::string&) {
    timer->stop();
    // Malformed bytes prove as well that the path works in both directions.
    OnAnswerChecked(upstream, link, failure == LinkFailure::kMalformed);
  };
  link->Start(request, std::move(events));
}

void UpstreamLinkPool::OnAnswerChecked(const std::string& upstream,
                                       UpstreamLink* link, bool answered) {
  if (answered) {
    Release(upstream, link, kDefaultIdleTimeout);
  } else {
    Discard(upstream, link);
  }
  for (const auto& it : std::exchange(links_[upstream].answer_checks, {})) {
    it(answered);
  }
}

void UpstreamLinkPool::Check(const std::string& upstream,
                             const transport::SocketAddress& address,
                             std::function<void(bool)> on_checked) {
  Links& links = links_[upstream];
  links.checks.push_back(std::move(on_checked));
  if (links.checks.size() > 1) {
    return;
  }
  ++links.in_use;
  auto* link = NewLink(upstream, address);
  link->CheckConnection([this, upstream, link](bool connected) {
    if (connected) {
      Release(upstream, link, kDefaultIdleTimeout);
    } else {
      Discard(upstream, link);
    }
    for (const auto& it : std::exchange(links_[upstream].checks, {})) {
      it(connected);
    }
  });
}

void UpstreamLinkPool::Release(const std::string& upstream, UpstreamLink* link,
                               std::chrono::milliseconds idle_timeout) {
  Links& links = links_[upstream];
  links.in_use -= std::min<size_t>(links.in_use, 1);
  if (!link->reusable() || !link->is_open() ||
      links.idle.size() >= kMaxIdleConnections) {
    link->Abandon();
    link->deleteLater();
    return;
  }
  const core::TimePoint now = clock_.Now();
  links.idle.push_back(
      {link, now, now + idle_timeout * kIdleTimeoutPercent / 100});
  link->SetIdleEndHandler([this, upstream, link] { DropIdle(upstream, link); });
  if (!expiry_timer_.isActive()) {
    expiry_timer_.start(kExpiryInterval);
  }
}

void UpstreamLinkPool::Discard(const std::string& upstream,
                               UpstreamLink* link) {
  Links& links = links_[upstream];
  links.in_use -= std::min<size_t>(links.in_use, 1);
  link->Abandon();
  link->deleteLater();
}

void UpstreamLinkPool::DropIdle(const std::string& upstream,
                                UpstreamLink* link) {
  std::erase_if(links_[upstream].idle,
                [link](const IdleLink& it) { return it.link == link; });
  link->Abandon();
  link->deleteLater();
}

void UpstreamLinkPool::Forget(const std::string& upstream) {
  const auto it = links_.find(upstream);
  if (it == links_.end()) {
    return;
  }
  for (const IdleLink& idle : it->second.idle) {
    idle.link->Abandon();
    idle.link->deleteLater();
  }
  it->second.idle.clear();
}

size_t UpstreamLinkPool::OpenCount(const std::string& upstream) const {
  const auto it = links_.find(upstream);
  return it == links_.end() ? 0 : it->second.in_use + it->second.idle.size();
}

size_t UpstreamLinkPool::IdleCount(const std::string& upstream) const {
  const auto it = links_.find(upstream);
  return it == links_.end() ? 0 : it->second.idle.size();
}

size_t UpstreamLinkPool::TotalIdle() const {
  size_t total = 0;
  for (const auto& [id, links] : links_) {
    total += links.idle.size();
  }
  return total;
}

size_t UpstreamLinkPool::TotalInUse() const {
  size_t total = 0;
  for (const auto& [id, links] : links_) {
    total += links.in_use;
  }
  return total;
}

void UpstreamLinkPool::CloseExpired() {
  const core::TimePoint now = clock_.Now();
  bool any = false;
  for (auto& [upstream, links] : links_) {
    std::erase_if(links.idle, [now](const IdleLink& it) {
      if (it.link->is_open() && now < it.expires_at) {
        return false;
      }
      it.link->Abandon();
      it.link->deleteLater();
      return true;
    });
    any = any || !links.idle.empty();
  }
  if (!any) {
    expiry_timer_.stop();
  }
}

}  // namespace hawthorn::relay
