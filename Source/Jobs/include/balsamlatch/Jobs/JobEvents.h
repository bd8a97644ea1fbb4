/// \file
/// Job events as recorded in the journal. Applying all events in order to a
/// JobTable rebuilds the state of the jobs.

#ifndef BALSAMLATCH_JOBS_JOBEVENTS_H
#define BALSAMLATCH_JOBS_JOBEVENTS_H

#include "balsamlatch/Base/Clock.h"
#include "balsamlatch/Base/Ids.h"
#include "balsamlatch/Jobs/JobSpec.h"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace balsamlatch::jobs {

/// A job ID; the caller chooses it.
using JobId = Name<struct JobIdTag>;

using QueueName = Name<struct QueueTag>;

/// Identifies a task by its job, occurrence, step and index in the step.
struct TaskRef {
  JobId Job;
  unsigned Occurrence = 0;
  unsigned Step = 0;
  unsigned Index = 0;

  auto operator<=>(const TaskRef &) const = default;
};

/// The position of a task in its job as text: OCCURRENCE.STEP.INDEX.
std::string taskPath(const TaskRef &Task);

/// One instance of a worker process. A restart under the same ID is another
/// instance.
struct WorkerInstance {
  std::string Id;
  /// Start time in Unix milliseconds; 0 while unknown.
  std::int64_t Incarnation = 0;

  auto operator<=>(const WorkerInstance &) const = default;
};

/// How a run of a task ended.
enum class RunOutcome {
  Done,
  /// The task or its worker failed.
  Failed,
  /// Stopped by a stop order of the dispatcher.
  Stopped,
  /// The worker's lease expired, or the worker process ended.
  Lost,
  /// Another member of the gang ended or did not start.
  GangAborted,
  /// The worker refused the start order; nothing ran.
  Refused,
  /// The worker crashed around a change of the lease holder, so it isn't known
  /// how soon after the start. Only in records of earlier versions.
  WorkerCrashed,
  /// The worker crashed soon after it had confirmed the start, so the start is
  /// a possible cause.
  WorkerCrashedOnStart,
  /// The same, and no other run was on the worker.
  WorkerCrashedAlone,
  /// The run of a long-running task went on for so long that earlier crashes
  /// don't count any more. Followed by how it ended. In records of earlier
  /// versions, any run that was lost after it had survived its start.
  LostAfterStart,
  /// The worker crashed, but it isn't known whether the run was on it, or
  /// something else may have been the cause, as the run had gone on for a
  /// while.
  WorkerCrashedUnconfirmed,
};

/// Whether the start of the run may have crashed its worker.
constexpr bool isCrash(RunOutcome Outcome) {
  return Outcome == RunOutcome::WorkerCrashed ||
         Outcome == RunOutcome::WorkerCrashedOnStart ||
         Outcome == RunOutcome::WorkerCrashedAlone ||
         Outcome == RunOutcome::WorkerCrashedUnconfirmed;
}

enum class JobState { Queued, Running, Completed, Failed, Cancelled };

/// Whether the state is final, that is, the job's last one.
constexpr bool isFinal(JobState State) {
  return State == JobState::Completed || State == JobState::Failed ||
         State == JobState::Cancelled;
}

/// Marks a queue whose steps run only on workers that a policy service permits,
/// and tells how long its decisions take.
struct PlacementPolicy {
  Duration DecisionTime{};
  Duration TimePerWorker{};

  auto operator<=>(const PlacementPolicy &) const = default;
};

/// How the jobs of a queue are placed, and when they fail.
struct SchedulingTerms {
  /// A job is on time if it ends within Stretch times the estimated time of its
  /// longest chain of steps plus this.
  Duration LatencyObjective{};
  double Stretch = 1;
  /// 0 is the highest priority.
  unsigned Priority = 0;
  /// A job fails when a task of it has failed this many times.
  unsigned MaxAttempts = 1;
  /// If unset, tasks may run on any worker of the pool.
  std::optional<PlacementPolicy> Policy;

  auto operator<=>(const SchedulingTerms &) const = default;
};

/// The job was accepted.
struct JobAccepted {
  JobId Job;
  QueueName Queue;
  PoolName Pool;
  JobSpec Spec;
  WallTime AcceptedAt{};
  /// The terms of the queue at that time. They hold once the queue is removed
  /// from the configuration. Records of earlier versions have none.
  SchedulingTerms Terms;

  auto operator<=>(const JobAccepted &) const = default;
};

/// A run was assigned to a worker. Recorded before the start order is sent, so
/// that the next holder of the lease knows where the task may be running.
struct TaskPlaced {
  TaskRef Task;
  std::uint32_t Run = 0;
  WorkerInstance Worker;
  /// By the clock of the lease holder's host; unset in records of earlier
  /// versions.
  WallTime At{};

  auto operator<=>(const TaskPlaced &) const = default;
};

