/// \file
/// In-memory state of all jobs and their tasks: a deterministic state machine
/// over the events of the journal. The same events produce the same state on
/// every host.

#ifndef BALSAMLATCH_JOBS_JOBTABLE_H
#define BALSAMLATCH_JOBS_JOBTABLE_H

#include "balsamlatch/Jobs/JobEvents.h"

#include <map>
#include <unordered_map>

namespace balsamlatch::jobs {

/// Bounds the time that planning spends on one job whose schedule is far
/// behind.
inline constexpr std::size_t MaxPlannedOccurrences = 100;
/// Bounds the memory for the tasks of one job, together with MaxTasksPerJob.
inline constexpr std::size_t MaxPlannedTasks = std::size_t{2} * MaxTasksPerJob;

/// The state of one job, with counters derived from its tasks.
struct Job {
  JobSnapshot Record;
  /// Sequence number of the oldest journal record that is needed to rebuild the
  /// job.
  std::uint64_t FirstSequence = 0;
  /// Invariant: number of tasks over all occurrences that are not Done.
  std::uint64_t OpenTasks = 0;
  /// Invariant: number of tasks that are Placed.
  unsigned PlacedTasks = 0;
  /// A task has reached MaxCrashScore.
  bool HasCrashingTask = false;

  const JobSpec &spec() const { return Record.Accepted.Spec; }
  const JobId &id() const { return Record.Accepted.Job; }
  bool isOpen() const { return !isFinal(Record.State); }
  /// Whether the state is final and no task can still run.
  bool isSettled() const { return !isOpen() && PlacedTasks == 0; }
  /// A snapshot that replaces the job's earlier journal records. The snapshot
  /// of a settled job holds only its identity and state.
  JobSnapshot snapshot() const;

  /// Whether all steps that \p Step depends on are done.
  bool isReady(unsigned Occurrence, unsigned Step) const;
  /// The time at which an occurrence may start: its time in the schedule, or
  /// the acceptance time of a job without a schedule.
  WallTime dueTime(unsigned Occurrence) const;
  /// The occurrences to plan now: those due at \p Now that have open tasks, at
  /// most MaxPlannedOccurrences of them and at most MaxPlannedTasks tasks, the
  /// earliest first.
  std::vector<unsigned> dueOccurrences(WallTime Now) const;
  /// The state of a task; null if it is out of range or if its occurrence has
  /// no records yet.
  const TaskRecord *find(const TaskRef &Task) const {
    return find(Task.Occurrence, Task.Step, Task.Index);
  }
  const TaskRecord *find(unsigned Occurrence, unsigned Step,
                         unsigned Index) const;
  /// The largest failure count of any task; the members of a gang are summed.
  std::uint32_t maxFailures() const;
};

/// All jobs by ID.
class JobTable {
public:
  /// Applies one event from the journal record \p Sequence. Events for unknown
  /// jobs and for superseded runs are ignored.
  void apply(const JobEvent &Event, std::uint64_t Sequence);

  const Job *find(const JobId &Id) const;
  const std::unordered_map<JobId, Job> &jobs() const { return JobsById; }

  /// Number of open jobs of a queue that have never had a task placed. Jobs
  /// with a schedule don't count.
  unsigned pendingCount(const QueueName &Queue) const;

  /// Sequence number of the oldest journal record that any job needs; records
  /// before it can be deleted. \p NextSequence if there is no job.
  std::uint64_t firstRequiredSequence(std::uint64_t NextSequence) const;

private:
  void applyEvent(const JobAccepted &Event, std::uint64_t Sequence);
  void applyEvent(const TaskPlaced &Event, std::uint64_t Sequence);
  void applyEvent(const TaskEnded &Event, std::uint64_t Sequence);
  void applyEvent(const CheckpointSaved &Event, std::uint64_t Sequence);
  void applyEvent(const JobClosed &Event, std::uint64_t Sequence);
  void applyEvent(const JobRemoved &Event, std::uint64_t Sequence);
  void applyEvent(const JobSnapshot &Event, std::uint64_t Sequence);

  Job *findMutable(const JobId &Id);
  /// The state of a task, created with its occurrence on first use; null if it
  /// is out of range.
  TaskRecord *findTask(Job &ParentJob, const TaskRef &Task);
  /// Counts a crash of a worker under a run of the task, once for each run, or
  /// clears the task after a run that survived its start.
  static void updateCrashes(Job &ParentJob, TaskRecord &Task,
                            const TaskEnded &Event);
  /// Adds \p Delta to the pending count of the queue if the job is pending.
  void adjustPendingCount(const Job &Candidate, int Delta);

  std::unordered_map<JobId, Job> JobsById;
  std::unordered_map<QueueName, unsigned> PendingCounts;
};

} // namespace balsamlatch::jobs

#endif // BALSAMLATCH_JOBS_JOBTABLE_H
