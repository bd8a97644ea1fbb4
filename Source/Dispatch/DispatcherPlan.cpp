/// \file
/// Placement: chooses the waiting tasks that run next and their workers, and
/// asks the placement policies for permits.

#include "balsamlatch/Dispatch/Dispatcher.h"
#include "balsamlatch/Dispatch/JobRank.h"

#include <algorithm>
#include <limits>

namespace balsamlatch::dispatch {

using jobs::Job;
using jobs::StepSpec;
using jobs::TaskPhase;
using jobs::TaskRecord;

/// A step of a job occurrence that has waiting tasks. Refers to the job and to
/// the configuration, so it is valid within one pass.
struct Dispatcher::WaitingStep {
  const Job *ParentJob = nullptr;
  unsigned Occurrence = 0;
  unsigned Step = 0;
  const PoolName *Pool = nullptr;
  const SchedulingTerms *Terms = nullptr;
  Rank JobRank;

  const StepSpec &spec() const { return ParentJob->spec().Steps[Step]; }
  TaskRef task(unsigned Index) const {
    return {ParentJob->id(), Occurrence, Step, Index};
  }
  const TaskRecord *record(unsigned Index) const {
    return ParentJob->find(Occurrence, Step, Index);
  }
};

/// The usable workers of a pool in one pass. Runs are only added in a pass, so
/// what has no room once has none later.
struct Dispatcher::UsableWorkers {
  std::vector<WorkerState *> Workers;
  /// At least the free amount of each resource on each worker.
  Resources LargestFree;
  /// Claims that no worker had room for.
  std::vector<Resources> RefusedClaims;
  /// Hosts that the pool lacks for the resources of its unplaced tasks.
  unsigned LackingForResources = 0;
  /// Hosts that it lacks for the step that needs the most of them, since one
  /// worker takes only so many of its tasks. Steps share these hosts.
  unsigned LackingForSpread = 0;
  /// Other work is kept from some of the workers.
  bool IsLastResort = false;
  /// Workers whose hosts drain for maintenance may be used.
  bool MayDelayMaintenance = false;

