/// \file
/// Starts whose runs have ended, but which may still be carried out: the
/// present incarnation of the worker is told to refuse them, and their tasks
/// wait until it has.

#include "balsamlatch/Dispatch/Dispatcher.h"

#include <algorithm>

namespace balsamlatch::dispatch {

namespace {

/// Delay before a refusal that wasn't confirmed is ordered again.
constexpr Duration RefusalRetryDelay = std::chrono::milliseconds(50);

bool isListed(const RenewReport &Report, const FormerStart &Start) {
  return std::any_of(Report.Running.begin(), Report.Running.end(),
                     [&Start](const RunningTask &Run) {
                       return Run.Task == Start.Task && Run.Run == Start.Run;
                     });
}

} // namespace

FormerStart *WorkerState::findFormerStart(const TaskRef &Task,
                                          std::uint32_t Run) {
  const auto It = std::find_if(FormerStarts.begin(), FormerStarts.end(),
                               [&Task, Run](const FormerStart &Start) {
                                 return Start.Task == Task && Start.Run == Run;
                               });
  return It == FormerStarts.end() ? nullptr : &*It;
}

void Dispatcher::addFormerStart(WorkerState &Worker, const FormerStart &Start) {
  if (FormerStart *Known = Worker.findFormerStart(Start.Task, Start.Run)) {
    Known->SettledAt = std::max(Known->SettledAt, Start.SettledAt);
    if (Start.RefusedBy != Known->RefusedBy) {
      Known->RefusedBy = 0;
    }
    return;
  }
  Worker.FormerStarts.push_back(Start);
}

void Dispatcher::removeSettledStarts(WorkerState &Worker, Instant Now) const {
  const bool IsInTouch = Worker.HasReported && !Worker.IsUnresponsive;
  std::erase_if(Worker.FormerStarts, [&](const FormerStart &Start) {
    const Instant LatestEnd =
        latestExecution(Start.SettledAt) + leaseBound(Settings.MaxRunLease);
    return LatestEnd < Now && (IsInTouch || leaseExpiry(Worker) < Now);
  });
}

void Dispatcher::refuseFormerStarts(WorkerState &Worker, Instant Now) {
  if (!Worker.HasReported || Worker.IsUnresponsive) {
    return;
  }
  for (FormerStart &Start : Worker.FormerStarts) {
    if (Start.RefusedBy == Worker.Record.Instance.Incarnation ||
        Start.IsStopOrdered || Start.StopConfirmedAt ||
        Now < Start.NextStopAt) {
      continue;
    }
    Start.IsStopOrdered = true;
    ++Start.StopsInFlight;
    Log.write(LogLevel::Info, "start-refusal-ordered",
              {{"job", Start.Task.Job.Text},
               {"task", taskPath(Start.Task)},
               {"run", Start.Run},
               {"worker", Worker.Record.Instance.Id},
               {"born", Worker.Record.Instance.Incarnation}});
    Orders.emplace_back(
        StopOrder{Worker.address(), Token, Start.Task, Start.Run});
  }
}

void Dispatcher::handleRefusalReply(WorkerState &Worker, FormerStart &Start,
                                    OrderOutcome Outcome) {
  const Instant Now = Time.now();
  if (Start.StopsInFlight == 0 || --Start.StopsInFlight > 0) {
    return;
  }
  const bool IsConfirmed =
      Outcome == OrderOutcome::Done || Outcome == OrderOutcome::StaleRun;
  if (IsConfirmed && Start.IsStopOrdered && !Start.HasStopForFormer) {
    Start.StopConfirmedAt = Now;
    if (isRefusalAwaited(Worker, Start)) {
      Worker.NextRenewalAt = std::min(Worker.NextRenewalAt, Now);
    }
  } else {
    Start.NextStopAt = Now + RefusalRetryDelay;
  }
  Start.IsStopOrdered = false;
  Start.HasStopForFormer = false;
}

void Dispatcher::settleFormerStarts(WorkerState &Worker,
                                    const RenewReport &Report, Instant SentAt) {
  if (Report.MayHaveMoreEnds) {
    return;
  }
  for (FormerStart &Start : Worker.FormerStarts) {
    // The run may have been started before, and takes time to stop.
    if (Start.StopConfirmedAt && *Start.StopConfirmedAt < SentAt &&
        !isListed(Report, Start)) {
      Start.RefusedBy = Worker.Record.Instance.Incarnation;
      Start.StopConfirmedAt.reset();
      PlanNeeded = true;
    }
  }
}

void Dispatcher::forgetRefusals(WorkerState &Worker) {
  for (FormerStart &Start : Worker.FormerStarts) {
    Start.HasStopForFormer = Start.StopsInFlight > 0;
    Start.IsStopOrdered = false;
    Start.StopConfirmedAt.reset();
    Start.NextStopAt = {};
  }
}

bool Dispatcher::isRefusalAwaited(const WorkerState &Worker,
                                  const FormerStart &Start) const {
  const jobs::Job *Job = Table->find(Start.Task.Job);
  const jobs::TaskRecord *Task =
      Job == nullptr ? nullptr : Job->find(Start.Task);
  if (Task == nullptr || Task->Phase != jobs::TaskPhase::Waiting) {
    return false;
  }
  // As for RunState::keptUntil().
  return Worker.HasEnded
             ? !Job->spec().Steps[Start.Task.Step].LongRunning &&
                   Time.now() <= latestExecution(Start.SettledAt)
             : Start.RefusedBy != Worker.Record.Instance.Incarnation;
}

std::set<TaskRef> Dispatcher::findUnrefusedTasks() const {
  std::set<TaskRef> Tasks;
  for (const auto &[Id, Worker] : Workers) {
    for (const FormerStart &Start : Worker.FormerStarts) {
      if (isRefusalAwaited(Worker, Start)) {
        Tasks.insert(Start.Task);
      }
    }
  }
  return Tasks;
}

} // namespace balsamlatch::dispatch
