// Measures the control group's state machine by the number of organisations: a
// change of one organisation, a whole configuration, snapshots, and the update
// that another instance pulls.

#include <malloc.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <string>
#include <vector>

#include "control/configuration_tracker.h"
#include "control/control_state.h"
#include "control/key.h"
#include "core/clock.h"

namespace hawthorn::control {
namespace {

constexpr std::array<int, 4> kSizes = {100, 1'000, 10'000, 45'000};
constexpr int kChanges = 500;
constexpr int64_t kNowMs = 1'764'800'000'000;

using Microseconds = std::chrono::duration<double, std::micro>;

class Bench {
 public:
  explicit Bench(int organisations) : organisations_(organisations) {}

  void Run() {
    const size_t before = HeapBytes();
    const double whole_us = Time([&] { ApplyWhole(); });
    const size_t heap = HeapBytes() - before;
    std::vector<double> changes;
    for (int i = 0; i < kChanges; ++i) {
      const schema::ControlCommand command = Change(i);
      changes.push_back(Time([&] { state_.Apply(command); }));
    }
    std::sort(changes.begin(), changes.end());
    std::string snapshot;
    const double save_us = Time([&] { snapshot = state_.Snapshot(); });
    ControlState restored;
    const double load_us = Time([&] { restored.Restore(snapshot); });
    const auto update = state_.UpdateFrom(state_.revision() - 1);
    const double update_us = MedianUpdateTime();
    std::printf(
        "| %d | %.0f | %.0f | %.1f | %.0f | %.1f | %.1f | %.1f | %zu | %.1f "
        "|\n",
        organisations_, changes[changes.size() / 2],
        changes[changes.size() * 99 / 100], whole_us / 1000,
        static_cast<double>(snapshot.size()) / 1024, save_us / 1000,
        load_us / 1000, static_cast<double>(heap) / 1024 / 1024,
        update.ByteSizeLong(), update_us);
  }

 private:
  // Median time in which another instance applies one change.
  double MedianUpdateTime() {
    ConfigurationTracker tracker({"a-1", "a"}, {}, TrackerTimes(),
                                 clock_.Now());
    tracker.ApplyUpdate(state_.UpdateFrom(0));
    std::vector<double> update_times;
    for (int i = 0; i < kChanges; ++i) {
      state_.Apply(Change(kChanges + i));
      const schema::ConfigurationUpdate update =
          state_.UpdateFrom(tracker.revision());
      update_times.push_back(Time([&] { tracker.ApplyUpdate(update); }));
    }
    std::sort(update_times.begin(), update_times.end());
    return update_times[update_times.size() / 2];
  }

  template <typename F>
  double Time(const F& body) {
    const core::TimePoint begin = clock_.Now();
    body();
    return Microseconds(clock_.Now() - begin).count();
  }

  static size_t HeapBytes() {
    const struct mallinfo2 info = mallinfo2();
    return info.uordblks + info.hblkhd;
  }

  schema::Organisation MakeOrganisation(int n, uint32_t weight) {
    schema::Organisation organisation;
    organisation.set_id("organisation-" + std::to_string(n));
    organisation.set_weight(weight);
    organisation.set_daily_tokens(1'000'000);
    schema::KeyDigest& key = *organisation.add_keys();
    key.set_id("key-" + std::to_string(n));
    key.set_salt(std::string(16, 's'));
    key.set_digest(HashKey(key.id(), key.salt()));
    return organisation;
  }

  void ApplyWhole() {
    schema::ControlCommand command;
    command.set_wall_ms(kNowMs);
    schema::ApplyConfiguration& apply = *command.mutable_apply();
    apply.set_author("bench");
    apply.set_operation("1-first");
    apply.mutable_configuration()->set_weight_store_concurrent_loads(1);
    for (int n = 0; n < organisations_; ++n) {
      *apply.mutable_configuration()->add_organisations() =
          MakeOrganisation(n, 1);
    }
    state_.Apply(command);
  }

  schema::ControlCommand Change(int i) {
    schema::ControlCommand command;
    command.set_wall_ms(kNowMs + i);
    schema::PatchConfiguration& patch = *command.mutable_patch();
    patch.set_expected_revision(state_.revision());
    patch.set_author("bench");
    patch.set_operation(std::to_string(kNowMs + i) + "-bench");
    *patch.mutable_patch()->add_put_organisations() =
        MakeOrganisation(i * 7 % organisations_, 2 + i % 9);
    return command;
  }

  core::SystemClock clock_;
  int organisations_;
  ControlState state_;
};

}  // namespace
}  // namespace hawthorn::control

int main() {
  std::printf(
      "| Organisations | Change, median us | Change, p99 us | Whole, ms | "
      "Snapshot, KiB | Save, ms | Load, ms | Heap, MiB | Update, bytes "
      "| Take, median us |\n"
      "|---|---|---|---|---|---|---|---|---|---|\n");
  for (const int size : hawthorn::control::kSizes) {
    hawthorn::control::Bench(size).Run();
  }
  return 0;
}
