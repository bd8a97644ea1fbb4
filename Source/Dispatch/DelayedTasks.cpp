/// \file
/// Reports tasks of long-running steps that are not at work: what is believed
/// of each, and why the workers that have room for it are left out.

#include "balsamlatch/Dispatch/Dispatcher.h"

#include <algorithm>
#include <array>

namespace balsamlatch::dispatch {

using jobs::TaskPhase;
using jobs::TaskRecord;

namespace {

/// Shorter delays are usual: a run ends, is recorded and is placed again.
constexpr Duration MinReportedDelay = std::chrono::seconds(2);
/// A run whose worker has not reported for this long may not be running.
constexpr Duration MaxReportAge = std::chrono::seconds(2);

/// All exclusions, in the order of the report.
constexpr std::array Exclusions = {
    WorkerExclusion::None,        WorkerExclusion::NotRegistered,
    WorkerExclusion::NotReported, WorkerExclusion::Unresponsive,
    WorkerExclusion::Cordoned,    WorkerExclusion::Draining,
    WorkerExclusion::Avoided};

std::string_view exclusionName(WorkerExclusion Exclusion) {
  switch (Exclusion) {
  case WorkerExclusion::None:
    return "usable";
  case WorkerExclusion::NotRegistered:
    return "unregistered";
  case WorkerExclusion::NotReported:
    return "unreported";
  case WorkerExclusion::Unresponsive:
    return "unresponsive";
  case WorkerExclusion::Cordoned:
    return "cordoned";
  case WorkerExclusion::Draining:
    return "draining";
  case WorkerExclusion::Avoided:
    return "avoided";
  }
  return "unknown";
}

std::string_view phaseName(RunPhase Phase) {
  switch (Phase) {
  case RunPhase::Proposed:
    return "proposed";
  case RunPhase::Ordered:
    return "ordered";
  case RunPhase::Running:
    return "running";
  case RunPhase::Uncertain:
    return "uncertain";
  case RunPhase::Ending:
    return "ending";
  }
  return "unknown";
}

} // namespace

/// Tasks of one step that are not known to run.
struct Dispatcher::DelayedStep {
  const jobs::Job *ParentJob = nullptr;
  unsigned Step = 0;
  unsigned TaskCount = 0;
  /// The task that has been delayed the longest, and since when.
  TaskRef Oldest;
  Instant Since = Instant::max();
};

bool Dispatcher::isKnownToRun(const TaskRef &Task, const TaskRecord *Record,
                              Instant Now) const {
  if (Record == nullptr || Record->Phase != TaskPhase::Placed) {
    return false;
  }
  const RunState *Run = findRun(Record->Worker.Id, Task, Record->Run);
  if (Run == nullptr || Run->Phase != RunPhase::Running) {
    return false;
  }
  const WorkerState &Worker = Workers.at(Record->Worker.Id);
  return !Worker.IsUnresponsive && Now - Worker.LastReportAt < MaxReportAge;
}

std::string_view Dispatcher::delayedTaskState(const TaskRef &Task,
                                              const TaskRecord *Record) const {
  if (Record == nullptr || Record->Phase == TaskPhase::Waiting) {
    return isProposed(Task)                   ? "proposed"
           : WorkerOfEndingRun.contains(Task) ? "end-unrecorded"
           : LateCompletions.contains(Task)   ? "completed-late"
           : UnrefusedTasks.contains(Task)    ? "start-not-refused"
           : ClosingJobs.contains(Task.Job)   ? "job-closing"
                                              : "waiting";
  }
  const RunState *Run = findRun(Record->Worker.Id, Task, Record->Run);
  return Run == nullptr ? "untracked" : phaseName(Run->Phase);
}

void Dispatcher::reportDelayedTasks(Instant Now) {
  const std::map<TaskRef, Instant> DelayedBefore =
      std::exchange(DelayedSince, {});
  for (const JobId &Id : OpenJobs) {
    const jobs::Job *Job = Table->find(Id);
    if (Job == nullptr || !Job->isOpen()) {
      continue;
    }
    for (unsigned Step = 0; Step < Job->spec().Steps.size(); ++Step) {
      const jobs::StepSpec &Spec = Job->spec().Steps[Step];
      if (!Spec.LongRunning || !Job->isReady(0, Step)) {
        continue;
      }
      DelayedStep Delayed{Job, Step};
      for (unsigned Index = 0; Index < Spec.Count; ++Index) {
        const TaskRef Task{Id, 0, Step, Index};
        if (isKnownToRun(Task, Job->find(Task), Now)) {
          continue;
        }
        const auto BeforeIt = DelayedBefore.find(Task);
        const Instant Since =
            BeforeIt == DelayedBefore.end() ? Now : BeforeIt->second;
        DelayedSince.emplace(Task, Since);
        ++Delayed.TaskCount;
        if (Since < Delayed.Since) {
          Delayed.Since = Since;
          Delayed.Oldest = Task;
        }
      }
      if (Delayed.TaskCount > 0 && Now - Delayed.Since >= MinReportedDelay) {
        logDelayedStep(Delayed, Now);
      }
    }
  }
}

void Dispatcher::logDelayedStep(const DelayedStep &Delayed, Instant Now) const {
  const jobs::StepSpec &Spec = Delayed.ParentJob->spec().Steps[Delayed.Step];
  const Resources Claim = claimFor(Spec);
  const TaskRecord *Record = Delayed.ParentJob->find(Delayed.Oldest);
  boost::json::object Fields{
      {"job", Delayed.Oldest.Job.Text},
      {"task", taskPath(Delayed.Oldest)},
      {"tasks", Delayed.TaskCount},
      {"state", delayedTaskState(Delayed.Oldest, Record)},
      {"delayed_ms", toMilliseconds(Now - Delayed.Since)}};
  if (Record != nullptr && Record->Phase == TaskPhase::Placed) {
    Fields["worker"] = Record->Worker.Id;
    if (const auto It = Workers.find(Record->Worker.Id); It != Workers.end()) {
      Fields["report_age_ms"] = toMilliseconds(Now - It->second.LastReportAt);
    }
  }
  // Workers with room for a task of the step, by what keeps them from it.
  std::map<WorkerExclusion, unsigned> WithRoom;
  unsigned Unsuitable = 0;
  unsigned Reserved = 0;
  unsigned PoolWorkers = 0;
  const PoolName &Pool =
      Config == nullptr
          ? Delayed.ParentJob->Record.Accepted.Pool
          : Config->placementOf(Delayed.ParentJob->Record.Accepted).Pool;
  for (const auto &[Id, Worker] : Workers) {
    if (Worker.Record.Pool != Pool) {
      continue;
    }
    ++PoolWorkers;
    if (!Claim.fitsInto(Worker.freeResources())) {
      continue;
    }
    const WorkerExclusion Exclusion = Worker.exclusionAt(Now);
    if (!canTake(Worker, Spec, Delayed.Oldest)) {
      ++Unsuitable;
    } else if (Exclusion == WorkerExclusion::None && Worker.IsReserved) {
      ++Reserved;
    } else {
      ++WithRoom[Exclusion];
    }
  }
  Fields["pool"] = Pool.Text;
  Fields["pool_workers"] = PoolWorkers;
  Fields["unsuitable"] = Unsuitable;
  Fields["reserved"] = Reserved;
  for (const WorkerExclusion Exclusion : Exclusions) {
    Fields[exclusionName(Exclusion)] = WithRoom[Exclusion];
  }
  Log.write(LogLevel::Info, "tasks-delayed", std::move(Fields));
}

} // namespace balsamlatch::dispatch
