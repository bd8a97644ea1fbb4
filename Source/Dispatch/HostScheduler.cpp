/// \file
/// Maintenance waves: which host is drained and ordered next.

#include "balsamlatch/Dispatch/HostScheduler.h"

#include "HostWorkers.h"

#include <algorithm>
#include <tuple>

namespace balsamlatch::dispatch {

namespace {

/// Time for which a host takes work again after a drain that was given up.
constexpr Duration DrainRetryDelay = std::chrono::seconds(3);
/// The delay doubles so often with each drain of the host that was given up.
constexpr unsigned MaxDrainDoublings = 3;
/// Estimated time from the start of the drain of a host to its return.
constexpr Duration HostCycleEstimate = std::chrono::seconds(6);

/// Reports older than this are not used. Workers with runs report at least once
/// per RenewalWait.
constexpr Duration MaxReportAge = std::chrono::milliseconds(2000);

bool isAtWork(const RunState &Run) {
  constexpr unsigned FullPercent = 100;
  return Run.Phase == RunPhase::Running && !Run.StopRequested &&
         Run.Percent >= FullPercent;
}

/// Whether the run may have started its work since the worker's last report.
bool mayBeAtWork(const RunState &Run) {
  return Run.Phase != RunPhase::Ending && !Run.StopRequested;
}

/// The run of a task, or null if its worker has no recent report or its host is
/// about to be taken out of service.
const RunState *findCurrentRun(const TaskRef &Task,
                               const jobs::TaskRecord &Placement,
                               const Dispatcher &JobDispatcher) {
  const auto WorkerIt = JobDispatcher.workers().find(Placement.Worker.Id);
  if (WorkerIt == JobDispatcher.workers().end() ||
      WorkerIt->second.HostCordon == Cordon::OrderPending ||
      WorkerIt->second.HostMayBeOrdered || WorkerIt->second.IsUnresponsive ||
      JobDispatcher.now() - WorkerIt->second.LastReportAt > MaxReportAge) {
    return nullptr;
  }
  const auto RunIt = WorkerIt->second.Runs.find(Task);
  return RunIt == WorkerIt->second.Runs.end() ? nullptr : &RunIt->second;
}

unsigned countUnavailable(const jobs::Job &Job, const StepRef &Step,
                          const Dispatcher &JobDispatcher) {
  const unsigned Count = Job.spec().Steps[Step.Step].Count;
  unsigned Unavailable = 0;
  for (unsigned Index = 0; Index < Count; ++Index) {
    const TaskRef Task{Step.Job, Step.Occurrence, Step.Step, Index};
    const jobs::TaskRecord *Record = Job.find(Task);
    const RunState *Run = Record == nullptr
                              ? nullptr
                              : findCurrentRun(Task, *Record, JobDispatcher);
    Unavailable += Run != nullptr && isAtWork(*Run) ? 0 : 1;
  }
  return Unavailable;
}

unsigned maxUnavailable(const StepRef &Step, const jobs::JobTable &Jobs) {
  return Jobs.find(Step.Job)->spec().Steps[Step.Step].MaxUnavailable;
}

/// Tasks at work on the worker, by step. Includes the steps with tasks that
/// aren't known to be at work, and those that an issued order may end: these
/// tasks already count as unavailable. Excludes steps without a limit.
std::map<StepRef, unsigned> countInterruptedTasks(const WorkerState &Worker,
                                                  const jobs::JobTable &Jobs) {
  const bool HasPendingOrder = Worker.HostCordon == Cordon::OrderPending;
  std::map<StepRef, unsigned> InterruptedByStep;
  for (const auto &[Task, Run] : Worker.Runs) {
    const jobs::Job *Job = Jobs.find(Task.Job);
    if (Job != nullptr && Job->isOpen() && Run.LongRunning &&
        mayBeAtWork(Run) && Job->spec().Steps[Task.Step].MaxUnavailable > 0) {
      InterruptedByStep[stepOf(Task)] +=
          isAtWork(Run) && !HasPendingOrder ? 1 : 0;
    }
  }
  return InterruptedByStep;
}

/// Which hosts a wave may drain, by the limits of the steps on them. A host
/// that drains takes no work, so it must be able to get its order.
class DrainLimits {
public:
  DrainLimits(const Dispatcher &Dispatching, const jobs::JobTable &Table)
      : JobDispatcher(Dispatching), Jobs(Table) {}

  void add(const WorkerState *Worker) {
    if (Worker != nullptr) {
      for (const auto &StepEntry : countInterruptedTasks(*Worker, Jobs)) {
        ++DrainingHosts[StepEntry.first];
      }
    }
  }

