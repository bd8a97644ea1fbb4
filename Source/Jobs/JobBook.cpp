/// \file
/// Applies recorded events to the book of jobs.

#include "balsamlatch/Jobs/JobBook.h"

#include <algorithm>
#include <fmt/format.h>

namespace balsamlatch::jobs {

namespace {

bool pending(const Job &Which) {
  return Which.open() && !Which.Record.Begun && Which.spec().Times.Repeats == 0;
}

OccurrenceRecord emptyOccurrence(const JobSpec &Spec) {
  OccurrenceRecord Steps;
  Steps.reserve(Spec.Steps.size());
  for (const StepSpec &Step : Spec.Steps) {
    Steps.emplace_back(Step.Count);
  }
  return Steps;
}

std::uint64_t tasksOf(const JobSpec &Spec) {
  std::uint64_t Count = 0;
  for (const StepSpec &Step : Spec.Steps) {
    Count += Step.Count;
  }
  return Count * Spec.occurrences();
}

/// The end of one member of a gang as done stands for all members.
void endGang(StepRecord &Step, Job &Owner) {
  for (TaskRecord &Member : Step) {
    if (Member.Phase == TaskPhase::Done) {
      continue;
    }
    Owner.PlacedTasks -= Member.Phase == TaskPhase::Placed ? 1 : 0;
    Member.Phase = TaskPhase::Done;
    --Owner.OpenTasks;
  }
}

/// Keeps the newest checkpoint; one of a gang's member is good for all.
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

/// Counts a failed run, that of a gang once for all members.
void countFailure(const StepSpec &Spec, const StepRecord &Step,
                  TaskRecord &Task) {
  const bool Counted =
      Spec.Gang &&
      std::any_of(Step.begin(), Step.end(), [&](const TaskRecord &Member) {
        return Member.FailedRun == Task.Run;
      });
  Task.FailedRun = Task.Run;
  Task.Failures += Counted ? 0 : 1;
}

/// Failed runs of a task, or of a gang together. A lasting task may fail any
/// number of times.
std::uint32_t failuresOf(const StepSpec &Spec, const StepRecord &Tasks) {
  std::uint32_t Worst = 0;
  std::uint32_t Sum = 0;
  for (const TaskRecord &Task : Tasks) {
    Worst = std::max(Worst, Task.Failures);
    Sum += Task.Failures;
  }
  if (Spec.Lasting) {
    return 0;
  }
  return Spec.Gang ? Sum : Worst;
}

} // namespace

std::string placeOf(const TaskRef &Task) {
  return fmt::format("{}.{}.{}", Task.Occurrence, Task.Step, Task.Index);
}

const JobId &jobOf(const JobEvent &Event) {
  struct Visitor {
    const JobId &operator()(const JobAccepted &E) const { return E.Job; }
    const JobId &operator()(const TaskPlaced &E) const { return E.Task.Job; }
    const JobId &operator()(const TaskEnded &E) const { return E.Task.Job; }
    const JobId &operator()(const CheckpointSaved &E) const {
      return E.Task.Job;
    }
    const JobId &operator()(const JobClosed &E) const { return E.Job; }
    const JobId &operator()(const JobForgotten &E) const { return E.Job; }
    const JobId &operator()(const JobSnapshot &E) const {
      return E.Accepted.Job;
    }
  };
  return std::visit(Visitor{}, Event);
}

bool Job::ready(unsigned Occurrence, unsigned Step) const {
  const auto Found = Record.Occurrences.find(Occurrence);
  const auto &After = spec().Steps[Step].After;
  if (Found == Record.Occurrences.end()) {
    return After.empty();
  }
  return std::all_of(After.begin(), After.end(), [&](unsigned Earlier) {
    const StepRecord &Tasks = Found->second[Earlier];
    return std::all_of(Tasks.begin(), Tasks.end(), [](const TaskRecord &Task) {
      return Task.Phase == TaskPhase::Done;
    });
  });
}

WallTime Job::dueAt(unsigned Occurrence) const {
  const Schedule &Times = spec().Times;
  return Times.Repeats == 0 ? Record.Accepted.At
                            : Times.First + Times.Interval * Occurrence;
}

const TaskRecord *Job::find(const TaskRef &Task) const {
  const auto Found = Record.Occurrences.find(Task.Occurrence);
  if (Found == Record.Occurrences.end() || Task.Step >= Found->second.size() ||
      Task.Index >= Found->second[Task.Step].size()) {
    return nullptr;
  }
  return &Found->second[Task.Step][Task.Index];
}

JobSnapshot Job::snapshot() const {
  if (!settled()) {
    return Record;
  }
  JobSnapshot Rest;
  Rest.Accepted.Job = Record.Accepted.Job;
  Rest.Accepted.Queue = Record.Accepted.Queue;
  Rest.Accepted.At = Record.Accepted.At;
  Rest.State = Record.State;
  Rest.ClosedAt = Record.ClosedAt;
  Rest.Begun = Record.Begun;
  return Rest;
}

std::uint32_t Job::worstFailures() const {
  std::uint32_t Worst = 0;
  for (const auto &[Number, Steps] : Record.Occurrences) {
    for (std::size_t Step = 0; Step < Steps.size(); ++Step) {
      Worst = std::max(Worst, failuresOf(spec().Steps[Step], Steps[Step]));
    }
  }
  return Worst;
}

void JobBook::apply(const JobEvent &Event, std::uint64_t Sequence) {
  std::visit([this, Sequence](const auto &Kind) { take(Kind, Sequence); },
             Event);
}

const Job *JobBook::find(const JobId &Id) const {
  const auto Found = All.find(Id);
  return Found == All.end() ? nullptr : &Found->second;
}

Job *JobBook::findMutable(const JobId &Id) {
  const auto Found = All.find(Id);
  return Found == All.end() ? nullptr : &Found->second;
}

TaskRecord *JobBook::findTask(Job &Owner, const TaskRef &Task) {
  auto Found = Owner.Record.Occurrences.find(Task.Occurrence);
  if (Found == Owner.Record.Occurrences.end()) {
    if (Task.Occurrence >= Owner.spec().occurrences()) {
      return nullptr;
    }
    Found = Owner.Record.Occurrences
                .emplace(Task.Occurrence, emptyOccurrence(Owner.spec()))
                .first;
  }
  if (Task.Step >= Found->second.size() ||
      Task.Index >= Found->second[Task.Step].size()) {
    return nullptr;
  }
  return &Found->second[Task.Step][Task.Index];
}

void JobBook::countPending(const Job &Which, int Change) {
  if (pending(Which)) {
    Pending[Which.Record.Accepted.Queue] += Change;
  }
}

unsigned JobBook::pendingCount(const QueueName &Queue) const {
  const auto Found = Pending.find(Queue);
  return Found == Pending.end() ? 0 : Found->second;
}

std::uint64_t JobBook::oldestNeeded(std::uint64_t Next) const {
  std::uint64_t Oldest = Next;
  for (const auto &[Id, Each] : All) {
    Oldest = std::min(Oldest, Each.FirstRecord);
  }
  return Oldest;
}

void JobBook::take(const JobAccepted &Event, std::uint64_t Sequence) {
  if (All.contains(Event.Job)) {
    return;
  }
  Job &New = All[Event.Job];
  New.Record.Accepted = Event;
  New.FirstRecord = Sequence;
  New.OpenTasks = tasksOf(Event.Spec);
  countPending(New, 1);
}

void JobBook::take(const TaskPlaced &Event, std::uint64_t /*Sequence*/) {
  Job *Owner = findMutable(Event.Task.Job);
  TaskRecord *Task = Owner == nullptr ? nullptr : findTask(*Owner, Event.Task);
  if (Task == nullptr || Task->Phase == TaskPhase::Done ||
      Event.Run <= Task->Run) {
    return;
  }
  countPending(*Owner, -1);
  Owner->Record.Begun = true;
  if (Owner->open()) {
    Owner->Record.State = JobState::Running;
  }
  Owner->PlacedTasks += Task->Phase == TaskPhase::Placed ? 0 : 1;
  Task->Phase = TaskPhase::Placed;
  Task->Run = Event.Run;
  Task->Worker = Event.Worker;
}

void JobBook::take(const TaskEnded &Event, std::uint64_t /*Sequence*/) {
  Job *Owner = findMutable(Event.Task.Job);
  TaskRecord *Task = Owner == nullptr ? nullptr : findTask(*Owner, Event.Task);
  // A run that was given up as lost may turn out to have ended as done while
  // the task still waits for its next run.
  if (Task == nullptr || Task->Phase == TaskPhase::Done ||
      Event.Run != Task->Run) {
    return;
  }
  Owner->PlacedTasks -= Task->Phase == TaskPhase::Placed ? 1 : 0;
  const StepSpec &Step = Owner->spec().Steps[Event.Task.Step];
  StepRecord &Members =
      Owner->Record.Occurrences[Event.Task.Occurrence][Event.Task.Step];
  saveCheckpoint(Step, Members, *Task, Event.Checkpoint);
  Task->Worker = WorkerLife();
  const bool Done = Event.How == RunEnd::Done && !Step.Lasting;
  Task->Phase = Done ? TaskPhase::Done : TaskPhase::Waiting;
  Owner->OpenTasks -= Done ? 1 : 0;
  if (Event.How == RunEnd::Failed && !Step.Lasting) {
    countFailure(Step, Members, *Task);
  }
  if (Step.Gang && Done) {
    endGang(Members, *Owner);
  }
}

void JobBook::take(const CheckpointSaved &Event, std::uint64_t /*Sequence*/) {
  Job *Owner = findMutable(Event.Task.Job);
  TaskRecord *Task = Owner == nullptr ? nullptr : findTask(*Owner, Event.Task);
  if (Task != nullptr && Task->Phase == TaskPhase::Placed &&
      Event.Run == Task->Run) {
    saveCheckpoint(
        Owner->spec().Steps[Event.Task.Step],
        Owner->Record.Occurrences[Event.Task.Occurrence][Event.Task.Step],
        *Task, Event.Checkpoint);
  }
}

void JobBook::take(const JobClosed &Event, std::uint64_t /*Sequence*/) {
  Job *Owner = findMutable(Event.Job);
  if (Owner == nullptr || !Owner->open()) {
    return;
  }
  countPending(*Owner, -1);
  Owner->Record.State = Event.State;
  Owner->Record.ClosedAt = Event.At;
}

void JobBook::take(const JobForgotten &Event, std::uint64_t /*Sequence*/) {
  All.erase(Event.Job);
}

void JobBook::take(const JobSnapshot &Event, std::uint64_t Sequence) {
  if (Job *Old = findMutable(Event.Accepted.Job)) {
    countPending(*Old, -1);
  }
  Job &Owner = All[Event.Accepted.Job];
  Owner = Job();
  Owner.Record = Event;
  Owner.FirstRecord = Sequence;
  Owner.OpenTasks = tasksOf(Event.Accepted.Spec);
  for (const auto &[Number, Steps] : Event.Occurrences) {
    for (const StepRecord &Step : Steps) {
      for (const TaskRecord &Task : Step) {
        Owner.OpenTasks -= Task.Phase == TaskPhase::Done ? 1 : 0;
        Owner.PlacedTasks += Task.Phase == TaskPhase::Placed ? 1 : 0;
      }
    }
  }
  countPending(Owner, 1);
}

} // namespace balsamlatch::jobs
