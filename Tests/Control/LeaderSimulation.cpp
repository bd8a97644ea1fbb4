/// \file
/// Delivers orders and replies over simulated time.

#include "LeaderSimulation.h"

#include <fmt/format.h>

namespace balsamlatch::control::test {

using namespace std::chrono_literals;
using dispatch::OrderOutcome;
using dispatch::RenewReport;

namespace {

constexpr Duration NetworkDelay = 1ms;
constexpr Duration LeaderTickPeriod = 10ms;
constexpr Duration JournalDelay = 5ms;
constexpr Duration WorkerStep = 5ms;

using AnyReply = std::function<void(OrderOutcome, RenewReport)>;

} // namespace

/// Sends the leader's orders.
class LeaderSimulation::Port final : public WorkerPort {
public:
  explicit Port(LeaderSimulation &Simulation) : Sim(Simulation) {}

  void renew(const dispatch::RenewOrder &Order,
             RenewCallback Callback) override {
    send(Order, Order.Worker.ReplyTimeout + Order.Wait, std::move(Callback));
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
    return [Callback = std::move(Callback)](OrderOutcome Outcome,
                                            const RenewReport &) {
      Callback(Outcome);
    };
  }

  void send(const dispatch::WorkerOrder &Order, Duration Timeout,
            AnyReply Callback) {
    auto IsOpen = std::make_shared<bool>(true);
    const AnyReply Finish =
        [IsOpen, Callback = std::move(Callback)](OrderOutcome Outcome,
                                                 const RenewReport &Report) {
          if (std::exchange(*IsOpen, false)) {
            Callback(Outcome, Report);
          }
        };
    const AnyReply Reply = [this, Finish](OrderOutcome Outcome,
                                          const RenewReport &Report) {
      Sim.schedule(NetworkDelay,
                   [Finish, Outcome, Report] { Finish(Outcome, Report); });
    };
    Sim.schedule(Timeout, [Finish] { Finish(OrderOutcome::Unknown, {}); });
    ++Sim.LeaderCalls[toMilliseconds(Sim.Time.now().time_since_epoch()) / 1000];
    Sim.callWorker(Order, Reply);
  }

  LeaderSimulation &Sim;
};

LeaderSimulation::LeaderSimulation(unsigned WorkerCount) {
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
  LeaderPort = std::make_unique<Port>(*this);
  JobDispatcher = std::make_unique<dispatch::Dispatcher>(
      Time, dispatch::DispatchOptions(), Log);
  JobDispatcher->begin(dispatch::FencingToken(1), Table);
  JobDispatcher->configure(Config);
  tickLeader();
}

void LeaderSimulation::schedule(Duration Delay, std::function<void()> Action) {
  Actions.emplace(Time.now() + Delay, std::move(Action));
}

void LeaderSimulation::tickLeader() {
  schedule(LeaderTickPeriod, [this] {
    std::map<std::string, dispatch::WorkerRecord> Registered;
    for (const FakeWorker &Worker : Workers) {
      Registered.emplace(Worker.Record.Instance.Id, Worker.Record);
    }
    JobDispatcher->setWorkers(Registered);
    JobDispatcher->tick(!RecordInFlight, true);
    for (const dispatch::WorkerOrder &Order : JobDispatcher->takeOrders()) {
      sendOrder(Order);
    }
    writeJournal();
    tickLeader();
  });
}

void LeaderSimulation::sendOrder(const dispatch::WorkerOrder &Order) {
  if (const auto *Renew = std::get_if<dispatch::RenewOrder>(&Order)) {
    LeaderPort->renew(*Renew, [this, Id = Renew->Worker.WorkerId,
                               SentAt = Time.now()](OrderOutcome Outcome,
                                                    const RenewReport &Report) {
      JobDispatcher->handleRenewReply(Id, SentAt, Outcome, Report);
    });
  } else if (const auto *Start = std::get_if<dispatch::StartOrder>(&Order)) {
    LeaderPort->start(*Start, [this, Start = *Start](OrderOutcome Outcome) {
      JobDispatcher->handleStartReply(Start, Outcome);
    });
  } else if (const auto *Stop = std::get_if<dispatch::StopOrder>(&Order)) {
    LeaderPort->stop(*Stop, [this, Stop = *Stop](OrderOutcome Outcome) {
      JobDispatcher->handleStopReply(Stop, Outcome);
    });
  }
}

FakeWorker &LeaderSimulation::workerFor(const dispatch::WorkerOrder &Order) {
  return Workers[WorkerIndexes.at(dispatch::workerOf(Order).WorkerId)];
}

void LeaderSimulation::callWorker(const dispatch::WorkerOrder &Order,
                                  AnyReply Reply) {
  const auto *Renew = std::get_if<dispatch::RenewOrder>(&Order);
  schedule(NetworkDelay,
           [this, Order, Reply = std::move(Reply),
            WaitsUntil = Time.now() + NetworkDelay +
                         (Renew == nullptr ? Duration::zero() : Renew->Wait),
            Incarnation = workerFor(Order).Record.Instance.Incarnation] {
             deliver(Order, WaitsUntil, Incarnation, Reply);
           });
}

void LeaderSimulation::deliver(const dispatch::WorkerOrder &Order,
                               Instant WaitsUntil, std::int64_t Incarnation,
                               const AnyReply &Reply) {
  FakeWorker &Worker = workerFor(Order);
  if (Worker.IsDown) {
    return;
  }
  if (Worker.Record.Instance.Incarnation != Incarnation) {
    Reply(OrderOutcome::WrongWorker, {});
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
    Reply(Outcome, Report);
  } else if (const auto *Start = std::get_if<dispatch::StartOrder>(&Order)) {
    const bool IsLongRunning =
        Specs.at(Start->Task.Job).Steps[Start->Task.Step].LongRunning;
    Reply(Worker.start(*Start, IsLongRunning, Time.now(), Observed), {});
  } else if (const auto *Stop = std::get_if<dispatch::StopOrder>(&Order)) {
    Reply(Worker.stop(*Stop, Time.now(), Observed), {});
  } else {
    Reply(Worker.pace(std::get<dispatch::PaceOrder>(Order)), {});
  }
}

void LeaderSimulation::submit(const std::string &Id, jobs::JobSpec Spec) {
  const jobs::JobId Job(Id);
  Specs[Job] = Spec;
  const dispatch::Queue &JobQueue = Config->Queues.front();
  RequestedEvents.emplace_back(
      jobs::JobAccepted{Job, JobQueue.Name, JobQueue.Pool, std::move(Spec),
                        Time.wallNow(), JobQueue.Terms});
}

void LeaderSimulation::writeJournal() {
  if (RecordInFlight) {
    return;
  }
  std::vector<jobs::JobEvent> Events = std::exchange(RequestedEvents, {});
  for (jobs::JobEvent &Event : JobDispatcher->takeEvents()) {
    Events.push_back(std::move(Event));
  }
  if (Events.empty()) {
    return;
  }
  RecordInFlight = true;
  schedule(JournalDelay, [this, Events = std::move(Events)] {
    RecordInFlight = false;
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
    JobDispatcher->handleRecorded(Events);
  });
}

void LeaderSimulation::run(Duration Length) {
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
    while (!Actions.empty() && Actions.begin()->first <= Time.now()) {
      const std::function<void()> Action = std::move(Actions.begin()->second);
      Actions.erase(Actions.begin());
      Action();
    }
  }
}

std::vector<std::string> LeaderSimulation::violations() const {
  return dispatch::test::checkHistory(Observed, Specs,
                                      Config->Queues.front().Terms.MaxAttempts);
}

} // namespace balsamlatch::control::test