  /// Whether another host may drain, at least task by task. While hosts of the
  /// wave are away, steps lack tasks that come back with them.
  bool mayAdd(const WorkerState *Worker, bool AreHostsAway) const {
    if (Worker == nullptr) {
      return true;
    }
    const std::map<StepRef, unsigned> Steps =
        countInterruptedTasks(*Worker, Jobs);
    return std::all_of(Steps.begin(), Steps.end(), [&](const auto &StepEntry) {
      const StepRef &Step = StepEntry.first;
      const auto CountIt = DrainingHosts.find(Step);
      const unsigned Max = maxUnavailable(Step, Jobs);
      const unsigned Interrupted = std::min(StepEntry.second, 1U);
      return (CountIt == DrainingHosts.end() || CountIt->second < Max) &&
             (AreHostsAway ||
              countUnavailable(*Jobs.find(Step.Job), Step, JobDispatcher) +
                      Interrupted <=
                  Max);
    });
  }

private:
  const Dispatcher &JobDispatcher;
  const jobs::JobTable &Jobs;
  std::map<StepRef, unsigned> DrainingHosts;
};

/// A host that a wave may order, and what decides when.
struct RankedHost {
  /// No order for it may have been carried out: such an order is repeated
  /// before others are issued.
  bool IsSurelyPresent = true;
  bool IsNotDraining = true;
  std::int64_t ClaimedCpuMilli = 0;
  const HostRecord *Host = nullptr;

