/// \file
/// The fake workers, the journal and the passing of time.

#include "World.h"

#include <algorithm>
#include <fmt/format.h>

namespace balsamlatch::dispatch::test {

using jobs::RunEnd;

namespace {

constexpr Duration StepTime = std::chrono::milliseconds(5);
constexpr Duration WireTime = std::chrono::milliseconds(1);
constexpr Duration LostAnswerTime = std::chrono::milliseconds(400);
const PoolName ThePool("pool");
const QueueName TheQueue("queue");

} // namespace

jobs::JobSpec simpleJob(unsigned Tasks, unsigned Steps) {
  jobs::JobSpec Spec;
  Spec.Text = "text";
  for (unsigned Step = 0; Step < Steps; ++Step) {
    jobs::StepSpec &New = Spec.Steps.emplace_back();
    New.Count = Tasks;
    New.Need = {1000, 100, 0};
    New.Estimate = std::chrono::milliseconds(400);
    if (Step > 0) {
      New.After = {Step - 1};
    }
  }
  return Spec;
}

HoldReport FakeWorker::hold(const HoldOrder &Order, Instant Now,
                            OrderOutcome &Outcome, History &Into) {
  if (Order.Token < Highest) {
    Outcome = OrderOutcome::Fenced;
    return {};
  }
  Highest = Order.Token;
  Outcome = OrderOutcome::Done;
  std::erase_if(Ends, [&](const EndedTask &Each) {
    if (Each.Number > Order.EndsRecorded) {
      return false;
    }
    Into.Runs[TraceOf.at(Each.Number)].Acknowledged = true;
    return true;
  });
  if (Order.LeaseUntil) {
    LeaseUntil = std::max(LeaseUntil, *Order.LeaseUntil);
  }
  HoldReport Report;
  Report.Clock = clock(Now);
  Report.Born = Record.Life.Born;
  Report.Ended = Ends;
  for (auto &[Task, Run] : Runs) {
    if (Order.LeaseUntil) {
      Run.LeaseUntil = std::max(Run.LeaseUntil, *Order.LeaseUntil);
    }
    const auto Percent =
        Hangs ? 0
              : (Run.Lasting ? 100
                             : static_cast<unsigned>(100 * (Now - Run.Began) /
                                                     (RunTime + Duration(1))));
    unsigned Disturbance = 0;
    for (const auto &[Filler, Pace] : Paces) {
      Disturbance += Runs.contains(Filler) ? Pace : 0;
    }
    const std::int64_t Gauge =
        Tail && !Paces.contains(Task) ? Tail(Disturbance) : 0;
    Report.Running.push_back({Task, Run.Number, "", Percent, Gauge});
  }
  return Report;
}

OrderOutcome FakeWorker::start(const StartOrder &Order, bool Lasting,
                               Instant Now, History &Into) {
  if (Order.Token < Highest) {
    return OrderOutcome::Fenced;
  }
  Highest = Order.Token;
  if (Order.LeaseUntil <= clock(Now)) {
    return OrderOutcome::TooLate;
  }
  if (Order.Ticket != Ticket) {
    return OrderOutcome::NoPermit;
  }
  const auto Running = Runs.find(Order.Task);
  if (Running != Runs.end()) {
    return Running->second.Number == Order.Run ? OrderOutcome::Done
                                               : OrderOutcome::OldRun;
  }
  const auto Before = Finished.find(Order.Task);
  if (Before != Finished.end() && Order.Run <= Before->second) {
    return OrderOutcome::OldRun;
  }
  LeaseUntil = std::max(LeaseUntil, Order.LeaseUntil);
  if (Order.SpecText == "filler") {
    Paces[Order.Task] = 100;
  }
  Into.Runs.push_back({Order.Task, Order.Run, Record.Life.Id, Now});
  Runs[Order.Task] = {Order.Run, Lasting, Now, Order.LeaseUntil,
                      Into.Runs.size() - 1};
  return OrderOutcome::Done;
}

OrderOutcome FakeWorker::pace(const PaceOrder &Order) {
  if (Order.Token < Highest) {
    return OrderOutcome::Fenced;
  }
  Highest = Order.Token;
  const auto Running = Runs.find(Order.Task);
  if (Running == Runs.end() || Running->second.Number != Order.Run) {
    return OrderOutcome::OldRun;
  }
  Paces[Order.Task] = Order.Percent;
  return OrderOutcome::Done;
}

OrderOutcome FakeWorker::stop(const StopOrder &Order, Instant Now,
                              History &Into) {
  if (Order.Token < Highest) {
    return OrderOutcome::Fenced;
  }
  Highest = Order.Token;
  Finished[Order.Task] = std::max(Finished[Order.Task], Order.Run);
  const auto Running = Runs.find(Order.Task);
  if (Running != Runs.end() && Running->second.Number == Order.Run) {
    end(Order.Task, Running->second, RunEnd::Stopped, Now, Into);
    Runs.erase(Running);
  }
  return OrderOutcome::Done;
}

void FakeWorker::end(const TaskRef &Task, const Active &Which, RunEnd How,
                     Instant Now, History &Into) {
  Into.Runs[Which.Trace].Ended = Now;
  Into.Runs[Which.Trace].How = How;
  Finished[Task] = std::max(Finished[Task], Which.Number);
  Ends.push_back({++EndCount, Task, Which.Number, How, ""});
  TraceOf[EndCount] = Which.Trace;
}

void FakeWorker::advance(Instant Now, History &Into) {
  if (clock(Now) >= LeaseUntil) {
    for (const EndedTask &Each : Ends) {
      Into.Runs[TraceOf.at(Each.Number)].Unheard = true;
    }
  }
  for (auto It = Runs.begin(); It != Runs.end();) {
    const Active &Which = It->second;
    const bool Over = !Which.Lasting && !Hangs && Now - Which.Began >= RunTime;
    const bool Lapsed = clock(Now) >= Which.LeaseUntil;
    if (!Over && !Lapsed) {
      ++It;
      continue;
    }
    const RunEnd Natural = FailsAll ? RunEnd::Failed : RunEnd::Done;
    end(It->first, Which, Over ? Natural : RunEnd::Lost, Now, Into);
    It = Runs.erase(It);
  }
}

void FakeWorker::crash(Instant Now, History &Into) {
  for (const auto &[Task, Which] : Runs) {
    Into.Runs[Which.Trace].Ended = Now;
    Into.Runs[Which.Trace].How = RunEnd::Lost;
  }
  Runs.clear();
  Finished.clear();
  Ends.clear();
  EndCount = 0;
  Highest = {};
  LeaseUntil = {};
  TraceOf.clear();
  Start = Now;
  Record.Life.Born += 1000;
}

World::World(unsigned WorkerCount, std::uint64_t Seed) : Random(Seed) {
  Config->Version = 1;
  Queue Only;
  Only.Name = TheQueue;
  Only.Pool = ThePool;
  Only.MaxAttempts = 3;
  Only.LatencyObjective = std::chrono::milliseconds(600);
  Config->Queues = {Only};
  Config->Pools = {{ThePool, false, true}};
  for (unsigned Number = 0; Number < WorkerCount; ++Number) {
    FakeWorker &New = Workers.emplace_back();
    New.Record.Life = {fmt::format("w{}", Number), 1000};
    New.Record.Pool = ThePool;
    New.Record.Address = {"10.0.0.1", 1, New.Record.Life.Id};
    New.Record.Capacity = {4000, 4000, 0};
  }
  changeHolder();
}

void World::changeHolder() {
  ++Term;
  RecordInFlight = false;
  Requested.clear();
  Decisions = std::make_unique<Dispatcher>(Time, DispatchOptions(), Log);
  Decisions->begin(FencingToken(Term), Book);
  Decisions->configure(Config);
}

void World::submit(const std::string &Id, jobs::JobSpec Spec) {
  const JobId Job(Id);
  Specs[Job] = Spec;
  Requested.emplace_back(jobs::JobAccepted{Job, TheQueue, ThePool,
                                           std::move(Spec), Time.wallNow()});
}

void World::cancel(const std::string &Id) {
  Requested.emplace_back(
      jobs::JobClosed{JobId(Id), jobs::JobState::Cancelled, Time.wallNow()});
}

void World::run(Duration Length) {
  for (Duration Done{}; Done < Length; Done += StepTime) {
    step();
  }
}

void World::step() {
  Time.advance(StepTime);
  std::map<std::string, WorkerRecord> Listed;
  for (FakeWorker &Each : Workers) {
    Each.advance(Time.now(), Past);
    Listed[Each.Record.Life.Id] = Each.Record;
  }
  Decisions->setWorkers(Listed);
  std::vector<Pending> Due;
  for (std::size_t At = 0; At < Waiting.size();) {
    if (Waiting[At].Due <= Time.now()) {
      Due.push_back(std::move(Waiting[At]));
      Waiting.erase(Waiting.begin() + static_cast<std::ptrdiff_t>(At));
    } else {
      ++At;
    }
  }
  for (const Pending &Each : Due) {
    Each.Task();
  }
  Decisions->tick(!RecordInFlight, true);
  for (const WorkerOrder &Order : Decisions->takeOrders()) {
    send(Order);
  }
  for (const PermitQuery &Query : Decisions->takeQueries()) {
    ask(Query);
  }
  record();
}

void World::ask(const PermitQuery &Query) {
  Queries.push_back(Query);
  later(Query.Expected + WireTime,
        [this, Query, Mine = Term, AskedAt = Time.now()] {
          if (Mine == Term) {
            Decisions->queryAnswered(Query, AskedAt, Policy(Query));
          }
        });
}

void World::record() {
  if (RecordInFlight || JournalAway) {
    return;
  }
  std::vector<jobs::JobEvent> Events = std::exchange(Requested, {});
  for (jobs::JobEvent &Each : Decisions->takeEvents()) {
    Events.push_back(std::move(Each));
  }
  if (Events.empty()) {
    return;
  }
  RecordInFlight = true;
  later(JournalDelay, [this, Events, Mine = Term] {
    if (Mine != Term) {
      return; // the holder's condition no longer holds
    }
    RecordInFlight = false;
    ++Sequence;
    for (const jobs::JobEvent &Each : Events) {
      Book.apply(Each, Sequence);
      const jobs::Job *Owner = Book.find(jobs::jobOf(Each));
      if (std::holds_alternative<jobs::JobClosed>(Each) && Owner != nullptr) {
        auto &Shown = Owner->Record.State == jobs::JobState::Completed
                          ? Past.ShownCompleted
                          : Past.Cancelled;
        Shown.emplace(Owner->id(), Time.now());
      }
    }
    Decisions->recorded(Events);
  });
}

FakeWorker *World::find(const std::string &Id) {
  const auto Found =
      std::find_if(Workers.begin(), Workers.end(), [&](const FakeWorker &Each) {
        return Each.Record.Life.Id == Id;
      });
  return Found == Workers.end() ? nullptr : &*Found;
}

void World::later(Duration Wait, std::function<void()> Task) {
  Waiting.push_back({Time.now() + Wait, std::move(Task)});
}

bool World::lasting(const TaskRef &Task) const {
  return Specs.at(Task.Job).Steps[Task.Step].Lasting;
}

void World::send(const WorkerOrder &Order) {
  const bool Lost = LosesAnswer && LosesAnswer(Order);
  const std::optional<Duration> Late =
      LateBy ? LateBy(Order) : std::optional<Duration>();
  const Duration Way = Late.value_or(WireTime);
  const std::string &To = std::visit(
      [](const auto &Kind) -> const std::string & { return Kind.To.WorkerId; },
      Order);
  const std::int64_t MeantFor = find(To)->Record.Life.Born;
  later(Way, [this, Order, Mine = Term, MeantFor, Lost, Late] {
    carryOut(Order, Mine, MeantFor, !Lost && !Late);
  });
  if (!Lost && !Late) {
    return;
  }
  // The sender gives up waiting.
  later(LostAnswerTime, [this, Order, Mine = Term] {
    if (Mine != Term) {
      return;
    }
    if (const auto *Hold = std::get_if<HoldOrder>(&Order)) {
      Decisions->holdAnswered(Hold->To.WorkerId, Time.now() - LostAnswerTime,
                              OrderOutcome::Unknown, {});
    } else if (const auto *Start = std::get_if<StartOrder>(&Order)) {
      Decisions->startAnswered(*Start, OrderOutcome::Unknown);
    } else if (const auto *Stop = std::get_if<StopOrder>(&Order)) {
      Decisions->stopAnswered(*Stop, OrderOutcome::Unknown);
    } else {
      Decisions->paceAnswered(std::get<PaceOrder>(Order),
                              OrderOutcome::Unknown);
    }
  });
}

void World::carryOut(const WorkerOrder &Order, std::uint64_t Sender,
                     std::int64_t MeantFor, bool Answered) {
  // Another life of the worker refuses what was meant for an earlier one.
  const auto Reached = [&](const FakeWorker &To, OrderOutcome &Outcome) {
    Outcome = To.Record.Life.Born == MeantFor ? OrderOutcome::Unknown
                                              : OrderOutcome::OtherWorker;
    return !To.Down && To.Record.Life.Born == MeantFor;
  };
  const bool Heard = Answered && Sender == Term;
  const Instant SentAt = Time.now() - WireTime;
  if (const auto *Hold = std::get_if<HoldOrder>(&Order)) {
    FakeWorker &To = *find(Hold->To.WorkerId);
    OrderOutcome Outcome = OrderOutcome::Unknown;
    HoldReport Report;
    if (Reached(To, Outcome)) {
      Report = To.hold(*Hold, Time.now(), Outcome, Past);
    }
    if (Heard) {
      Decisions->holdAnswered(Hold->To.WorkerId, SentAt, Outcome, Report);
    }
  } else if (const auto *Start = std::get_if<StartOrder>(&Order)) {
    FakeWorker &To = *find(Start->To.WorkerId);
    OrderOutcome Outcome = OrderOutcome::Unknown;
    if (Reached(To, Outcome)) {
      Outcome = To.start(*Start, lasting(Start->Task), Time.now(), Past);
    }
    if (Heard) {
      Decisions->startAnswered(*Start, Outcome);
    }
  } else if (const auto *Stop = std::get_if<StopOrder>(&Order)) {
    FakeWorker &To = *find(Stop->To.WorkerId);
    OrderOutcome Outcome = OrderOutcome::Unknown;
    if (Reached(To, Outcome)) {
      Outcome = To.stop(*Stop, Time.now(), Past);
    }
    if (Heard) {
      Decisions->stopAnswered(*Stop, Outcome);
    }
  } else {
    const auto &Pace = std::get<PaceOrder>(Order);
    FakeWorker &To = *find(Pace.To.WorkerId);
    OrderOutcome Outcome = OrderOutcome::Unknown;
    if (Reached(To, Outcome)) {
      Outcome = To.pace(Pace);
    }
    if (Heard) {
      Decisions->paceAnswered(Pace, Outcome);
    }
  }
}

const jobs::Job &World::job(const std::string &Id) const {
  return *Book.find(JobId(Id));
}

unsigned World::started(const std::string &Id) const {
  return static_cast<unsigned>(std::count_if(
      Past.Runs.begin(), Past.Runs.end(),
      [&](const RunTrace &Each) { return Each.Task.Job.Text == Id; }));
}

std::vector<std::string> World::faults() const {
  return check(Past, Specs, Config->Queues.front().MaxAttempts);
}

} // namespace balsamlatch::dispatch::test
