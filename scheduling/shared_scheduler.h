#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "core/clock.h"
#include "core/error.h"
#include "core/id.h"
#include "scheduling/admission_controller.h"
#include "scheduling/call.h"
#include "scheduling/shared_pool.h"

namespace hawthorn::scheduling {

/// Order in which queued calls are dispatched.
struct SharedQueueOrder {
  /// Calls of programs that have already been served go first: the work spent
  /// on such a program is lost if it fails.
  bool started_first = true;
  /// Among these, the more urgent kinds of calls go first.
  bool by_priority = true;

  bool operator==(const SharedQueueOrder&) const = default;
};

/// Scheduler of one of many instances that share all upstreams. Deterministic;
/// not thread-safe; `now` must never decrease.
class SharedScheduler {
 public:
  struct Settings {
    core::ZoneId zone;
    uint64_t seed = 1;
    SharedPlacement placement = SharedPlacement::kCost;
    SharedQueueOrder order;
    /// Maximum number of queued calls of one service.
    size_t max_queued = 2000;
    /// Expected wait beyond which the first call of a program is refused. A
    /// program that retries early enough can still meet its objective.
    std::chrono::milliseconds max_first_wait{400};
    /// The same while request limits hold calls up. Such a wait meets each call
    /// of a program, so that programs that are let in slowly all end late.
    std::chrono::milliseconds max_first_limited_wait{50};
    /// Whether programs are admitted by AdmissionController under overload.
    bool admission = false;
  };

  /// By how much a wait for the request limits of several upstreams may exceed
  /// its estimate, since their slots are not spread evenly.
  static constexpr std::chrono::milliseconds kLimitWaitMargin{200};

  /// Interval at which a full pool is checked again. No event tells when calls
  /// of other instances end.
  static constexpr std::chrono::milliseconds kRecheckInterval{15};

  /// Calls of one service that are passed over in a row because the memory of
  /// all upstreams is too full for them. Looking at more costs time and finds
  /// few that fit.
  static constexpr size_t kMaxPassedOver = 16;

  explicit SharedScheduler(Settings settings);

  /// Queues a call. Errors: kOverloaded with a retry_after if the queue is
  /// full, or if the call is the first of its program and the expected wait is
  /// too long; kDeadlineExceeded if the expected wait exceeds the deadline;
  /// kNotFound if no upstream has the software version of the call;
  /// kInvalidArgument if it exceeds the memory of each of these; kLimitExceeded
  /// if all upstreams limit their requests and the call cannot be sent in time;
  /// kUnavailable if the service has no upstreams.
  core::Status Enqueue(const CallRequest& call, core::TimePoint now);
  /// Software version that the stream of a new call is best bound to.
  std::string ProposeVersion(const CallRequest& call, core::TimePoint now);
  /// Software versions of the upstreams of a service that are not shutting
  /// down.
  std::set<std::string> Versions(const core::ServiceId& service);
  /// Removes a queued call; returns false if it is not queued.
  bool Cancel(CallId call);
  void SetUpstream(const UpstreamState& state, core::TimePoint now);
  /// Sets the number of instances that share the request limits of the
  /// upstreams.
  void SetInstanceCount(size_t instances, core::TimePoint now);
  /// Whether a running call may be sent to its upstream once more now, without
  /// passing through the queue; counts it against the request limit if so.
  bool TakeRepeat(CallId call, core::TimePoint now);
  void RemoveUpstream(const core::UpstreamId& upstream);
  void OnReport(const core::UpstreamId& upstream, const LoadReport& report);
  /// Takes the speed of an upstream; see SharedPool.
  void OnSlowdown(const core::UpstreamId& upstream, double slowdown,
                  core::TimePoint taken_at);
  /// Slow upstreams of all services.
  size_t SlowCount(core::TimePoint now) const;
  /// Sends no calls to an upstream until Resume; see SharedPool.
  void Suspend(const core::UpstreamId& upstream, core::TimePoint now);
  void Resume(const core::UpstreamId& upstream);
  std::vector<core::UpstreamId> DueChecks(core::TimePoint now) const;
  bool HasSuspended() const;
  bool IsSuspended(const core::UpstreamId& upstream) const;
  /// Number of suspended upstreams of all services.
  size_t SuspendedCount() const;
  void OnFinished(const CallResult& result, core::TimePoint now);
  /// Calls to send now; each counts as running until OnFinished. Never returns
  /// a call whose deadline has passed, however long the process was suspended.
  std::vector<Dispatch> Next(core::TimePoint now);
  /// Removes and returns the queued calls whose deadline has passed, the first
  /// calls of programs that have been queued for longer than max_first_wait,
  /// and those that the request limits will keep from being sent in time; they
  /// did not run.
  std::vector<Refusal> TakeRefused(core::TimePoint now);
  std::optional<core::TimePoint> NextWakeUp(core::TimePoint now) const;
  size_t queued() const { return queued_; }
  /// Queued calls that the last Next did not send for want of memory.
  size_t lacking_memory() const { return lacking_memory_; }

