/// \file
/// Demand of the pools, and moves of hosts between them.

#include "balsamlatch/Dispatch/HostScheduler.h"

#include "HostWorkers.h"

#include <algorithm>
#include <fmt/format.h>

namespace balsamlatch::dispatch {

namespace {

/// Forecast for a sudden rise of demand: for each job that arrived within
/// ArrivalWindow, this many more arrive before a host that is moved now can run
/// work.
constexpr Duration ArrivalWindow = std::chrono::milliseconds(500);
constexpr std::int64_t ExpectedArrivalsPerJob = 3;

/// A run that has got further soon ends by itself.
constexpr unsigned MaxPreemptedPercent = 70;
constexpr Duration SizesLogPeriod = std::chrono::seconds(1);
/// A worker that has been unresponsive for longer doesn't count for its pool.
constexpr Duration MaxServiceGap = std::chrono::seconds(1);

/// Occurrences due within this time count as demand now, since a move takes
/// about as long.
constexpr Duration DueLookahead = std::chrono::milliseconds(1700);

/// Whether the worker takes no work for longer than a few replies may be lost.
bool isOutOfService(const WorkerState *Worker, Instant Now) {
  return Worker != nullptr &&
         ((Worker->IsUnresponsive &&
           Now - Worker->UnresponsiveSince > MaxServiceGap) ||
          Worker->Record.Draining || Now < Worker->FailingUntil);
}

/// Adds the demand of the tasks of a step that run or could run now.
void addDemand(const jobs::Job &Job, unsigned Occurrence, unsigned Step,
               std::int64_t Weight, unsigned Priority, PoolDemand &Demand) {
  const jobs::StepSpec &Spec = Job.spec().Steps[Step];
  if (Spec.LongRunning) {
    const unsigned TasksPerHost =
        Spec.MaxPerWorker > 0 ? Spec.MaxPerWorker : Spec.Count;
    Demand.LongRunningHosts =
        std::max(Demand.LongRunningHosts,
                 (Spec.Count + TasksPerHost - 1) / TasksPerHost);
    return;
  }
  if (!Job.isReady(Occurrence, Step)) {
    return;
  }
  const auto OccurrenceIt = Job.Record.Occurrences.find(Occurrence);
  std::int64_t OpenTasks = Spec.Count;
  if (OccurrenceIt != Job.Record.Occurrences.end()) {
    const jobs::StepRecord &Tasks = OccurrenceIt->second[Step];
    OpenTasks = std::count_if(Tasks.begin(), Tasks.end(),
                              [](const jobs::TaskRecord &Task) {
                                return Task.Phase != jobs::TaskPhase::Done;
                              });
  }
  Demand.TopPriority = std::min(Demand.TopPriority, Priority);
  Demand.BatchResources.CpuMilli +=
      Spec.RequestedResources.CpuMilli * OpenTasks * Weight;
  Demand.BatchResources.MemoryMb +=
      Spec.RequestedResources.MemoryMb * OpenTasks * Weight;
  Demand.BatchResources.Gpus +=
      Spec.RequestedResources.Gpus * OpenTasks * Weight;
}

std::map<PoolName, PoolDemand> findDemandByPool(const jobs::JobTable &Jobs,
                                                const Deployment &Config,
                                                WallTime Now) {
  std::map<PoolName, PoolDemand> DemandByPool;
  PlacementLookup Placements(Config);
  for (const auto &[Id, Job] : Jobs.jobs()) {
    if (!Job.isOpen()) {
      continue;
    }
    const auto [Pool, Terms] = Placements.placementOf(Job.Record.Accepted);
    PoolDemand &Demand = DemandByPool[Pool];
    const bool IsNew = Now - Job.Record.Accepted.AcceptedAt < ArrivalWindow;
    const std::int64_t Weight = IsNew ? 1 + ExpectedArrivalsPerJob : 1;
    for (const unsigned Occurrence : Job.dueOccurrences(Now + DueLookahead)) {
      for (unsigned Step = 0; Step < Job.spec().Steps.size(); ++Step) {
        addDemand(Job, Occurrence, Step, Weight, Terms.Priority, Demand);
      }
    }
  }
  return DemandByPool;
}

} // namespace

std::vector<PoolHost>
HostScheduler::poolHosts(const Dispatcher &JobDispatcher) const {
  std::vector<PoolHost> Result;
  for (const auto &[Name, Host] : Hosts) {
    const bool DrainsForWave = std::any_of(
        Waves.begin(), Waves.end(), [&, Key = Name](const auto &WaveEntry) {
          return WaveEntry.second.DrainingSince.contains(Key);
        });
    const WorkerState *Worker = findHostWorker(Host, JobDispatcher);
    const auto MoveIt = MovingHosts.find(Name);
    // The worker of a host that moves is known to be out of reach for a while.
    const bool LacksWorker =
        MoveIt == MovingHosts.end() && isOutOfService(Worker, Time.now());
    if (Host.Status == HostStatus::Down ||
        Host.Status == HostStatus::Maintenance || DrainsForWave ||
        LacksWorker) {
      continue; // no capacity for its pool at present
    }
    PoolHost Entry;
    Entry.Name = Name;
    Entry.Pool = Host.Pool;
    Entry.Capacity = Host.Capacity;
    if (MoveIt != MovingHosts.end()) {
      Entry.Pool = MoveIt->second.TargetPool;
    }
    Entry.IsMovable =
        Host.Status == HostStatus::Up && MoveIt == MovingHosts.end() &&
        !OpenOrders.contains(Name) && !AnsweredOrders.contains(Name) &&
        !isInHandover(Name) && (Worker == nullptr || !Worker->Record.Draining);
    Entry.IsVacant = Worker == nullptr || Worker->Runs.empty();
    Entry.HasLongRunningTask =
        Worker != nullptr &&
        std::any_of(Worker->Runs.begin(), Worker->Runs.end(),
                    [](const auto &Run) { return Run.second.LongRunning; });
    Entry.IsDraining = HostsDrainingForMove.contains(Name);
    Entry.ClaimedCpuMilli = claimedCpuMilli(Host, JobDispatcher);
    Result.push_back(std::move(Entry));
  }
  return Result;
}

void HostScheduler::preemptRuns(const HostName &Name, unsigned TopPriority,
                                const jobs::JobTable &Jobs,
                                const Deployment &Config,
                                Dispatcher &JobDispatcher) const {
  const WorkerState *Worker = findHostWorker(*find(Name), JobDispatcher);
  if (Worker == nullptr) {
    return;
  }
  std::vector<TaskRef> PreemptedTasks;
  for (const auto &[Task, Run] : Worker->Runs) {
    const jobs::Job *Job = Jobs.find(Task.Job);
    if (Job == nullptr ||
        Config.placementOf(Job->Record.Accepted).Terms.Priority <=
            TopPriority ||
        Run.Phase != RunPhase::Running || Run.StopRequested ||
        Run.Percent > MaxPreemptedPercent) {
      continue;
    }
    const jobs::StepSpec &Step = Job->spec().Steps[Task.Step];
    if (Step.Checkpoints && !Step.Gang && !Step.LongRunning) {
      PreemptedTasks.push_back(Task);
    }
  }
  for (const TaskRef &Task : PreemptedTasks) {
    JobDispatcher.moveRun(Worker->Record.Instance.Id, Task,
                          "a more urgent queue needs the host");
  }
}

void HostScheduler::logPoolSizes(const PoolPlan &Plan) {
  const Instant Now = Time.now();
  if (Now < NextSizesLogAt) {
    return;
  }
  NextSizesLogAt = Now + SizesLogPeriod;
  std::string Sizes;
  for (const auto &[Pool, Size] : Plan.Sizes) {
    Sizes += fmt::format("{}{} {}/{}", Sizes.empty() ? "" : ", ", Pool.Text,
                         Size.HostCount, Size.DesiredHosts);
  }
  Log.write(LogLevel::Info, "pools-sized",
            {{"hosts_of_desired", Sizes},
             {"moves", Plan.Moves.size()},
             {"drains", Plan.Drains.size()}});
}

void HostScheduler::decideMoves(Dispatcher &JobDispatcher,
                                const jobs::JobTable &Jobs,
                                const Deployment &Config,
                                std::vector<HostDecision> &Decisions) {
  const Instant Now = Time.now();
  std::erase_if(MovingHosts, [&](const auto &MoveEntry) {
    return Now - MoveEntry.second.OrderedAt > Settings.MoveTime + ReturnMargin;
  });
  std::map<PoolName, PoolDemand> DemandByPool =
      findDemandByPool(Jobs, Config, Time.wallNow());
  for (const auto &[Pool, HostCount] : JobDispatcher.requiredHosts()) {
    DemandByPool[Pool].HostsForUnplaced = HostCount;
  }
  const PoolPlan Plan =
      Pools.plan(Now, Config.Pools, DemandByPool, poolHosts(JobDispatcher));
  logPoolSizes(Plan);
  for (const PoolPlan::HostMove &PlannedMove : Plan.Moves) {
    const HostRecord *Host = find(PlannedMove.Host);
    MovingHosts[PlannedMove.Host] = {PlannedMove.TargetPool, Now};
    HostsDrainingForMove.erase(PlannedMove.Host);
    issueOrder({PlannedMove.Host, Host->WorkerId, 0, PlannedMove.TargetPool},
               JobDispatcher, Decisions);
  }
  std::set<HostName> HostsToDrain;
  for (const PoolPlan::HostMove &Drain : Plan.Drains) {
    HostsToDrain.insert(Drain.Host);
    HostsDrainingForMove.insert(Drain.Host);
    preemptRuns(Drain.Host, DemandByPool[Drain.TargetPool].TopPriority, Jobs,
                Config, JobDispatcher);
  }
  std::erase_if(HostsDrainingForMove, [&](const HostName &Name) {
    return !HostsToDrain.contains(Name);
  });
}

} // namespace balsamlatch::dispatch
