/// \file
/// Checks what ran against the promises.

#include "World.h"

#include <algorithm>
#include <fmt/format.h>

namespace balsamlatch::dispatch::test {

using jobs::RunEnd;

namespace {

/// A start may follow a recorded cancelling so much later: it was on its way.
constexpr Duration CancelTime = std::chrono::seconds(3);

std::string name(const TaskRef &Task) {
  return fmt::format("{}.{}.{}.{}", Task.Job.Text, Task.Occurrence, Task.Step,
                     Task.Index);
}

void checkTask(const std::vector<const RunTrace *> &Runs, unsigned MaxAttempts,
               bool Lasting, std::vector<std::string> &Faults) {
  unsigned Failures = 0;
  const RunTrace *Before = nullptr;
  for (const RunTrace *Each : Runs) {
    const std::string Task = name(Each->Task);
    if (Before != nullptr && Each->Began < Before->Ended) {
      Faults.push_back(fmt::format("{} runs twice at a time", Task));
    }
    // An end that no holder could hear of before the lease had run out, or
    // that went with its worker, binds nobody.
    if (Before != nullptr && Before->How == RunEnd::Done && !Lasting &&
        Before->Acknowledged && !Before->Unheard) {
      Faults.push_back(fmt::format("{} runs after it was done", Task));
    }
    if (Before != nullptr && Each->Run <= Before->Run) {
      Faults.push_back(fmt::format("{} has a run number again", Task));
    }
    if (!Lasting && Failures >= MaxAttempts) {
      Faults.push_back(fmt::format("{} runs after its last attempt", Task));
    }
    Failures += Each->How == RunEnd::Failed ? 1 : 0;
    Before = Each;
  }
}

Instant doneAt(const std::vector<const RunTrace *> &Runs) {
  Instant Done = Instant::max();
  for (const RunTrace *Each : Runs) {
    if (Each->How == RunEnd::Done) {
      Done = std::min(Done, Each->Ended);
    }
  }
  return Done;
}

} // namespace

std::vector<std::string> check(const History &What,
                               const std::map<JobId, jobs::JobSpec> &Specs,
                               unsigned MaxAttempts) {
  std::vector<std::string> Faults;
  std::map<TaskRef, std::vector<const RunTrace *>> ByTask;
  for (const RunTrace &Each : What.Runs) {
    ByTask[Each.Task].push_back(&Each);
  }
  const auto Done = [&](const TaskRef &Task) {
    const auto Found = ByTask.find(Task);
    return Found == ByTask.end() ? Instant::max() : doneAt(Found->second);
  };
  for (const auto &[Task, Runs] : ByTask) {
    const jobs::JobSpec &Spec = Specs.at(Task.Job);
    checkTask(Runs, MaxAttempts, Spec.Steps[Task.Step].Lasting, Faults);
    for (const unsigned Earlier : Spec.Steps[Task.Step].After) {
      for (unsigned Index = 0; Index < Spec.Steps[Earlier].Count; ++Index) {
        if (Done({Task.Job, Task.Occurrence, Earlier, Index}) >
            Runs.front()->Began) {
          Faults.push_back(fmt::format("{} runs before step {} is done",
                                       name(Task), Earlier));
        }
      }
    }
    const auto Cancelled = What.Cancelled.find(Task.Job);
    if (Cancelled != What.Cancelled.end() &&
        Runs.back()->Began > Cancelled->second + CancelTime) {
      Faults.push_back(
          fmt::format("{} starts after its job was cancelled", name(Task)));
    }
  }
  for (const auto &[Job, At] : What.ShownCompleted) {
    const jobs::JobSpec &Spec = Specs.at(Job);
    for (unsigned Step = 0; Step < Spec.Steps.size(); ++Step) {
      for (unsigned Index = 0; Index < Spec.Steps[Step].Count; ++Index) {
        if (Done({Job, 0, Step, Index}) > At) {
          Faults.push_back(fmt::format("{} is shown as completed and {}.{} "
                                       "isn't done",
                                       Job.Text, Step, Index));
        }
      }
    }
  }
  return Faults;
}

} // namespace balsamlatch::dispatch::test
