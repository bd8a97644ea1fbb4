/// \file
/// The course of maintenance waves.

#include "balsamlatch/Dispatch/HostKeeper.h"

#include <algorithm>

namespace balsamlatch::dispatch {

namespace {

/// After an order a host counts as away for its maintenance and this.
constexpr Duration ReturnMargin = std::chrono::milliseconds(700);
/// What a host takes from its drain to its return, as long as nothing is known
/// of the wave's hosts.
constexpr Duration UsualTurn = std::chrono::seconds(6);

bool atWork(const RunState &Run) {
  constexpr unsigned Whole = 100;
  return Run.Phase == RunPhase::Running && !Run.StopWanted &&
         Run.Percent >= Whole;
}

/// The run of a task, wherever it is; null when there is none.
const RunState *runOf(const TaskRef &Task, const jobs::TaskRecord &Record,
                      const Dispatcher &Workers) {
  const auto Worker = Workers.workers().find(Record.Worker.Id);
  if (Worker == Workers.workers().end()) {
    return nullptr;
  }
  const auto Run = Worker->second.Runs.find(Task);
  return Run == Worker->second.Runs.end() ? nullptr : &Run->second;
}

unsigned awayOfStep(const jobs::Job &Owner, const TaskRef &Of,
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

} // namespace

bool mayTakeAway(const WorkerState &Worker, const Dispatcher &Workers,
                 const jobs::JobBook &Jobs) {
  std::map<std::tuple<JobId, unsigned, unsigned>, unsigned> Taken;
  for (const auto &[Task, Run] : Worker.Runs) {
    const jobs::Job *Owner = Jobs.find(Task.Job);
    if (Owner == nullptr || !Owner->open() || !Run.Lasting) {
      continue;
    }
    const unsigned Allowed = Owner->spec().Steps[Task.Step].MaxUnavailable;
    if (Allowed == 0 || !atWork(Run)) {
      continue;
    }
    const unsigned Here = ++Taken[{Task.Job, Task.Occurrence, Task.Step}];
    if (awayOfStep(*Owner, Task, Workers) + Here > Allowed) {
      return false;
    }
  }
  return true;
}

HostKeeper::HostKeeper(const Clock &TimeSource, HostKeeperOptions Options,
                       LogSink &Sink)
    : Time(TimeSource), Settings(Options), Log(Sink) {}

void HostKeeper::begin() {
  TermBegan = Time.now();
  Hosts.clear();
  Waves.clear();
}

void HostKeeper::setHosts(std::vector<HostRecord> Now, Dispatcher &Workers) {
  Hosts.clear();
  for (HostRecord &Host : Now) {
    HostName Name = Host.Name;
    Hosts.emplace(std::move(Name), std::move(Host));
  }
  for (auto &[Number, Which] : Waves) {
    settle(Which, Workers);
  }
}

void HostKeeper::addWave(const WaveRequest &Request) {
  if (Waves.contains(Request.Number)) {
    return;
  }
  Wave &New = Waves[Request.Number];
  New.Request = Request;
  New.Since = Time.now();
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
                                             const jobs::JobBook &Jobs) {
  std::vector<HostDecision> Decisions;
  if (Hosts.empty() || Time.now() - TermBegan < Settings.SettleTime) {
    return Decisions;
  }
  for (auto &[Number, Which] : Waves) {
    decideWave(Which, Workers, Jobs, Decisions);
  }
  return Decisions;
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
    Count += Which.Ordered.contains(Name) || Recent || Listed ? 1 : 0;
  }
  return Count;
}

unsigned HostKeeper::drainsWanted(const Wave &Which, std::size_t Left) const {
  const Duration Allowed = Which.Request.TimeAllowed *
                           (100 - Settings.WaveSparePercent) / 100;
  const Duration Rest = std::max<Duration>(
      UsualTurn, Allowed - (Time.now() - Which.Since));
  const auto Turns = static_cast<std::size_t>(Rest / UsualTurn);
  return static_cast<unsigned>((Left + Turns - 1) / Turns);
}

bool HostKeeper::vacant(const HostRecord &Host,
                        const Dispatcher &Workers) const {
  const auto Found = Workers.workers().find(Host.WorkerId);
  return Found == Workers.workers().end() ||
         std::all_of(Found->second.Runs.begin(), Found->second.Runs.end(),
                     [](const auto &Run) { return Run.second.Lasting; });
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
    if (!Which.Ordered.contains(Name) && Host->Status == HostStatus::Up) {
      Open.push_back(Host);
    }
  }
  if (Left == 0) {
    Into.emplace_back(WaveCompleted{Which.Request.Number});
    return;
  }
  const auto Used = [&](const HostRecord *Host) {
    const auto Found = Workers.workers().find(Host->WorkerId);
    return Found == Workers.workers().end()
               ? 0
               : Found->second.Claimed.CpuMilli;
  };
  std::stable_sort(Open.begin(), Open.end(),
                   [&](const HostRecord *A, const HostRecord *B) {
                     const bool Drains[] = {Which.Draining.contains(A->Name),
                                            Which.Draining.contains(B->Name)};
                     return Drains[0] != Drains[1] ? Drains[0]
                                                   : Used(A) < Used(B);
                   });
  unsigned Away = away(Which);
  const unsigned Wanted =
      std::min(drainsWanted(Which, Left), Which.Request.MaxAway);
  for (const HostRecord *Host : Open) {
    const auto Worker = Workers.workers().find(Host->WorkerId);
    const bool Known = Worker != Workers.workers().end();
    const auto Draining = Which.Draining.find(Host->Name);
    const bool Overdue = Draining != Which.Draining.end() &&
                         Now - Draining->second > Settings.DrainLimit;
    const bool Allowed =
        !Known || mayTakeAway(Worker->second, Workers, Jobs);
    if (Away < Which.Request.MaxAway && Allowed &&
        (vacant(*Host, Workers) || Overdue)) {
      ++Away;
      Which.Ordered.insert(Host->Name);
      Workers.setCordoned(Host->WorkerId, true);
      Into.emplace_back(
          MaintainHost{Host->Name, Host->WorkerId, Which.Request.Number});
      return; // the next decision sees what this one takes away
    }
    if (Draining == Which.Draining.end() && Which.Draining.size() < Wanted) {
      Which.Draining[Host->Name] = Now;
      Workers.setCordoned(Host->WorkerId, true);
    }
  }
}

