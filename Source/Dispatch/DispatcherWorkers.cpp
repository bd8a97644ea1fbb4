/// \file
/// Which workers there are, in which incarnation, and what becomes of their
/// runs when one is gone: by registrations, replies, host lists and host
/// orders.

#include "balsamlatch/Dispatch/Dispatcher.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace balsamlatch::dispatch {

using jobs::RunOutcome;

namespace {

/// Consecutive host lists without a worker after which the worker counts as
/// ended. A single list may have been taken before the worker started.
constexpr unsigned MinListsWithoutHost = 2;
/// A host list shows the workers as they were this long before it was asked
/// for, or later.
constexpr Duration MaxHostListLag = std::chrono::seconds(2);
/// The incarnation of a worker that isn't up; later than all others.
constexpr std::int64_t NoIncarnation = std::numeric_limits<std::int64_t>::max();
/// A worker that so many host lists still show is out of reach, but not gone.
constexpr unsigned MaxListsWhileUnresponsive = 4;

/// Whether a host list that was asked for at \p AskedAt was taken after
/// \p Then.
bool showsTimeAfter(Instant Then, Instant AskedAt) {
  return AskedAt - Then > MaxHostListLag;
}

} // namespace

void Dispatcher::setWorkers(
    const std::map<std::string, WorkerRecord> &Records) {
  if (Table == nullptr) {
    return;
  }
  for (auto &[Id, Worker] : Workers) {
    if (!Records.contains(Id)) {
      Worker.IsRegistered = false;
    }
  }
  for (const auto &[Id, Record] : Records) {
    registerWorker(Id, Record);
  }
  PlanNeeded = true;
}

void Dispatcher::updateWorkers(const std::vector<WorkerChange> &Changes) {
  if (Table == nullptr) {
    return;
  }
  for (const WorkerChange &Change : Changes) {
    if (Change.Record) {
      registerWorker(Change.WorkerId, *Change.Record);
    } else if (const auto It = Workers.find(Change.WorkerId);
               It != Workers.end()) {
      It->second.IsRegistered = false;
    }
  }
  PlanNeeded = true;
}

void Dispatcher::registerWorker(const std::string &Id,
                                const WorkerRecord &Record) {
  const auto [WorkerIt, IsNew] = Workers.try_emplace(Id);
  WorkerState &Worker = WorkerIt->second;
  if (const auto CordonIt = HostCordons.find(Id);
      IsNew && CordonIt != HostCordons.end()) {
    Worker.HostCordon = CordonIt->second;
  }
  if (Record.Instance.Incarnation < Worker.Record.Instance.Incarnation ||
      Worker.SupersededIncarnations.contains(Record.Instance.Incarnation)) {
    return; // the worker has already reported a later incarnation
  }
  if (Record.Instance.Incarnation > Worker.Record.Instance.Incarnation) {
    setWorkerInstance(Worker, Record.Instance.Incarnation);
  }
  if (!Worker.IsRegistered && !Worker.HasEnded) {
    Worker.NextRenewalAt = Time.now();
  }
  Worker.Record = Record;
  Worker.IsRegistered = true;
}

