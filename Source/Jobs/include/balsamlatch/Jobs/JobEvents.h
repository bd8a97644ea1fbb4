/// \file
/// What happens to jobs, as recorded in the journal. A JobBook is the result
/// of applying all events in order.

#ifndef BALSAMLATCH_JOBS_JOBEVENTS_H
#define BALSAMLATCH_JOBS_JOBEVENTS_H

#include "balsamlatch/Base/Clock.h"
#include "balsamlatch/Base/Ids.h"
#include "balsamlatch/Jobs/JobSpec.h"

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace balsamlatch::jobs {

/// A job's ID, chosen by its caller.
using JobId = Name<struct JobIdTag>;

using QueueName = Name<struct QueueTag>;

/// One task: an index in a step of one occurrence of a job.
struct TaskRef {
  JobId Job;
  unsigned Occurrence = 0;
  unsigned Step = 0;
  unsigned Index = 0;

  auto operator<=>(const TaskRef &) const = default;
};

/// Where a task stands in its job: OCCURRENCE.STEP.INDEX.
std::string placeOf(const TaskRef &Task);

/// One life of a worker process: a restart under the same ID is another life.
struct WorkerLife {
  std::string Id;
  /// Unix milliseconds of the start; 0 while unknown.
  std::int64_t Born = 0;

  auto operator<=>(const WorkerLife &) const = default;
};

/// How a run of a task ended.
enum class RunEnd {
  Done,
  /// By the fault of the task or its worker.
  Failed,
  /// Stopped on our order.
  Stopped,
  /// The worker's lease ran out, or its life ended.
  Lost,
  /// Another member of the gang ended, or didn't come.
  GangBroken,
  /// The worker refused the start; nothing ran.
  Refused,
};

enum class JobState { Queued, Running, Completed, Failed, Cancelled };

/// A state in which nothing of the job runs any more.
constexpr bool isFinal(JobState State) {
  return State == JobState::Completed || State == JobState::Failed ||
         State == JobState::Cancelled;
}

struct JobAccepted {
  JobId Job;
  QueueName Queue;
  PoolName Pool;
  JobSpec Spec;
  WallTime At{};

  auto operator<=>(const JobAccepted &) const = default;
};

/// A run is about to be ordered. Recorded before the order leaves, so that a
/// later holder knows where the task may run.
struct TaskPlaced {
  TaskRef Task;
  std::uint32_t Run = 0;
  WorkerLife Worker;

  auto operator<=>(const TaskPlaced &) const = default;
};

struct TaskEnded {
  TaskRef Task;
  std::uint32_t Run = 0;
  RunEnd How = RunEnd::Lost;
  /// Newest checkpoint; empty for none.
  std::string Checkpoint;

  auto operator<=>(const TaskEnded &) const = default;
};

struct CheckpointSaved {
  TaskRef Task;
  std::uint32_t Run = 0;
  std::string Checkpoint;

  auto operator<=>(const CheckpointSaved &) const = default;
};

/// The job has reached a final state.
struct JobClosed {
  JobId Job;
  JobState State = JobState::Completed;
  WallTime At{};

  auto operator<=>(const JobClosed &) const = default;
};

/// The job's state need not be known any longer.
struct JobForgotten {
  JobId Job;

  auto operator<=>(const JobForgotten &) const = default;
};

enum class TaskPhase { Waiting, Placed, Done };

/// What is known of one task. Invariant: Worker is set while Placed.
struct TaskRecord {
  TaskPhase Phase = TaskPhase::Waiting;
  /// Highest run number used; 0 before the first.
  std::uint32_t Run = 0;
  std::uint32_t Failures = 0;
  /// The last run that failed; 0 for none.
  std::uint32_t FailedRun = 0;
  WorkerLife Worker;
  std::string Checkpoint;

  auto operator<=>(const TaskRecord &) const = default;
};

using StepRecord = std::vector<TaskRecord>;

/// The steps of one occurrence.
using OccurrenceRecord = std::vector<StepRecord>;

/// All that is known of one job; replaces its earlier events.
struct JobSnapshot {
  JobAccepted Accepted;
  JobState State = JobState::Queued;
  WallTime ClosedAt{};
  bool Begun = false;
  std::map<unsigned, OccurrenceRecord> Occurrences;

  auto operator<=>(const JobSnapshot &) const = default;
};

using JobEvent =
    std::variant<JobAccepted, TaskPlaced, TaskEnded, CheckpointSaved, JobClosed,
                 JobForgotten, JobSnapshot>;

/// The job that an event is about.
const JobId &jobOf(const JobEvent &Event);

} // namespace balsamlatch::jobs

template <> struct std::hash<balsamlatch::jobs::TaskRef> {
  std::size_t
  operator()(const balsamlatch::jobs::TaskRef &Task) const noexcept {
    std::size_t Hash = std::hash<std::string>()(Task.Job.Text);
    for (const unsigned Part : {Task.Occurrence, Task.Step, Task.Index}) {
      Hash = Hash * 1'000'003U + Part;
    }
    return Hash;
  }
};

#endif // BALSAMLATCH_JOBS_JOBEVENTS_H