  /// State of the admission control of one service.
  struct Admission {
    core::ServiceId service;
    /// A program was refused within the last second.
    bool is_refusing = false;
    /// Part of the slots that counts as usable.
    double usable = 1;
    /// Extra time of turns, as a fraction of their time on an idle upstream.
    double stretch = 0;
    /// Refusals since the start.
    uint64_t refused = 0;
  };
  std::vector<Admission> Admissions(core::TimePoint now) const;

 private:
  /// Rank, then sequence number of arrival.
  using QueueKey = std::pair<int64_t, uint64_t>;
  struct Queued {
    CallRequest call;
    core::TimePoint since;
  };
  using Queue = std::map<QueueKey, Queued>;
  struct Service {
    explicit Service(SharedPool pool) : pool(std::move(pool)) {}
    SharedPool pool;
    Queue queue;
    AdmissionController admission;
    /// Until when the callers that were refused for request limits will use up
    /// this instance's share.
    core::TimePoint promised_until;
  };
  struct Running {
    core::ServiceId service;
    core::UpstreamId upstream;
    core::TimePoint since;
    std::chrono::duration<double> queued{0};
    int64_t tokens_to_read = 0;
    bool begun = true;
  };

  Service& ServiceOf(const core::ServiceId& service);
  std::chrono::milliseconds ExpectedWait(const Service& service,
                                         const SharedPool::Capacity& capacity,
                                         size_t ahead) const;
  /// Whether a call that has been queued for `queued` and will wait for `wait`
  /// until the request limits allow it is too late then.
  bool IsTooLate(const Service& service, const CallRequest& call,
                 std::chrono::milliseconds queued,
                 std::chrono::milliseconds wait, core::TimePoint now) const;
  /// Refuses a call for the request limits. Each refusal is told a later time,
  /// so that the callers do not return together.
  core::Error LimitRefusal(Service* service, const CallRequest& call,
                           const SharedPool::Capacity& capacity,
                           core::TimePoint now) const;
  /// Refuses the queued calls that request limits will keep from being sent in
  /// time.
  void RefuseBeyondLimits(Service* service, core::TimePoint now);
  /// Informs the admission control of the load.
  void ObserveLoad(Service* service,
                   const SharedPool::Capacity& capacity) const;
  int64_t RankOf(const CallRequest& call) const;
  /// Refusal of a call that could not be sent in time, since all upstreams were
  /// full or unreachable.
  core::Error NoRoom(const Service& service, core::TimePoint now) const;
  /// Moves a queued call to the refusals; returns the one after it.
  Queue::iterator Refuse(Queue* queue, Queue::iterator it, core::Error error);

  Settings settings_;
  std::map<core::ServiceId, Service> services_;
  std::unordered_map<core::UpstreamId, core::ServiceId> service_of_;
  std::unordered_map<CallId, std::pair<core::ServiceId, QueueKey>> queued_keys_;
  std::unordered_map<CallId, Running> running_;
  std::vector<Refusal> refused_;
  size_t instances_ = 1;
  uint64_t arrivals_ = 0;
  size_t queued_ = 0;
  size_t lacking_memory_ = 0;
};

}  // namespace hawthorn::scheduling
