/// \file
/// Checks a history of runs against the guarantees of the dispatcher.

#include "Simulation.h"

#include <algorithm>
#include <fmt/format.h>

namespace balsamlatch::dispatch::test {

using jobs::RunOutcome;

namespace {

/// A start may arrive this long after the cancellation is recorded, since the
/// order may already be in flight.
constexpr Duration CancelGracePeriod = std::chrono::seconds(3);

/// A task that has crashed this many workers may be started only so often
/// again, since a start may be in flight and crashes are noticed late.
constexpr unsigned MaxCrashes = 3;
constexpr unsigned MaxStartsAfterCrashes = 2;

std::string taskName(const TaskRef &Task) {
  return fmt::format("{}.{}.{}.{}", Task.Job.Text, Task.Occurrence, Task.Step,
                     Task.Index);
}

/// Whether the run comes from a repeated order that reached the incarnation of
/// the worker after the one that carried out the first order and crashed.
bool isRepeatedStart(const RunTrace &First, const RunTrace &Second) {
  return First.Run == Second.Run && First.Worker == Second.Worker &&
         First.End == RunOutcome::Lost && !First.EndAcknowledged;
}

void checkTask(const std::vector<const RunTrace *> &Runs, unsigned MaxAttempts,
               bool LongRunning, std::vector<std::string> &Violations) {
  unsigned Failures = 0;
  unsigned Crashes = 0;
  unsigned StartsAfterCrashes = 0;
  const RunTrace *PreviousRun = nullptr;
  for (const RunTrace *Run : Runs) {
    const std::string Task = taskName(Run->Task);
    if (PreviousRun != nullptr && Run->StartedAt < PreviousRun->EndedAt) {
      Violations.push_back(fmt::format("{} has overlapping runs", Task));
    }
    // A completed task may run again if no lease holder could know of its end:
    // the end was never acknowledged, or only after the lease had expired.
    if (PreviousRun != nullptr && PreviousRun->End == RunOutcome::Done &&
        !LongRunning && PreviousRun->EndAcknowledged &&
        !PreviousRun->LeaseExpiredFirst) {
      Violations.push_back(fmt::format("{} runs after it has completed", Task));
    }
    if (PreviousRun != nullptr && Run->Run <= PreviousRun->Run &&
        !isRepeatedStart(*PreviousRun, *Run)) {
      Violations.push_back(fmt::format("{} reuses a run number", Task));
    }
    if (!LongRunning && Failures >= MaxAttempts) {
      Violations.push_back(
          fmt::format("{} runs after its last allowed attempt", Task));
    }
    if (Crashes >= MaxCrashes &&
        ++StartsAfterCrashes == MaxStartsAfterCrashes + 1) {
      Violations.push_back(fmt::format("{} crashes worker after worker", Task));
    }
    // No lease holder can know in time of an end that was never acknowledged,
    // or only after the lease had expired.
    Failures += Run->End == RunOutcome::Failed && Run->EndAcknowledged &&
                        !Run->LeaseExpiredFirst
                    ? 1
                    : 0;
    Crashes += Run->CrashedWorker ? 1 : 0;
    PreviousRun = Run;
  }
}

Instant completedAt(const std::vector<const RunTrace *> &Runs) {
  Instant Completed = Instant::max();
  for (const RunTrace *Run : Runs) {
    if (Run->End == RunOutcome::Done) {
      Completed = std::min(Completed, Run->EndedAt);
    }
  }
  return Completed;
}

} // namespace

std::vector<std::string>
checkHistory(const History &Observed,
             const std::map<JobId, jobs::JobSpec> &Specs,
             unsigned MaxAttempts) {
  std::vector<std::string> Violations;
  std::map<TaskRef, std::vector<const RunTrace *>> RunsByTask;
  for (const RunTrace &Run : Observed.Runs) {
    RunsByTask[Run.Task].push_back(&Run);
  }
  const auto TaskCompletedAt = [&](const TaskRef &Task) {
    const auto RunsIt = RunsByTask.find(Task);
    return RunsIt == RunsByTask.end() ? Instant::max()
                                      : completedAt(RunsIt->second);
  };
  for (const auto &[Task, Runs] : RunsByTask) {
    const jobs::JobSpec &Spec = Specs.at(Task.Job);
    checkTask(Runs, MaxAttempts, Spec.Steps[Task.Step].LongRunning, Violations);
    for (const unsigned Predecessor : Spec.Steps[Task.Step].PrerequisiteSteps) {
      for (unsigned Index = 0; Index < Spec.Steps[Predecessor].Count; ++Index) {
        if (TaskCompletedAt({Task.Job, Task.Occurrence, Predecessor, Index}) >
            Runs.front()->StartedAt) {
          Violations.push_back(
              fmt::format("{} runs before step {} has completed",
                          taskName(Task), Predecessor));
        }
      }
    }
    const auto CancelIt = Observed.CancelledAt.find(Task.Job);
    if (CancelIt != Observed.CancelledAt.end() &&
        Runs.back()->StartedAt > CancelIt->second + CancelGracePeriod) {
      Violations.push_back(
          fmt::format("{} starts after its job was cancelled", taskName(Task)));
    }
  }
  for (const auto &[Job, ShownAt] : Observed.CompletedAt) {
    const jobs::JobSpec &Spec = Specs.at(Job);
    for (unsigned Step = 0; Step < Spec.Steps.size(); ++Step) {
      for (unsigned Index = 0; Index < Spec.Steps[Step].Count; ++Index) {
        if (TaskCompletedAt({Job, 0, Step, Index}) > ShownAt) {
          Violations.push_back(fmt::format("{} is shown as completed but {}.{} "
                                           "has not completed",
                                           Job.Text, Step, Index));
        }
      }
    }
  }
  return Violations;
}

} // namespace balsamlatch::dispatch::test
