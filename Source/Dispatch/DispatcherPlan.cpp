/// \file
/// Chooses which waiting tasks run next, and where.

#include "balsamlatch/Dispatch/Dispatcher.h"
#include "balsamlatch/Dispatch/Ordering.h"

#include <algorithm>
#include <limits>

namespace balsamlatch::dispatch {

using jobs::Job;
using jobs::StepSpec;
using jobs::TaskPhase;
using jobs::TaskRecord;

/// One step of one occurrence with tasks that wait.
struct Dispatcher::Candidate {
  const Job *Owner = nullptr;
  unsigned Occurrence = 0;
  unsigned Step = 0;
  unsigned Priority = 0;
  PoolName Pool;
  std::optional<PlacementPolicy> Policy;
  Rank Order;

  const StepSpec &spec() const { return Owner->spec().Steps[Step]; }
  TaskRef task(unsigned Index) const {
    return {Owner->id(), Occurrence, Step, Index};
  }
  const TaskRecord *record(unsigned Index) const {
    return Owner->find(task(Index));
  }
};

namespace {

/// Weights of what counts more than how full a worker is, which is at most 1
/// and one for each lasting run.
constexpr double PreferredRackGain = 100;
constexpr double FailedTherePenalty = 1000;
/// Work that waits longer than this waits for more hosts: pools follow the
/// demand before that.
constexpr Duration UnplacedPatience = std::chrono::milliseconds(500);
/// Most workers of one query: what a step of usual width can need.
constexpr std::size_t WorkersPerQuery = 30;
/// A permit must hold until the start has arrived: the journal's record and
/// the way.
constexpr Duration PermitMargin = std::chrono::milliseconds(300);
/// Weight of a new job in the mean of a queue's work.
constexpr double MeanWeight = 0.05;

bool before(const auto &Left, const auto &Right) {
  return std::tie(Left.Priority, Left.Order, Left.Owner->id()) <
         std::tie(Right.Priority, Right.Order, Right.Owner->id());
}

unsigned sameStep(const WorkerState &Worker, const TaskRef &Task) {
  TaskRef First = Task;
  First.Index = 0;
  unsigned Count = 0;
  for (auto It = Worker.Runs.lower_bound(First);
       It != Worker.Runs.end() && It->first.Job == Task.Job &&
       It->first.Occurrence == Task.Occurrence && It->first.Step == Task.Step;
       ++It) {
    ++Count;
  }
  return Count;
}

/// Larger is better. Work is packed, so that other workers stay free for
/// maintenance and moves; lasting work shares the workers that have some.
double fitness(const WorkerState &Worker, const StepSpec &Step) {
  const double Capacity = static_cast<double>(
      std::max<std::int64_t>(1, Worker.Record.Capacity.CpuMilli));
  const double Used = static_cast<double>(Worker.Claimed.CpuMilli) / Capacity;
  double Score = Used;
  if (Step.Lasting || Step.Filler) {
    Score += static_cast<double>(
        std::count_if(Worker.Runs.begin(), Worker.Runs.end(),
                      [](const auto &Run) { return Run.second.Lasting; }));
  }
  if (!Step.PreferredRack.empty() && Worker.hasLabel(Step.PreferredRack)) {
    Score += PreferredRackGain;
  }
  return Score;
}

} // namespace

void Dispatcher::noteArrival(const Job &Owner) {
  if (Owner.spec().Steps.empty()) {
    return; // settled long ago
  }
  double &Mean = MeanWork[Owner.Record.Accepted.Queue];
  const double Work = workOf(Owner.spec());
  Mean = Mean == 0 ? Work : Mean + MeanWeight * (Work - Mean);
}

void Dispatcher::collect(const Job &Owner, const Queue &From,
                         std::vector<Candidate> &Into) const {
  const WallTime Now = Time.wallNow();
  const auto Mean = MeanWork.find(From.Name);
  for (unsigned K = 0; K < Owner.spec().occurrences(); ++K) {
    if (Owner.spec().Times.Repeats > 0 && Owner.dueAt(K) > Now) {
      break;
    }
    const auto Found = Owner.Record.Occurrences.find(K);
    std::optional<Rank> Order;
    for (unsigned Step = 0; Step < Owner.spec().Steps.size(); ++Step) {
      const bool Waits =
          Found == Owner.Record.Occurrences.end() ||
          std::any_of(Found->second[Step].begin(), Found->second[Step].end(),
                      [](const TaskRecord &Task) {
                        return Task.Phase == TaskPhase::Waiting;
                      });
      if (!Waits || !Owner.ready(K, Step)) {
        continue;
      }
      if (!Order) {
        Order = rankOf(Owner, K, From,
                       Mean == MeanWork.end() ? 0 : Mean->second, Now);
      }
      Into.push_back(
          {&Owner, K, Step, From.Priority, From.Pool, From.Policy, *Order});
    }
  }
}

std::vector<Dispatcher::Candidate> Dispatcher::candidates() const {
  std::vector<Candidate> Waiting;
  for (const JobId &Id : OpenJobs) {
    const Job *Owner = Book->find(Id);
    if (Owner == nullptr || !Owner->open() || CloseProposed.contains(Id)) {
      continue;
    }
    if (const Queue *From = Config->find(Owner->Record.Accepted.Queue)) {
      collect(*Owner, *From, Waiting);
      continue;
    }
    // The queue is gone from the configuration; its jobs still end.
    Queue Gone;
    Gone.Pool = Owner->Record.Accepted.Pool;
    collect(*Owner, Gone, Waiting);
  }
  std::sort(Waiting.begin(), Waiting.end(),
            [](const Candidate &Left, const Candidate &Right) {
              return before(Left, Right);
            });
  return Waiting;
}

void Dispatcher::plan(Instant Now) {
  if (Config == nullptr) {
    return;
  }
  PoolWorkers Usable;
  for (auto &[Id, Worker] : Workers) {
    if (Worker.usable(Now)) {
      Usable[Worker.Record.Pool].push_back(&Worker);
    }
  }
  const std::vector<Candidate> Waiting = candidates();
  const std::map<StepRef, Instant> Before = std::exchange(UnplacedSince, {});
  Lacking.clear();
  for (const Candidate &Which : Waiting) {
    const std::vector<WorkerState *> &Among = Usable[Which.Pool];
    const std::size_t Left = placeStep(Which, Among);
    if (Left > 0 && !Among.empty()) {
      const auto Waited = Before.find(stepOf(Which.task(0)));
      noteUnplaced(Which, Left, Waited == Before.end() ? Now : Waited->second,
                   Among);
    }
  }
  if (Now >= NextQueryAt) {
    queryPermits(Waiting, Usable, Now);
  }
}

std::vector<unsigned> Dispatcher::waitingTasks(const Candidate &Which) const {
  std::vector<unsigned> Waiting;
  for (unsigned Index = 0; Index < Which.spec().Count; ++Index) {
    const TaskRecord *Task = Which.record(Index);
    const bool Waits = Task == nullptr || Task->Phase == TaskPhase::Waiting;
    if (Waits && !proposed(Which.task(Index)) &&
        !EndingAt.contains(Which.task(Index))) {
      Waiting.push_back(Index);
    }
  }
  return Waiting;
}

void Dispatcher::queryPermits(const std::vector<Candidate> &Waiting,
                              const PoolWorkers &Usable, Instant Now) {
  for (const Candidate &Which : Waiting) {
    const auto Among = Usable.find(Which.Pool);
    const StepRef Step = stepOf(Which.task(0));
    if (QueriesOut.size() >= QueryLimit) {
      return;
    }
    if (!Which.Policy || Among == Usable.end() || QueriesOut.contains(Step) ||
        waitingTasks(Which).empty()) {
      continue;
    }
    // A decision takes the same time for few workers: those that are full now
    // are asked about with the others, as they may soon have room.
    PermitQuery Ask;
    Ask.Step = Step;
    std::vector<WorkerLife> Full;
    for (const WorkerState *Worker : Among->second) {
      if (Permits.worthAsking(Step, Worker->Record.Life, Now + PermitMargin)) {
        const bool Room = claimOf(Which.spec()).fitsInto(Worker->room());
        (Room ? Ask.Workers : Full).push_back(Worker->Record.Life);
      }
    }
    if (Ask.Workers.empty()) {
      continue;
    }
    Ask.Workers.insert(Ask.Workers.end(), Full.begin(), Full.end());
    Ask.Workers.resize(std::min(Ask.Workers.size(), WorkersPerQuery));
    Ask.Expected =
        Which.Policy->DecisionTime +
        Which.Policy->TimePerWorker * static_cast<int>(Ask.Workers.size());
    QueriesOut.insert(Step);
    Queries.push_back(std::move(Ask));
  }
}

void Dispatcher::noteUnplaced(const Candidate &Which, std::size_t Tasks,
                              Instant Since,
                              const std::vector<WorkerState *> &Among) {
  UnplacedSince[stepOf(Which.task(0))] = Since;
  if (Time.now() - Since < UnplacedPatience) {
    return;
  }
  const Resources &OfEach = Among.front()->Record.Capacity;
  const Resources Claim = claimOf(Which.spec());
  const auto InOne = [](std::int64_t Need, std::int64_t Room) {
    return Need <= 0 ? std::numeric_limits<std::int64_t>::max()
                     : std::max<std::int64_t>(1, Room / Need);
  };
  const auto PerHost = static_cast<std::size_t>(
      std::min(InOne(Claim.CpuMilli, OfEach.CpuMilli),
               InOne(Claim.MemoryMb, OfEach.MemoryMb)));
  unsigned &Hosts = Lacking[Which.Pool];
  Hosts = std::max(Hosts, static_cast<unsigned>(Among.size())) +
          static_cast<unsigned>((Tasks - 1) / PerHost + 1);
}

std::size_t Dispatcher::placeStep(const Candidate &Which,
                                  const std::vector<WorkerState *> &Among) {
  const std::vector<unsigned> Waiting = waitingTasks(Which);
  if (Which.spec().Gang) {
    return placeGang(Which, Waiting, Among);
  }
  std::size_t Placed = 0;
  for (const unsigned Index : Waiting) {
    WorkerState *Worker = choose(Which, Index, Among);
    if (Worker == nullptr) {
      break; // tasks of one step need the same
    }
    const TaskRecord *Task = Which.record(Index);
    propose(Which, Index, *Worker, Task == nullptr ? 1 : Task->Run + 1);
    ++Placed;
  }
  return Waiting.size() - Placed;
}

std::size_t Dispatcher::placeGang(const Candidate &Which,
                                  const std::vector<unsigned> &Indexes,
                                  const std::vector<WorkerState *> &Among) {
  if (Indexes.size() != Which.spec().Count) {
    return 0; // members of an earlier run are still about
  }
  std::vector<WorkerState *> Chosen;
  if (Which.spec().SameRack) {
    // Racks are labels; the smallest group that can take all members is one.
    std::map<std::string, std::vector<WorkerState *>> ByLabel;
    for (WorkerState *Worker : Among) {
      for (const std::string &Label : Worker->Record.Labels) {
        ByLabel[Label].push_back(Worker);
      }
    }
    std::size_t Smallest = Among.size();
    for (const auto &[Label, Group] : ByLabel) {
      if (Group.size() < Smallest) {
        if (auto Fits = chooseGang(Which, Indexes, Group); !Fits.empty()) {
          Chosen = std::move(Fits);
          Smallest = Group.size();
        }
      }
    }
  }
  if (Chosen.empty()) {
    Chosen = chooseGang(Which, Indexes, Among);
  }
  if (Chosen.empty()) {
    return Indexes.size();
  }
  std::uint32_t Run = 1;
  for (const unsigned Index : Indexes) {
    const TaskRecord *Task = Which.record(Index);
    Run = std::max(Run, Task == nullptr ? 1 : Task->Run + 1);
  }
  for (std::size_t Member = 0; Member < Chosen.size(); ++Member) {
    propose(Which, Indexes[Member], *Chosen[Member], Run);
  }
  return 0;
}

std::vector<WorkerState *>
Dispatcher::chooseGang(const Candidate &Which,
                       const std::vector<unsigned> &Indexes,
                       const std::vector<WorkerState *> &Among) {
  std::vector<WorkerState *> Chosen;
  for (const unsigned Index : Indexes) {
    WorkerState *Worker = choose(Which, Index, Among);
    if (Worker == nullptr) {
      break;
    }
    RunState Held;
    Held.Claim = claimOf(Which.spec());
    Worker->Claimed += Held.Claim;
    Worker->Runs[Which.task(Index)] = Held;
    Chosen.push_back(Worker);
  }
  for (std::size_t Member = 0; Member < Chosen.size(); ++Member) {
    const TaskRef Task = Which.task(Indexes[Member]);
    Chosen[Member]->Claimed -= Chosen[Member]->Runs[Task].Claim;
    Chosen[Member]->Runs.erase(Task);
  }
  return Chosen.size() == Indexes.size() ? Chosen
                                         : std::vector<WorkerState *>();
}

WorkerState *Dispatcher::choose(const Candidate &Which, unsigned Index,
                                const std::vector<WorkerState *> &Among) const {
  const StepSpec &Step = Which.spec();
  const TaskRef Task = Which.task(Index);
  const Resources Claim = claimOf(Step);
  const auto Failed = LastFailedOn.find(Task);
  const Instant PermitUntil = Time.now() + PermitMargin;
  WorkerState *Best = nullptr;
  double BestScore = 0;
  for (WorkerState *Worker : Among) {
    if (!Claim.fitsInto(Worker->room()) || Worker->Runs.contains(Task) ||
        (!Step.RequiredLabel.empty() &&
         !Worker->hasLabel(Step.RequiredLabel)) ||
        (Step.MaxPerWorker > 0 &&
         sameStep(*Worker, Task) >= Step.MaxPerWorker) ||
        (Which.Policy && Permits.find(stepOf(Task), Worker->Record.Life,
                                      PermitUntil) == nullptr)) {
      continue;
    }
    double Score = fitness(*Worker, Step);
    if (Failed != LastFailedOn.end() &&
        Failed->second == Worker->Record.Life.Id) {
      Score -= FailedTherePenalty;
    }
    if (Best == nullptr || Score > BestScore) {
      Best = Worker;
      BestScore = Score;
    }
  }
  return Best;
}

void Dispatcher::propose(const Candidate &Which, unsigned Index,
                         WorkerState &Worker, std::uint32_t Run) {
  const TaskRef Task = Which.task(Index);
  RunState State;
  State.Run = Run;
  State.PlacedBorn = Worker.Record.Life.Born;
  State.Claim = claimOf(Which.spec());
  State.Lasting = Which.spec().Lasting;
  State.Filler = Which.spec().Filler;
  State.TailObjective = Which.spec().TailObjective;
  if (const std::string *Ticket =
          Permits.find(stepOf(Task), Worker.Record.Life, Time.now())) {
    State.Ticket = *Ticket;
  }
  Worker.Claimed += State.Claim;
  Worker.Runs[Task] = State;
  Proposed.insert(Task);
  Events.emplace_back(jobs::TaskPlaced{Task, Run, Worker.Record.Life});
}

} // namespace balsamlatch::dispatch
