/// \file
/// Decides which tasks run isolated and which workers are kept free for them.

#include "balsamlatch/Dispatch/CrashIsolation.h"

#include <algorithm>

namespace balsamlatch::dispatch {

namespace {

/// After this time a task is no longer isolated, since no worker may ever
/// become vacant for it.
constexpr Duration MaxIsolationWait = std::chrono::seconds(2);
/// At most one worker of a pool in this many is reserved.
constexpr std::size_t WorkersPerReservation = 4;

bool hasLongRunningTask(const WorkerState &Worker) {
  return std::any_of(
      Worker.Runs.begin(), Worker.Runs.end(),
      [](const auto &RunEntry) { return RunEntry.second.LongRunning; });
}

} // namespace

bool CrashIsolation::Wait::isOver(Instant Now) const {
  return Now - Since >= MaxIsolationWait;
}

bool mayShareWorker(bool IsIsolated, const WorkerState &Worker) {
  // Avoids a search of the runs for each worker that a task could use.
  if (!IsIsolated && !Worker.MayHaveIsolatedRun) {
    return true;
  }
  return std::all_of(Worker.Runs.begin(), Worker.Runs.end(),
                     [IsIsolated](const auto &RunEntry) {
                       const RunState &Run = RunEntry.second;
                       return Run.Phase == RunPhase::Ending ||
                              (!IsIsolated &&
                               (!Run.StartsAlone || Run.HasSettled));
                     });
}

void CrashIsolation::removeJob(const JobId &Job) {
  std::erase_if(Tasks,
                [&Job](const auto &Entry) { return Entry.first.Job == Job; });
}

bool CrashIsolation::mustIsolate(const TaskRef &Task,
                                 const jobs::TaskRecord *Record,
                                 Instant Now) const {
  if (Record == nullptr || !Record->IsCrashSuspect) {
    return false;
  }
  const auto TaskIt = Tasks.find(Task);
  return TaskIt == Tasks.end() || !TaskIt->second ||
         !TaskIt->second->isOver(Now);
}

void CrashIsolation::noteWait(const TaskRef &Task, const PoolName &Pool,
                              Instant Now) {
  std::optional<Wait> &TaskWait = Tasks[Task];
  if (!TaskWait) {
    TaskWait = Wait{Pool, Now};
  }
}

void CrashIsolation::notePlaced(const TaskRef &Task) { Tasks[Task].reset(); }

void CrashIsolation::reserveWorkers(
    const PoolName &Pool, const std::vector<WorkerState *> &UsableWorkers,
    const ClockReading &At) const {
  const auto WaitingTasks = static_cast<std::size_t>(
      std::count_if(Tasks.begin(), Tasks.end(), [&](const auto &Entry) {
        return Entry.second && Entry.second->Pool == Pool &&
               !Entry.second->isOver(At.Now);
      }));
  if (WaitingTasks == 0) {
    for (WorkerState *Worker : UsableWorkers) {
      Worker->IsReserved = false;
    }
    return;
  }
  const std::size_t MaxReserved =
      std::max<std::size_t>(1, UsableWorkers.size() / WorkersPerReservation);
  std::size_t FreeReservations = std::min(WaitingTasks, MaxReserved);
  std::vector<WorkerState *> Candidates;
  for (WorkerState *Worker : UsableWorkers) {
    // A long-running task would keep the worker from becoming vacant.
    const bool IsSuitable =
        !hasLongRunningTask(*Worker) && !isRecentlyStarted(*Worker, At);
    Worker->IsReserved =
        Worker->IsReserved && IsSuitable && FreeReservations > 0;
    if (Worker->IsReserved) {
      --FreeReservations;
    } else if (IsSuitable) {
      Candidates.push_back(Worker);
    }
  }
  FreeReservations = std::min(FreeReservations, Candidates.size());
  const auto ReservedEnd =
      Candidates.begin() + static_cast<std::ptrdiff_t>(FreeReservations);
  // The worker with the fewest runs is vacant first.
  std::partial_sort(Candidates.begin(), ReservedEnd, Candidates.end(),
                    [](const WorkerState *Left, const WorkerState *Right) {
                      return Left->Runs.size() < Right->Runs.size();
                    });
  std::for_each(Candidates.begin(), ReservedEnd,
                [](WorkerState *Worker) { Worker->IsReserved = true; });
}

} // namespace balsamlatch::dispatch
