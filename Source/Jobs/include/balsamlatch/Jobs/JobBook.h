/// \file
/// The jobs and what has become of their tasks: a state machine over recorded
/// events. The same events give the same book on every host.

#ifndef BALSAMLATCH_JOBS_JOBBOOK_H
#define BALSAMLATCH_JOBS_JOBBOOK_H

#include "balsamlatch/Jobs/JobEvents.h"

#include <map>
#include <unordered_map>

namespace balsamlatch::jobs {

struct Job {
  JobSnapshot Record;
  /// Sequence number of the oldest journal record that still matters to the
  /// job.
  std::uint64_t FirstRecord = 0;
  // Invariant: tasks of all occurrences that are not Done.
  std::uint64_t OpenTasks = 0;
  /// Tasks that are Placed.
  unsigned PlacedTasks = 0;

  const JobSpec &spec() const { return Record.Accepted.Spec; }
  const JobId &id() const { return Record.Accepted.Job; }
  bool open() const { return !isFinal(Record.State); }
  /// Final, and nothing of it can still run.
  bool settled() const { return !open() && PlacedTasks == 0; }
  /// Replaces the job's events. Of a settled job only its state remains.
  JobSnapshot snapshot() const;

  /// Whether all steps that \p Step waits for are done.
  bool ready(unsigned Occurrence, unsigned Step) const;
  WallTime dueAt(unsigned Occurrence) const;
  const TaskRecord *find(const TaskRef &Task) const;
  /// Largest number of failed runs of a task, or of a gang together.
  std::uint32_t worstFailures() const;
};

class JobBook {
public:
  /// Applies one event that the journal holds at \p Sequence. Events about
  /// unknown jobs, or runs that are not the task's present one, change
  /// nothing.
  void apply(const JobEvent &Event, std::uint64_t Sequence);

  const Job *find(const JobId &Id) const;
  const std::unordered_map<JobId, Job> &jobs() const { return All; }

  /// Accepted jobs of a queue of which no task has been placed yet, jobs with
  /// a schedule aside.
  unsigned pendingCount(const QueueName &Queue) const;

  /// The sequence number before which no job needs the journal; \p Next when
  /// there is no job.
  std::uint64_t oldestNeeded(std::uint64_t Next) const;

private:
  void take(const JobAccepted &Event, std::uint64_t Sequence);
  void take(const TaskPlaced &Event, std::uint64_t Sequence);
  void take(const TaskEnded &Event, std::uint64_t Sequence);
  void take(const CheckpointSaved &Event, std::uint64_t Sequence);
  void take(const JobClosed &Event, std::uint64_t Sequence);
  void take(const JobForgotten &Event, std::uint64_t Sequence);
  void take(const JobSnapshot &Event, std::uint64_t Sequence);

  Job *findMutable(const JobId &Id);
  TaskRecord *findTask(Job &Owner, const TaskRef &Task);
  void countPending(const Job &Which, int Change);

  std::unordered_map<JobId, Job> All;
  std::unordered_map<QueueName, unsigned> Pending;
};

} // namespace balsamlatch::jobs

#endif // BALSAMLATCH_JOBS_JOBBOOK_H
