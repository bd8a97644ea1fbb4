/// \file
/// Applies job events to the in-memory state of the jobs.

#include "balsamlatch/Jobs/JobTable.h"

#include <algorithm>
#include <fmt/format.h>

namespace balsamlatch::jobs {

namespace {

bool isPending(const Job &Candidate) {
  return Candidate.isOpen() && !Candidate.Record.EverPlaced &&
         Candidate.spec().RunSchedule.Repeats == 0;
}

OccurrenceRecord makeOccurrence(const JobSpec &Spec) {
  OccurrenceRecord Occurrence;
  Occurrence.reserve(Spec.Steps.size());
  for (const StepSpec &Step : Spec.Steps) {
    Occurrence.emplace_back(Step.Count);
  }
  return Occurrence;
}

/// Also true for a completed occurrence whose records were dropped.
bool isComplete(const OccurrenceRecord &Occurrence) {
  return std::all_of(
      Occurrence.begin(), Occurrence.end(), [](const StepRecord &Tasks) {
        return std::all_of(Tasks.begin(), Tasks.end(),
                           [](const TaskRecord &Task) {
                             return Task.Phase == TaskPhase::Done;
                           });
      });
}

std::uint64_t countTasksPerOccurrence(const JobSpec &Spec) {
  std::uint64_t Count = 0;
  for (const StepSpec &Step : Spec.Steps) {
    Count += Step.Count;
  }
  return Count;
}

std::uint64_t countTasks(const JobSpec &Spec) {
  return countTasksPerOccurrence(Spec) * Spec.occurrenceCount();
}

/// Drops the task records of the occurrence if it is complete. A long schedule
/// would fill the memory otherwise.
void dropIfComplete(Job &ParentJob, unsigned Occurrence) {
  std::map<unsigned, OccurrenceRecord> &Occurrences =
      ParentJob.Record.Occurrences;
  const auto OccurrenceIt = Occurrences.find(Occurrence);
  if (OccurrenceIt == Occurrences.end() || !isComplete(OccurrenceIt->second)) {
    return;
  }
  OccurrenceIt->second = OccurrenceRecord();
  unsigned &FirstOpen = ParentJob.Record.FirstOpenOccurrence;
  while (!Occurrences.empty() && Occurrences.begin()->first == FirstOpen &&
         isComplete(Occurrences.begin()->second)) {
    Occurrences.erase(Occurrences.begin());
    ++FirstOpen;
  }
}

/// Marks every task of a gang as done: the gang is done when one member is.
void completeGang(StepRecord &Step, Job &ParentJob) {
  for (TaskRecord &Member : Step) {
    if (Member.Phase == TaskPhase::Done) {
      continue;
    }
    ParentJob.PlacedTasks -= Member.Phase == TaskPhase::Placed ? 1 : 0;
    Member.Phase = TaskPhase::Done;
    --ParentJob.OpenTasks;
  }
}

/// Stores the newest checkpoint of a task. A gang shares its checkpoint, so
/// every member receives it.
void saveCheckpoint(const StepSpec &Spec, StepRecord &Step, TaskRecord &Task,
                    const std::string &Checkpoint) {
  if (Checkpoint.empty()) {
    return;
  }
  Task.Checkpoint = Checkpoint;
  if (Spec.Gang) {
    for (TaskRecord &Member : Step) {
      Member.Checkpoint = Checkpoint;
    }
  }
}

/// Counts a failed run. When several members of a gang fail in the same run,
/// only the first failure counts.
void countFailure(const StepSpec &Spec, const StepRecord &Step,
                  TaskRecord &Task) {
  const bool IsCounted =
      Spec.Gang &&
      std::any_of(Step.begin(), Step.end(), [&](const TaskRecord &Member) {
        return Member.LastFailedRun == Task.Run;
      });
  Task.LastFailedRun = Task.Run;
  Task.Failures += IsCounted ? 0 : 1;
}

/// The largest failure count of a task in the step, or the sum over a gang.
/// Zero for long-running steps, whose tasks are restarted without limit.
std::uint32_t countStepFailures(const StepSpec &Spec, const StepRecord &Tasks) {
  std::uint32_t MaxFailures = 0;
  std::uint32_t TotalFailures = 0;
  for (const TaskRecord &Task : Tasks) {
    MaxFailures = std::max(MaxFailures, Task.Failures);
    TotalFailures += Task.Failures;
  }
  if (Spec.LongRunning) {
    return 0;
  }
  return Spec.Gang ? TotalFailures : MaxFailures;
}

/// Whether the crash of the worker points to the start of the run.
bool pointsToStart(RunOutcome Outcome) {
  return Outcome == RunOutcome::WorkerCrashedOnStart ||
         Outcome == RunOutcome::WorkerCrashedAlone;
}

/// What the crash adds to the crash score of its task.
std::uint32_t crashWeight(RunOutcome Outcome) {
  switch (Outcome) {
  case RunOutcome::WorkerCrashedAlone:
    return 2;
  case RunOutcome::WorkerCrashed:
  case RunOutcome::WorkerCrashedOnStart:
    return 1;
  default:
    return 0;
  }
}

} // namespace

std::string taskPath(const TaskRef &Task) {
  return fmt::format("{}.{}.{}", Task.Occurrence, Task.Step, Task.Index);
}

const JobId &eventJobId(const JobEvent &Event) {
  struct Visitor {
    const JobId &operator()(const JobAccepted &E) const { return E.Job; }
    const JobId &operator()(const TaskPlaced &E) const { return E.Task.Job; }
    const JobId &operator()(const TaskEnded &E) const { return E.Task.Job; }
    const JobId &operator()(const CheckpointSaved &E) const {
      return E.Task.Job;
    }
    const JobId &operator()(const JobClosed &E) const { return E.Job; }
    const JobId &operator()(const JobRemoved &E) const { return E.Job; }
    const JobId &operator()(const JobSnapshot &E) const {
      return E.Accepted.Job;
    }
  };
  return std::visit(Visitor{}, Event);
}

bool Job::isReady(unsigned Occurrence, unsigned Step) const {
  const auto It = Record.Occurrences.find(Occurrence);
  const auto &Dependencies = spec().Steps[Step].PrerequisiteSteps;
  if (It == Record.Occurrences.end()) {
    return Dependencies.empty();
  }
  return std::all_of(
      Dependencies.begin(), Dependencies.end(), [&](unsigned Dependency) {
        const StepRecord &Tasks = It->second[Dependency];
        return std::all_of(Tasks.begin(), Tasks.end(),
                           [](const TaskRecord &Task) {
                             return Task.Phase == TaskPhase::Done;
                           });
      });
}

WallTime Job::dueTime(unsigned Occurrence) const {
  const Schedule &RunSchedule = spec().RunSchedule;
  return RunSchedule.Repeats == 0
             ? Record.Accepted.AcceptedAt
             : RunSchedule.First + RunSchedule.Interval * Occurrence;
}

std::vector<unsigned> Job::dueOccurrences(WallTime Now) const {
  // Most jobs have no schedule, and planning asks for the occurrences of each.
  if (spec().RunSchedule.Repeats == 0) {
    return OpenTasks == 0 ? std::vector<unsigned>() : std::vector<unsigned>{0};
  }
  const std::size_t MaxDue = std::clamp<std::size_t>(
      MaxPlannedTasks /
          std::max<std::uint64_t>(1, countTasksPerOccurrence(spec())),
      1, MaxPlannedOccurrences);
  std::vector<unsigned> Due;
  for (unsigned Occurrence = Record.FirstOpenOccurrence;
       Occurrence < spec().occurrenceCount() && Due.size() < MaxDue &&
       dueTime(Occurrence) <= Now;
       ++Occurrence) {
    const auto It = Record.Occurrences.find(Occurrence);
    if (It == Record.Occurrences.end() || !isComplete(It->second)) {
      Due.push_back(Occurrence);
    }
  }
  return Due;
}

const TaskRecord *Job::find(unsigned Occurrence, unsigned Step,
                            unsigned Index) const {
  const auto It = Record.Occurrences.find(Occurrence);
  if (It == Record.Occurrences.end() || Step >= It->second.size() ||
      Index >= It->second[Step].size()) {
    return nullptr;
  }
  return &It->second[Step][Index];
}

JobSnapshot Job::snapshot() const {
  if (!isSettled()) {
    return Record;
  }
  JobSnapshot Summary;
  Summary.Accepted.Job = Record.Accepted.Job;
  Summary.Accepted.Queue = Record.Accepted.Queue;
  Summary.Accepted.AcceptedAt = Record.Accepted.AcceptedAt;
  Summary.State = Record.State;
  Summary.ClosedAt = Record.ClosedAt;
  Summary.EverPlaced = Record.EverPlaced;
  return Summary;
}

std::uint32_t Job::maxFailures() const {
  std::uint32_t MaxFailures = 0;
  for (const auto &[OccurrenceIndex, Steps] : Record.Occurrences) {
    for (std::size_t StepIndex = 0; StepIndex < Steps.size(); ++StepIndex) {
      MaxFailures =
          std::max(MaxFailures, countStepFailures(spec().Steps[StepIndex],
                                                  Steps[StepIndex]));
    }
  }
  return MaxFailures;
}

void JobTable::apply(const JobEvent &Event, std::uint64_t Sequence) {
  std::visit([this, Sequence](
                 const auto &TypedEvent) { applyEvent(TypedEvent, Sequence); },
             Event);
}

const Job *JobTable::find(const JobId &Id) const {
  const auto It = JobsById.find(Id);
  return It == JobsById.end() ? nullptr : &It->second;
}

Job *JobTable::findMutable(const JobId &Id) {
  const auto It = JobsById.find(Id);
  return It == JobsById.end() ? nullptr : &It->second;
}

TaskRecord *JobTable::findTask(Job &ParentJob, const TaskRef &Task) {
  auto It = ParentJob.Record.Occurrences.find(Task.Occurrence);
  if (It == ParentJob.Record.Occurrences.end()) {
    if (Task.Occurrence < ParentJob.Record.FirstOpenOccurrence ||
        Task.Occurrence >= ParentJob.spec().occurrenceCount()) {
      return nullptr;
    }
    It = ParentJob.Record.Occurrences
             .emplace(Task.Occurrence, makeOccurrence(ParentJob.spec()))
             .first;
  }
  if (Task.Step >= It->second.size() ||
      Task.Index >= It->second[Task.Step].size()) {
    return nullptr;
  }
  return &It->second[Task.Step][Task.Index];
}

void JobTable::adjustPendingCount(const Job &Candidate, int Delta) {
  if (isPending(Candidate)) {
    PendingCounts[Candidate.Record.Accepted.Queue] += Delta;
  }
}

unsigned JobTable::pendingCount(const QueueName &Queue) const {
  const auto It = PendingCounts.find(Queue);
  return It == PendingCounts.end() ? 0 : It->second;
}

std::uint64_t
JobTable::firstRequiredSequence(std::uint64_t NextSequence) const {
  std::uint64_t OldestSequence = NextSequence;
  for (const auto &[Id, KnownJob] : JobsById) {
    OldestSequence = std::min(OldestSequence, KnownJob.FirstSequence);
  }
  return OldestSequence;
}

void JobTable::applyEvent(const JobAccepted &Event, std::uint64_t Sequence) {
  if (JobsById.contains(Event.Job)) {
    return;
  }
  Job &NewJob = JobsById[Event.Job];
  NewJob.Record.Accepted = Event;
  NewJob.FirstSequence = Sequence;
  NewJob.OpenTasks = countTasks(Event.Spec);
  adjustPendingCount(NewJob, 1);
}

void JobTable::applyEvent(const TaskPlaced &Event, std::uint64_t /*Sequence*/) {
  Job *ParentJob = findMutable(Event.Task.Job);
  TaskRecord *Task =
      ParentJob == nullptr ? nullptr : findTask(*ParentJob, Event.Task);
  if (Task == nullptr || Task->Phase == TaskPhase::Done ||
      Event.Run <= Task->Run) {
    return;
  }
  adjustPendingCount(*ParentJob, -1);
  ParentJob->Record.EverPlaced = true;
  if (ParentJob->isOpen()) {
    ParentJob->Record.State = JobState::Running;
  }
  ParentJob->PlacedTasks += Task->Phase == TaskPhase::Placed ? 0 : 1;
  Task->Phase = TaskPhase::Placed;
  Task->Run = Event.Run;
  Task->Worker = Event.Worker;
  Task->PlacedAt = Event.At;
}

void JobTable::applyEvent(const TaskEnded &Event, std::uint64_t /*Sequence*/) {
  Job *ParentJob = findMutable(Event.Task.Job);
  TaskRecord *Task =
      ParentJob == nullptr ? nullptr : findTask(*ParentJob, Event.Task);
  if (Task != nullptr) {
    updateCrashes(*ParentJob, *Task, Event);
  }
  // The task may be Waiting here: a run recorded as lost can still be reported
  // as done before the next run is placed.
  if (Task == nullptr || Task->Phase == TaskPhase::Done ||
      Event.Run != Task->Run) {
    return;
  }
  ParentJob->PlacedTasks -= Task->Phase == TaskPhase::Placed ? 1 : 0;
  const StepSpec &Step = ParentJob->spec().Steps[Event.Task.Step];
  StepRecord &Members =
      ParentJob->Record.Occurrences[Event.Task.Occurrence][Event.Task.Step];
  saveCheckpoint(Step, Members, *Task, Event.Checkpoint);
  Task->Worker = WorkerInstance();
  const bool IsTaskDone =
      Event.Outcome == RunOutcome::Done && !Step.LongRunning;
  Task->Phase = IsTaskDone ? TaskPhase::Done : TaskPhase::Waiting;
  ParentJob->OpenTasks -= IsTaskDone ? 1 : 0;
  if (Event.Outcome == RunOutcome::Failed && !Step.LongRunning) {
    countFailure(Step, Members, *Task);
  }
  if (Step.Gang && IsTaskDone) {
    completeGang(Members, *ParentJob);
  }
  if (IsTaskDone) {
    dropIfComplete(*ParentJob, Event.Task.Occurrence);
  }
}

void JobTable::updateCrashes(Job &ParentJob, TaskRecord &Task,
                             const TaskEnded &Event) {
  if (Task.Phase == TaskPhase::Done || Event.Run > Task.Run ||
      Event.Run <= Task.LastCrashedRun) {
    return;
  }
  if (!isCrash(Event.Outcome)) {
    // After any other end the run may have crashed its worker later.
    if (Event.Outcome == RunOutcome::Done ||
        Event.Outcome == RunOutcome::LostAfterStart) {
      // Where workers crash by themselves, the next start may meet a crash
      // again.
      Task.IsCrashSuspect =
          Task.IsCrashSuspect && Event.Outcome == RunOutcome::LostAfterStart;
      Task.CrashScore = 0;
      Task.ConsecutiveCrashes = 0;
    }
    return;
  }
  ++Task.ConsecutiveCrashes;
  Task.IsCrashSuspect = Task.IsCrashSuspect || Task.ConsecutiveCrashes > 1 ||
                        pointsToStart(Event.Outcome);
  Task.LastCrashedRun = Event.Run;
  Task.CrashScore += crashWeight(Event.Outcome);
  ParentJob.HasCrashingTask =
      ParentJob.HasCrashingTask || Task.crashesWorkers();
}

void JobTable::applyEvent(const CheckpointSaved &Event,
                          std::uint64_t /*Sequence*/) {
  Job *ParentJob = findMutable(Event.Task.Job);
  TaskRecord *Task =
      ParentJob == nullptr ? nullptr : findTask(*ParentJob, Event.Task);
  if (Task != nullptr && Task->Phase == TaskPhase::Placed &&
      Event.Run == Task->Run) {
    saveCheckpoint(
        ParentJob->spec().Steps[Event.Task.Step],
        ParentJob->Record.Occurrences[Event.Task.Occurrence][Event.Task.Step],
        *Task, Event.Checkpoint);
  }
}

void JobTable::applyEvent(const JobClosed &Event, std::uint64_t /*Sequence*/) {
  Job *ClosedJob = findMutable(Event.Job);
  if (ClosedJob == nullptr || !ClosedJob->isOpen()) {
    return;
  }
  adjustPendingCount(*ClosedJob, -1);
  ClosedJob->Record.State = Event.State;
  ClosedJob->Record.ClosedAt = Event.ClosedAt;
}

void JobTable::applyEvent(const JobRemoved &Event, std::uint64_t /*Sequence*/) {
  JobsById.erase(Event.Job);
}

void JobTable::applyEvent(const JobSnapshot &Event, std::uint64_t Sequence) {
  if (Job *PreviousJob = findMutable(Event.Accepted.Job)) {
    adjustPendingCount(*PreviousJob, -1);
  }
  Job &RestoredJob = JobsById[Event.Accepted.Job];
  RestoredJob = Job();
  RestoredJob.Record = Event;
  RestoredJob.FirstSequence = Sequence;
  const std::uint64_t TasksPerOccurrence =
      countTasksPerOccurrence(Event.Accepted.Spec);
  RestoredJob.OpenTasks = countTasks(Event.Accepted.Spec) -
                          TasksPerOccurrence * Event.FirstOpenOccurrence;
  for (const auto &[OccurrenceIndex, Steps] : Event.Occurrences) {
    RestoredJob.OpenTasks -= Steps.empty() ? TasksPerOccurrence : 0;
    for (const StepRecord &Step : Steps) {
      for (const TaskRecord &Task : Step) {
        RestoredJob.OpenTasks -= Task.Phase == TaskPhase::Done ? 1 : 0;
        RestoredJob.PlacedTasks += Task.Phase == TaskPhase::Placed ? 1 : 0;
        RestoredJob.HasCrashingTask =
            RestoredJob.HasCrashingTask || Task.crashesWorkers();
      }
    }
  }
  // Earlier versions wrote the records of completed occurrences.
  for (const auto &[OccurrenceIndex, Steps] : Event.Occurrences) {
    dropIfComplete(RestoredJob, OccurrenceIndex);
  }
  adjustPendingCount(RestoredJob, 1);
}

} // namespace balsamlatch::jobs