void HostKeeper::answered(const MaintainHost &Order, bool Taken) {
  const auto Found = Waves.find(Order.Wave);
  if (Found != Waves.end()) {
    Found->second.Unsettled[Order.Host] = {Order, Taken};
  }
}

void HostKeeper::settle(Wave &Which, Dispatcher &Workers) {
  for (const auto &[Name, Answer] : std::exchange(Which.Unsettled, {})) {
    const auto &[Order, Taken] = Answer;
    const HostRecord *Host = find(Name);
    const bool Gone = Host == nullptr || Host->Status != HostStatus::Up ||
                      Host->WorkerId != Order.WorkerId;
    Which.Ordered.erase(Name);
    Which.Draining.erase(Name);
    if (Gone) {
      Workers.hostTaken(Order.WorkerId);
      Which.Away[Name] = Time.now();
    } else {
      Workers.setCordoned(Order.WorkerId, false);
    }
    if (Gone || Taken) {
      Which.Done.insert(Name);
    }
    Log.write(LogLevel::Info, "host-order-settled",
              {{"host", Name.Text},
               {"wave", Order.Wave},
               {"taken", Taken},
               {"away", Gone}});
  }
}

void HostKeeper::refused(const MaintainHost &Order, Dispatcher &Workers) {
  const auto Found = Waves.find(Order.Wave);
  if (Found != Waves.end()) {
    Found->second.Ordered.erase(Order.Host);
    Found->second.Draining.erase(Order.Host);
  }
  Workers.setCordoned(Order.WorkerId, false);
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
  return Found == Waves.end() ? std::vector<HostName>()
                              : std::vector<HostName>(
                                    Found->second.Done.begin(),
                                    Found->second.Done.end());
}

} // namespace balsamlatch::dispatch
