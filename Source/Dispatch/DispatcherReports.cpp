/// \file
/// Handles the workers' replies to orders and their reports of running and
/// ended tasks.

#include "balsamlatch/Dispatch/Dispatcher.h"

#include <algorithm>
#include <fmt/format.h>

namespace balsamlatch::dispatch {

using jobs::RunOutcome;

namespace {

/// A worker on which this many consecutive runs of more than one job have
/// failed gets no new work for a while.
constexpr unsigned AvoidanceThreshold = 3;
constexpr Duration InitialAvoidance = std::chrono::seconds(2);
constexpr unsigned MaxAvoidanceDoublings = 3;
/// A run counts as stalled after this part of its task's estimated run time
/// without progress, or after this many times the longest time that it took
/// for a percent, whichever is longer.
constexpr int StalledPartOfEstimate = 10;
constexpr int StalledPercentTimes = 4;
constexpr unsigned MaxStallDoublings = 10;
/// Clocks are told in whole milliseconds, and so are times between them.
constexpr WorkerClock ClockRounding = std::chrono::milliseconds(2);
/// Time without new work for a worker that refused a run for lack of resources,
/// although the dispatcher counted enough free ones.
constexpr Duration NoRoomDelay = std::chrono::milliseconds(100);
constexpr Duration UnhealthyDelay = std::chrono::milliseconds(500);
/// Delay before a pace order that failed is repeated.
constexpr Duration PaceRetryDelay = std::chrono::milliseconds(200);
/// Delay before the next permit query after one without a reply.
constexpr Duration QueryRetryDelay = std::chrono::milliseconds(100);
/// UnresponsiveRenewalPeriod doubles so often for a worker without runs, for
/// which nothing is at stake.
constexpr unsigned MaxRenewalDoublings = 2;
/// Time between renewals while reported ends are not recorded yet.
constexpr Duration JournalLagRenewalPeriod = std::chrono::milliseconds(500);

} // namespace

void Dispatcher::handleRenewReply(const std::string &WorkerId, Instant SentAt,
                                  OrderOutcome Outcome,
                                  const RenewReport &Report) {
  const auto WorkerIt = Workers.find(WorkerId);
  if (Table == nullptr || WorkerIt == Workers.end()) {
    return;
  }
  WorkerState &Worker = WorkerIt->second;
  const Instant Now = Time.now();
  Worker.RenewalInFlight = false;
  if (Outcome == OrderOutcome::Unknown && Worker.RenewalLeaseUntil) {
    noteUnansweredLease(Worker, Worker.RenewalSettledAt,
                        *Worker.RenewalLeaseUntil);
  }
  if (Outcome == OrderOutcome::Unknown && Worker.RenewalAck > 0) {
    Worker.PresentAckSettledAt = Worker.RenewalSettledAt;
  }
  if (Worker.HasEnded && SentAt < Worker.EndedAt) {
    return;
  }
  if (Outcome != OrderOutcome::Done) {
    Fenced = Fenced || Outcome == OrderOutcome::Fenced;
    if (!Worker.IsUnresponsive && Worker.HasReported) {
      Log.write(LogLevel::Info, "worker-silent",
                {{"worker", WorkerId}, {"outcome", static_cast<int>(Outcome)}});
    }
    Worker.setUnresponsive(Now);
    Worker.IsAckWithheld = false;
    ++Worker.UnansweredRenewals;
    Worker.NextRenewalAt = Now + renewalRetryDelay(Worker);
    return;
  }
  noteReplyDelay(Worker, SentAt);
  if (!acceptIncarnation(Worker, Report.Incarnation, SentAt)) {
    Worker.NextRenewalAt = Now;
    return;
  }
  Worker.LastConfirmedAck =
      std::max(Worker.LastConfirmedAck, Worker.RenewalAck);
  PlanNeeded = PlanNeeded || Worker.IsUnresponsive || !Worker.HasReported;
  Worker.Clock = Report.Clock;
  Worker.ClockReceivedAt = Now;
  if (!Worker.HasReported) {
    // The worker now knows the fencing token of this term, so it refuses
    // renewals by earlier lease holders.
    Worker.LeasesExpireAt = {};
    extendLeaseExpiry(Worker, Now);
    if (Worker.HasRestarted || mayHoldEarlierLease(Worker, Report.Clock)) {
      // Orders that are still on their way may lengthen the leases, too.
      Worker.LeasesExpireAt =
          Now + MaxDeliveryTime + leaseBound(Settings.MaxRunLease);
    }
  }
  Worker.IsUnresponsive = false;
  Worker.HasEnded = false;
  Worker.ListsWhileUnresponsive = 0;
  Worker.HasReported = true;
  Worker.PossibleCrashes.clear(); // the worker was only out of reach
  Worker.LastReportAt = Now;
  Worker.LastReportAskedAt = SentAt;
  processEndedRuns(Worker, Report);
  processRunningTasks(Worker, Report, SentAt);
  settleFormerStarts(Worker, Report, SentAt);
  refuseFormerStarts(Worker, Now);
  settleRuns(Worker);
  adjustPace(Worker, Now);
  Worker.NextRenewalAt =
      Now + (Worker.isOccupied() ? Settings.RenewalPeriod
                                 : Settings.IdleRenewalPeriod);
  if (Worker.LastSeenEnd != Worker.LastRecordedEnd) {
    Worker.NextRenewalAt = Now + JournalLagRenewalPeriod;
  }
}

Duration Dispatcher::renewalRetryDelay(const WorkerState &Worker) const {
  if (Worker.HasEnded) {
    return Settings.IdleRenewalPeriod;
  }
  // A single reply may be lost although the worker is up.
  if (Worker.HasReported && Worker.UnansweredRenewals <= MaxQuickRenewals) {
    return Duration::zero();
  }
  const unsigned Doublings =
      Worker.Runs.empty()
          ? std::min(Worker.UnansweredRenewals - 1, MaxRenewalDoublings)
          : 0;
  return UnresponsiveRenewalPeriod * (1U << Doublings);
}

void Dispatcher::noteReplyDelay(WorkerState &Worker, Instant SentAt) {
  const Duration Delay = Time.now() - SentAt - Worker.RenewalWait;
  if (Worker.UnansweredRenewals > 0) {
    LastLostReplyAt = Time.now();
  }
  Worker.UnansweredRenewals = 0;
  Worker.RecentReplyDelay = std::max(Delay, Worker.RecentReplyDelay * 7 / 8);
}

void Dispatcher::processEndedRuns(WorkerState &Worker,
                                  const RenewReport &Report) {
  for (const EndedTask &EndedRun : Report.Ended) {
    if (EndedRun.Number <= Worker.LastSeenEnd) {
      continue;
    }
    Worker.LastSeenEnd = EndedRun.Number;
    WorkersWithUnrecordedEnds.insert(Worker.Record.Instance.Id);
    PlanNeeded = true;
    const auto RunIt = Worker.Runs.find(EndedRun.Task);
    // A run in phase Ending was declared lost, which isn't recorded yet.
    if (RunIt == Worker.Runs.end() || RunIt->second.Number != EndedRun.Run ||
        RunIt->second.Phase == RunPhase::Ending) {
      processLateEnd(EndedRun);
      continue;
    }
    updateWorkerHealth(Worker, EndedRun.Task, EndedRun.Outcome);
    RunIt->second.EndedOn = Worker.Record.Instance.Incarnation;
    proposeEnd(Worker, EndedRun.Task, RunIt->second, EndedRun.Outcome,
               EndedRun.Checkpoint);
  }
}

void Dispatcher::processLateEnd(const EndedTask &EndedRun) {
  const jobs::Job *Job = Table->find(EndedRun.Task.Job);
  const jobs::TaskRecord *Task =
      Job == nullptr ? nullptr : Job->find(EndedRun.Task);
  if (EndedRun.Outcome != RunOutcome::Done || Task == nullptr ||
      Task->Phase == jobs::TaskPhase::Done || Task->Run != EndedRun.Run ||
      Job->spec().Steps[EndedRun.Task.Step].LongRunning) {
    return;
  }
  const bool IsGang = Job->spec().Steps[EndedRun.Task.Step].Gang;
  if (isProposed(EndedRun.Task) && IsGang) {
    return; // the other members would be left without this one
  }
  Log.write(LogLevel::Info, "run-completed-late",
            {{"job", EndedRun.Task.Job.Text},
             {"task", taskPath(EndedRun.Task)},
             {"run", EndedRun.Run},
             {"proposed_again", isProposed(EndedRun.Task)}});
  // The run was declared lost, but it had completed and its task has not run
  // again since. If the next run is proposed, applyRecorded() ends it instead.
  LateCompletions.insert(EndedRun.Task);
  if (!isProposed(EndedRun.Task)) {
    Events.emplace_back(jobs::TaskEnded{EndedRun.Task, EndedRun.Run,
                                        EndedRun.Outcome, EndedRun.Checkpoint});
  }
}

void Dispatcher::updateWorkerHealth(WorkerState &Worker, const TaskRef &Task,
                                    RunOutcome End) {
  if (End == RunOutcome::Done) {
    Worker.ConsecutiveFailures = 0;
    Worker.AvoidanceDoublings = 0;
    LastFailedWorker.erase(Task);
    StallCounts.erase(Task);
    return;
  }
  if (End != RunOutcome::Failed) {
    return;
  }
  LastFailedWorker[Task] = Worker.Record.Instance.Id;
  Worker.LastFailureAt = Time.now();
  const bool IsOtherJob = Worker.LastFailedJob != Task.Job;
  Worker.LastFailedJob = Task.Job;
  Worker.ConsecutiveFailures +=
      IsOtherJob || Worker.ConsecutiveFailures == 0 ? 1 : 0;
  if (Worker.ConsecutiveFailures < AvoidanceThreshold) {
    return;
  }
  Worker.FailingUntil =
      Time.now() + InitialAvoidance * (1U << Worker.AvoidanceDoublings);
  Worker.AvoidanceDoublings =
      std::min(Worker.AvoidanceDoublings + 1, MaxAvoidanceDoublings);
  Worker.ConsecutiveFailures = AvoidanceThreshold - 1;
  Log.write(LogLevel::Warning, "worker-avoided",
            {{"worker", Worker.Record.Instance.Id},
             {"why", "runs of several jobs failed one after another"}});
}

void Dispatcher::processRunningTasks(WorkerState &Worker,
                                     const RenewReport &Report,
                                     Instant SentAt) {
  std::set<TaskRef> ReportedTasks;
  Worker.OrphanedResources = {};
  for (const RunningTask &ReportedRun : Report.Running) {
    const auto RunIt = Worker.Runs.find(ReportedRun.Task);
    if (RunIt == Worker.Runs.end() || RunIt->second.Number != ReportedRun.Run) {
      stopOrphanedRun(Worker, ReportedRun);
      continue;
    }
    ReportedTasks.insert(ReportedRun.Task);
    updateProgress(Worker, ReportedRun, RunIt->second);
  }
  if (!Report.MayHaveMoreEnds) {
    resolveMissingRuns(Worker, ReportedTasks, SentAt);
  }
}

void Dispatcher::stopOrphanedRun(WorkerState &Worker,
                                 const RunningTask &ReportedRun) {
  const jobs::Job *Job = Table->find(ReportedRun.Task.Job);
  const bool IsKnownTask =
      Job != nullptr && ReportedRun.Task.Step < Job->spec().Steps.size();
  // The run may take all of the worker for what is known.
  Worker.OrphanedResources +=
      IsKnownTask ? claimFor(Job->spec().Steps[ReportedRun.Task.Step])
                  : Worker.Record.Capacity;
  Log.write(LogLevel::Info, "run-orphaned",
            {{"job", ReportedRun.Task.Job.Text},
             {"task", taskPath(ReportedRun.Task)},
             {"run", ReportedRun.Run},
             {"worker", Worker.Record.Instance.Id},
             {"born", Worker.Record.Instance.Incarnation},
             {"current_run", currentRun(ReportedRun.Task)},
             {"why", "the journal has no such run on this worker"}});
  // It is stopped in the same way as a start that has not been carried out.
  addFormerStart(Worker, {ReportedRun.Task, ReportedRun.Run, Time.now()});
}

void Dispatcher::updateProgress(WorkerState &Worker,
                                const RunningTask &ReportedRun, RunState &Run) {
  const Instant Now = Time.now();
  if (Run.Phase == RunPhase::Ending) {
    return;
  }
  if (Run.Phase != RunPhase::Proposed) {
    Run.Phase = RunPhase::Running;
  }
  Run.ReportedBy = Worker.Record.Instance.Incarnation;
  Run.OutcomeIfMissing.reset();
  if (Run.FromEarlierTerm) {
    Run.UnansweredStarts = 0; // most runs are started by their only order
  }
  if (Run.StartedAt == Instant()) {
    Run.StartedAt = Now;
  }
  if (Run.Percent != ReportedRun.Percent || Run.PercentChangedAt == Instant()) {
    if (Run.PercentChangedAt != Instant() &&
        ReportedRun.Percent > Run.Percent) {
      Run.LongestPercentTime = std::max(
          Run.LongestPercentTime,
          (Now - Run.PercentChangedAt) / (ReportedRun.Percent - Run.Percent));
    }
    Run.Percent = ReportedRun.Percent;
    Run.PercentChangedAt = Now;
  }
  Run.Gauge = ReportedRun.Gauge;
  if (!ReportedRun.Checkpoint.empty() &&
      ReportedRun.Checkpoint != Run.Checkpoint) {
    Run.Checkpoint = ReportedRun.Checkpoint;
    Events.emplace_back(jobs::CheckpointSaved{ReportedRun.Task, ReportedRun.Run,
                                              ReportedRun.Checkpoint});
  }
  if (!Run.LongRunning && !Run.StopRequested &&
      Now - Run.PercentChangedAt >
          std::max(Run.StallTimeout,
                   Run.LongestPercentTime * StalledPercentTimes)) {
    Log.write(LogLevel::Warning, "run-stalled",
              {{"job", ReportedRun.Task.Job.Text},
               {"worker", Worker.Record.Instance.Id},
               {"percent", Run.Percent}});
    Run.StopRequested = true;
    LastFailedWorker[ReportedRun.Task] = Worker.Record.Instance.Id;
    ++StallCounts[ReportedRun.Task];
  }
}

void Dispatcher::settleRuns(WorkerState &Worker) {
  const Instant Now = Time.now();
  Worker.MayHaveIsolatedRun = false;
  for (auto &[Task, Run] : Worker.Runs) {
    if (!Run.HasSettled && Run.StartedAt != Instant() &&
        Now - Run.StartedAt >= Run.SettlesAfter) {
      Run.HasSettled = true;
      PlanNeeded = PlanNeeded || Run.StartsAlone;
    }
    Worker.MayHaveIsolatedRun =
        Worker.MayHaveIsolatedRun || (Run.StartsAlone && !Run.HasSettled);
  }
}

Duration Dispatcher::stallTimeout(const TaskRef &Task,
                                  const jobs::StepSpec &Step) const {
  const Duration FirstTimeout = std::max<Duration>(
      Settings.StallTimeout, Step.EstimatedRunTime / StalledPartOfEstimate);
  // The estimate may be far too short: a task that stalls everywhere is slow.
  const auto CountIt = StallCounts.find(Task);
  return CountIt == StallCounts.end()
             ? FirstTimeout
             : FirstTimeout *
                   (1U << std::min(CountIt->second, MaxStallDoublings));
}

void Dispatcher::resolveMissingRuns(WorkerState &Worker,
                                    const std::set<TaskRef> &ReportedTasks,
                                    Instant SentAt) {
  for (auto &[Task, Run] : Worker.Runs) {
    if (ReportedTasks.contains(Task)) {
      continue;
    }
    // A report may be older than the reply to the start.
    const Instant RunningSince =
        Run.StartedAt == Instant() ? Run.StartsSettledAt : Run.StartedAt;
    const bool HasEnded =
        Run.Phase == RunPhase::Running && RunningSince < SentAt;
    const bool CannotStart =
        Run.Phase == RunPhase::Uncertain &&
        (Run.FromEarlierTerm ||
         (Run.StopConfirmedAt && *Run.StopConfirmedAt < SentAt));
    if (HasEnded || CannotStart) {
      Run.EndedOn = Worker.Record.Instance.Incarnation;
      proposeEnd(Worker, Task, Run,
                 Run.OutcomeIfMissing.value_or(RunOutcome::Lost),
                 Run.Checkpoint);
    }
  }
}

bool Dispatcher::isAnsweredByLater(const WorkerState &Worker,
                                   const RunState &Run,
                                   const OrderReply &Reply) const {
  if (!Reply.Clock || !Worker.HasReported) {
    return false;
  }
  // The reply may be one to the first order for the run.
  const auto SinceReport = std::chrono::duration_cast<WorkerClock>(
      std::chrono::abs(Run.OrderedAt - Worker.ClockReceivedAt));
  const WorkerClock Slack =
      SinceReport * Settings.ClockSlackPercent / 100 + ClockRounding;
  return *Reply.Clock < Worker.clockAt(Run.OrderedAt) - Slack;
}

void Dispatcher::handleStartReply(const StartOrder &Order,
                                  const OrderReply &Reply) {
  const OrderOutcome Outcome = Reply.Outcome;
  const auto WorkerIt = Workers.find(Order.Worker.WorkerId);
  if (Table == nullptr || WorkerIt == Workers.end()) {
    return;
  }
  WorkerState &Worker = WorkerIt->second;
  if (Outcome == OrderOutcome::Unknown) {
    noteUnansweredLease(
        Worker, Time.now() + DeliveryTimeFactor * Order.Worker.ReplyTimeout,
        Order.LeaseUntil);
  }
  RunState *Run = findRun(Order.Worker.WorkerId, Order.Task, Order.Run);
  if (Run == nullptr) {
    return;
  }
  if (Outcome != OrderOutcome::Unknown && Run->UnansweredStarts > 0 &&
      --Run->UnansweredStarts == 0) {
    Run->StartsSettledAt = std::min(Run->StartsSettledAt, Time.now());
  }
  if (Run->Phase != RunPhase::Ordered) {
    return;
  }
  const Instant Now = Time.now();
  const bool IsForPresentIncarnation =
      !Worker.HasEnded &&
      Run->WorkerIncarnation == Worker.Record.Instance.Incarnation;
  const bool IsByLater = isAnsweredByLater(Worker, *Run, Reply);
  if (IsByLater) {
    Worker.NextRenewalAt = std::min(Worker.NextRenewalAt, Now);
    Log.write(LogLevel::Info, "start-answered-by-later",
              {{"job", Order.Task.Job.Text},
               {"task", taskPath(Order.Task)},
               {"run", Order.Run},
               {"worker", Order.Worker.WorkerId},
               {"born", Worker.Record.Instance.Incarnation},
               {"clock_ms", Reply.Clock->count()},
               {"outcome", static_cast<int>(Outcome)}});
  }
  PlanNeeded = true;
  switch (Outcome) {
  case OrderOutcome::Done:
    Run->Phase = RunPhase::Running;
    Run->StartedAt = Now;
    Run->PercentChangedAt = Now;
    Run->IsOnUnknownIncarnation = IsByLater;
    settleRuns(Worker);
    Worker.NextRenewalAt =
        std::min(Worker.NextRenewalAt, Now + Settings.RenewalPeriod);
    return;
  case OrderOutcome::Unknown:
    if (IsForPresentIncarnation && Run->StartAttempts < MaxStartAttempts &&
        !Run->StopRequested && Worker.hasRoomForClaims() &&
        isCurrentRun(Order.Task, Order.Run)) {
      sendStart(Worker, Order.Task, *Run);
    } else {
      leaveStartUncertain(Worker, *Run);
    }
    return;
  default:
    handleRefusedStart(Worker, Order, Outcome);
  }
  if (Run->StartAttempts > 1) {
    leaveStartUncertain(Worker, *Run);
    return;
  }
  proposeEnd(Worker, Order.Task, *Run, RunOutcome::Refused, {});
}

void Dispatcher::handleRefusedStart(WorkerState &Worker,
                                    const StartOrder &Order,
                                    OrderOutcome Outcome) {
  const Instant Now = Time.now();
  switch (Outcome) {
  case OrderOutcome::InsufficientResources:
    Worker.AvoidUntil = Now + NoRoomDelay;
    break;
  case OrderOutcome::Unhealthy:
    Worker.AvoidUntil = Now + UnhealthyDelay;
    break;
  case OrderOutcome::NoPermit:
    Permits.remove(stepOf(Order.Task), Order.Worker.WorkerId);
    break;
  case OrderOutcome::WrongWorker:
    Worker.HasReported = false;
    Worker.NextRenewalAt = Now;
    break;
  case OrderOutcome::Fenced:
    Fenced = true;
    break;
  case OrderOutcome::LeaseExpired:
  case OrderOutcome::StaleRun:
  case OrderOutcome::Invalid:
    Worker.NextRenewalAt = std::min(Worker.NextRenewalAt, Now);
    break;
  case OrderOutcome::Done:
  case OrderOutcome::Unknown:
    return; // no refusals
  }
  Log.write(LogLevel::Info, "start-refused",
            {{"job", Order.Task.Job.Text},
             {"worker", Order.Worker.WorkerId},
             {"run", Order.Run},
             {"outcome", static_cast<int>(Outcome)}});
}

void Dispatcher::leaveStartUncertain(WorkerState &Worker, RunState &Run) {
  Run.Phase = RunPhase::Uncertain;
  Worker.NextRenewalAt = std::min(Worker.NextRenewalAt, Time.now());
}

void Dispatcher::adjustPace(WorkerState &Worker, Instant Now) {
  if (!Worker.hasBestEffortNextToServing()) {
    // Nothing is disturbed, and no tail would raise the pace again.
    if (Worker.TargetPace.Percent != BestEffortPace().Percent) {
      Worker.TargetPace = {BestEffortPace().Percent, Now};
    }
    return;
  }
  TailReport Tails{0, Now};
  for (const auto &[Task, Run] : Worker.Runs) {
    if (Run.TailObjective > Duration::zero()) {
      const Duration Tail = std::chrono::milliseconds(Run.Gauge);
      Tails.WorstTailRatio =
          std::max(Tails.WorstTailRatio,
                   std::chrono::duration<double>(Tail) / Run.TailObjective);
    }
  }
  const BestEffortPace NewPace = nextPace(Worker.TargetPace, Tails);
  if (NewPace.Percent != Worker.TargetPace.Percent) {
    Log.write(LogLevel::Info, "fillers-paced",
              {{"worker", Worker.Record.Instance.Id},
               {"percent", NewPace.Percent},
               {"before", Worker.TargetPace.Percent},
               {"tail_percent",
                static_cast<std::int64_t>(Tails.WorstTailRatio * 100)}});
  }
  Worker.TargetPace = NewPace;
}

void Dispatcher::handlePaceReply(const PaceOrder &Order, OrderOutcome Outcome) {
  RunState *Run = Table == nullptr
                      ? nullptr
                      : findRun(Order.Worker.WorkerId, Order.Task, Order.Run);
  Fenced = Fenced || Outcome == OrderOutcome::Fenced;
  if (Run == nullptr) {
    return;
  }
  Run->PaceInFlight = false;
  if (Outcome == OrderOutcome::Done) {
    Run->Pace = Order.Percent;
    return;
  }
  // The order may have been carried out or may still be, so the worker's pace
  // is unknown until the next order succeeds.
  Run->Pace.reset();
  Workers.at(Order.Worker.WorkerId).NextPaceAt = Time.now() + PaceRetryDelay;
}

void Dispatcher::handleQueryReply(const PermitQuery &Query, Instant AskedAt,
                                  const std::optional<PermitReply> &Reply) {
  if (Table == nullptr) {
    return;
  }
  QueriesInFlight.erase(Query.Step);
  PlanNeeded = true;
  const jobs::Job *Job = Table->find(Query.Step.Job);
  if (!Reply) {
    NextQueryAt = Time.now() + QueryRetryDelay;
  } else if (Job != nullptr && Job->isOpen()) {
    Permits.store(Query, *Reply, AskedAt);
  }
  Log.write(LogLevel::Info, "permits-asked",
            {{"job", Query.Step.Job.Text},
             {"step", Query.Step.Step},
             {"workers", Query.Workers.size()},
             {"allowed", Reply ? Reply->Allowed.size() : 0},
             {"answered", Reply.has_value()}});
}

void Dispatcher::handleStopReply(const StopOrder &Order, OrderOutcome Outcome) {
  RunState *Run = Table == nullptr
                      ? nullptr
                      : findRun(Order.Worker.WorkerId, Order.Task, Order.Run);
  Fenced = Fenced || Outcome == OrderOutcome::Fenced;
  if (const auto It = Workers.find(Order.Worker.WorkerId);
      Run == nullptr && Table != nullptr && It != Workers.end()) {
    if (FormerStart *Start =
            It->second.findFormerStart(Order.Task, Order.Run)) {
      handleRefusalReply(It->second, *Start, Outcome);
    }
  }
  if (Run == nullptr) {
    return;
  }
  Run->StopInFlight = false;
  if (Outcome == OrderOutcome::Done || Outcome == OrderOutcome::StaleRun) {
    WorkerState &Worker = Workers.at(Order.Worker.WorkerId);
    if (Run->StopOrderedAt >= Worker.IncarnationLearntAt) {
      Run->StopConfirmedAt = Time.now();
    }
    Worker.NextRenewalAt = std::min(Worker.NextRenewalAt, Time.now());
  }
}

} // namespace balsamlatch::dispatch