/// A run ended. A run that was recorded as lost may be recorded as a crash
/// later, once the crash of its worker is known.
struct TaskEnded {
  TaskRef Task;
  std::uint32_t Run = 0;
  RunOutcome Outcome = RunOutcome::Lost;
  /// The newest checkpoint; empty for none.
  std::string Checkpoint;

  auto operator<=>(const TaskEnded &) const = default;
};

/// A running task reported a new checkpoint.
struct CheckpointSaved {
  TaskRef Task;
  std::uint32_t Run = 0;
  std::string Checkpoint;

  auto operator<=>(const CheckpointSaved &) const = default;
};

/// The job reached a final state.
struct JobClosed {
  JobId Job;
  JobState State = JobState::Completed;
  WallTime ClosedAt{};

  auto operator<=>(const JobClosed &) const = default;
};

/// The job was removed because its retention time ended.
struct JobRemoved {
  JobId Job;

  auto operator<=>(const JobRemoved &) const = default;
};

enum class TaskPhase { Waiting, Placed, Done };

/// A task with this crash score is taken to crash its workers, and its job
/// fails: after the crashes of two to three workers.
inline constexpr std::uint32_t MaxCrashScore = 3;
/// So is a task whose last runs were on this many workers that crashed, even if
/// the cause of each crash is in doubt. One more run may have started before
/// the last of these crashes is noticed.
inline constexpr std::uint32_t MaxConsecutiveCrashes = 4;

/// The state of one task. Invariant: Worker is set while Phase is Placed.
struct TaskRecord {
  TaskPhase Phase = TaskPhase::Waiting;
  /// The highest run number used; 0 before the first run.
  std::uint32_t Run = 0;
  /// Number of failed runs. A failure of a gang is counted in one member only.
  std::uint32_t Failures = 0;
  /// Number of the last failed run; 0 for none.
  std::uint32_t LastFailedRun = 0;
  WorkerInstance Worker;
  std::string Checkpoint;
  /// Crashes of workers that the start of the task may have caused, since a run
  /// that cleared the task. A crash with no other run on the worker counts
  /// twice, one whose cause is in doubt doesn't count.
  std::uint32_t CrashScore = 0;
  /// Crashes since a run that cleared the task, also those whose cause is in
  /// doubt.
  std::uint32_t ConsecutiveCrashes = 0;
  /// Number of the last run with such a crash; 0 for none.
  std::uint32_t LastCrashedRun = 0;
  /// The last run may have crashed its worker by its start, so the next run
  /// must not endanger others.
  bool IsCrashSuspect = false;
  /// When the last run was placed, by the clock of that lease holder's host;
  /// unset if unknown.
  WallTime PlacedAt{};

  /// Whether the next run must be on a worker that has been up for a while, as
  /// one of the next crashes ends the trials of the task, whatever its cause.
  bool needsStableWorker() const {
    return ConsecutiveCrashes + 2 >= MaxConsecutiveCrashes;
  }
  bool crashesWorkers() const {
    return CrashScore >= MaxCrashScore ||
           ConsecutiveCrashes >= MaxConsecutiveCrashes;
  }

  auto operator<=>(const TaskRecord &) const = default;
};

/// The state of one step, by task index.
using StepRecord = std::vector<TaskRecord>;

/// The state of one occurrence, by step.
using OccurrenceRecord = std::vector<StepRecord>;

/// The whole state of one job. Replaces its earlier events in the journal.
struct JobSnapshot {
  JobAccepted Accepted;
  JobState State = JobState::Queued;
  WallTime ClosedAt{};
  /// Whether a task of the job was ever placed.
  bool EverPlaced = false;
  /// By occurrence index. Occurrences without a placed task are absent, as are
  /// those before FirstOpenOccurrence. A record without steps stands for a
  /// completed occurrence.
  std::map<unsigned, OccurrenceRecord> Occurrences;
  /// All tasks of the occurrences before this one are Done.
  unsigned FirstOpenOccurrence = 0;

  auto operator<=>(const JobSnapshot &) const = default;
};

using JobEvent =
    std::variant<JobAccepted, TaskPlaced, TaskEnded, CheckpointSaved, JobClosed,
                 JobRemoved, JobSnapshot>;

/// The ID of the job that an event belongs to.
const JobId &eventJobId(const JobEvent &Event);

} // namespace balsamlatch::jobs

template <> struct std::hash<balsamlatch::jobs::TaskRef> {
  std::size_t
  operator()(const balsamlatch::jobs::TaskRef &Task) const noexcept {
    std::size_t Hash = std::hash<std::string>()(Task.Job.Text);
    for (const unsigned Component : {Task.Occurrence, Task.Step, Task.Index}) {
      Hash = Hash * 1'000'003U + Component;
    }
    return Hash;
  }
};

#endif // BALSAMLATCH_JOBS_JOBEVENTS_H
