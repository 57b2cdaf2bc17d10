#include "main/daemon.h"

#include <QRandomGenerator>
#include <algorithm>
#include <utility>

#include "storage/memory_log_store.h"
#include "storage/segment_store.h"

namespace hawthorn::main {

namespace {

/// Maximum time that the decision thread waits for an event.
constexpr std::chrono::milliseconds kMaxEventWait{5};
/// Maximum number of events handled between two ticks.
constexpr int kEventsPerTick = 256;

transport::ListenerLimits LimitsOf(const schema::Limits& limits) {
  transport::ListenerLimits result;
  result.framing.max_head_bytes = limits.max_header_bytes();
  result.framing.max_body_bytes = limits.max_body_bytes();
  result.max_connections = limits.max_connections();
  result.max_connections_per_client = limits.max_connections_per_client();
  result.idle_timeout = std::chrono::milliseconds(limits.idle_timeout_ms());
  result.request_timeout =
      std::chrono::milliseconds(limits.request_timeout_ms());
  return result;
}

uint64_t Random() { return QRandomGenerator::system()->generate64(); }

}  // namespace

Daemon::Daemon(const schema::Settings& settings, const Secrets& secrets,
               const core::Clock& clock)
    : settings_(settings), secrets_(secrets), clock_(clock) {}

Daemon::~Daemon() {
  stopping_ = true;
  events_.Close();
  if (decision_thread_.joinable()) {
    decision_thread_.join();
  }
  if (journal_) {
    journal_->Stop();
  }
  if (peers_) {
    peers_->Stop();
  }
  if (upstreams_) {
    upstreams_->Stop();
  }
}

void Daemon::PushOrWait(Event event) { events_.Push(std::move(event)); }

core::Result<std::unique_ptr<storage::LogStore>> Daemon::OpenStore(
    const std::string& group) {
  if (settings_.data_folder().empty()) {
    return std::make_unique<storage::MemoryLogStore>(Random() | 1);
  }
  std::string folder = group;
  std::replace(folder.begin(), folder.end(), '/', '-');
  storage::SegmentStoreOptions options;
  options.folder = settings_.data_folder() + "/" + folder;
  auto store = storage::SegmentStore::Open(options, &files_);
  if (!core::IsOk(store)) {
    return core::ErrorOf(store);
  }
  return core::TakeValue(std::move(store));
}

core::Status Daemon::Start(const schema::Configuration& first_configuration) {
  const auto push = [this](Event event) { PushOrWait(std::move(event)); };
  http_ = std::make_unique<HttpThread>(
      LimitsOf(settings_.limits()), clock_,
      [this](Event event) { return events_.TryPush(std::move(event)); });
  upstreams_ = std::make_unique<UpstreamThread>(push);
  journal_ = std::make_unique<storage::JournalThread>(push);
  peer::PeerOptions options;
  options.self = core::InstanceId(settings_.instance());
  options.listen_address = settings_.peer_listen();
  options.key = secrets_.peer_key;
  options.seed = Random();
  peers_ = std::make_unique<PeerThread>(options, push);
  auto instance = Instance::Open(
      Instance::Parts{clock_, metrics_, *http_, *upstreams_, *peers_, *journal_,
                      Random},
      settings_, secrets_, first_configuration,
      [this](const std::string& group) { return OpenStore(group); });
  if (!core::IsOk(instance)) {
    return core::ErrorOf(instance);
  }
  instance_ = core::TakeValue(std::move(instance));
  if (settings_.test_hooks().allow_link_cuts()) {
    instance_->AllowLinkCuts([this](std::set<core::InstanceId> cut) {
      peers_->CutLinks(std::move(cut));
    });
  }
  decision_thread_ = std::thread([this] { RunDecisionLoop(); });
  const auto peer_port = peers_->Listen(settings_);
  if (!core::IsOk(peer_port)) {
    return core::ErrorOf(peer_port);
  }
  const auto http_port = http_->Listen(settings_.http_listen());
  if (!core::IsOk(http_port)) {
    return core::ErrorOf(http_port);
  }
  peer_port_ = core::Value(peer_port);
  http_port_ = core::Value(http_port);
  return std::monostate();
}

void Daemon::Drain() { PushOrWait(DrainRequested{}); }

void Daemon::RunDecisionLoop() {
  bool quitting = false;
  while (!stopping_) {
    auto event = events_.Pop(kMaxEventWait);
    for (int n = 0; event && n < kEventsPerTick; ++n) {
      instance_->Handle(std::move(*event));
      event = events_.TryPop();
    }
    if (event) {
      instance_->Handle(std::move(*event));
    }
    instance_->Tick();
    if (instance_->Finished() && !quitting) {
      quitting = true;
      http_->FinishAndQuit();
    }
  }
}

}  // namespace hawthorn::main