  void add(WorkerState &Worker) {
    const Resources Free = Worker.freeResources();
    LargestFree = {std::max(LargestFree.CpuMilli, Free.CpuMilli),
                   std::max(LargestFree.MemoryMb, Free.MemoryMb),
                   std::max(LargestFree.Gpus, Free.Gpus)};
    Workers.push_back(&Worker);
  }
  /// False if certainly no worker has room.
  bool mayHaveRoom(const Resources &Claim) const {
    return Claim.fitsInto(LargestFree) &&
           std::none_of(RefusedClaims.begin(), RefusedClaims.end(),
                        [&](const Resources &Refused) {
                          return Refused.fitsInto(Claim);
                        });
  }
};

struct Dispatcher::WorkerChoice {
  /// Null if no worker can take the task.
  WorkerState *Worker = nullptr;
  /// Some worker has room, though it may be unsuitable for another reason.
  bool HasRoom = false;
};

namespace {

/// Score adjustments that outweigh the utilization of a worker. Utilization
/// adds at most 1, and each run of a long-running task adds 1.
constexpr double PreferredRackBonus = 100;
constexpr double FailedOnWorkerPenalty = 1000;
constexpr double AvoidedWorkerPenalty = 500;
/// For a worker whose crash would say nothing of a suspect; more than that of
/// the most runs that fit on a worker.
constexpr double RecentStartPenalty = 1000;
/// For each run that the crash of a suspect would end.
constexpr double CrashSuspectPenalty = 10;
/// Tasks that stay unplaced longer than this count as a need for more hosts.
/// Before that, the pool sizes already follow the demand.
constexpr Duration UnplacedDelay = std::chrono::milliseconds(500);
/// Long-running tasks that stay unplaced longer than this may use workers as
/// the last resort.
constexpr Duration LastResortDelay = std::chrono::seconds(1);
/// The same for workers whose hosts drain for maintenance, which would move the
/// task again soon. Hosts that are in maintenance are usually back before.
constexpr Duration MaintenanceDelay = std::chrono::milliseconds(2500);
/// Maximum number of workers in a query; enough for a step of usual width.
constexpr std::size_t WorkersPerQuery = 30;
/// A permit must stay valid until the worker receives the start: this covers
/// the write to the journal and the network time.
constexpr Duration PermitMargin = std::chrono::milliseconds(300);
/// Weight of a new job in the moving average of a queue's work.
constexpr double MeanWorkWeight = 0.05;

bool ranksBefore(const auto &Left, const auto &Right) {
  return std::tie(Left.Terms->Priority, Left.JobRank, Left.ParentJob->id()) <
         std::tie(Right.Terms->Priority, Right.JobRank, Right.ParentJob->id());
}

unsigned countRunsOfStep(const WorkerState &Worker, const TaskRef &Task) {
  TaskRef FirstTask = Task;
  FirstTask.Index = 0;
  unsigned Count = 0;
  for (auto RunIt = Worker.Runs.lower_bound(FirstTask);
       RunIt != Worker.Runs.end() && RunIt->first.Job == Task.Job &&
       RunIt->first.Occurrence == Task.Occurrence &&
       RunIt->first.Step == Task.Step;
       ++RunIt) {
    ++Count;
  }
  return Count;
}

/// Score of a worker for a step; larger is better. Work is bin-packed so that
/// other workers stay free for maintenance and moves. Long-running and
/// best-effort tasks prefer workers that already have long-running tasks.
double scoreWorker(const WorkerState &Worker, const StepSpec &Step) {
  const double Capacity = static_cast<double>(
      std::max<std::int64_t>(1, Worker.Record.Capacity.CpuMilli));
  const double Utilization =
      static_cast<double>(Worker.ClaimedResources.CpuMilli) / Capacity;
  double Score = Utilization;
  if (Step.LongRunning || Step.BestEffort) {
    Score += static_cast<double>(
        std::count_if(Worker.Runs.begin(), Worker.Runs.end(),
                      [](const auto &Run) { return Run.second.LongRunning; }));
  }
  if (!Step.PreferredRack.empty() && Worker.hasLabel(Step.PreferredRack)) {
    Score += PreferredRackBonus;
  }
  return Score;
}

} // namespace

void Dispatcher::updateMeanWork(const Job &NewJob) {
  if (NewJob.spec().Steps.empty()) {
    return; // a job that closed long ago has no steps
  }
  double &Mean = MeanWorkByQueue[NewJob.Record.Accepted.Queue];
  const double Work = estimatedWork(NewJob.spec());
  Mean = Mean == 0 ? Work : Mean + MeanWorkWeight * (Work - Mean);
}

void Dispatcher::appendWaitingSteps(
    const Job &ParentJob, const JobPlacement &Placement,
    std::vector<WaitingStep> &Candidates) const {
  const WallTime Now = Time.wallNow();
  const auto MeanIt = MeanWorkByQueue.find(ParentJob.Record.Accepted.Queue);
  for (const unsigned Occurrence : ParentJob.dueOccurrences(Now)) {
    const auto OccurrenceIt = ParentJob.Record.Occurrences.find(Occurrence);
    std::optional<Rank> JobRank;
    for (unsigned Step = 0; Step < ParentJob.spec().Steps.size(); ++Step) {
      const bool HasWaitingTask =
          OccurrenceIt == ParentJob.Record.Occurrences.end() ||
          std::any_of(OccurrenceIt->second[Step].begin(),
                      OccurrenceIt->second[Step].end(),
                      [](const TaskRecord &Task) {
                        return Task.Phase == TaskPhase::Waiting;
                      });
      if (!HasWaitingTask || !ParentJob.isReady(Occurrence, Step)) {
        continue;
      }
      if (!JobRank) {
        JobRank = computeRank(
            ParentJob, Occurrence, Placement.Terms,
            MeanIt == MeanWorkByQueue.end() ? 0 : MeanIt->second, Now);
      }
      Candidates.push_back({&ParentJob, Occurrence, Step, &Placement.Pool,
                            &Placement.Terms, *JobRank});
    }
  }
}

std::vector<Dispatcher::WaitingStep> Dispatcher::findWaitingSteps() const {
  std::vector<WaitingStep> Candidates;
  PlacementLookup Placements(*Config);
  for (const JobId &Id : OpenJobs) {
    const Job *ParentJob = Table->find(Id);
    if (ParentJob == nullptr || !ParentJob->isOpen() ||
        ClosingJobs.contains(Id) ||
        ParentJob->OpenTasks == ParentJob->PlacedTasks) {
      continue;
    }
    appendWaitingSteps(*ParentJob,
                       Placements.placementOf(ParentJob->Record.Accepted),
                       Candidates);
  }
  std::sort(Candidates.begin(), Candidates.end(),
            [](const WaitingStep &Left, const WaitingStep &Right) {
              return ranksBefore(Left, Right);
            });
  return Candidates;
}

void Dispatcher::plan(Instant Now) {
  if (Config == nullptr) {
    return;
  }
  WorkersByPool UsableByPool;
  WorkersByPool LastResortByPool;
  for (auto &[Id, Worker] : Workers) {
    if (Worker.isUsable(Now)) {
      UsableByPool[Worker.Record.Pool].add(Worker);
    }
  }
  for (const auto &[Name, Pool] : UsableByPool) {
    Isolation.reserveWorkers(Name, Pool.Workers, {Now, Time.wallNow()});
  }
  UnrefusedTasks = findUnrefusedTasks();
  const std::vector<WaitingStep> Candidates = findWaitingSteps();
  const std::map<StepRef, Instant> UnplacedBefore =
      std::exchange(UnplacedSince, {});
  RequiredHosts.clear();
  for (const WaitingStep &Candidate : Candidates) {
    const auto UnplacedIt = UnplacedBefore.find(stepOf(Candidate.task(0)));
    const Instant WaitingSince =
        UnplacedIt == UnplacedBefore.end() ? Now : UnplacedIt->second;
    const std::size_t UnplacedTasks = placeWaitingTasks(
        Candidate, UsableByPool, LastResortByPool, Now - WaitingSince, Now);
    if (UnplacedTasks > 0) {
      UnplacedSince[stepOf(Candidate.task(0))] = WaitingSince;
      recordUnplaced(Candidate, UnplacedTasks, WaitingSince,
                     UsableByPool[*Candidate.Pool]);
    }
  }
  if (Now >= NextQueryAt) {
    // A last resort includes the usable workers.
    for (auto &[Name, Pool] : LastResortByPool) {
      UsableByPool[Name] = std::move(Pool);
    }
    queryPermits(Candidates, UsableByPool, Now);
  }
}

std::size_t Dispatcher::placeWaitingTasks(const WaitingStep &Candidate,
                                          WorkersByPool &UsableByPool,
                                          WorkersByPool &LastResortByPool,
                                          Duration WaitingTime, Instant Now) {
  const std::size_t UnplacedTasks =
      placeStep(Candidate, UsableByPool[*Candidate.Pool]);
  if (UnplacedTasks == 0 || !Candidate.spec().LongRunning ||
      WaitingTime < LastResortDelay) {
    return UnplacedTasks;
  }
  const auto [PoolIt, IsNew] = LastResortByPool.try_emplace(*Candidate.Pool);
  if (IsNew) {
    PoolIt->second = findLastResort(*Candidate.Pool, Now);
  }
  PoolIt->second.MayDelayMaintenance = WaitingTime >= MaintenanceDelay;
  return placeStep(Candidate, PoolIt->second);
}

Dispatcher::UsableWorkers Dispatcher::findLastResort(const PoolName &Pool,
                                                     Instant Now) {
  UsableWorkers LastResort;
  LastResort.IsLastResort = true;
  for (auto &[Id, Worker] : Workers) {
    if (Worker.Record.Pool == Pool && Worker.isLastResort(Now)) {
      LastResort.add(Worker);
    }
  }
  return LastResort;
}

std::vector<unsigned>
Dispatcher::waitingTasks(const WaitingStep &Candidate) const {
  std::vector<unsigned> TaskIndexes;
  TaskRef Task = Candidate.task(0);
  for (Task.Index = 0; Task.Index < Candidate.spec().Count; ++Task.Index) {
    const TaskRecord *Record = Candidate.record(Task.Index);
    const bool IsWaiting =
        Record == nullptr || Record->Phase == TaskPhase::Waiting;
    if (IsWaiting && !isProposed(Task) && !WorkerOfEndingRun.contains(Task) &&
        !LateCompletions.contains(Task) && !UnrefusedTasks.contains(Task)) {
      TaskIndexes.push_back(Task.Index);
    }
  }
  return TaskIndexes;
}

void Dispatcher::queryPermits(const std::vector<WaitingStep> &Candidates,
                              const WorkersByPool &UsableByPool, Instant Now) {
  for (const WaitingStep &Candidate : Candidates) {
    if (QueriesInFlight.size() >= QueryLimit) {
      return;
    }
    const std::optional<PlacementPolicy> &Policy = Candidate.Terms->Policy;
    if (!Policy) {
      continue;
    }
    const auto PoolIt = UsableByPool.find(*Candidate.Pool);
    const StepRef Step = stepOf(Candidate.task(0));
    if (PoolIt == UsableByPool.end() || QueriesInFlight.contains(Step) ||
        waitingTasks(Candidate).empty()) {
      continue;
    }
    // A decision about a few more workers takes about the same time, so the
    // query also names workers that are full now but may have room soon.
    PermitQuery Query;
    Query.Step = Step;
    std::vector<WorkerInstance> FullWorkers;
    for (const WorkerState *Worker : PoolIt->second.Workers) {
      if (Permits.needsQuery(Step, Worker->Record.Instance,
                             Now + PermitMargin)) {
        const bool HasRoom =
            claimFor(Candidate.spec()).fitsInto(Worker->freeResources());
        (HasRoom ? Query.Workers : FullWorkers)
            .push_back(Worker->Record.Instance);
      }
    }
    if (Query.Workers.empty()) {
      continue;
    }
    Query.Workers.insert(Query.Workers.end(), FullWorkers.begin(),
                         FullWorkers.end());
    Query.Workers.resize(std::min(Query.Workers.size(), WorkersPerQuery));
    Query.Expected =
        Policy->DecisionTime +
        Policy->TimePerWorker * static_cast<int>(Query.Workers.size());
    QueriesInFlight.insert(Step);
    Queries.push_back(std::move(Query));
  }
}

void Dispatcher::recordUnplaced(const WaitingStep &Candidate,
                                std::size_t UnplacedTasks, Instant WaitingSince,
                                UsableWorkers &Pool) {
  if (Pool.Workers.empty() || Time.now() - WaitingSince < UnplacedDelay) {
    return;
  }
  const Resources &HostCapacity = Pool.Workers.front()->Record.Capacity;
  const Resources Claim = claimFor(Candidate.spec());
  const auto FitCount = [](std::int64_t Requested, std::int64_t Capacity) {
    return Requested <= 0 ? std::numeric_limits<std::int64_t>::max()
                          : std::max<std::int64_t>(1, Capacity / Requested);
  };
  const auto HostsFor = [UnplacedTasks](std::size_t TasksPerHost) {
    return static_cast<unsigned>((UnplacedTasks - 1) / TasksPerHost + 1);
  };
  Pool.LackingForResources += HostsFor(static_cast<std::size_t>(
      std::min(FitCount(Claim.CpuMilli, HostCapacity.CpuMilli),
               FitCount(Claim.MemoryMb, HostCapacity.MemoryMb))));
  if (Candidate.spec().MaxPerWorker > 0) {
    Pool.LackingForSpread = std::max(Pool.LackingForSpread,
                                     HostsFor(Candidate.spec().MaxPerWorker));
  }
  RequiredHosts[*Candidate.Pool] =
      static_cast<unsigned>(Pool.Workers.size()) +
      std::max(Pool.LackingForResources, Pool.LackingForSpread);
}

std::size_t Dispatcher::placeStep(const WaitingStep &Candidate,
                                  UsableWorkers &Pool) {
  const std::vector<unsigned> TaskIndexes = waitingTasks(Candidate);
  if (Candidate.spec().Gang) {
    return placeGang(Candidate, TaskIndexes, Pool);
  }
  const Resources Claim = claimFor(Candidate.spec());
  std::size_t PlacedCount = 0;
  for (const unsigned Index : TaskIndexes) {
    const WorkerChoice Choice = chooseWorker(Candidate, Index, Pool);
    if (!Choice.HasRoom && Pool.mayHaveRoom(Claim)) {
      Pool.RefusedClaims.push_back(Claim);
    }
    const TaskRecord *Task = Candidate.record(Index);
    if (Choice.Worker == nullptr && Task != nullptr && Task->IsCrashSuspect) {
      if (mustIsolate(Candidate, Index)) {
        Isolation.noteWait(Candidate.task(Index), *Candidate.Pool, Time.now());
      }
      continue;
    }
    if (Choice.Worker == nullptr) {
      break; // all tasks of a step need the same resources
    }
    proposePlacement(Candidate, Index, *Choice.Worker,
                     Task == nullptr ? 1 : Task->Run + 1);
    ++PlacedCount;
  }
  return TaskIndexes.size() - PlacedCount;
}

std::size_t Dispatcher::placeGang(const WaitingStep &Candidate,
                                  const std::vector<unsigned> &TaskIndexes,
                                  const UsableWorkers &Pool) {
  if (TaskIndexes.size() != Candidate.spec().Count) {
    return 0; // members of an earlier run have not ended yet
  }
  std::vector<WorkerState *> GangWorkers;
  if (Candidate.spec().SameRack) {
    // Racks are labels. The smallest group of workers with a common label that
    // has room for all members is taken as the rack.
    std::map<std::string, UsableWorkers> WorkersByLabel;
    for (WorkerState *Worker : Pool.Workers) {
      for (const std::string &Label : Worker->Record.Labels) {
        WorkersByLabel[Label].add(*Worker);
      }
    }
    std::size_t SmallestSize = Pool.Workers.size();
    for (const auto &[Label, Rack] : WorkersByLabel) {
      if (Rack.Workers.size() < SmallestSize) {
        if (auto RackChoice = chooseGangWorkers(Candidate, TaskIndexes, Rack);
            !RackChoice.empty()) {
          GangWorkers = std::move(RackChoice);
          SmallestSize = Rack.Workers.size();
        }
      }
    }
  }
  if (GangWorkers.empty()) {
    GangWorkers = chooseGangWorkers(Candidate, TaskIndexes, Pool);
  }
  if (GangWorkers.empty()) {
    return TaskIndexes.size();
  }
  std::uint32_t Run = 1;
  for (const unsigned Index : TaskIndexes) {
    const TaskRecord *Task = Candidate.record(Index);
    Run = std::max(Run, Task == nullptr ? 1 : Task->Run + 1);
  }
  for (std::size_t Member = 0; Member < GangWorkers.size(); ++Member) {
    proposePlacement(Candidate, TaskIndexes[Member], *GangWorkers[Member], Run);
  }
  return 0;
}

std::vector<WorkerState *>
Dispatcher::chooseGangWorkers(const WaitingStep &Candidate,
                              const std::vector<unsigned> &TaskIndexes,
                              const UsableWorkers &Pool) {
  std::vector<WorkerState *> GangWorkers;
  for (const unsigned Index : TaskIndexes) {
    WorkerState *Worker = chooseWorker(Candidate, Index, Pool).Worker;
    if (Worker == nullptr) {
      noteIsolationWaits(Candidate, TaskIndexes);
      break;
    }
    RunState Reservation;
    Reservation.Claim = claimFor(Candidate.spec());
    Reservation.IsIsolated = mustIsolate(Candidate, Index);
    Reservation.StartsAlone = Reservation.IsIsolated;
    Worker->MayHaveIsolatedRun =
        Worker->MayHaveIsolatedRun || Reservation.IsIsolated;
    Worker->ClaimedResources += Reservation.Claim;
    Worker->Runs[Candidate.task(Index)] = Reservation;
    GangWorkers.push_back(Worker);
  }
  for (std::size_t Member = 0; Member < GangWorkers.size(); ++Member) {
    const TaskRef Task = Candidate.task(TaskIndexes[Member]);
    GangWorkers[Member]->ClaimedResources -=
        GangWorkers[Member]->Runs[Task].Claim;
    GangWorkers[Member]->Runs.erase(Task);
  }
  return GangWorkers.size() == TaskIndexes.size()
             ? GangWorkers
             : std::vector<WorkerState *>();
}

bool Dispatcher::mustIsolate(const WaitingStep &Candidate,
                             unsigned Index) const {
  return Isolation.mustIsolate(Candidate.task(Index), Candidate.record(Index),
                               Time.now());
}

void Dispatcher::noteIsolationWaits(const WaitingStep &Candidate,
                                    const std::vector<unsigned> &TaskIndexes) {
  for (const unsigned Index : TaskIndexes) {
    if (mustIsolate(Candidate, Index)) {
      Isolation.noteWait(Candidate.task(Index), *Candidate.Pool, Time.now());
    }
  }
}

bool Dispatcher::canTake(const WorkerState &Worker, const StepSpec &Step,
                         const TaskRef &Task) {
  return !Worker.Runs.contains(Task) &&
         (Step.RequiredLabel.empty() || Worker.hasLabel(Step.RequiredLabel)) &&
         (Step.MaxPerWorker == 0 ||
          countRunsOfStep(Worker, Task) < Step.MaxPerWorker);
}

Dispatcher::WorkerChoice
Dispatcher::chooseWorker(const WaitingStep &Candidate, unsigned Index,
                         const UsableWorkers &Pool) const {
  const StepSpec &Step = Candidate.spec();
  const Resources Claim = claimFor(Step);
  if (!Pool.mayHaveRoom(Claim)) {
    return {};
  }
  const TaskRef Task = Candidate.task(Index);
  const auto FailedIt = LastFailedWorker.find(Task);
  const bool IsIsolated = mustIsolate(Candidate, Index);
  const TaskRecord *Record = Candidate.record(Index);
  const bool IsSuspect = Record != nullptr && Record->IsCrashSuspect;
  const Instant Now = Time.now();
  const Instant PermitUntil = Now + PermitMargin;
  WorkerChoice Best;
  double BestScore = 0;
  for (WorkerState *Worker : Pool.Workers) {
    if (!Claim.fitsInto(Worker->freeResources())) {
      continue;
    }
    Best.HasRoom = true;
    const bool IsLastFailed = FailedIt != LastFailedWorker.end() &&
                              FailedIt->second == Worker->Record.Instance.Id;
    // Another crash of the same worker, or of one that may crash by itself,
    // would not show whose fault it is.
    const bool IsRecent =
        IsSuspect && isRecentlyStarted(*Worker, {Now, Time.wallNow()});
    if ((IsIsolated && (IsLastFailed || IsRecent)) ||
        (IsRecent && Record->needsStableWorker()) ||
        (!Step.LongRunning && Worker->mayForgetEnds(Now)) ||
        !canTake(*Worker, Step, Task) ||
        (Worker->IsReserved && !IsIsolated && !Pool.IsLastResort) ||
        (Worker->HostCordon == Cordon::DrainingForMaintenance &&
         !Pool.MayDelayMaintenance) ||
        (Candidate.Terms->Policy &&
         Permits.findTicket(stepOf(Task), Worker->Record.Instance,
                            PermitUntil) == nullptr) ||
        !mayShareWorker(IsIsolated, *Worker)) {
      continue;
    }
    double Score = scoreWorker(*Worker, Step);
    if (Worker->exclusionAt(Now) == WorkerExclusion::Avoided) {
      Score -= AvoidedWorkerPenalty;
    }
    if (IsSuspect) {
      Score -= CrashSuspectPenalty * static_cast<double>(Worker->Runs.size());
    }
    if (IsRecent) {
      Score -= RecentStartPenalty;
    }
    if (IsLastFailed) {
      Score -= FailedOnWorkerPenalty;
    }
    if (Best.Worker == nullptr || Score > BestScore) {
      Best.Worker = Worker;
      BestScore = Score;
    }
  }
  return Best;
}

void Dispatcher::proposePlacement(const WaitingStep &Candidate, unsigned Index,
                                  WorkerState &Worker, std::uint32_t Run) {
  const TaskRef Task = Candidate.task(Index);
  const TaskRecord *Record = Candidate.record(Index);
  RunState NewRun = makeRun(Task, Candidate.spec(), Record, Run,
                            Worker.Record.Instance.Incarnation);
  if (const std::string *Ticket = Permits.findTicket(
          stepOf(Task), Worker.Record.Instance, Time.now())) {
    NewRun.Ticket = *Ticket;
  }
  if (Record != nullptr && Record->IsCrashSuspect) {
    NewRun.IsIsolated = mustIsolate(Candidate, Index);
    // The members of a gang start together, and may need to share a worker.
    NewRun.StartsAlone = NewRun.IsIsolated || !Candidate.spec().Gang;
    Worker.MayHaveIsolatedRun = Worker.MayHaveIsolatedRun || NewRun.StartsAlone;
    Log.write(LogLevel::Info, "suspect-placed",
              {{"job", Task.Job.Text},
               {"task", taskPath(Task)},
               {"run", Run},
               {"worker", Worker.Record.Instance.Id},
               {"crash_score", Record->CrashScore},
               {"isolated", NewRun.IsIsolated},
               {"other_runs", Worker.Runs.size()}});
    Isolation.notePlaced(Task);
  }
  Worker.ClaimedResources += NewRun.Claim;
  addRun(Worker, Task, NewRun);
  ProposedTasks.insert(Task);
  Events.emplace_back(
      jobs::TaskPlaced{Task, Run, Worker.Record.Instance, Time.wallNow()});
}

} // namespace balsamlatch::dispatch
