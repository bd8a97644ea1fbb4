/// \file
/// Delivers messages over simulated time; batches pass through their codec.

#include "CarrierSimulation.h"

#include <fmt/format.h>

namespace balsamlatch::control::test {

using namespace std::chrono_literals;
using dispatch::OrderOutcome;
using dispatch::OrderReply;
using dispatch::RenewReport;

namespace {

constexpr Duration NetworkDelay = 1ms;
constexpr Duration FlushDelay = 2ms;
constexpr Duration LeaderTickPeriod = 10ms;
constexpr Duration JournalDelay = 5ms;
constexpr Duration WorkerStep = 5ms;
constexpr Duration HostListPeriod = 1s;
/// Time from the end of a worker to its next start.
constexpr Duration RestartTime = 150ms;
/// Leaders and carriers learn of a closed connection after this time.
constexpr Duration RefusalDelay = 2ms;

using AnyReply = std::function<void(OrderReply, RenewReport)>;

} // namespace

/// Sends orders from an entry, or from a leader.
class CarrierSimulation::Port final : public WorkerPort {
public:
  /// \p Index is unset for the leader of \p Term.
  Port(CarrierSimulation &Simulation, std::optional<unsigned> Index,
       std::uint64_t Term = 0)
      : Sim(Simulation), EntryIndex(Index), LeaderTerm(Term) {}

  void renew(const dispatch::RenewOrder &Order,
             RenewCallback Callback) override {
    send(Order, Order.Worker.ReplyTimeout + Order.Wait,
         [Callback = std::move(Callback)](const OrderReply &Reply,
                                          const RenewReport &Report) {
           Callback(Reply.Outcome, Report);
         });
  }
  void start(const dispatch::StartOrder &Order,
             ReplyCallback Callback) override {
    send(Order, Order.Worker.ReplyTimeout, withoutReport(std::move(Callback)));
  }
  void stop(const dispatch::StopOrder &Order, ReplyCallback Callback) override {
    send(Order, Order.Worker.ReplyTimeout, withoutReport(std::move(Callback)));
  }
  void pace(const dispatch::PaceOrder &Order, ReplyCallback Callback) override {
    send(Order, Order.Worker.ReplyTimeout, withoutReport(std::move(Callback)));
  }

private:
  static AnyReply withoutReport(ReplyCallback Callback) {
    return [Callback = std::move(Callback)](const OrderReply &Reply,
                                            const RenewReport &) {
      Callback(Reply);
    };
  }

  void send(const dispatch::WorkerOrder &Order, Duration Timeout,
            AnyReply Callback) {
    auto IsOpen = std::make_shared<bool>(true);
    const AnyReply Finish =
        [IsOpen, Callback = std::move(Callback)](const OrderReply &Reply,
                                                 const RenewReport &Report) {
          if (std::exchange(*IsOpen, false)) {
            Callback(Reply, Report);
          }
        };
    const AnyReply Reply = [this, Finish](const OrderReply &Received,
                                          const RenewReport &Report) {
      receive(NetworkDelay,
              [Finish, Received, Report] { Finish(Received, Report); });
    };
    receive(Timeout, [Finish] { Finish({OrderOutcome::Unknown}, {}); });
    Duration Delay = NetworkDelay;
    bool IsCut = false;
    if (EntryIndex) {
      Delay += Sim.Entries[*EntryIndex].ExtraDelay;
      IsCut = Sim.Entries[*EntryIndex].IsCutFromWorkers;
    } else {
      Sim.DirectOrders +=
          Sim.isDown(dispatch::workerOf(Order).WorkerId) ? 0 : 1;
      ++Sim.LeaderCalls[toMilliseconds(Sim.Time.now().time_since_epoch()) /
                        1000];
    }
    Sim.callWorker(Order, Delay, IsCut, Reply);
  }

  /// Runs the action later; a paused process runs it once it goes on.
  void receive(Duration Delay, std::function<void()> Action) {
    if (EntryIndex) {
      Sim.scheduleForEntry(*EntryIndex, Delay,
                           [Action = std::move(Action)](Entry &) { Action(); });
    } else {
      Sim.scheduleForLeader(
          Delay, LeaderTerm,
          [Action = std::move(Action)](Leader &) { Action(); });
    }
  }

