/// \file
/// The events of the trace, the callers' ends, and the figures.

#include "World.h"

#include <algorithm>

namespace balsamlatch::replay {

namespace {

using namespace placement;

constexpr Duration FromCaller = std::chrono::milliseconds(3);
constexpr Duration ReportPeriod = std::chrono::seconds(1);
/// Requests end by their deadlines; what is open this long after the last
/// line and the longest deadline is lost.
constexpr Duration EndGrace = std::chrono::seconds(10);
constexpr std::int64_t PerMille = 1000;
constexpr std::int64_t SlotMicrosPerMilliHostHour = 8LL * 3'600'000'000 / 1000;

bool isLate(Reason Why) {
  return Why == Reason::DeadlinePassed || Why == Reason::DeadlineUnreachable ||
         Why == Reason::QueueFull;
}

} // namespace

World::World(const std::vector<TraceLine> &Given, RuleSetPtr InForce,
             const ReplayOptions &Settings)
    : Lines(Given), Rules(std::move(InForce)), Options(Settings),
      Rng(Settings.Seed), Store(Time) {}

Report World::run() {
  LinesLeft = Lines.size();
  Instant Last{};
  for (const TraceLine &Line : Lines) {
    Duration Allowed{};
    if (const auto *A = std::get_if<TraceArrival>(&Line.What)) {
      const JobRule *Rule = Rules->job(A->Job);
      Allowed =
          A->TimeLeft.value_or(Rule == nullptr ? Duration() : Rule->Deadline);
    }
    Last = std::max(Last, Line.At + Allowed);
    Time.at(Line.At, [this, &Line] {
      --LinesLeft;
      std::visit([this](const auto &What) { happen(What); }, Line.What);
    });
  }
  reportWorkers();
  while (!over() && Time.now() < Last + EndGrace && Time.run()) {
  }
  // Late messages and runs that went on may still break a promise.
  const Instant Until = Time.now() + EndGrace;
  while (Time.now() < Until && Time.run()) {
  }
  summarize();
  return std::move(Result);
}

bool World::over() const { return LinesLeft == 0 && OpenCallers == 0; }

void World::happen(const TraceEntry &What) {
  if (!Entries.contains(What.Entry)) {
    startEntry(What.Entry);
  }
}

void World::happen(const TraceWorker &What) {
  countIdle();
  const HostName &Host = What.View.Host;
  std::unique_ptr<FakeWorker> &Worker = Workers[Host];
  if (Worker == nullptr) {
    const PoolRule *Pool = Rules->pool(What.View.Pool);
    Worker = std::make_unique<FakeWorker>(
        What.View, Pool == nullptr ? TaskSize() : Pool->WorkerSize, Time,
        [this] { countIdle(); });
  } else {
    Result.Moves += Worker->view().Pool == What.View.Pool ? 0 : 1;
    Worker->setPool(What.View.Pool);
  }
  Worker->setDraining(false);
  LeavingHosts.erase(Host);
  note(Leaving{Host, false});
  publishWorkers();
  countAway();
}

void World::happen(const TraceLeaving &What) {
  LeavingHosts.insert(What.Host);
  note(Leaving{What.Host, true});
  publishWorkers();
  countAway();
}

void World::happen(const TraceArrival &What) {
  CallerRecord &Caller = Callers[What.Id];
  Caller.What = What;
  Caller.Rule = Rules->job(What.Job);
  Caller.At = Time.now();
  const std::string Identity = What.IdempotencyKey.empty()
                                   ? What.Id.Text
                                   : What.Team.Text + '\n' + What.Job.Text +
                                         '\n' + What.IdempotencyKey + '\n' +
                                         What.BodyDigest;
  const bool Idempotent = Caller.Rule != nullptr && Caller.Rule->Idempotent;
  note(Asked{What.Id, Identity, Idempotent,
             What.TimeLeft.value_or(
                 Caller.Rule == nullptr ? Duration() : Caller.Rule->Deadline)});
  ++resultOf(Caller).Arrived;
  ++OpenCallers;
  const EntryName Through =
      What.Entry.empty() || !Entries[What.Entry].Alive ? balance() : What.Entry;
  if (Through.empty()) {
    endCaller(What.Id, Outcome::NotRun, Reason::Stopping, {});
    return;
  }
  Caller.Entry = Through;
  EntryProcess &E = Entries[Through];
  E.Open.insert(What.Id);
  const Request Asking{
      What.Id,        What.Job, What.Team, What.TimeLeft, What.IdempotencyKey,
      What.BodyDigest};
  Time.after(FromCaller, [this, Through, Life = E.Incarnation, Asking] {
    deliver(Through, Life, RequestArrived{Asking});
  });
}

void World::happen(const TraceCancel &What) {
  const auto Found = Callers.find(What.Id);
  if (Found == Callers.end() || Found->second.Ended) {
    return;
  }
  Found->second.CancelAsked = true;
  const EntryProcess &E = Entries[Found->second.Entry];
  Time.after(FromCaller,
             [this, To = E.Name, Life = E.Incarnation, Id = What.Id] {
               deliver(To, Life, RequestCancelled{Id});
             });
}

EntryName World::balance() {
  std::vector<EntryName> Ready;
  for (const auto &[Name, E] : Entries) {
    if (E.Alive && !E.Stopping) {
      Ready.push_back(Name);
    }
  }
  return Ready.empty() ? EntryName() : Ready[Rng() % Ready.size()];
}

void World::happen(const TraceFault &What) {
  const EntryName Entry(What.Subject);
  switch (What.Kind) {
  case FaultKind::WorkerCrash:
    return workerFault(What, WorkerMode::Down);
  case FaultKind::WorkerFailsAll:
    return workerFault(What, WorkerMode::FailsAll);
  case FaultKind::WorkerRefusesAll:
    return workerFault(What, WorkerMode::RefusesAll);
  case FaultKind::WorkerHangs:
    return workerFault(What, WorkerMode::Hangs);
  case FaultKind::WorkerSlow:
    return workerFault(What, WorkerMode::Slow);
  case FaultKind::StoreDown:
    return storeFault(What, StoreMode::Down);
  case FaultKind::StoreLosesAnswers:
    return storeFault(What, StoreMode::LosesAnswers);
  case FaultKind::StoreSlow:
    return storeFault(What, StoreMode::Slow);
  case FaultKind::JobFails:
    FailingJobs.insert(JobName(What.Subject));
    Time.after(What.For,
               [this, What] { FailingJobs.erase(JobName(What.Subject)); });
    return;
  case FaultKind::EntryCrash:
    return crashEntry(Entry, What.For);
  case FaultKind::EntryStop:
    return stopEntry(Entry, What.For);
  case FaultKind::EntryPause:
    Entries[Entry].PauseNext = What.For;
    return;
  case FaultKind::EntryCut:
    Entries[Entry].Cut = true;
    Time.after(What.For, [this, Entry] { Entries[Entry].Cut = false; });
    return;
  }
}

void World::workerFault(const TraceFault &What, WorkerMode Mode) {
  const auto Found = Workers.find(HostName(What.Subject));
  if (Found == Workers.end()) {
    return;
  }
  countIdle();
  FakeWorker *Worker = Found->second.get();
  Worker->setMode(Mode, What.Factor);
  Time.after(What.For, [this, Worker, Mode] {
    if (Worker->mode() == Mode) {
      countIdle();
      Worker->setMode(WorkerMode::Sound, 1);
      countAway();
    }
  });
  countAway();
}

void World::storeFault(const TraceFault &What, StoreMode Mode) {
  Store.setMode(Mode);
  Time.after(What.For, [this] { Store.setMode(StoreMode::Sound); });
}

void World::reportWorkers() {
  for (const auto &[Host, Worker] : Workers) {
    if (Worker->mode() != WorkerMode::Down) {
      broadcast(WorkerReported{Host, Worker->report()}, ReportPeriod);
    }
  }
  if (!over()) {
    Time.after(ReportPeriod, [this] { reportWorkers(); });
  }
}

ClassResult &World::resultOf(const CallerRecord &Caller) {
  const bool Patient =
      Caller.Rule != nullptr && Caller.Rule->Class == JobClass::Patient;
  return Patient ? Result.Patient : Result.Prompt;
}

void World::endCaller(const RequestId &Id, Outcome End, Reason Why,
                      const RequestId &AnswerOf) {
  note(Ended{Id, End, AnswerOf, true});
  CallerRecord &Caller = Callers.at(Id);
  if (Caller.Ended) {
    return;
  }
  Caller.Ended = true;
  --OpenCallers;
  countEnd(Caller, End, Why);
}

void World::countEnd(CallerRecord &Caller, Outcome End, Reason Why) {
  ++Result.EndsByReason[reasonCode(Why)];
  ClassResult &Count = resultOf(Caller);
  if (End == Outcome::Answered) {
    ++Count.Answered;
    const bool Patient = &Count == &Result.Patient;
    Waits[Patient ? 1 : 0].push_back((Time.now() - Caller.At).count());
  } else if (Caller.CancelAsked) {
    ++Count.Cancelled;
  } else if (isLate(Why)) {
    ++Count.Late;
    ++Result.LateByJob[Caller.What.Job];
  } else if (End == Outcome::NotRun) {
    ++Count.RefusedNotRun;
  } else {
    ++Count.Unknown;
  }
}

/// Adds the slot time since the last change of any worker's use.
void World::countIdle() {
  const std::int64_t Passed = (Time.now() - IdleCountedAt).count();
  IdleCountedAt = Time.now();
  if (Passed == 0) {
    return;
  }
  for (const auto &[Host, Worker] : Workers) {
    const std::uint32_t Slots = Worker->view().Slots;
    const std::uint32_t Idle =
        Worker->mode() == WorkerMode::Down ? 0 : Slots - Worker->slotsInUse();
    SlotMicros[Worker->view().Pool] += Passed * Slots;
    IdleMicros[Worker->view().Pool] += Passed * Idle;
  }
}

void World::countAway() {
  std::map<PoolName, std::uint32_t> Away;
  std::map<PoolName, std::uint32_t> Members;
  for (const auto &[Host, Worker] : Workers) {
    ++Members[Worker->view().Pool];
    const bool Gone =
        Worker->mode() == WorkerMode::Down || LeavingHosts.contains(Host);
    Away[Worker->view().Pool] += Gone ? 1 : 0;
  }
  for (const auto &[Pool, Count] : Away) {
    PoolResult &Of = Result.Pools[Pool];
    Of.MaxAway = std::max(Of.MaxAway, Count);
    const PoolRule *Rule = Rules->pool(Pool);
    Of.AwayBudget = Rule == nullptr ? 0 : Rule->Away.allowed(Members[Pool]);
  }
}

void World::summarize() {
  countIdle();
  for (auto &[Id, Caller] : Callers) {
    resultOf(Caller).Lost += Caller.Ended ? 0 : 1;
  }
  std::int64_t AllIdle = 0;
  for (const auto &[Pool, Micros] : SlotMicros) {
    AllIdle += IdleMicros[Pool];
    Result.Pools[Pool].IdlePerMille = static_cast<std::uint64_t>(
        IdleMicros[Pool] * PerMille / std::max<std::int64_t>(1, Micros));
  }
  Result.BufferMilliHostHours =
      static_cast<std::uint64_t>(AllIdle / SlotMicrosPerMilliHostHour);
  Result.Breaches = checkPromises(Past);
  for (const Breach &Broken : Result.Breaches) {
    Result.Repeated += Broken.Which == Promise::AtMostOnce ? 1 : 0;
    Result.Crossed += Broken.Which == Promise::OwnAnswer ? 1 : 0;
  }
  for (int Class = 0; Class < 2; ++Class) {
    std::sort(Waits[Class].begin(), Waits[Class].end());
    if (Waits[Class].empty()) {
      continue;
    }
    ClassResult &Of = Class == 0 ? Result.Prompt : Result.Patient;
    Of.MedianWaitMicros = Waits[Class][Waits[Class].size() / 2];
    Of.SlowestPercentMicros = Waits[Class][Waits[Class].size() * 99 / 100];
  }
}

Report replay(const std::vector<TraceLine> &Lines, RuleSetPtr Rules,
              const ReplayOptions &Options) {
  return World(Lines, std::move(Rules), Options).run();
}

} // namespace balsamlatch::replay
