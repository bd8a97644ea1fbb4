/// \file
/// The checks of the fleet simulation: liveness of long-running tasks and the
/// limits on what orders may interrupt.

#include "FleetSimulation.h"

#include <algorithm>
#include <fmt/format.h>
#include <fmt/ranges.h>

namespace balsamlatch::dispatch::test {

using namespace std::chrono_literals;

namespace {

/// A task that was not at work for this long counts as away, for any cause.
constexpr Duration AwayNotice = 5500ms;
/// A task may be missing for this long while there is room for it, after this
/// much time without a disturbance, and this long after its last run.
constexpr Duration MaxMissingTime = 3s;
constexpr Duration CalmTime = 4s;
constexpr Duration TimeAfterLastRun = 6s;

std::string taskName(const TaskRef &Task) {
  return fmt::format("{}.{}.{}", Task.Job.Text, Task.Step, Task.Index);
}

} // namespace

void FleetSimulation::echo(std::string_view Reason,
                           const boost::json::object &Fields) {
  if (Sim.Log.Echo) {
    Sim.Log.Echo(Reason, Fields);
  }
}

void FleetSimulation::addTo(std::vector<std::string> &List, std::string Text) {
  echo("model-violation", {{"what", Text}});
  List.push_back(fmt::format(
      "{} at {} ms", Text, toMilliseconds(Sim.Time.now().time_since_epoch())));
}

void FleetSimulation::checkStop(const FakeWorker &Worker,
                                const StopOrder &Order, bool IsLate) {
  const auto RunIt = Worker.runs().find(Order.Task);
  if (RunIt != Worker.runs().end() && RunIt->second.Number == Order.Run &&
      !RunIt->second.StopsAt &&
      Worker.isAtWork(RunIt->second, Sim.Time.now())) {
    checkInterruption(Worker, Order.Task, RunIt->second.TraceIndex, IsLate,
                      "stop");
  }
}

void FleetSimulation::checkInterruption(const FakeWorker &Worker,
                                        const TaskRef &Task,
                                        std::size_t TraceIndex, bool IsLate,
                                        std::string_view Cause) {
  Sim.Observed.Runs[TraceIndex].EndedByOrder = true;
  const jobs::Job *Job = Sim.Table.find(Task.Job);
  const bool IsSound =
      !Worker.FailsAll && !Worker.IsDown && !Worker.Record.Draining;
  // checkFailedJob() judges jobs that are closed.
  if (Job == nullptr || !Job->isOpen() || CancelRequested.contains(Task.Job) ||
      !IsSound || IsLate) {
    return;
  }
  const unsigned MaxUnavailable = Job->spec().Steps[Task.Step].MaxUnavailable;
  const std::vector<unsigned> Away = findAway(Task);
  if (MaxUnavailable > 0 && Away.size() >= MaxUnavailable) {
    addViolation(fmt::format("AVAIL: a {} ends {} on {} while tasks {} are "
                             "away, {} allowed",
                             Cause, taskName(Task), Worker.Record.Instance.Id,
                             fmt::join(Away, ", "), MaxUnavailable));
  }
}

std::vector<unsigned> FleetSimulation::findAway(const TaskRef &Task) const {
  const jobs::Job &Job = *Sim.Table.find(Task.Job);
  std::vector<AwayState> States(Job.spec().Steps[Task.Step].Count,
                                AwayState{SubmittedAt.at(Task.Job), false});
  for (const RunTrace &Run : Sim.Observed.Runs) {
    if (Run.Task.Step == Task.Step && Run.LastAtWork != Instant() &&
        Run.Task.Job == Task.Job) {
      AwayState &State = States[Run.Task.Index];
      State.LastAtWork = std::max(State.LastAtWork, Run.LastAtWork);
      State.EndedByOrder = Run.EndedByOrder;
    }
  }
  std::vector<unsigned> Away;
  for (unsigned Index = 0; Index < States.size(); ++Index) {
    const AwayState &State = States[Index];
    if (Index != Task.Index &&
        (State.EndedByOrder ||
         Sim.Time.now() - State.LastAtWork >= AwayNotice)) {
      Away.push_back(Index);
    }
  }
  return Away;
}

void FleetSimulation::checkWaveLimit(const HostOrder &Order) {
  const unsigned MaxAway = Waves.at(Order.Wave - 1).Request.MaxAway;
  const auto Away = static_cast<unsigned>(
      std::count_if(Hosts.begin(), Hosts.end(), [&](const FleetHost &Host) {
        return Host.CurrentWave == Order.Wave;
      }));
  if (Away >= MaxAway) {
    addViolation(fmt::format("WAVE: maintenance of {} begins while {} hosts "
                             "of wave {} are away, {} allowed",
                             Order.Host.Text, Away, Order.Wave, MaxAway));
  }
}

void FleetSimulation::checkFailedJob(const jobs::Job &Job) {
  const unsigned MaxAttempts = Sim.Config->Queues.front().Terms.MaxAttempts;
  std::map<TaskRef, unsigned> Failures;
  unsigned MostFailures = 0;
  for (const RunTrace &Run : Sim.Observed.Runs) {
    if (Run.Task.Job == Job.id() && Run.End == jobs::RunOutcome::Failed) {
      MostFailures = std::max(MostFailures, ++Failures[Run.Task]);
    }
  }
  if (!CrashingJobs.contains(Job.id()) &&
      (Job.spec().hasLongRunningStep() || MostFailures < MaxAttempts)) {
    addTo(JobViolations,
          fmt::format("{} is shown as failed without cause", Job.id().Text));
  }
}

void FleetSimulation::checkGivenUp(const JobId &Id) {
  const jobs::Job *Job = Sim.Table.find(Id);
  if (Job != nullptr && Job->Record.State != jobs::JobState::Failed) {
    addTo(JobViolations,
          fmt::format("{} crashes its workers and is not given up", Id.Text));
  }
}

bool FleetSimulation::hasEndedDone(const TaskRef &Task) const {
  return std::any_of(Sim.Observed.Runs.begin(), Sim.Observed.Runs.end(),
                     [&](const RunTrace &Run) {
                       return Run.End == jobs::RunOutcome::Done &&
                              Run.EndedAt != Instant::max() && Run.Task == Task;
                     });
}

bool FleetSimulation::isPoolIdle(const PoolName &Pool) const {
  return std::all_of(Hosts.begin(), Hosts.end(), [&](const FleetHost &Host) {
    if (Host.Record.Pool != Pool || Host.Record.WorkerId.empty()) {
      return true;
    }
    const FakeWorker *Worker = Sim.find(Host.Record.WorkerId);
    return !Worker->HasCrashed && Worker->runs().empty();
  });
}

bool FleetSimulation::hasJustStarted(const TaskRef &Task) const {
  return std::any_of(
      Sim.Workers.begin(), Sim.Workers.end(), [&](const FakeWorker &Worker) {
        const auto RunIt = Worker.runs().find(Task);
        return RunIt != Worker.runs().end() &&
               Sim.Time.now() - RunIt->second.StartedAt < Worker.RunDuration;
      });
}

void FleetSimulation::checkUnfinishedJob(const std::string &Id) {
  const jobs::Job &Job = *Sim.Table.find(JobId(Id));
  for (unsigned Step = 0; Step < Job.spec().Steps.size(); ++Step) {
    const jobs::StepSpec &Spec = Job.spec().Steps[Step];
    for (unsigned Index = 0; Index < Spec.Count; ++Index) {
      const TaskRef Task{Job.id(), 0, Step, Index};
      if (hasEndedDone(Task)) {
        continue;
      }
      if (hasJustStarted(Task)) {
        return; // all later tasks wait for this one
      }
      const std::vector<std::string> WithRoom = workersWithRoom(Task, Spec);
      if (WithRoom.size() >= 2) {
        addTo(JobViolations,
              fmt::format("END: {} is never done, with room on {}",
                          taskName(Task), fmt::join(WithRoom, ", ")));
        return;
      }
      std::map<PoolName, unsigned> HostCounts;
      for (const FleetHost &Host : Hosts) {
        ++HostCounts[Host.Record.Pool];
      }
      for (const Pool &Other : Sim.Config->Pools) {
        if (Other.Name != PoolOfJob.at(Task.Job) && isPoolIdle(Other.Name) &&
            HostCounts[Other.Name] >
                (Other.Standby ? 0 : HostCounts[PoolOfJob.at(Task.Job)])) {
          addTo(JobViolations,
                fmt::format(
                    "END: {} is never done, and pool {} keeps {} idle hosts",
                    taskName(Task), Other.Name.Text, HostCounts[Other.Name]));
        }
      }
      return; // all later tasks wait for this one or for room like it
    }
  }
}

void FleetSimulation::checkLiveness() {
  std::set<TaskRef> RunningTasks;
  for (const FakeWorker &Worker : Sim.Workers) {
    for (const auto &[Task, Run] : Worker.runs()) {
      if (Run.LongRunning) {
        RunningTasks.insert(Task);
      }
    }
  }
  for (const auto &[Id, Pool] : PoolOfJob) {
    const jobs::Job *Job = Sim.Table.find(Id);
    if (Job == nullptr || !Job->isOpen() || CancelRequested.contains(Id)) {
      continue;
    }
    for (unsigned Step = 0; Step < Job->spec().Steps.size(); ++Step) {
      const jobs::StepSpec &Spec = Job->spec().Steps[Step];
      for (unsigned Index = 0; Spec.LongRunning && Index < Spec.Count;
           ++Index) {
        const TaskRef Task{Id, 0, Step, Index};
        if (RunningTasks.contains(Task)) {
          MissingSince.erase(Task);
        } else {
          checkTaskRuns(Task, Spec);
        }
      }
    }
  }
}

void FleetSimulation::checkTaskRuns(const TaskRef &Task,
                                    const jobs::StepSpec &Step) {
  const Instant Now = Sim.Time.now();
  const std::vector<std::string> WithRoom = workersWithRoom(Task, Step);
  if (WithRoom.size() < 2) {
    MissingSince.erase(Task);
    return;
  }
  const Instant Since =
      std::max(MissingSince.try_emplace(Task, Now).first->second,
               DisturbedUntil + CalmTime);
  if (Now - Since < MaxMissingTime || ReportedMissing.contains(Task) ||
      Now - lastRunEnd(Task) < TimeAfterLastRun) {
    return;
  }
  ReportedMissing.insert(Task);
  addViolation(fmt::format("LOST: {} doesn't run, with room on {}",
                           taskName(Task), fmt::join(WithRoom, ", ")));
}

std::vector<std::string>
FleetSimulation::workersWithRoom(const TaskRef &Task,
                                 const jobs::StepSpec &Step) const {
  std::vector<std::string> WithRoom;
  for (const FleetHost &Host : Hosts) {
    if (Host.Record.Status != HostStatus::Up || Host.OrdersUnderWay > 0 ||
        Host.Record.WorkerId.empty() ||
        Host.Record.Pool != PoolOfJob.at(Task.Job)) {
      continue;
    }
    if (hasRoom(*Sim.find(Host.Record.WorkerId), Task, Step)) {
      WithRoom.push_back(Host.Record.WorkerId);
    }
  }
  return WithRoom;
}

bool FleetSimulation::hasRoom(const FakeWorker &Worker, const TaskRef &Task,
                              const jobs::StepSpec &Step) const {
  const std::vector<std::string> &Labels = Worker.Record.Labels;
  if (Worker.HasCrashed || Worker.IsDown || Worker.Record.Draining ||
      !Sim.Registrations->contains(Worker.Record.Instance.Id) ||
      (!Step.RequiredLabel.empty() &&
       std::find(Labels.begin(), Labels.end(), Step.RequiredLabel) ==
           Labels.end())) {
    return false;
  }
  Resources Used = Step.RequestedResources;
  Used.CpuMilli = Step.BestEffort ? 0 : Used.CpuMilli;
  unsigned RunsOfStep = 0;
  for (const auto &[OtherTask, Run] : Worker.runs()) {
    const jobs::StepSpec &Other =
        Sim.Table.find(OtherTask.Job)->spec().Steps[OtherTask.Step];
    Used += Other.RequestedResources;
    Used.CpuMilli -= Other.BestEffort ? Other.RequestedResources.CpuMilli : 0;
    RunsOfStep += stepOf(OtherTask) == stepOf(Task) ? 1 : 0;
  }
  return Used.fitsInto(Worker.Record.Capacity) &&
         (Step.MaxPerWorker == 0 || RunsOfStep < Step.MaxPerWorker);
}

Instant FleetSimulation::lastRunEnd(const TaskRef &Task) const {
  Instant Latest = Instant() - TimeAfterLastRun;
  for (const RunTrace &Run : Sim.Observed.Runs) {
    if (Run.Task == Task) {
      Latest = std::max(Latest, std::min(Run.EndedAt, Sim.Time.now()));
    }
  }
  return Latest;
}

} // namespace balsamlatch::dispatch::test