void Dispatcher::setWorkerInstance(WorkerState &Worker,
                                   std::int64_t Incarnation) {
  if (Worker.Record.Instance.Incarnation == Incarnation) {
    return;
  }
  handleWorkerGone(Worker, Incarnation, "its worker was started again");
  const Instant Now = Time.now();
  inheritUnansweredOrders(Worker);
  if (Worker.Record.Instance.Incarnation != 0) {
    Worker.HasRestarted = true;
    Log.write(
        LogLevel::Info, "worker-restarted",
        {{"worker", Worker.Record.Instance.Id},
         {"born", Incarnation},
         {"before", Worker.Record.Instance.Incarnation},
         {"has_unanswered_leases", Worker.FormerLeases.mayBeExecutedAt(Now)},
         {"may_forget_ends", Worker.mayForgetEnds(Now)}});
  }
  Worker.SupersededIncarnations.insert(Worker.Record.Instance.Incarnation);
  Worker.SupersededIncarnations.erase(
      Worker.SupersededIncarnations.begin(),
      Worker.SupersededIncarnations.lower_bound(Incarnation));
  Worker.Record.Instance.Incarnation = Incarnation;
  Worker.IncarnationLearntAt = Now;
  forgetRefusals(Worker);
  Worker.HasReported = false;
  Worker.HasEnded = false;
  // The first report shows which of the remaining runs the worker has.
  Worker.NextRenewalAt =
      std::min(Worker.NextRenewalAt,
               Time.now() + (Worker.Runs.empty() ? UnresponsiveRenewalPeriod
                                                 : Duration::zero()));
  Worker.WasListed = false;
  Worker.ListsWithoutHost = 0;
  Worker.OrphanedResources = {};
  Worker.LastSeenEnd = 0;
  Worker.LastEndInBatch = 0;
  Worker.LastRecordedEnd = 0;
  Worker.LastConfirmedAck = 0;
  Worker.RenewalAck = 0;
  Worker.ConsecutiveFailures = 0;
  Worker.AvoidanceDoublings = 0;
  Worker.AvoidUntil = {};
  Worker.FailingUntil = {};
  Worker.LastFailureAt = {};
}

void Dispatcher::inheritUnansweredOrders(WorkerState &Worker) {
  Worker.FormerLeases.add(std::exchange(Worker.PresentLeases, {}));
  std::optional<Instant> AckSettledAt =
      std::exchange(Worker.PresentAckSettledAt, {});
  if (Worker.RenewalInFlight && Worker.RenewalAck > 0) {
    AckSettledAt = Worker.RenewalSettledAt;
  }
  Worker.FormerAckSettledAt = std::max(Worker.FormerAckSettledAt, AckSettledAt);
}

bool Dispatcher::acceptIncarnation(WorkerState &Worker,
                                   std::int64_t Incarnation, Instant SentAt) {
  const std::int64_t Known = Worker.Record.Instance.Incarnation;
  if (Incarnation == 0 || Incarnation == Known) {
    return true;
  }
  // An earlier incarnation can't reply any more once a later one is known, so
  // the clock was set back before the worker was started again.
  const bool HasLowerNumber = Incarnation < Known;
  if (Worker.SupersededIncarnations.contains(Incarnation) ||
      (HasLowerNumber && SentAt <= Worker.IncarnationLearntAt)) {
    return false;
  }
  setWorkerInstance(Worker, Incarnation);
  return true;
}

void Dispatcher::endAllAsLost(WorkerState &Worker, std::string_view Reason,
                              bool MayHaveCrashed) {
  for (auto &[Task, Run] : Worker.Runs) {
    if (Run.Phase == RunPhase::Ending || Run.Phase == RunPhase::Proposed) {
      continue;
    }
    if (Run.mayBeTakenLater() &&
        (MayHaveCrashed || Time.now() <= Run.keptUntil())) {
      keepForNextIncarnation(Run, RunOutcome::Lost);
      logKeptRun(Worker, Task, Run);
      continue;
    }
    logLostRun(Worker, Task, Run, Reason);
    proposeEnd(Worker, Task, Run, RunOutcome::Lost, Run.Checkpoint);
  }
}

RunOutcome Dispatcher::crashOutcome(const WorkerState &Worker,
                                    const RunState &Run) const {
  return judgeCrash(Worker, Run, {Time.now(), Time.wallNow()});
}

