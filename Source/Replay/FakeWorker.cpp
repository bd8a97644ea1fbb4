/// \file
/// Tasks of one fake worker.

#include "FakeWorker.h"

#include <algorithm>

namespace balsamlatch::replay {

namespace {

constexpr Duration FailsAfter = std::chrono::milliseconds(1);

} // namespace

bool FakeWorker::order(FakeOrder Order) {
  if (Mode == WorkerMode::Down) {
    Order.Reply(TaskEnd::NotSent);
    return false;
  }
  if (Draining || Mode == WorkerMode::RefusesAll ||
      Running.size() >= View.Slots) {
    Order.Reply(TaskEnd::Refused);
    return false;
  }
  const std::uint64_t Id = Order.Task;
  const Task &Started =
      Running.emplace(Id, Task{std::move(Order)}).first->second;
  const FakeOrder &Took = Started.Order;
  if (Mode == WorkerMode::FailsAll || Took.JobFails ||
      Took.Size.MemoryMiB > Capacity.MemoryMiB) {
    Time.after(FailsAfter, [this, Id] { end(Id, TaskEnd::Failed); });
    return true;
  }
  const Duration Runs(
      static_cast<std::int64_t>(double(Took.RunTime.count()) * slowness()));
  // The worker stops a task when its lease runs out.
  const bool InTime = Mode != WorkerMode::Hangs && Runs <= Took.Lease;
  Time.after(InTime ? Runs : Took.Lease, [this, Id, InTime] {
    end(Id, InTime ? TaskEnd::Answered : TaskEnd::Lost);
  });
  return true;
}

/// Tasks that together want more cores than there are take longer.
double FakeWorker::slowness() const {
  double Wanted = 0;
  for (const auto &[Id, T] : Running) {
    Wanted += T.Order.Size.MilliCores;
  }
  const double Crowded = Wanted / std::max(1U, Capacity.MilliCores);
  return std::max(1.0, Crowded) *
         (Mode == WorkerMode::Slow ? double(SlowFactor) : 1.0);
}

void FakeWorker::end(std::uint64_t Id, TaskEnd End) {
  const auto Found = Running.find(Id);
  if (Found == Running.end()) {
    return;
  }
  Ending();
  const std::function<void(TaskEnd)> Reply =
      std::move(Found->second.Order.Reply);
  Running.erase(Found);
  Reply(End);
}

void FakeWorker::cancel(std::uint64_t Id,
                        const std::function<void()> &Confirmed) {
  if (Mode == WorkerMode::Down || Mode == WorkerMode::Hangs) {
    return;
  }
  Running.erase(Id);
  Confirmed();
}

void FakeWorker::setMode(WorkerMode Wanted, std::uint32_t Factor) {
  Mode = Wanted;
  SlowFactor = Factor;
  if (Wanted != WorkerMode::Down) {
    return;
  }
  ++BootCount;
  while (!Running.empty()) {
    end(Running.begin()->first, TaskEnd::Lost);
  }
}

WorkerReport FakeWorker::report() const {
  WorkerReport Report;
  Report.Draining = Draining;
  Report.SlotsInUse = slotsInUse();
  Report.SlotsTotal = View.Slots;
  Report.BootCount = BootCount;
  for (const auto &[Id, T] : Running) {
    Report.Running.push_back({std::to_string(Id), T.Order.Job,
                              T.Order.Size.MilliCores, T.Order.Size.MemoryMiB});
  }
  return Report;
}

} // namespace balsamlatch::replay
