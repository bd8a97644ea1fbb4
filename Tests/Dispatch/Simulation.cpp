/// \file
/// The fake workers, the journal, and the delivery of orders over time.

#include "Simulation.h"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>

namespace balsamlatch::dispatch::test {

using jobs::RunOutcome;

namespace {

constexpr Duration TimeStep = std::chrono::milliseconds(5);
constexpr Duration NetworkDelay = std::chrono::milliseconds(1);
/// Starts may rely on a worker's former capacity for this long.
constexpr Duration CapacityGracePeriod = std::chrono::milliseconds(100);
const PoolName TestPool("pool");
const QueueName TestQueue("queue");

} // namespace

jobs::JobSpec simpleJob(unsigned Tasks, unsigned Steps) {
  jobs::JobSpec Spec;
  Spec.Text = "text";
  for (unsigned Step = 0; Step < Steps; ++Step) {
    jobs::StepSpec &NewStep = Spec.Steps.emplace_back();
    NewStep.Count = Tasks;
    NewStep.RequestedResources = {1000, 100, 0};
    NewStep.EstimatedRunTime = std::chrono::milliseconds(400);
    if (Step > 0) {
      NewStep.PrerequisiteSteps = {Step - 1};
    }
  }
  return Spec;
}

jobs::JobSpec longRunningJob(unsigned Tasks) {
  jobs::JobSpec Spec = simpleJob(Tasks);
  Spec.Steps.front().LongRunning = true;
  Spec.Steps.front().MaxPerWorker = 1;
  Spec.Steps.front().MaxUnavailable = 1;
  return Spec;
}

std::int64_t FakeWorker::incarnationAt(Instant Now) {
  return toMilliseconds(ManualClock::wallAt(Now).time_since_epoch());
}

RenewReport FakeWorker::renew(const RenewOrder &Order, Instant Now,
                              OrderOutcome &Outcome, History &Observed) {
  if (Order.Token < HighestToken) {
    Outcome = OrderOutcome::Fenced;
    return {};
  }
  HighestToken = Order.Token;
  Outcome = OrderOutcome::Done;
  std::erase_if(Ends, [&](const EndedTask &EndedRun) {
    if (EndedRun.Number > Order.LastRecordedEnd) {
      return false;
    }
    Observed.Runs[TraceByEnd.at(EndedRun.Number)].EndAcknowledged = true;
    return true;
  });
  if (Order.LeaseUntil) {
    extendLease(*Order.LeaseUntil, Now);
  }
  return report(Now);
}

void FakeWorker::extendLease(WorkerClock Until, Instant Now) {
  LeaseUntil = std::max(LeaseUntil, std::min(Until, clock(Now) + MaxLease));
}

RenewReport FakeWorker::report(Instant Now) const {
  RenewReport Report;
  Report.Clock = clock(Now);
  Report.Incarnation = Record.Instance.Incarnation;
  const std::size_t ListedEnds = std::min(Ends.size(), MaxListedEnds);
  Report.Ended.assign(Ends.begin(),
                      Ends.begin() + static_cast<std::ptrdiff_t>(ListedEnds));
  Report.MayHaveMoreEnds = ListedEnds == MaxListedEnds;
  for (const auto &[Task, Run] : Runs) {
    const auto Percent =
        Hangs ? 0
              : (Run.LongRunning
                     ? (isAtWork(Run, Now) ? 100 : 0)
                     : static_cast<unsigned>(100 * (Now - Run.StartedAt) /
                                             (RunDuration + Duration(1))));
    unsigned TotalPace = 0;
    for (const auto &[BestEffortTask, Pace] : Paces) {
      TotalPace += Runs.contains(BestEffortTask) ? Pace : 0;
    }
    const std::int64_t Gauge =
        TailLatency && !Paces.contains(Task) ? TailLatency(TotalPace) : 0;
    Report.Running.push_back({Task, Run.Number, "", Percent, Gauge});
  }
  return Report;
}

OrderOutcome FakeWorker::start(const StartOrder &Order, bool LongRunning,
                               Instant Now, History &Observed) {
  if (Order.Token < HighestToken) {
    return OrderOutcome::Fenced;
  }
  HighestToken = Order.Token;
  if (Order.LeaseUntil <= clock(Now)) {
    return OrderOutcome::LeaseExpired;
  }
  if (Order.Ticket != RequiredTicket) {
    return OrderOutcome::NoPermit;
  }
  extendLease(Order.LeaseUntil, Now);
  const auto RunIt = Runs.find(Order.Task);
  if (RunIt != Runs.end()) {
    return RunIt->second.Number == Order.Run ? OrderOutcome::Done
                                             : OrderOutcome::StaleRun;
  }
  const auto FinishedIt = FinishedRuns.find(Order.Task);
  if (FinishedIt != FinishedRuns.end() && Order.Run <= FinishedIt->second) {
    return OrderOutcome::StaleRun;
  }
  if (Order.SpecText == "filler") {
    Paces[Order.Task] = 100;
  }
  Observed.Runs.push_back({Order.Task, Order.Run, Record.Instance.Id, Now});
  Runs[Order.Task] = {
      Order.Run, LongRunning, Now, {}, Observed.Runs.size() - 1};
  return OrderOutcome::Done;
}

OrderOutcome FakeWorker::pace(const PaceOrder &Order) {
  if (Order.Token < HighestToken) {
    return OrderOutcome::Fenced;
  }
  HighestToken = Order.Token;
  const auto RunIt = Runs.find(Order.Task);
  if (RunIt == Runs.end() || RunIt->second.Number != Order.Run) {
    return OrderOutcome::StaleRun;
  }
  Paces[Order.Task] = Order.Percent;
  return OrderOutcome::Done;
}

OrderOutcome FakeWorker::stop(const StopOrder &Order, Instant Now,
                              History &Observed) {
  if (Order.Token < HighestToken) {
    return OrderOutcome::Fenced;
  }
  HighestToken = Order.Token;
  FinishedRuns[Order.Task] = std::max(FinishedRuns[Order.Task], Order.Run);
  const auto RunIt = Runs.find(Order.Task);
  if (RunIt != Runs.end() && RunIt->second.Number == Order.Run &&
      !RunIt->second.StopsAt) {
    RunIt->second.StopsAt = Now + StopDuration;
  }
  advance(Now, Observed);
  return OrderOutcome::Done;
}

void FakeWorker::end(const TaskRef &Task, const ActiveRun &Run, RunOutcome End,
                     Instant Now, History &Observed) {
  Observed.Runs[Run.TraceIndex].EndedAt = Now;
  Observed.Runs[Run.TraceIndex].End = End;
  FinishedRuns[Task] = std::max(FinishedRuns[Task], Run.Number);
  Ends.push_back({++EndCount, Task, Run.Number, End, ""});
  TraceByEnd[EndCount] = Run.TraceIndex;
}

void FakeWorker::advance(Instant Now, History &Observed) {
  if (clock(Now) >= LeaseUntil) {
    for (const EndedTask &EndedRun : Ends) {
      Observed.Runs[TraceByEnd.at(EndedRun.Number)].LeaseExpiredFirst = true;
    }
  }
  for (auto RunIt = Runs.begin(); RunIt != Runs.end();) {
    const ActiveRun &Run = RunIt->second;
    if (isAtWork(Run, Now)) {
      Observed.Runs[Run.TraceIndex].LastAtWork = Now;
    }
    const bool HasEnded = (!Run.LongRunning || FailsAll) && !Hangs &&
                          Now - Run.StartedAt >= RunDuration;
    const bool LeaseExpired = clock(Now) >= LeaseUntil;
    const bool IsStopped = Run.StopsAt && Now >= *Run.StopsAt;
    if (!HasEnded && !LeaseExpired && !IsStopped) {
      ++RunIt;
      continue;
    }
    const RunOutcome OwnEnd = FailsAll ? RunOutcome::Failed : RunOutcome::Done;
    end(RunIt->first, Run,
        HasEnded    ? OwnEnd
        : IsStopped ? RunOutcome::Stopped
                    : RunOutcome::Lost,
        Now, Observed);
    RunIt = Runs.erase(RunIt);
  }
}

void FakeWorker::endAll(Instant Now, History &Observed) {
  for (const auto &[Task, Run] : Runs) {
    Observed.Runs[Run.TraceIndex].EndedAt = Now;
    Observed.Runs[Run.TraceIndex].End = RunOutcome::Lost;
  }
  Runs.clear();
}

void FakeWorker::crash(Instant Now, History &Observed) {
  endAll(Now, Observed);
  HasCrashed = false;
  FinishedRuns.clear();
  Ends.clear();
  EndCount = 0;
  HighestToken = {};
  LeaseUntil = {};
  TraceByEnd.clear();
  BootedAt = Now;
  Record.Instance.Incarnation =
      std::max(Record.Instance.Incarnation + 1, incarnationAt(Now));
}

Simulation::Simulation(unsigned WorkerCount, std::uint64_t Seed)
    : Random(Seed) {
  Config->Version = 1;
  Queue TestedQueue;
  TestedQueue.Name = TestQueue;
  TestedQueue.Pool = TestPool;
  TestedQueue.Terms.MaxAttempts = 3;
  TestedQueue.Terms.LatencyObjective = std::chrono::milliseconds(600);
  Config->Queues = {TestedQueue};
  Config->Pools = {{TestPool, false, true}};
  for (unsigned Index = 0; Index < WorkerCount; ++Index) {
    addWorker(TestPool);
  }
  startNewTerm();
}

FakeWorker &Simulation::addWorker(const PoolName &Pool) {
  const std::string Id = fmt::format("w{}", Workers.size());
  FakeWorker &NewWorker = Workers.emplace_back();
  NewWorker.Record.Instance = {Id, 1000};
  NewWorker.Record.Pool = Pool;
  NewWorker.Record.Address = {"10.0.0.1", 1, NewWorker.Record.Instance.Id};
  NewWorker.Record.Capacity = {4000, 4000, 0};
  NewWorker.FormerCapacity = NewWorker.Record.Capacity;
  return NewWorker;
}

void Simulation::endTerm() {
  ++Term;
  RecordInFlight = false;
  JobDispatcher->end();
}

void Simulation::startNewTerm() {
  ++Term;
  RecordInFlight = false;
  RequestedEvents.clear();
  RegistrationsChanged = true;
  JobDispatcher = std::make_unique<Dispatcher>(Time, DispatchOptions(), Log);
  JobDispatcher->begin(FencingToken(Term), Table);
  JobDispatcher->configure(Config);
}

void Simulation::submit(const std::string &Id, jobs::JobSpec Spec) {
  submit(Id, std::move(Spec), Config->Queues.front());
}

void Simulation::submit(const std::string &Id, jobs::JobSpec Spec,
                        const Queue &JobQueue) {
  const JobId Job(Id);
  Specs[Job] = Spec;
  RequestedEvents.emplace_back(
      jobs::JobAccepted{Job, JobQueue.Name, JobQueue.Pool, std::move(Spec),
                        Time.wallNow(), JobQueue.Terms});
}

void Simulation::cancel(const std::string &Id) {
  RequestedEvents.emplace_back(
      jobs::JobClosed{JobId(Id), jobs::JobState::Cancelled, Time.wallNow()});
}

void Simulation::run(Duration Length) {
  for (Duration Elapsed{}; Elapsed < Length; Elapsed += TimeStep) {
    step();
  }
}

void Simulation::step() {
  Time.advance(TimeStep);
  for (FakeWorker &Worker : Workers) {
    Worker.advance(Time.now(), Observed);
  }
  updateRegistrations();
  answerLongPolls();
  std::vector<PendingAction> DueActions;
  for (std::size_t Index = 0; Index < PendingActions.size();) {
    if (PendingActions[Index].DueAt <= Time.now()) {
      DueActions.push_back(std::move(PendingActions[Index]));
      PendingActions.erase(PendingActions.begin() +
                           static_cast<std::ptrdiff_t>(Index));
    } else {
      ++Index;
    }
  }
  for (const PendingAction &Action : DueActions) {
    Action.Action();
  }
  JobDispatcher->tick(!RecordInFlight, true);
  for (const WorkerOrder &Order : JobDispatcher->takeOrders()) {
    send(Order);
  }
  for (const PermitQuery &Query : JobDispatcher->takeQueries()) {
    sendQuery(Query);
  }
  writeJournal();
}

void Simulation::updateRegistrations() {
  if (Registrations) {
    if (std::exchange(RegistrationsChanged, false)) {
      JobDispatcher->setWorkers(*Registrations);
    }
    return;
  }
  std::map<std::string, WorkerRecord> Registered;
  for (const FakeWorker &Worker : Workers) {
    Registered[Worker.Record.Instance.Id] = Worker.Record;
  }
  JobDispatcher->setWorkers(Registered);
}

void Simulation::answerLongPolls() {
  std::vector<LongPoll> Waiting;
  for (LongPoll &Poll : std::exchange(LongPolls, {})) {
    const std::string &Id = Poll.Order.Worker.WorkerId;
    FakeWorker &Worker = *find(Id);
    if (Poll.SenderTerm != Term) {
      continue;
    }
    if (Worker.isReachable() &&
        Worker.Record.Instance.Incarnation == Poll.Incarnation) {
      if (Worker.hasEnds() || Time.now() >= Poll.Until) {
        const RenewReport Report = Worker.report(Time.now());
        reply([this, Id, SentAt = Poll.SentAt, Report] {
          JobDispatcher->handleRenewReply(Id, SentAt, OrderOutcome::Done,
                                          Report);
        });
      } else {
        Waiting.push_back(std::move(Poll));
      }
      continue;
    }
    const Duration Delay =
        Worker.IsDown && IsSilentWhileDown
            ? Poll.Until + Poll.Order.Worker.ReplyTimeout - Time.now()
            : Duration::zero();
    schedule(Delay, [this, Id, SentAt = Poll.SentAt,
                     SenderTerm = Poll.SenderTerm] {
      if (SenderTerm == Term) {
        JobDispatcher->handleRenewReply(Id, SentAt, OrderOutcome::Unknown, {});
      }
    });
  }
  LongPolls.insert(LongPolls.end(), std::make_move_iterator(Waiting.begin()),
                   std::make_move_iterator(Waiting.end()));
}

void Simulation::sendQuery(const PermitQuery &Query) {
  Queries.push_back(Query);
  schedule(Query.Expected + NetworkDelay,
           [this, Query, SenderTerm = Term, AskedAt = Time.now()] {
             if (SenderTerm == Term) {
               JobDispatcher->handleQueryReply(Query, AskedAt, Policy(Query));
             }
           });
}

void Simulation::writeJournal() {
  if (RecordInFlight || JournalUnavailable) {
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
  schedule(JournalDelay, [this, Events, SenderTerm = Term] {
    if (SenderTerm != Term) {
      return; // the write is conditional on the term
    }
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

std::optional<std::size_t> Simulation::indexOf(const std::string &Id) const {
  // IDs are w0, w1 and so on in the order of the workers.
  std::size_t Index = 0;
  const char *End = Id.data() + Id.size();
  return Id.size() > 1 &&
                 std::from_chars(Id.data() + 1, End, Index).ptr == End &&
                 Index < Workers.size() &&
                 Workers[Index].Record.Instance.Id == Id
             ? std::optional(Index)
             : std::nullopt;
}

FakeWorker *Simulation::find(const std::string &Id) {
  const std::optional<std::size_t> Index = indexOf(Id);
  return Index ? &Workers[*Index] : nullptr;
}

const FakeWorker *Simulation::find(const std::string &Id) const {
  const std::optional<std::size_t> Index = indexOf(Id);
  return Index ? &Workers[*Index] : nullptr;
}

void Simulation::schedule(Duration Delay, std::function<void()> Action) {
  PendingActions.push_back({Time.now() + Delay, std::move(Action)});
}

bool Simulation::isLongRunning(const TaskRef &Task) const {
  return Specs.at(Task.Job).Steps[Task.Step].LongRunning;
}

void Simulation::send(const WorkerOrder &Order) {
  const auto *Renewal = std::get_if<RenewOrder>(&Order);
  const Duration ReplyTimeout =
      workerOf(Order).ReplyTimeout +
      (Renewal != nullptr && HasLongPolls ? Renewal->Wait : Duration::zero());
  const bool ReplyLost =
      (LosesAnswer && LosesAnswer(Order)) || ReplyDelay > ReplyTimeout ||
      (IsSilentWhileDown && find(workerOf(Order).WorkerId)->IsDown);
  const std::optional<Duration> ExtraDelay =
      OrderDelay ? OrderDelay(Order) : std::optional<Duration>();
  const Duration Delay = ExtraDelay.value_or(NetworkDelay);
  const auto Deliver =
      [this, Order, SenderTerm = Term, SendsReply = !ReplyLost && !ExtraDelay,
       SentAt = Time.now()] { deliver(Order, SenderTerm, SendsReply, SentAt); };
  if (Delay <= ReplyTimeout || HeldOrdersOutliveWorkers) {
    schedule(Delay, Deliver);
  } else {
    schedule(ReplyTimeout, [this, Id = workerOf(Order).WorkerId, Deliver,
                            HeldFor = Delay - ReplyTimeout] {
      holdOrder(Id, HeldFor, Deliver);
    });
  }
  if (!ReplyLost && !ExtraDelay) {
    return;
  }
  // The sender gives up waiting for a reply.
  schedule(ReplyTimeout, [this, Order, ReplyTimeout, SenderTerm = Term] {
    if (SenderTerm != Term) {
      return;
    }
    if (const auto *Renew = std::get_if<RenewOrder>(&Order)) {
      JobDispatcher->handleRenewReply(Renew->Worker.WorkerId,
                                      Time.now() - ReplyTimeout,
                                      OrderOutcome::Unknown, {});
    } else if (const auto *Start = std::get_if<StartOrder>(&Order)) {
      JobDispatcher->handleStartReply(*Start, {OrderOutcome::Unknown});
    } else if (const auto *Stop = std::get_if<StopOrder>(&Order)) {
      JobDispatcher->handleStopReply(*Stop, OrderOutcome::Unknown);
    } else {
      JobDispatcher->handlePaceReply(std::get<PaceOrder>(Order),
                                     OrderOutcome::Unknown);
    }
  });
}

void Simulation::holdOrder(const std::string &WorkerId, Duration HeldFor,
                           const std::function<void()> &Deliver) {
  schedule(HeldFor,
           [this, WorkerId, Deliver, Holder = find(WorkerId)->Record.Instance] {
             if (find(WorkerId)->Record.Instance == Holder) {
               Deliver();
             }
           });
}

void Simulation::reply(std::function<void()> Receive) {
  if (ReplyDelay == Duration::zero()) {
    Receive();
    return;
  }
  schedule(ReplyDelay, [this, SenderTerm = Term, Receive = std::move(Receive)] {
    if (SenderTerm == Term) {
      Receive();
    }
  });
}

void Simulation::deliverRenewal(const RenewOrder &Order,
                                std::uint64_t SenderTerm, bool ReplyArrives) {
  const Instant SentAt = Time.now() - NetworkDelay;
  const std::string &Id = Order.Worker.WorkerId;
  FakeWorker &Worker = *find(Id);
  OrderOutcome Outcome = OrderOutcome::Unknown;
  RenewReport Report;
  if (Worker.isReachable()) {
    Report = Worker.renew(Order, Time.now(), Outcome, Observed);
  }
  if (!ReplyArrives) {
    return;
  }
  if (HasLongPolls && Outcome == OrderOutcome::Done && !Worker.hasEnds() &&
      Order.Wait > Duration::zero()) {
    LongPolls.push_back({Order, SentAt, Time.now() + Order.Wait, SenderTerm,
                         Worker.Record.Instance.Incarnation});
    return;
  }
  reply([this, Id, SentAt, Outcome, Report] {
    JobDispatcher->handleRenewReply(Id, SentAt, Outcome, Report);
  });
}

void Simulation::deliver(const WorkerOrder &Order, std::uint64_t SenderTerm,
                         bool SendsReply, Instant SentAt) {
  const bool ReplyArrives = SendsReply && SenderTerm == Term;
  if (const auto *Renew = std::get_if<RenewOrder>(&Order)) {
    deliverRenewal(*Renew, SenderTerm, ReplyArrives);
  } else if (const auto *Start = std::get_if<StartOrder>(&Order)) {
    FakeWorker &Worker = *find(Start->Worker.WorkerId);
    OrderReply Reply;
    if (Worker.isReachable()) {
      const std::size_t RunCount = Observed.Runs.size();
      Reply = {Worker.start(*Start, isLongRunning(Start->Task), Time.now(),
                            Observed),
               Worker.clock(Time.now())};
      if (Observed.Runs.size() > RunCount) {
        checkLoad(Worker, SentAt);
      }
      if (Reply.Outcome == OrderOutcome::Done && CrashesWorker &&
          CrashesWorker(Start->Task)) {
        schedule(CrashDelay(Start->Task), [this, Order = *Start] {
          crashUnderRun(Order.Worker.WorkerId, Order);
        });
      }
    }
    if (ReplyArrives) {
      reply([this, Start = *Start, Reply] {
        JobDispatcher->handleStartReply(Start, Reply);
      });
    }
  } else if (const auto *Stop = std::get_if<StopOrder>(&Order)) {
    FakeWorker &Worker = *find(Stop->Worker.WorkerId);
    OrderOutcome Outcome = OrderOutcome::Unknown;
    if (Worker.isReachable()) {
      if (BeforeStop) {
        BeforeStop(Worker, *Stop, Time.now() - SentAt > TimeStep);
      }
      Outcome = Worker.stop(*Stop, Time.now(), Observed);
    }
    if (ReplyArrives) {
      reply([this, Stop = *Stop, Outcome] {
        JobDispatcher->handleStopReply(Stop, Outcome);
      });
    }
  } else {
    const auto &Pace = std::get<PaceOrder>(Order);
    FakeWorker &Worker = *find(Pace.Worker.WorkerId);
    OrderOutcome Outcome = OrderOutcome::Unknown;
    if (Worker.isReachable()) {
      Outcome = Worker.pace(Pace);
    }
    if (ReplyArrives) {
      reply([this, Pace, Outcome] {
        JobDispatcher->handlePaceReply(Pace, Outcome);
      });
    }
  }
}

void Simulation::setCapacity(FakeWorker &Worker, Resources Capacity) {
  Worker.FormerCapacity = Worker.Record.Capacity;
  Worker.Record.Capacity = Capacity;
  Worker.CapacityChangedAt = Time.now();
}

void Simulation::checkLoad(const FakeWorker &Worker, Instant SentAt) {
  Resources Used;
  for (const auto &[Task, Run] : Worker.runs()) {
    const jobs::StepSpec &Step = Specs.at(Task.Job).Steps[Task.Step];
    Used += Step.RequestedResources;
    Used.CpuMilli -= Step.BestEffort ? Step.RequestedResources.CpuMilli : 0;
  }
  const bool MayUseFormer =
      SentAt < Worker.CapacityChangedAt + CapacityGracePeriod;
  if (!Used.fitsInto(Worker.Record.Capacity) &&
      !(MayUseFormer && Used.fitsInto(Worker.FormerCapacity))) {
    Observed.Overloads.push_back(fmt::format(
        "{} is loaded beyond its capacity at {} ms", Worker.Record.Instance.Id,
        std::chrono::duration_cast<std::chrono::milliseconds>(
            Time.now().time_since_epoch())
            .count()));
  }
}

void Simulation::crashUnderRun(const std::string &WorkerId,
                               const StartOrder &Order) {
  FakeWorker &Worker = *find(WorkerId);
  const auto TraceIt = std::find_if(
      Observed.Runs.rbegin(), Observed.Runs.rend(), [&](const RunTrace &Run) {
        return Run.Task == Order.Task && Run.Run == Order.Run &&
               Run.Worker == WorkerId;
      });
  if (TraceIt == Observed.Runs.rend() || TraceIt->EndedAt <= Time.now()) {
    return; // the run has ended before
  }
  TraceIt->CrashedWorker = true;
  Worker.endAll(Time.now(), Observed);
  Worker.HasCrashed = true;
  schedule(CrashDownTime, [this, WorkerId] {
    FakeWorker &RestartedWorker = *find(WorkerId);
    if (!RestartedWorker.IsRetired) {
      RestartedWorker.crash(Time.now(), Observed);
    }
  });
}

const jobs::Job &Simulation::job(const std::string &Id) const {
  return *Table.find(JobId(Id));
}

unsigned Simulation::countStarts(const std::string &Id) const {
  return static_cast<unsigned>(std::count_if(
      Observed.Runs.begin(), Observed.Runs.end(),
      [&](const RunTrace &Run) { return Run.Task.Job.Text == Id; }));
}

std::vector<std::string> Simulation::violations() const {
  std::vector<std::string> Violations =
      checkHistory(Observed, Specs, Config->Queues.front().Terms.MaxAttempts);
  Violations.insert(Violations.end(), Observed.Overloads.begin(),
                    Observed.Overloads.end());
  return Violations;
}

} // namespace balsamlatch::dispatch::test