void Dispatcher::handleWorkerGone(WorkerState &Worker, std::int64_t Incarnation,
                                  std::string_view Reason) {
  const bool IsCrash = !Worker.isLeaving();
  if (IsCrash) {
    confirmPossibleCrashes(Worker);
  }
  std::vector<std::pair<TaskRef, RunOutcome>> Outcomes;
  for (const auto &[Task, Run] : Worker.Runs) {
    if (Run.WorkerIncarnation == Incarnation || Run.Phase == RunPhase::Ending) {
      continue;
    }
    if (!IsCrash || Run.Phase == RunPhase::Proposed) {
      Outcomes.emplace_back(Task, RunOutcome::Lost);
      continue;
    }
    const RunOutcome Outcome = crashOutcome(Worker, Run);
    if (Outcome != RunOutcome::Lost || !Run.LongRunning ||
        hasSurvived(Worker, Run)) {
      noteCrashDelay(Task, crashDelay(Worker, Run, Time.now()));
    }
    Outcomes.emplace_back(Task, Outcome);
  }
  const bool IsRestarted = Incarnation != NoIncarnation;
  for (const auto &[Task, Outcome] : Outcomes) {
    RunState &Run = Worker.Runs.at(Task);
    // Host lists tell that no incarnation has the run, nor will have it, if
    // they are from after its last start.
    if (Run.mayBeTakenLater() &&
        (IsRestarted || Run.ListsWithoutHost < MinListsWithoutHost)) {
      keepForNextIncarnation(Run, Outcome);
      logKeptRun(Worker, Task, Run);
      continue;
    }
    logLostRun(Worker, Task, Run, Reason);
    proposeEnd(Worker, Task, Run, Run.OutcomeIfMissing.value_or(Outcome),
               Run.Checkpoint);
  }
  if (IsCrash && !Outcomes.empty()) {
    Log.write(
        LogLevel::Warning, "worker-crashed",
        {{"worker", Worker.Record.Instance.Id},
         {"born", Worker.Record.Instance.Incarnation},
         {"born_known_ms",
          toMilliseconds(Time.now() - Worker.IncarnationLearntAt)},
         {"runs", Outcomes.size()},
         {"report_age_ms", toMilliseconds(Time.now() - Worker.LastReportAt)},
         {"why", Reason}});
  }
}

void Dispatcher::keepForNextIncarnation(RunState &Run, RunOutcome Outcome) {
  Run.OutcomeIfMissing = Run.OutcomeIfMissing.value_or(Outcome);
  Run.StopConfirmedAt.reset();
  Run.StartedAt = {};
  Run.HasSettled = false;
  Run.Percent = 0;
  Run.Pace.reset();
  if (Run.Phase == RunPhase::Running && Run.UnansweredStarts > 0) {
    Run.Phase = RunPhase::Uncertain;
  }
}

void Dispatcher::confirmPossibleCrashes(WorkerState &Worker) {
  for (const PossibleCrash &Crash : std::exchange(Worker.PossibleCrashes, {})) {
    noteCrashDelay(Crash.Task, Crash.Delay);
    Events.emplace_back(
        jobs::TaskEnded{Crash.Task, Crash.Run, Crash.Outcome, {}});
  }
}

void Dispatcher::noteCrashDelay(const TaskRef &Task,
                                std::optional<Duration> Delay) {
  if (Delay) {
    LastCrashDelays[Task] = *Delay;
  }
}

void Dispatcher::logKeptRun(const WorkerState &Worker, const TaskRef &Task,
                            const RunState &Run) const {
  Log.write(LogLevel::Info, "run-kept",
            {{"job", Task.Job.Text},
             {"task", taskPath(Task)},
             {"worker", Worker.Record.Instance.Id},
             {"run", Run.Number},
             {"born", Run.WorkerIncarnation},
             {"unanswered_starts", Run.UnansweredStarts},
             {"why", "a later incarnation of its worker may have it"}});
}

void Dispatcher::logLostRun(const WorkerState &Worker, const TaskRef &Task,
                            const RunState &Run,
                            std::string_view Reason) const {
  // The last report bounds from below how long the worker lived after the
  // start.
  const Duration SeenFor = Run.OrderedAt == Instant()
                               ? Duration::zero()
                               : Worker.LastReportAt - Run.OrderedAt;
  Log.write(
      LogLevel::Info, "run-lost",
      {{"job", Task.Job.Text},
       {"task", taskPath(Task)},
       {"worker", Worker.Record.Instance.Id},
       {"run", Run.Number},
       {"born", Run.WorkerIncarnation},
       {"reported_by", Run.ReportedBy},
       {"start_attempts", Run.StartAttempts},
       {"unanswered_starts", Run.UnansweredStarts},
       {"starts_settled_ms", toMilliseconds(Time.now() - Run.StartsSettledAt)},
       {"ordered_before_last_report_ms", toMilliseconds(SeenFor)},
       {"report_age_ms", toMilliseconds(Time.now() - Worker.LastReportAt)},
       {"runs_on_worker", Worker.Runs.size()},
       {"why", Reason}});
}

