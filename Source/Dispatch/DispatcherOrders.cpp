/// \file
/// Periodic work of the dispatcher: orders to workers, expiry of leases and
/// removal of old jobs.

#include "balsamlatch/Dispatch/Dispatcher.h"

#include <algorithm>
#include <utility>

namespace balsamlatch::dispatch {

using jobs::JobEvent;
using jobs::RunOutcome;

namespace {

constexpr Duration PlanPeriod = std::chrono::milliseconds(8);
/// Bounds the share of processor time that goes into passes over all workers,
/// at 20 ms for 1,000 workers.
constexpr Duration SweepPeriodPerWorker = std::chrono::microseconds(20);
constexpr Duration ForgetPeriod = std::chrono::seconds(1);
/// How far the clocks of hosts may be apart: the platform speaks of seconds,
/// and has no bound. The worker's own clock decides for younger incarnations.
constexpr Duration MaxWallClockError = std::chrono::minutes(1);
/// Replies count as getting lost for this long after a lost one.
constexpr Duration LossyTime = std::chrono::seconds(3);

} // namespace

void Dispatcher::tick(bool MayPlace, bool MayRenew) {
  if (Table == nullptr || Fenced) {
    return;
  }
  const Instant Now = Time.now();
  if (Now >= NextSweepAt) {
    NextSweepAt = Now + SweepPeriodPerWorker * Workers.size();
    sweepWorkers(Now, MayRenew);
  }
  if (MayPlace && PlanNeeded && Now >= NextPlanAt) {
    NextPlanAt = Now + PlanPeriod;
    PlanNeeded = false;
    plan(Now);
  }
  if (Now >= NextForgetAt) {
    NextForgetAt = Now + ForgetPeriod;
    PlanNeeded = true; // scheduled jobs become due without an event
    forgetClosedJobs();
    reportDelayedTasks(Now);
  }
}

void Dispatcher::sweepWorkers(Instant Now, bool MayRenew) {
  expireLeases(Now);
  for (auto &[Id, Worker] : Workers) {
    if (!BatchInFlight && Events.empty()) {
      // Nothing is left to record, so all ends seen so far count as recorded.
      advanceRecordedEnds(Worker, Worker.LastSeenEnd);
    }
    refuseFormerStarts(Worker, Now);
    orderStops(Worker);
    orderPaces(Worker, Now);
    orderRenewal(Worker, Now, MayRenew);
  }
}

void Dispatcher::forgetClosedJobs() {
  const WallTime RetainedSince = Time.wallNow() - Settings.StatusRetention;
  for (const auto &[Id, Job] : Table->jobs()) {
    if (!Job.isOpen() && Job.PlacedTasks == 0 &&
        Job.Record.ClosedAt < RetainedSince) {
      Events.emplace_back(jobs::JobRemoved{Id});
    }
  }
}

void Dispatcher::expireLeases(Instant Now) {
  for (auto WorkerIt = Workers.begin(); WorkerIt != Workers.end();) {
    WorkerState &Worker = WorkerIt->second;
    if (!Worker.Runs.empty() && Now >= leaseExpiry(Worker) &&
        (Worker.IsUnresponsive || !Worker.HasReported)) {
      expireRuns(Worker, Now);
    }
    removeSettledStarts(Worker, Now);
    if (!Worker.IsRegistered && Worker.Runs.empty() &&
        Worker.PossibleCrashes.empty() && Worker.FormerStarts.empty() &&
        Now >= leaseExpiry(Worker) && !Worker.mayExecuteLate(Now)) {
      WorkerIt = Workers.erase(WorkerIt);
    } else {
      ++WorkerIt;
    }
  }
}

void Dispatcher::expireRuns(WorkerState &Worker, Instant Now) {
  std::vector<std::pair<TaskRef, RunOutcome>> Outcomes;
  for (const auto &[Task, Run] : Worker.Runs) {
    if (Run.Phase == RunPhase::Ending || Run.Phase == RunPhase::Proposed ||
        Now < runExpiry(Worker, Run)) {
      continue;
    }
    if (Run.OutcomeIfMissing) {
      Outcomes.emplace_back(Task, *Run.OutcomeIfMissing);
      continue;
    }
    const RunOutcome CrashOutcome = crashOutcome(Worker, Run);
    if (jobs::isCrash(CrashOutcome)) {
      Worker.PossibleCrashes.push_back(
          {Task, Run.Number, CrashOutcome, crashDelay(Worker, Run, Now)});
    }
    Outcomes.emplace_back(Task, RunOutcome::Lost);
  }
  for (const auto &[Task, Outcome] : Outcomes) {
    RunState &Run = Worker.Runs.at(Task);
    logLostRun(Worker, Task, Run,
               "its worker can't be reached and the lease has run out");
    proposeEnd(Worker, Task, Run, Outcome, Run.Checkpoint);
  }
}

Instant Dispatcher::leaseExpiry(const WorkerState &Worker) const {
  const UnansweredLeases &Former = Worker.FormerLeases;
  const Duration LongestLease = leaseBound(Settings.MaxRunLease);
  Instant Expiry = Worker.LeasesExpireAt;
  if (!Worker.HasReported && mayHoldEarlierLease(Worker, {})) {
    // The worker takes orders of the earlier leader until it has seen the token
    // of this term.
    Expiry = std::max(Expiry, latestExecution(TermStart + MaxDeliveryTime) +
                                  LongestLease);
  }
  if (!Former.SettledAt) {
    return Expiry;
  }
  Instant FormerExpiry = latestExecution(*Former.SettledAt) + LongestLease;
  if (Worker.HasReported) {
    FormerExpiry =
        std::min(FormerExpiry, Worker.ClockReceivedAt +
                                   leaseBound(Former.Until - Worker.Clock));
  }
  return std::max(Expiry, FormerExpiry);
}

Instant Dispatcher::runExpiry(const WorkerState &Worker,
                              const RunState &Run) const {
  const Instant Expiry = leaseExpiry(Worker);
  if (!Run.mayBeTakenLater()) {
    return Expiry;
  }
  // An incarnation that was started after the last report may have the run.
  Instant LastOrderAt = Run.latestStart();
  if (Run.StartsSettledAt > Worker.LastReportAskedAt) {
    UnansweredLeases Leases = Worker.PresentLeases;
    Leases.add(Worker.FormerLeases);
    if (Leases.SettledAt) {
      LastOrderAt = std::max(LastOrderAt, latestExecution(*Leases.SettledAt));
    }
  }
  return std::max(Expiry, LastOrderAt + leaseBound(Settings.MaxRunLease));
}

bool Dispatcher::mayHoldEarlierLease(const WorkerState &Worker,
                                     WorkerClock Clock) const {
  if (!HasPredecessor) {
    return false;
  }
  if (Worker.HasRestarted) {
    return true;
  }
  // An earlier leader may have known an earlier incarnation. It sent no more
  // orders for that one once it had learnt of this one, by the next renewal at
  // the latest.
  const Duration LongestEffect = Settings.IdleRenewalPeriod + MaxDeliveryTime +
                                 MaxOrderDelay +
                                 leaseBound(Settings.MaxRunLease);
  const WallTime Born(
      std::chrono::milliseconds(Worker.Record.Instance.Incarnation));
  // The worker's clock starts with the incarnation and is never fast, so this
  // one has been up for longer than its clock says.
  return Clock < LongestEffect &&
         Time.wallNow() - Born < LongestEffect + MaxWallClockError;
}

void Dispatcher::noteUnansweredLease(WorkerState &Worker, Instant SettledAt,
                                     WorkerClock Until) const {
  // By the clock of the present incarnation no order asks for more. While that
  // clock isn't known, the orders are meant for earlier ones.
  const WorkerClock LongestLease =
      Worker.clockAt(Time.now()) +
      std::chrono::duration_cast<WorkerClock>(Settings.RunLease);
  const bool IsByFormerClock = !Worker.HasReported || Until > LongestLease;
  (IsByFormerClock ? Worker.FormerLeases : Worker.PresentLeases)
      .add(SettledAt, Until);
}

void Dispatcher::orderStops(WorkerState &Worker) {
  if (!Worker.IsRegistered && !Worker.HasReported) {
    return;
  }
  for (auto &[Task, Run] : Worker.Runs) {
    const bool MayBeRunning =
        Run.Phase == RunPhase::Running ||
        (Run.Phase == RunPhase::Uncertain && !Run.FromEarlierTerm);
    if (!MayBeRunning || Run.StopInFlight ||
        (!Run.StopRequested && Run.Phase == RunPhase::Running)) {
      continue;
    }
    if (Run.StopConfirmedAt) {
      continue; // the next report contains the end of the run
    }
    if (Run.OutcomeIfMissing && !Worker.HasReported) {
      continue; // the first report may show that the run has been started
    }
    Run.StopInFlight = true;
    Run.StopOrderedAt = Time.now();
    Orders.emplace_back(StopOrder{Worker.address(), Token, Task, Run.Number});
  }
}

void Dispatcher::orderPaces(WorkerState &Worker, Instant Now) {
  // Best-effort tasks start at full pace, so most workers need no pace orders.
  if (Worker.TargetPace.ChangedAt == Instant() || Now < Worker.NextPaceAt) {
    return;
  }
  for (auto &[Task, Run] : Worker.Runs) {
    if (!Run.BestEffort || Run.Phase != RunPhase::Running ||
        Run.StopRequested || Run.PaceInFlight ||
        Run.Pace == Worker.TargetPace.Percent) {
      continue;
    }
    Run.PaceInFlight = true;
    Orders.emplace_back(PaceOrder{Worker.address(), Token, Task, Run.Number,
                                  Worker.TargetPace.Percent});
  }
}

std::uint64_t Dispatcher::acknowledgedEnd(WorkerState &Worker) {
  const bool HasUnreportedRun = std::any_of(
      Worker.Runs.begin(), Worker.Runs.end(),
      [](const auto &RunEntry) { return RunEntry.second.mayBeTakenLater(); });
  // The reply to this renewal shows whether it has restarted.
  Worker.IsAckWithheld = HasUnreportedRun && !Worker.IsAckWithheld;
  // A renewal that is carried out late should do no harm.
  const bool IsNew = Worker.LastRecordedEnd > Worker.LastConfirmedAck;
  return Worker.IsAckWithheld || !IsNew ? 0 : Worker.LastRecordedEnd;
}

void Dispatcher::orderRenewal(WorkerState &Worker, Instant Now, bool MayRenew) {
  if (Worker.RenewalInFlight || Now < Worker.NextRenewalAt ||
      Worker.Record.Address.Ip.empty() ||
      (!Worker.IsRegistered && Worker.Runs.empty())) {
    return;
  }
  RenewOrder Order;
  Order.Worker = Worker.address();
  if (Worker.HasReported && Worker.UnansweredRenewals < MaxQuickRenewals) {
    Order.Worker.ReplyTimeout = Worker.patience();
  }
  Order.Token = Token;
  Order.LastRecordedEnd = acknowledgedEnd(Worker);
  // The worker reports ends that aren't recorded yet again at once, so a long
  // poll would not wait.
  const bool HasUnrecordedEnds = Worker.LastSeenEnd != Worker.LastRecordedEnd;
  if (Worker.HasReported && !Worker.IsUnresponsive && Worker.isOccupied() &&
      !HasUnrecordedEnds) {
    const bool HasStartingRun = std::any_of(
        Worker.Runs.begin(), Worker.Runs.end(), [](const auto &Run) {
          return Run.second.LongRunning && Run.second.Percent == 0;
        });
    Order.Wait =
        !mayShareWorker(false, Worker)        ? SettlingTime
        : HasStartingRun                      ? Settings.StartingRenewalWait
        : Worker.hasBestEffortNextToServing() ? Settings.SharedRenewalWait
        : LastLostReplyAt != Instant() && Now - LastLostReplyAt < LossyTime
            ? Settings.LossyRenewalWait
            : Settings.RenewalWait;
  }
  // Leases of an unresponsive worker are not renewed; otherwise its runs could
  // never be declared lost.
  if (Worker.HasReported && !Worker.IsUnresponsive && MayRenew &&
      !Worker.Runs.empty()) {
    Order.LeaseUntil =
        Worker.clockAt(Now) +
        std::chrono::duration_cast<WorkerClock>(Settings.RunLease);
    extendLeaseExpiry(Worker, Now);
  }
  Worker.RenewalLeaseUntil = Order.LeaseUntil;
  Worker.RenewalAck = Order.LastRecordedEnd;
  Worker.RenewalSettledAt =
      Now + Order.Wait + DeliveryTimeFactor * Order.Worker.ReplyTimeout;
  Worker.RenewalInFlight = true;
  Worker.RenewalWait = Order.Wait;
  Orders.emplace_back(std::move(Order));
}

void Dispatcher::orderStart(WorkerState &Worker, const TaskRef &Task,
                            RunState &Run) {
  const Instant Now = Time.now();
  Run.Phase = RunPhase::Ordered;
  Run.OrderedAt = Now;
  Log.write(LogLevel::Info, "run-ordered",
            {{"job", Task.Job.Text},
             {"task", taskPath(Task)},
             {"run", Run.Number},
             {"worker", Worker.Record.Instance.Id},
             {"born", Worker.Record.Instance.Incarnation},
             {"used_cpu_milli", Worker.ClaimedResources.CpuMilli},
             {"report_age_ms", toMilliseconds(Now - Worker.LastReportAt)}});
  sendStart(Worker, Task, Run);
}

void Dispatcher::sendStart(WorkerState &Worker, const TaskRef &Task,
                           RunState &Run) {
  const jobs::Job *Job = Table->find(Task.Job);
  const Instant Now = Time.now();
  StartOrder Order;
  Order.Worker = Worker.address();
  // A worker starts a run once, however often it is told to.
  Order.Worker.ReplyTimeout = std::min<Duration>(
      Order.Worker.ReplyTimeout, Worker.patience() * (1U << Run.StartAttempts));
  ++Run.StartAttempts;
  ++Run.UnansweredStarts;
  Run.StartsSettledAt = Now + DeliveryTimeFactor * Order.Worker.ReplyTimeout;
  Order.Token = Token;
  Order.Task = Task;
  Order.Run = Run.Number;
  Order.SpecText = Job->spec().Text;
  Order.LeaseUntil = Worker.clockAt(Now) +
                     std::chrono::duration_cast<WorkerClock>(Settings.RunLease);
  Order.Checkpoint = Job->find(Task)->Checkpoint;
  Order.Ticket = Run.Ticket;
  extendLeaseExpiry(Worker, Now);
  Orders.emplace_back(std::move(Order));
}

DispatchBacklog Dispatcher::backlog() const {
  const Instant Now = Time.now();
  DispatchBacklog Backlog;
  Backlog.OpenJobs = OpenJobs.size();
  Backlog.UnplacedSteps = UnplacedSince.size();
  for (const auto &[Id, Worker] : Workers) {
    Backlog.UnresponsiveWorkers += Worker.IsUnresponsive ? 1 : 0;
    if (!Worker.RenewalInFlight && Worker.IsRegistered &&
        Worker.NextRenewalAt < Now) {
      ++Backlog.OverdueRenewals;
      Backlog.LongestOverdue =
          std::max(Backlog.LongestOverdue, Now - Worker.NextRenewalAt);
    }
    for (const auto &[Task, Run] : Worker.Runs) {
      Backlog.OpenStarts += Run.Phase == RunPhase::Ordered ? 1 : 0;
    }
  }
  return Backlog;
}

std::vector<JobEvent> Dispatcher::takeEvents() {
  BatchInFlight = BatchInFlight || !Events.empty();
  for (const std::string &Id : WorkersWithUnrecordedEnds) {
    if (const auto It = Workers.find(Id); It != Workers.end()) {
      It->second.LastEndInBatch = It->second.LastSeenEnd;
    }
  }
  return std::exchange(Events, {});
}

std::vector<WorkerOrder> Dispatcher::takeOrders() {
  return std::exchange(Orders, {});
}

std::vector<PermitQuery> Dispatcher::takeQueries() {
  return std::exchange(Queries, {});
}

void Dispatcher::moveRun(const std::string &WorkerId, const TaskRef &Task,
                         std::string_view Reason) {
  const auto WorkerIt = Workers.find(WorkerId);
  if (WorkerIt == Workers.end() || !WorkerIt->second.Runs.contains(Task)) {
    return;
  }
  WorkerIt->second.Runs[Task].StopRequested = true;
  Log.write(LogLevel::Info, "run-moved",
            {{"job", Task.Job.Text}, {"worker", WorkerId}, {"why", Reason}});
}

} // namespace balsamlatch::dispatch
