/// \file
/// Isolates tasks whose start may have crashed a worker.
///
/// Load pattern: one task crashes each worker that starts it. The tasks lost
/// beside it would be placed with it again, so that all of them fail over from
/// worker to worker. Run alone, the task shows that it is the cause, and no
/// other task is lost.

#ifndef BALSAMLATCH_DISPATCH_CRASHISOLATION_H
#define BALSAMLATCH_DISPATCH_CRASHISOLATION_H

#include "balsamlatch/Dispatch/CrashEvidence.h"

namespace balsamlatch::dispatch {

/// Whether a run may start on the worker: an isolated one only where no other
/// run is, and any other only where each run that starts alone has settled.
bool mayShareWorker(bool IsIsolated, const WorkerState &Worker);

/// The tasks of open jobs that are isolated or have been.
class CrashIsolation {
public:
  void clear() { Tasks.clear(); }
  void removeJob(const JobId &Job);

  /// Whether the next run of the task must be isolated. \p Record is null if
  /// the task has not run yet.
  bool mustIsolate(const TaskRef &Task, const jobs::TaskRecord *Record,
                   Instant Now) const;
  /// No worker of the pool is vacant for the task.
  void noteWait(const TaskRef &Task, const PoolName &Pool, Instant Now);
  void notePlaced(const TaskRef &Task);

  /// Chooses the workers of the pool that get no other work until the waiting
  /// tasks are placed.
  void reserveWorkers(const PoolName &Pool,
                      const std::vector<WorkerState *> &UsableWorkers,
                      const ClockReading &At) const;

private:
  struct Wait {
    PoolName Pool;
    Instant Since{};

    bool isOver(Instant Now) const;
  };

  // The wait is unset once the task is placed.
  std::map<TaskRef, std::optional<Wait>> Tasks;
};

} // namespace balsamlatch::dispatch

#endif // BALSAMLATCH_DISPATCH_CRASHISOLATION_H