void Dispatcher::setHostedWorkers(const std::set<std::string> &Ids,
                                  Instant AskedAt) {
  for (auto &[Id, Worker] : Workers) {
    Worker.ListsWhileUnresponsive += Worker.IsUnresponsive ? 1 : 0;
    if (Ids.contains(Id)) {
      if (std::exchange(Worker.ListsWithoutHost, 0) > 0) {
        for (auto &[Task, Run] : Worker.Runs) {
          Run.ListsWithoutHost = 0;
        }
      }
      Worker.WasListed = true;
      continue;
    }
    // An older list says nothing of this incarnation, whose ID is that of the
    // former one.
    if (!showsTimeAfter(Worker.IncarnationLearntAt, AskedAt) ||
        (Worker.HasReported && !Worker.IsUnresponsive)) {
      continue;
    }
    for (auto &[Task, Run] : Worker.Runs) {
      Run.ListsWithoutHost += showsTimeAfter(Run.keptUntil(), AskedAt) ? 1 : 0;
    }
    if (++Worker.ListsWithoutHost >= MinListsWithoutHost) {
      handleWorkerGone(Worker, NoIncarnation,
                       "no host runs its worker any more");
      Worker.HasEnded = true;
    }
  }
}

bool Dispatcher::needsHostList() const {
  return std::any_of(
      Workers.begin(), Workers.end(), [](const auto &WorkerEntry) {
        const WorkerState &Worker = WorkerEntry.second;
        return Worker.IsUnresponsive && Worker.WasListed &&
               Worker.HasReported && !Worker.Runs.empty() &&
               Worker.ListsWhileUnresponsive < MaxListsWhileUnresponsive;
      });
}

void Dispatcher::handleHostGone(const std::string &WorkerId,
                                bool MayHaveCrashed) {
  const auto WorkerIt = Workers.find(WorkerId);
  if (Table == nullptr || WorkerIt == Workers.end()) {
    return;
  }
  endAllAsLost(WorkerIt->second,
               "the host of the worker was moved or maintained",
               MayHaveCrashed);
  WorkerIt->second.IsRegistered = false;
  WorkerIt->second.setUnresponsive(Time.now());
  WorkerIt->second.HasEnded = true;
  WorkerIt->second.EndedAt = Time.now();
  WorkerIt->second.NextRenewalAt = Time.now() + Settings.IdleRenewalPeriod;
}

void Dispatcher::setPossiblyOrdered(const std::set<std::string> &WorkerIds) {
  for (auto &[Id, Worker] : Workers) {
    Worker.HostMayBeOrdered = WorkerIds.contains(Id);
  }
}

void Dispatcher::setCordons(const std::map<std::string, Cordon> &Cordons) {
  for (auto &[Id, Worker] : Workers) {
    const auto CordonIt = Cordons.find(Id);
    const Cordon NewCordon =
        CordonIt == Cordons.end() ? Cordon::None : CordonIt->second;
    PlanNeeded = PlanNeeded || NewCordon != Worker.HostCordon;
    Worker.HostCordon = NewCordon;
  }
  HostCordons = Cordons;
}

void Dispatcher::addCordon(const std::string &WorkerId, Cordon NewCordon) {
  HostCordons[WorkerId] = NewCordon;
  if (const auto It = Workers.find(WorkerId); It != Workers.end()) {
    PlanNeeded = PlanNeeded || NewCordon != It->second.HostCordon;
    It->second.HostCordon = NewCordon;
  }
}

} // namespace balsamlatch::dispatch