  auto rank() const {
    return std::make_tuple(IsSurelyPresent, IsNotDraining, ClaimedCpuMilli);
  }
};

/// Moves a long-running task to another worker, if that is possible now.
void moveTask(const WorkerState &Worker, Dispatcher &JobDispatcher,
              const jobs::JobTable &Jobs) {
  if (const auto Task = findTaskToMove(Worker, JobDispatcher, Jobs)) {
    JobDispatcher.moveRun(Worker.Record.Instance.Id, *Task,
                          "the host of the worker is to be maintained");
  }
}

/// Whether taking the worker down would not cut off a run that ends by itself.
bool hasOnlyLongRunningTasks(const WorkerState *Worker) {
  return Worker == nullptr ||
         std::all_of(Worker->Runs.begin(), Worker->Runs.end(),
                     [](const auto &Run) { return Run.second.LongRunning; });
}

} // namespace

std::optional<TaskRef> findTaskToMove(const WorkerState &Worker,
                                      const Dispatcher &JobDispatcher,
                                      const jobs::JobTable &Jobs) {
  for (const auto &[Task, Run] : Worker.Runs) {
    const jobs::Job *Job = Jobs.find(Task.Job);
    if (Job == nullptr || !Job->isOpen() || !Run.LongRunning ||
        !isAtWork(Run)) {
      continue;
    }
    const unsigned MaxUnavailable = Job->spec().Steps[Task.Step].MaxUnavailable;
    if (MaxUnavailable == 0 ||
        countUnavailable(*Job, stepOf(Task), JobDispatcher) < MaxUnavailable) {
      return Task;
    }
  }
  return std::nullopt;
}

bool canInterrupt(const WorkerState &Worker, const Dispatcher &JobDispatcher,
                  const jobs::JobTable &Jobs) {
  const std::map<StepRef, unsigned> Steps = countInterruptedTasks(Worker, Jobs);
  return std::all_of(Steps.begin(), Steps.end(), [&](const auto &StepEntry) {
    const auto &[Step, Interrupted] = StepEntry;
    return countUnavailable(*Jobs.find(Step.Job), Step, JobDispatcher) +
               Interrupted <=
           maxUnavailable(Step, Jobs);
  });
}

HostScheduler::HostScheduler(const Clock &TimeSource,
                             HostSchedulerOptions Options, LogSink &Sink)
    : Time(TimeSource), Settings(Options), Log(Sink), Pools(Options.Pools) {}

void HostScheduler::begin() {
  TermStart = Time.now();
  Hosts.clear();
  Waves.clear();
  OpenOrders.clear();
  AnsweredOrders.clear();
  MovingHosts.clear();
  HostsDrainingForMove.clear();
  Pools.reset();
  EarlierOrdersKnown = false;
  EarlierOrders.clear();
  LastOrders.clear();
}

void HostScheduler::setRecentOrders(std::set<HostName> Names) {
  EarlierOrders = std::move(Names);
  EarlierOrdersKnown = true;
}

std::set<HostName> HostScheduler::recentOrders() const {
  std::set<HostName> RecentHosts;
  for (const auto &[Name, Order] : LastOrders) {
    if (Time.now() - Order.IssuedAt < Settings.HandoverDelay) {
      RecentHosts.insert(Name);
    }
  }
  // The next lease holder needs the orders of the earlier one as long as their
  // effect is unknown.
  if (Time.now() - TermStart < Settings.HandoverDelay) {
    RecentHosts.insert(EarlierOrders.begin(), EarlierOrders.end());
  }
  return RecentHosts;
}

bool HostScheduler::isInHandover(const HostName &Name) const {
  return EarlierOrders.contains(Name) &&
         Time.now() - TermStart < Settings.HandoverDelay;
}

std::set<std::string> HostScheduler::workersInHandover() const {
  std::set<std::string> WorkerIds;
  for (const HostName &Name : EarlierOrders) {
    const HostRecord *Host = find(Name);
    if (Host != nullptr && isInHandover(Name)) {
      WorkerIds.insert(Host->WorkerId);
    }
  }
  return WorkerIds;
}

bool HostScheduler::hasOpenWork() const {
  return !Waves.empty() || !OpenOrders.empty() || !AnsweredOrders.empty() ||
         !MovingHosts.empty();
}

void HostScheduler::setHosts(std::vector<HostRecord> ListedHosts,
                             Instant AskedAt, Dispatcher &JobDispatcher) {
  Hosts.clear();
  std::set<std::string> WorkerIds;
  for (HostRecord &Host : ListedHosts) {
    if (Host.Status != HostStatus::Down) {
      WorkerIds.insert(Host.WorkerId);
    }
    HostName Name = Host.Name;
    Hosts.emplace(std::move(Name), std::move(Host));
  }
  settleOrders(JobDispatcher);
  JobDispatcher.setCordons(cordons());
  JobDispatcher.setHostedWorkers(WorkerIds, AskedAt);
}

void HostScheduler::addWave(const WaveRequest &Request, Duration ElapsedTime) {
  if (Waves.contains(Request.Number)) {
    return;
  }
  Wave &NewWave = Waves[Request.Number];
  NewWave.Request = Request;
  NewWave.BegunAt = Time.now() - ElapsedTime;
  Log.write(LogLevel::Info, "wave-begun",
            {{"wave", Request.Number},
             {"hosts", Request.Hosts.size()},
             {"at_once", Request.MaxAway}});
}

const HostRecord *HostScheduler::find(const HostName &Name) const {
  const auto HostIt = Hosts.find(Name);
  return HostIt == Hosts.end() ? nullptr : &HostIt->second;
}

std::vector<HostDecision> HostScheduler::decide(Dispatcher &JobDispatcher,
                                                const jobs::JobTable &Jobs,
                                                const Deployment &Config) {
  std::vector<HostDecision> Decisions;
  if (Hosts.empty() || !EarlierOrdersKnown) {
    return Decisions;
  }
  JobDispatcher.setPossiblyOrdered(workersInHandover());
  for (auto &[Number, ActiveWave] : Waves) {
    decideWave(ActiveWave, JobDispatcher, Jobs, Decisions);
  }
  decideMoves(JobDispatcher, Jobs, Config, Decisions);
  JobDispatcher.setCordons(cordons());
  return Decisions;
}

std::map<std::string, Cordon> HostScheduler::cordons() const {
  std::map<std::string, Cordon> Cordons;
  const auto AddDraining = [&](const HostName &Name, Cordon Kind) {
    if (const HostRecord *Host = find(Name)) {
      Cordons[Host->WorkerId] = Kind;
    }
  };
  for (const HostName &Name : HostsDrainingForMove) {
    AddDraining(Name, Cordon::Draining);
  }
  for (const auto &[Number, ActiveWave] : Waves) {
    for (const auto &[Name, Since] : ActiveWave.DrainingSince) {
      AddDraining(Name, Cordon::DrainingForMaintenance);
    }
  }
  for (const auto &[Number, ActiveWave] : Waves) {
    for (const auto &[Name, Order] : ActiveWave.UnconfirmedOrders) {
      if (!Order.WorkerId.empty() && isUnconfirmed(ActiveWave, Name)) {
        Cordons[Order.WorkerId] = Cordon::OrderPending;
      }
    }
  }
  // The order also ends the work of a worker that has started on the host
  // since.
  const auto AddOrder = [&](const HostOrder &Order) {
    Cordons[Order.WorkerId] = Cordon::OrderPending;
    if (const HostRecord *Host = find(Order.Host)) {
      Cordons[Host->WorkerId] = Cordon::OrderPending;
    }
  };
  for (const auto &[Name, Order] : OpenOrders) {
    AddOrder(Order);
  }
  for (const auto &[Name, OrderAndAnswer] : AnsweredOrders) {
    AddOrder(OrderAndAnswer.first);
  }
  return Cordons;
}

unsigned HostScheduler::desiredDrains(const Wave &ActiveWave,
                                      std::size_t HostsLeft) const {
  const Duration PlannedTime =
      ActiveWave.Request.TimeLimit * (100 - Settings.WaveReservePercent) / 100;
  const Duration TimeLeft = std::max<Duration>(
      HostCycleEstimate, PlannedTime - (Time.now() - ActiveWave.BegunAt));
  const auto CyclesLeft =
      static_cast<std::size_t>(TimeLeft / HostCycleEstimate);
  return static_cast<unsigned>((HostsLeft + CyclesLeft - 1) / CyclesLeft);
}

std::vector<const WorkerState *>
HostScheduler::drainingWorkers(const Wave &ActiveWave,
                               const Dispatcher &JobDispatcher) const {
  std::vector<const WorkerState *> Result;
  for (const auto &[Name, Since] : ActiveWave.DrainingSince) {
    const HostRecord *Host = find(Name);
    if (Host != nullptr) {
      Result.push_back(findHostWorker(*Host, JobDispatcher));
    }
  }
  return Result;
}

void HostScheduler::giveUpDrain(Wave &ActiveWave, const HostName &Name) {
  ActiveWave.DrainingSince.erase(Name);
  unsigned &Failures = ActiveWave.FailedDrains[Name];
  ActiveWave.NextDrainAt[Name] =
      Time.now() +
      DrainRetryDelay * (1U << std::min(Failures, MaxDrainDoublings));
  ++Failures;
}

void HostScheduler::decideWave(Wave &ActiveWave, Dispatcher &JobDispatcher,
                               const jobs::JobTable &Jobs,
                               std::vector<HostDecision> &Decisions) {
  const Instant Now = Time.now();
  std::vector<RankedHost> AvailableHosts;
  std::size_t HostsLeft = 0;
  for (const HostName &Name : ActiveWave.Request.Hosts) {
    const HostRecord *Host = find(Name);
    if (Host == nullptr || ActiveWave.DoneHosts.contains(Name)) {
      continue; // removed hosts need no maintenance
    }
    ++HostsLeft;
    if (Host->Status == HostStatus::Up && !hasPendingOrder(Name) &&
        !MovingHosts.contains(Name) && !isInHandover(Name)) {
      AvailableHosts.push_back({!mayBeAway(ActiveWave, Name),
                                !ActiveWave.DrainingSince.contains(Name),
                                claimedCpuMilli(*Host, JobDispatcher), Host});
    }
  }
  if (HostsLeft == 0) {
    Decisions.emplace_back(WaveCompleted{ActiveWave.Request.Number});
    return;
  }
  std::stable_sort(AvailableHosts.begin(), AvailableHosts.end(),
                   [](const RankedHost &Left, const RankedHost &Right) {
                     return Left.rank() < Right.rank();
                   });
  unsigned AwayCount = countAway(ActiveWave);
  const unsigned MaxDrains = std::min(desiredDrains(ActiveWave, HostsLeft),
                                      ActiveWave.Request.MaxAway);
  DrainLimits Limits(JobDispatcher, Jobs);
  for (const WorkerState *Worker : drainingWorkers(ActiveWave, JobDispatcher)) {
    Limits.add(Worker);
  }
  for (const RankedHost &Ranked : AvailableHosts) {
    const HostRecord *Host = Ranked.Host;
    const WorkerState *Worker = findHostWorker(*Host, JobDispatcher);
    const auto DrainIt = ActiveWave.DrainingSince.find(Host->Name);
    const bool IsOverdue = DrainIt != ActiveWave.DrainingSince.end() &&
                           Now - DrainIt->second > Settings.DrainTimeout;
    const bool MayInterrupt =
        Worker == nullptr || canInterrupt(*Worker, JobDispatcher, Jobs);
    const unsigned OwnCount = Ranked.IsSurelyPresent ? 0 : 1;
    if (AwayCount - OwnCount < ActiveWave.Request.MaxAway && MayInterrupt &&
        (hasOnlyLongRunningTasks(Worker) || IsOverdue)) {
      issueOrder({Host->Name, Host->WorkerId, ActiveWave.Request.Number, {}},
                 JobDispatcher, Decisions);
      AwayCount += 1 - OwnCount;
      continue;
    }
    if (!MayInterrupt && DrainIt != ActiveWave.DrainingSince.end()) {
      moveTask(*Worker, JobDispatcher, Jobs);
    }
    if (IsOverdue && !MayInterrupt) {
      // The step may need this host to bring its missing tasks back, and until
      // then no further task may be interrupted.
      giveUpDrain(ActiveWave, Host->Name);
      continue;
    }
    if (DrainIt == ActiveWave.DrainingSince.end() &&
        ActiveWave.DrainingSince.size() < MaxDrains &&
        Now >= ActiveWave.NextDrainAt[Host->Name] &&
        Limits.mayAdd(Worker, AwayCount > 0)) {
      ActiveWave.DrainingSince[Host->Name] = Now;
      Limits.add(Worker);
    }
  }
}

} // namespace balsamlatch::dispatch
