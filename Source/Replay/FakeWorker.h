/// \file
/// A worker that takes as long for its tasks as the trace says.

#ifndef BALSAMLATCH_REPLAY_FAKEWORKER_H
#define BALSAMLATCH_REPLAY_FAKEWORKER_H

#include "Timeline.h"

#include "balsamlatch/Placement/Events.h"
#include "balsamlatch/Platform/Worker.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace balsamlatch::replay {

enum class WorkerMode { Sound, Down, FailsAll, RefusesAll, Hangs, Slow };

/// One order as the worker gets it.
struct FakeOrder {
  /// Unique over all entries.
  std::uint64_t Task = 0;
  JobName Job;
  Duration RunTime{};
  TaskSize Size;
  Duration Lease{};
  bool JobFails = false;
  std::function<void(TaskEnd)> Reply;
};

class FakeWorker {
public:
  /// \p BeforeEnd runs before a task gives its slot back.
  FakeWorker(placement::WorkerView Seen, TaskSize Offers, Timeline &Clock,
             std::function<void()> BeforeEnd)
      : View(std::move(Seen)), Capacity(Offers), Time(Clock),
        Ending(std::move(BeforeEnd)) {}

  /// Returns whether the task started; replies in any case, unless the worker
  /// hangs or is lost.
  bool order(FakeOrder Order);
  /// Confirms once the task doesn't run; never while the worker is down.
  void cancel(std::uint64_t Task, const std::function<void()> &Confirmed);

  void setMode(WorkerMode Wanted, std::uint32_t Factor);
  void setDraining(bool Now) { Draining = Now; }
  void setPool(const PoolName &Pool) { View.Pool = Pool; }

  const placement::WorkerView &view() const { return View; }
  WorkerMode mode() const { return Mode; }
  bool draining() const { return Draining; }
  std::uint32_t slotsInUse() const {
    return static_cast<std::uint32_t>(Running.size());
  }
  WorkerReport report() const;

private:
  struct Task {
    FakeOrder Order;
  };

  void end(std::uint64_t Task, TaskEnd End);
  double slowness() const;

  placement::WorkerView View;
  TaskSize Capacity;
  Timeline &Time;
  std::function<void()> Ending;
  WorkerMode Mode = WorkerMode::Sound;
  std::uint32_t SlowFactor = 1;
  bool Draining = false;
  std::uint64_t BootCount = 1;
  std::map<std::uint64_t, Task> Running;
};

} // namespace balsamlatch::replay

#endif // BALSAMLATCH_REPLAY_FAKEWORKER_H