  CarrierSimulation &Sim;
  const std::optional<unsigned> EntryIndex;
  const std::uint64_t LeaderTerm;
};

CarrierSimulation::CarrierSimulation(unsigned WorkerCount, unsigned EntryCount,
                                     std::uint64_t Seed)
    : Random(Seed) {
  Config->Version = 1;
  dispatch::Queue TestedQueue;
  TestedQueue.Name = jobs::QueueName("queue");
  TestedQueue.Pool = PoolName("pool");
  TestedQueue.Terms.MaxAttempts = 3;
  TestedQueue.Terms.LatencyObjective = 600ms;
  Config->Queues = {TestedQueue};
  Config->Pools = {{PoolName("pool"), false, true},
                   {PoolName("other"), false, true}};
  for (unsigned Index = 0; Index < WorkerCount; ++Index) {
    FakeWorker &Worker = Workers.emplace_back();
    Worker.Record.Instance = {fmt::format("w{}", Index), 1000};
    Worker.Record.Pool = PoolName("pool");
    Worker.Record.Address = {"10.0.0.1", 1, Worker.Record.Instance.Id};
    Worker.Record.Capacity = {8000, 8000, 0};
    Worker.FormerCapacity = Worker.Record.Capacity;
    WorkerIndexes[Worker.Record.Instance.Id] = Index;
  }
  Entries.resize(EntryCount);
  for (unsigned Index = 0; Index < EntryCount; ++Index) {
    Entries[Index].Record = {fmt::format("e{}", Index), "10.0.1.1", 1, 500,
                             DataCentreName("dc")};
    Entries[Index].Port = std::make_unique<Port>(*this, Index);
    restartEntry(Index);
  }
  ShownWorkers = Entries.empty() ? 0 : 1100;
  startLeader();
  tickLeaders();
  sendHostLists();
}

void CarrierSimulation::schedule(Duration Delay, std::function<void()> Action) {
  Actions.emplace(Time.now() + Delay, std::move(Action));
}

CarrierSimulation::Leader *CarrierSimulation::findLeader(std::uint64_t Term) {
  for (const std::unique_ptr<Leader> &Each : Leaders) {
    if (Each->Term == Term && Time.now() < Each->EndsAt) {
      return Each.get();
    }
  }
  return nullptr;
}

void CarrierSimulation::scheduleForLeader(
    Duration Delay, std::uint64_t Term, std::function<void(Leader &)> Action) {
  schedule(Delay, [this, Term, Action = std::move(Action)] {
    Leader *Of = findLeader(Term);
    if (Of == nullptr) {
      return;
    }
    if (Of->IsPaused) {
      Of->Postponed.emplace_back([Action, Of] { Action(*Of); });
    } else {
      Action(*Of);
    }
  });
}

void CarrierSimulation::scheduleForEntry(unsigned Index, Duration Delay,
                                         std::function<void(Entry &)> Action) {
  schedule(Delay, [this, Index, Action = std::move(Action)] {
    Entry &Of = Entries[Index];
    if (Of.IsPaused) {
      Of.Postponed.emplace_back(
          [this, Index, Action] { Action(Entries[Index]); });
    } else {
      Action(Of);
    }
  });
}

void CarrierSimulation::restartEntry(unsigned Index) {
  Entry &Restarted = Entries[Index];
  if (Restarted.Carrier) {
    Restarted.Carrier->OnRespondAtChanged = nullptr;
    EndedCarriers.push_back(std::move(Restarted.Carrier));
  }
  Restarted.Postponed.clear();
  Restarted.IsLeaving = false;
  for (const auto &[Term, Call] : std::exchange(Restarted.OpenCalls, {})) {
    scheduleForLeader(RefusalDelay, Term, [Call = Call](Leader &Of) {
      Of.Pool->handleFailure(Call, false, "connection reset");
    });
  }
  Restarted.Carrier =
      std::make_unique<OrderCarrier>(Time, Log, *Restarted.Port, ++LastProcess);
  Restarted.Carrier->OnRespondAtChanged = [this, Index, Process = LastProcess] {
    const std::optional<Instant> DueAt = Entries[Index].Carrier->respondAt();
    if (DueAt) {
      scheduleForEntry(Index, *DueAt - Time.now(),
                       [](Entry &Of) { Of.Carrier->respondIfDue(); });
    }
  };
}

void CarrierSimulation::crashWorker(FakeWorker &Worker) {
  Worker.endAll(Time.now(), Observed);
  Worker.HasCrashed = true;
  schedule(RestartTime, [this, &Worker] {
    if (Worker.HasCrashed) {
      restartWorker(Worker);
    }
  });
}

void CarrierSimulation::restartWorker(FakeWorker &Worker) {
  Worker.crash(Time.now(), Observed);
  // At the same address it takes orders for the incarnation before.
  if (Random() % 2 == 0) {
    ++Worker.Record.Address.Port;
  }
}

void CarrierSimulation::endWorker(FakeWorker &Worker) {
  Worker.endAll(Time.now(), Observed);
  Worker.HasCrashed = true;
  Worker.IsDown = true;
}

void CarrierSimulation::reviveWorker(FakeWorker &Worker) {
  if (Worker.HasCrashed) {
    restartWorker(Worker);
  }
  Worker.IsDown = false;
}

void CarrierSimulation::leaveEntry(unsigned Index) {
  Entries[Index].IsLeaving = true;
  Entries[Index].Carrier->setLeaving();
}

std::vector<EntryRecord> CarrierSimulation::registeredEntries() const {
  std::vector<EntryRecord> Records;
  for (const Entry &Each : Entries) {
    if (Each.IsRegistered) {
      Records.push_back(Each.Record);
    }
  }
  return Records;
}

void CarrierSimulation::updateEntries() {
  for (const std::unique_ptr<Leader> &Each : Leaders) {
    if (Time.now() < Each->EndsAt) {
      Each->Pool->setEntries(registeredEntries());
    }
  }
}

void CarrierSimulation::setShownWorkers(std::size_t Count) {
  ShownWorkers = Count;
  Leaders.back()->Pool->setWorkerCount(Count);
}

std::size_t CarrierSimulation::wantedCarriers() const {
  constexpr std::size_t MinWorkers = 128;
  constexpr std::size_t WorkersPerCarrier = 128;
  constexpr std::size_t MaxCarriers = 16;
  return ShownWorkers < MinWorkers
             ? 0
             : std::min(MaxCarriers, (ShownWorkers + WorkersPerCarrier - 1) /
                                         WorkersPerCarrier);
}

void CarrierSimulation::pauseLeader(Duration Length) {
  Leaders.back()->IsPaused = true;
  schedule(Length, [this, Term = LastTerm] {
    if (Leader *Of = findLeader(Term)) {
      resume(*Of);
    }
  });
}

void CarrierSimulation::resume(Leader &Paused) {
  Paused.IsPaused = false;
  for (const auto &Action : std::exchange(Paused.Postponed, {})) {
    Action();
  }
}

const dispatch::Dispatcher &CarrierSimulation::dispatcher() const {
  return *Leaders.back()->JobDispatcher;
}

CarrierLoad CarrierSimulation::takeLoad() {
  return Leaders.back()->Pool->takeLoad();
}

void CarrierSimulation::startLeader() {
  auto New = std::make_unique<Leader>();
  New->Term = ++LastTerm;
  New->DirectPort = std::make_unique<Port>(*this, std::nullopt, New->Term);
  New->Pool = std::make_unique<CarrierPool>(Time, Log, *New->DirectPort);
  New->Pool->OnCallsPending = [this, Term = New->Term] {
    scheduleForLeader(FlushDelay, Term, [this](Leader &Of) { flush(Of); });
  };
  New->JobDispatcher = std::make_unique<dispatch::Dispatcher>(
      Time, dispatch::DispatchOptions(), Log);
  New->KnownJobs = std::make_unique<jobs::JobTable>(Table);
  New->JobDispatcher->begin(dispatch::FencingToken(New->Term), *New->KnownJobs);
  New->JobDispatcher->configure(Config);
  Leaders.push_back(std::move(New));
  Leader &Of = *Leaders.back();
  Of.Pool->begin(dispatch::FencingToken(Of.Term));
  Of.Pool->setEntries(registeredEntries());
  Of.Pool->setWorkerCount(ShownWorkers);
}

void CarrierSimulation::changeLeader(Duration EarlierContinues,
                                     bool EarlierIsPaused) {
  Leader &Earlier = *Leaders.back();
  Earlier.IsPaused = EarlierIsPaused;
  Earlier.EndsAt = Time.now() + EarlierContinues;
  Earlier.RecordInFlight = true;
  if (EarlierIsPaused) {
    // It does what was due during the pause, and ends soon after.
    schedule(EarlierContinues - 50ms, [this, Term = Earlier.Term] {
      if (Leader *Of = findLeader(Term)) {
        resume(*Of);
      }
    });
  }
  RequestedEvents.clear();
  startLeader();
}

void CarrierSimulation::tickLeaders() {
  schedule(LeaderTickPeriod, [this] {
    std::map<std::string, dispatch::WorkerRecord> Registered;
    for (const FakeWorker &Worker : Workers) {
      if (!Unregistered.contains(Worker.Record.Instance.Id)) {
        Registered.emplace(Worker.Record.Instance.Id, Worker.Record);
      }
    }
    for (const std::unique_ptr<Leader> &Each : Leaders) {
      if (!Each->IsPaused && Time.now() < Each->EndsAt) {
        Each->JobDispatcher->setWorkers(Registered);
        tickLeader(*Each);
      }
    }
    tickLeaders();
  });
}

void CarrierSimulation::sendHostLists() {
  schedule(HostListPeriod, [this] {
    if (HostListDelay) {
      std::set<std::string> Hosted;
      for (const FakeWorker &Worker : Workers) {
        if (!Worker.HasCrashed) {
          Hosted.insert(Worker.Record.Instance.Id);
        }
      }
      scheduleForLeader(
          HostListDelay(), LastTerm,
          [Hosted = std::move(Hosted), AskedAt = Time.now()](Leader &Of) {
            Of.JobDispatcher->setHostedWorkers(Hosted, AskedAt);
          });
    }
    sendHostLists();
  });
}

void CarrierSimulation::tickLeader(Leader &Of) {
  Of.Pool->tick();
  Of.JobDispatcher->tick(!Of.RecordInFlight, true);
  if (Of.JobDispatcher->isFenced()) {
    Of.EndsAt = Time.now();
    return;
  }
  for (const dispatch::WorkerOrder &Order : Of.JobDispatcher->takeOrders()) {
    sendOrder(Of, Order);
  }
  if (Of.Term == LastTerm) {
    writeJournal(Of);
  }
}

void CarrierSimulation::sendOrder(Leader &Of,
                                  const dispatch::WorkerOrder &Order) {
  const std::uint64_t Term = Of.Term;
  if (const auto *Start = std::get_if<dispatch::StartOrder>(&Order);
      Start != nullptr && Term != LastTerm) {
    // Its lease has run out.
    Of.JobDispatcher->handleStartReply(*Start, {OrderOutcome::Unhealthy});
    return;
  }
  if (const auto *Renew = std::get_if<dispatch::RenewOrder>(&Order)) {
    Of.Pool->renew(*Renew, [this, Term, Id = Renew->Worker.WorkerId,
                            SentAt = Time.now()](OrderOutcome Outcome,
                                                 const RenewReport &Report) {
      if (Leader *To = findLeader(Term)) {
        To->JobDispatcher->handleRenewReply(Id, SentAt, Outcome, Report);
      }
    });
  } else if (const auto *Start = std::get_if<dispatch::StartOrder>(&Order)) {
    Of.Pool->start(*Start,
                   [this, Term, Start = *Start](const OrderReply &Reply) {
                     if (Leader *To = findLeader(Term)) {
                       To->JobDispatcher->handleStartReply(Start, Reply);
                     }
                   });
  } else if (const auto *Stop = std::get_if<dispatch::StopOrder>(&Order)) {
    Of.Pool->stop(*Stop, [this, Term, Stop = *Stop](const OrderReply &Reply) {
      if (Leader *To = findLeader(Term)) {
        To->JobDispatcher->handleStopReply(Stop, Reply.Outcome);
      }
    });
  } else if (const auto *Pace = std::get_if<dispatch::PaceOrder>(&Order)) {
    Of.Pool->pace(*Pace, [this, Term, Pace = *Pace](const OrderReply &Reply) {
      if (Leader *To = findLeader(Term)) {
        To->JobDispatcher->handlePaceReply(Pace, Reply.Outcome);
      }
    });
  }
}

void CarrierSimulation::flush(Leader &Of) {
  for (const CarrierCall &Call : Of.Pool->takeCalls()) {
    callCarrier(Of.Term, Call);
  }
}

void CarrierSimulation::callCarrier(std::uint64_t Term,
                                    const CarrierCall &Call) {
  ++LeaderCalls[toMilliseconds(Time.now().time_since_epoch()) / 1000];
  const unsigned Index =
      static_cast<unsigned>(std::stoul(Call.Carrier.Name.substr(1)));
  const std::uint64_t Number = Call.Number;
  scheduleForLeader(Call.Timeout, Term, [Number](Leader &Of) {
    Of.Pool->handleFailure(Number, false, "no reply in time");
  });
  Entry &To = Entries[Index];
  if (To.IsDown || Call.Carrier != To.Record) {
    scheduleForLeader(RefusalDelay, Term, [Number](Leader &Of) {
      Of.Pool->handleFailure(Number, true, "connection refused");
    });
    return;
  }
  if (To.IsCutFromLeader) {
    return;
  }
  To.OpenCalls.emplace(Term, Number);
  scheduleForEntry(
      Index, NetworkDelay + To.ExtraDelay,
      [this, Index, Term, Number, Body = Call.Body](Entry &Of) {
        const absl::StatusOr<OrderBatch> Batch = decodeOrderBatch(Body);
        if (!Batch.ok()) {
          return;
        }
        Of.Carrier->accept(
            *Batch, [this, Index, Term, Number](const ReplyBatch &Replies) {
              Entry &From = Entries[Index];
              From.OpenCalls.erase({Term, Number});
              if (From.IsCutFromLeader || From.AreRepliesCut) {
                return;
              }
              scheduleForLeader(
                  NetworkDelay + From.ExtraDelay, Term,
                  [Number, Text = encodeReplyBatch(Replies)](Leader &Sender) {
                    Sender.Pool->handleReplies(Number, *decodeReplyBatch(Text));
                  });
            });
      });
}

FakeWorker &CarrierSimulation::workerFor(const dispatch::WorkerOrder &Order) {
  return Workers[WorkerIndexes.at(dispatch::workerOf(Order).WorkerId)];
}

void CarrierSimulation::callWorker(const dispatch::WorkerOrder &Order,
                                   Duration Delay, bool IsCut, AnyReply Reply) {
  if (IsCut) {
    return;
  }
  if (LosesReply && LosesReply()) {
    Reply = [](const OrderReply &, const RenewReport &) {};
  }
  if (OrderDelay) {
    Delay += OrderDelay();
  }
  const auto *Renew = std::get_if<dispatch::RenewOrder>(&Order);
  schedule(Delay,
           [this, Order, Reply = std::move(Reply),
            WaitsUntil = Time.now() + Delay +
                         (Renew == nullptr ? Duration::zero() : Renew->Wait)] {
             deliver(Order, WaitsUntil, std::nullopt, Reply);
           });
}

void CarrierSimulation::deliver(const dispatch::WorkerOrder &Order,
                                Instant WaitsUntil,
                                std::optional<std::int64_t> ConnectedTo,
                                const AnyReply &Reply) {
  FakeWorker &Worker = workerFor(Order);
  const std::int64_t Incarnation = Worker.Record.Instance.Incarnation;
  if (!Worker.isReachable() ||
      ConnectedTo.value_or(Incarnation) != Incarnation) {
    return;
  }
  if (Worker.Record.Address.Port != dispatch::workerOf(Order).Port) {
    Reply({OrderOutcome::WrongWorker}, {});
    return;
  }
  if (const auto *Renew = std::get_if<dispatch::RenewOrder>(&Order)) {
    OrderOutcome Outcome = OrderOutcome::Unknown;
    const RenewReport Report =
        Worker.renew(*Renew, Time.now(), Outcome, Observed);
    if (Outcome == OrderOutcome::Done && Report.Ended.empty() &&
        Time.now() < WaitsUntil) {
      schedule(WorkerStep, [this, Order, WaitsUntil, Incarnation, Reply] {
        deliver(Order, WaitsUntil, Incarnation, Reply);
      });
      return;
    }
    Reply({Outcome}, Report);
  } else if (const auto *Start = std::get_if<dispatch::StartOrder>(&Order)) {
    const bool IsLongRunning =
        Specs.at(Start->Task.Job).Steps[Start->Task.Step].LongRunning;
    Reply({Worker.start(*Start, IsLongRunning, Time.now(), Observed),
           Worker.clock(Time.now())},
          {});
  } else if (const auto *Stop = std::get_if<dispatch::StopOrder>(&Order)) {
    Reply({Worker.stop(*Stop, Time.now(), Observed), Worker.clock(Time.now())},
          {});
  } else {
    Reply({Worker.pace(std::get<dispatch::PaceOrder>(Order))}, {});
  }
}

void CarrierSimulation::submit(const std::string &Id, jobs::JobSpec Spec) {
  const jobs::JobId Job(Id);
  Specs[Job] = Spec;
  const dispatch::Queue &JobQueue = Config->Queues.front();
  RequestedEvents.emplace_back(
      jobs::JobAccepted{Job, JobQueue.Name, JobQueue.Pool, std::move(Spec),
                        Time.wallNow(), JobQueue.Terms});
}

void CarrierSimulation::cancel(const std::string &Id) {
  RequestedEvents.emplace_back(jobs::JobClosed{
      jobs::JobId(Id), jobs::JobState::Cancelled, Time.wallNow()});
}

void CarrierSimulation::writeJournal(Leader &Of) {
  if (Of.RecordInFlight || JournalUnavailable) {
    return;
  }
  std::vector<jobs::JobEvent> Events = std::exchange(RequestedEvents, {});
  for (jobs::JobEvent &Event : Of.JobDispatcher->takeEvents()) {
    Events.push_back(std::move(Event));
  }
  if (Events.empty()) {
    return;
  }
  Of.RecordInFlight = true;
  schedule(JournalDelay, [this, Events = std::move(Events), Term = Of.Term] {
    if (Term != LastTerm) {
      return; // the write is conditional on the term
    }
    Leader &Writer = *Leaders.back();
    ++Sequence;
    for (const jobs::JobEvent &Event : Events) {
      Table.apply(Event, Sequence);
      const jobs::Job *Job = Table.find(jobs::eventJobId(Event));
      if (std::holds_alternative<jobs::JobClosed>(Event) && Job != nullptr) {
        auto &ClosedAt = Job->Record.State == jobs::JobState::Completed
                             ? Observed.CompletedAt
                             : Observed.CancelledAt;
        ClosedAt.emplace(Job->id(), Time.now());
      }
    }
    auto Finish = [&Writer, Events, Written = Sequence] {
      Writer.RecordInFlight = false;
      for (const jobs::JobEvent &Event : Events) {
        Writer.KnownJobs->apply(Event, Written);
      }
      Writer.JobDispatcher->handleRecorded(Events);
    };
    if (Writer.IsPaused) {
      Writer.Postponed.emplace_back(std::move(Finish));
    } else {
      Finish();
    }
  });
}

void CarrierSimulation::run(Duration Length) {
  const Instant End = Time.now() + Length;
  Instant NextWorkerStep = Time.now();
  while (true) {
    const Instant NextAction =
        Actions.empty() ? Instant::max() : Actions.begin()->first;
    const Instant Next = std::min(NextAction, NextWorkerStep);
    if (Next > End) {
      Time.set(End);
      return;
    }
    Time.set(std::max(Next, Time.now()));
    if (NextWorkerStep <= Time.now()) {
      NextWorkerStep = Time.now() + WorkerStep;
      for (FakeWorker &Worker : Workers) {
        Worker.advance(Time.now(), Observed);
      }
    }
    for (Entry &Each : Entries) {
      if (!Each.IsPaused && !Each.Postponed.empty()) {
        for (const auto &Action : std::exchange(Each.Postponed, {})) {
          Action();
        }
      }
    }
    while (!Actions.empty() && Actions.begin()->first <= Time.now()) {
      const std::function<void()> Action = std::move(Actions.begin()->second);
      Actions.erase(Actions.begin());
      Action();
    }
  }
}

std::vector<std::string> CarrierSimulation::violations() const {
  return dispatch::test::checkHistory(Observed, Specs,
                                      Config->Queues.front().Terms.MaxAttempts);
}

} // namespace balsamlatch::control::test
