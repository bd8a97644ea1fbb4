/// \file
/// The course of maintenance waves.

#include "balsamlatch/Dispatch/HostKeeper.h"

#include "HostViews.h"

#include <algorithm>

namespace balsamlatch::dispatch {

namespace {

/// How long a host takes work again after a drain that led to nothing.
constexpr Duration DrainPause = std::chrono::seconds(3);
/// What a host takes from its drain to its return, as long as nothing is known
/// of the wave's hosts.
constexpr Duration UsualTurn = std::chrono::seconds(6);

/// What a worker reported longer ago may have changed: reports of workers with
/// runs are at most a hold's wait apart.
constexpr Duration ReportTrust = std::chrono::milliseconds(2000);

bool atWork(const RunState &Run) {
  constexpr unsigned Whole = 100;
  return Run.Phase == RunPhase::Running && !Run.StopWanted &&
         Run.Percent >= Whole;
}

/// Whether the run may have begun its work since the worker's last report.
bool mayBeAtWork(const RunState &Run) {
  return Run.Phase != RunPhase::Ending && !Run.StopWanted;
}

/// The run of a task on a worker that stays and was heard of lately; null when
/// there is none.
const RunState *runOf(const TaskRef &Task, const jobs::TaskRecord &Record,
                      const Dispatcher &Workers) {
  const auto Worker = Workers.workers().find(Record.Worker.Id);
  if (Worker == Workers.workers().end() || Worker->second.Leaving ||
      Worker->second.Silent ||
      Workers.now() - Worker->second.LastReportAt > ReportTrust) {
    return nullptr;
  }
  const auto Run = Worker->second.Runs.find(Task);
  return Run == Worker->second.Runs.end() ? nullptr : &Run->second;
}

unsigned awayOfStep(const jobs::Job &Owner, const StepRef &Of,
                    const Dispatcher &Workers) {
  const unsigned Count = Owner.spec().Steps[Of.Step].Count;
  unsigned Away = 0;
  for (unsigned Index = 0; Index < Count; ++Index) {
    const TaskRef Task{Of.Job, Of.Occurrence, Of.Step, Index};
    const jobs::TaskRecord *Record = Owner.find(Task);
    const RunState *Run =
        Record == nullptr ? nullptr : runOf(Task, *Record, Workers);
    Away += Run != nullptr && atWork(*Run) ? 0 : 1;
  }
  return Away;
}

/// Whether no work that would end by itself is cut off.
bool endsNothing(const WorkerState *Worker) {
  return Worker == nullptr ||
         std::all_of(Worker->Runs.begin(), Worker->Runs.end(),
                     [](const auto &Run) { return Run.second.Lasting; });
}

} // namespace

std::optional<TaskRef> taskToMove(const WorkerState &Worker,
                                  const Dispatcher &Workers,
                                  const jobs::JobBook &Jobs) {
  for (const auto &[Task, Run] : Worker.Runs) {
    const jobs::Job *Owner = Jobs.find(Task.Job);
    if (Owner == nullptr || !Owner->open() || !Run.Lasting || !atWork(Run)) {
      continue;
    }
    const unsigned Allowed = Owner->spec().Steps[Task.Step].MaxUnavailable;
    if (Allowed == 0 || awayOfStep(*Owner, stepOf(Task), Workers) < Allowed) {
      return Task;
    }
  }
  return std::nullopt;
}

bool mayTakeAway(const WorkerState &Worker, const Dispatcher &Workers,
                 const jobs::JobBook &Jobs) {
  // Tasks at work here, by step; those that are not known to be count as away
  // already.
  std::map<StepRef, unsigned> Taken;
  for (const auto &[Task, Run] : Worker.Runs) {
    const jobs::Job *Owner = Jobs.find(Task.Job);
    if (Owner != nullptr && Owner->open() && Run.Lasting && mayBeAtWork(Run) &&
        Owner->spec().Steps[Task.Step].MaxUnavailable > 0) {
      Taken[stepOf(Task)] += atWork(Run) ? 1 : 0;
    }
  }
  return std::all_of(Taken.begin(), Taken.end(), [&](const auto &Each) {
    const jobs::Job *Owner = Jobs.find(Each.first.Job);
    return awayOfStep(*Owner, Each.first, Workers) + Each.second <=
           Owner->spec().Steps[Each.first.Step].MaxUnavailable;
  });
}

HostKeeper::HostKeeper(const Clock &TimeSource, HostKeeperOptions Options,
                       LogSink &Sink)
    : Time(TimeSource), Settings(Options), Log(Sink), Pools(Options.Pools) {}

void HostKeeper::begin() {
  TermBegan = Time.now();
  Hosts.clear();
  Waves.clear();
  Ordered.clear();
  Unsettled.clear();
  Moving.clear();
  DrainingForMove.clear();
  Pools.reset();
  EarlierKnown = false;
  EarlierOrders.clear();
  OrderedAt.clear();
}

void HostKeeper::setEarlierOrders(std::set<HostName> Names) {
  EarlierOrders = std::move(Names);
  EarlierKnown = true;
}

std::set<HostName> HostKeeper::recentOrders() const {
  std::set<HostName> Recent;
  for (const auto &[Name, At] : OrderedAt) {
    if (Time.now() - At < Settings.SettleTime) {
      Recent.insert(Name);
    }
  }
  // Until they are settled they matter to the next holder, too.
  if (Time.now() - TermBegan < Settings.SettleTime) {
    Recent.insert(EarlierOrders.begin(), EarlierOrders.end());
  }
  return Recent;
}

bool HostKeeper::settling(const HostName &Name) const {
  return EarlierOrders.contains(Name) &&
         Time.now() - TermBegan < Settings.SettleTime;
}

bool HostKeeper::busy() const {
  return !Waves.empty() || !Ordered.empty() || !Unsettled.empty() ||
         !Moving.empty();
}

void HostKeeper::setHosts(std::vector<HostRecord> Now, Dispatcher &Workers) {
  Hosts.clear();
  std::set<std::string> WorkerIds;
  for (HostRecord &Host : Now) {
    if (Host.Status != HostStatus::Down) {
      WorkerIds.insert(Host.WorkerId);
    }
    HostName Name = Host.Name;
    Hosts.emplace(std::move(Name), std::move(Host));
  }
  settle(Workers);
  Workers.setHostedWorkers(WorkerIds);
}

void HostKeeper::addWave(const WaveRequest &Request, Duration UnderWay) {
  if (Waves.contains(Request.Number)) {
    return;
  }
  Wave &New = Waves[Request.Number];
  New.Request = Request;
  New.Since = Time.now() - UnderWay;
  Log.write(LogLevel::Info, "wave-begun",
            {{"wave", Request.Number},
             {"hosts", Request.Hosts.size()},
             {"at_once", Request.MaxAway}});
}

const HostRecord *HostKeeper::find(const HostName &Name) const {
  const auto Found = Hosts.find(Name);
  return Found == Hosts.end() ? nullptr : &Found->second;
}

std::vector<HostDecision> HostKeeper::decide(Dispatcher &Workers,
                                             const jobs::JobBook &Jobs,
                                             const Deployment &Config) {
  std::vector<HostDecision> Decisions;
  if (Hosts.empty() || !EarlierKnown) {
    return Decisions;
  }
  for (auto &[Number, Which] : Waves) {
    decideWave(Which, Workers, Jobs, Decisions);
  }
  decideMoves(Workers, Jobs, Config, Decisions);
  return Decisions;
}

void HostKeeper::give(HostOrder Order, Dispatcher &Workers,
                      std::vector<HostDecision> &Into) {
  Workers.setLeaving(Order.WorkerId, true);
  Ordered[Order.Host] = Order;
  OrderedAt[Order.Host] = Time.now();
  Into.emplace_back(std::move(Order));
}

unsigned HostKeeper::away(const Wave &Which) const {
  const Instant Now = Time.now();
  unsigned Count = 0;
  for (const HostName &Name : Which.Request.Hosts) {
    const HostRecord *Host = find(Name);
    const auto Began = Which.Away.find(Name);
    const bool Recent =
        Began != Which.Away.end() &&
        Now - Began->second < Settings.MaintenanceTime + ReturnMargin;
    const bool Listed =
        Host != nullptr && Host->Status == HostStatus::Maintenance;
    const bool Open = Ordered.contains(Name) || Unsettled.contains(Name);
    Count += Open || Recent || Listed ? 1 : 0;
  }
  return Count;
}

unsigned HostKeeper::drainsWanted(const Wave &Which, std::size_t Left) const {
  const Duration Allowed =
      Which.Request.TimeAllowed * (100 - Settings.WaveSparePercent) / 100;
  const Duration Rest =
      std::max<Duration>(UsualTurn, Allowed - (Time.now() - Which.Since));
  const auto Turns = static_cast<std::size_t>(Rest / UsualTurn);
  return static_cast<unsigned>((Left + Turns - 1) / Turns);
}

void HostKeeper::decideWave(Wave &Which, Dispatcher &Workers,
                            const jobs::JobBook &Jobs,
                            std::vector<HostDecision> &Into) {
  const Instant Now = Time.now();
  std::vector<const HostRecord *> Open;
  std::size_t Left = 0;
  for (const HostName &Name : Which.Request.Hosts) {
    const HostRecord *Host = find(Name);
    if (Host == nullptr || Which.Done.contains(Name)) {
      continue; // a host that is gone needs no maintenance
    }
    ++Left;
    if (Host->Status == HostStatus::Up && !Ordered.contains(Name) &&
        !Unsettled.contains(Name) && !Moving.contains(Name) &&
        !settling(Name)) {
      Open.push_back(Host);
    }
  }
  if (Left == 0) {
    Into.emplace_back(WaveCompleted{Which.Request.Number});
    return;
  }
  std::stable_sort(Open.begin(), Open.end(),
                   [&](const HostRecord *A, const HostRecord *B) {
                     const bool Drains[] = {Which.Draining.contains(A->Name),
                                            Which.Draining.contains(B->Name)};
                     return Drains[0] != Drains[1]
                                ? Drains[0]
                                : usedOf(*A, Workers) < usedOf(*B, Workers);
                   });
  unsigned Away = away(Which);
  const unsigned Wanted =
      std::min(drainsWanted(Which, Left), Which.Request.MaxAway);
  for (const HostRecord *Host : Open) {
    const WorkerState *Worker = workerOf(*Host, Workers);
    const auto Draining = Which.Draining.find(Host->Name);
    const bool Overdue = Draining != Which.Draining.end() &&
                         Now - Draining->second > Settings.DrainLimit;
    const bool Allowed =
        Worker == nullptr || mayTakeAway(*Worker, Workers, Jobs);
    if (Away < Which.Request.MaxAway && Allowed &&
        (endsNothing(Worker) || Overdue)) {
      give({Host->Name, Host->WorkerId, Which.Request.Number, {}}, Workers,
           Into);
      ++Away;
      continue;
    }
    if (!Allowed && Draining != Which.Draining.end()) {
      // Its lasting tasks start elsewhere one after the other.
      if (const auto Task = taskToMove(*Worker, Workers, Jobs)) {
        Workers.moveRun(Host->WorkerId, *Task);
      }
    }
    if (Overdue && !Allowed) {
      // Its lasting work may need this very host to be whole again.
      Workers.setCordoned(Host->WorkerId, false);
      Which.Draining.erase(Draining);
      Which.NoDrainBefore[Host->Name] = Now + DrainPause;
      continue;
    }
    if (Draining == Which.Draining.end() && Which.Draining.size() < Wanted &&
        Now >= Which.NoDrainBefore[Host->Name]) {
      Which.Draining[Host->Name] = Now;
      Workers.setCordoned(Host->WorkerId, true);
    }
  }
}

void HostKeeper::answered(const HostOrder &Order, bool Taken) {
  Ordered.erase(Order.Host);
  Unsettled[Order.Host] = {Order, Taken};
}

void HostKeeper::settle(Dispatcher &Workers) {
  for (const auto &[Name, Answer] : std::exchange(Unsettled, {})) {
    const auto &[Order, Taken] = Answer;
    const HostRecord *Host = find(Name);
    const bool Gone = Host == nullptr || Host->Status != HostStatus::Up ||
                      Host->WorkerId != Order.WorkerId;
    if (Gone) {
      Workers.hostTaken(Order.WorkerId);
    } else {
      Workers.setLeaving(Order.WorkerId, false);
      Moving.erase(Name);
    }
    if (const auto Found = Waves.find(Order.Wave); Found != Waves.end()) {
      Found->second.Draining.erase(Name);
      if (Gone) {
        Found->second.Away[Name] = Time.now();
      }
      if (Gone || Taken) {
        Found->second.Done.insert(Name);
      }
    }
    Log.write(LogLevel::Info, "host-order-settled",
              {{"host", Name.Text},
               {"wave", Order.Wave},
               {"to", Order.MoveTo.Text},
               {"taken", Taken},
               {"away", Gone}});
  }
}

void HostKeeper::refused(const HostOrder &Order, Dispatcher &Workers) {
  Ordered.erase(Order.Host);
  Moving.erase(Order.Host);
  if (const auto Found = Waves.find(Order.Wave); Found != Waves.end()) {
    Found->second.Draining.erase(Order.Host);
  }
  Workers.setLeaving(Order.WorkerId, false);
}

void HostKeeper::addDone(std::uint64_t Number,
                         const std::vector<HostName> &Names) {
  const auto Found = Waves.find(Number);
  if (Found != Waves.end()) {
    Found->second.Done.insert(Names.begin(), Names.end());
  }
}

std::vector<HostName> HostKeeper::done(std::uint64_t Number) const {
  const auto Found = Waves.find(Number);
  return Found == Waves.end()
             ? std::vector<HostName>()
             : std::vector<HostName>(Found->second.Done.begin(),
                                     Found->second.Done.end());
}

} // namespace balsamlatch::dispatch
