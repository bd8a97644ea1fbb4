/// \file
/// The course of a term: what the journal holds, what is due, and what is
/// ordered.

#include "balsamlatch/Dispatch/Dispatcher.h"

#include <algorithm>
#include <fmt/format.h>

namespace balsamlatch::dispatch {

using jobs::JobEvent;
using jobs::RunEnd;
using jobs::TaskPhase;
using jobs::TaskRecord;

namespace {

constexpr Duration PlanPeriod = std::chrono::milliseconds(8);
constexpr Duration ForgetPeriod = std::chrono::seconds(1);
/// Host lists in a row without a worker after which its life is over: one may
/// be older than the worker.
constexpr unsigned ListsToBelieve = 2;
/// Covers what a timer is late and the way of an order.
constexpr Duration LapseMargin = std::chrono::milliseconds(200);

/// Where a task stands in its job.
std::string placeOf(const TaskRef &Task) {
  return fmt::format("{}.{}.{}", Task.Occurrence, Task.Step, Task.Index);
}

std::int64_t millisecondsOf(Duration Length) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Length).count();
}

std::string_view endName(RunEnd How) {
  switch (How) {
  case RunEnd::Done:
    return "done";
  case RunEnd::Failed:
    return "failed";
  case RunEnd::Stopped:
    return "stopped";
  case RunEnd::Lost:
    return "lost";
  case RunEnd::GangBroken:
    return "gang-broken";
  case RunEnd::Refused:
    return "refused";
  }
  return "lost";
}

} // namespace

bool WorkerState::hasLabel(const std::string &Label) const {
  return std::find(Record.Labels.begin(), Record.Labels.end(), Label) !=
         Record.Labels.end();
}

Dispatcher::Dispatcher(const Clock &TimeSource, DispatchOptions Options,
                       LogSink &Sink)
    : Time(TimeSource), Settings(Options), Log(Sink) {}

void Dispatcher::begin(FencingToken NewToken, std::uint64_t TermNumber,
                       const jobs::JobBook &Jobs) {
  end();
  Token = NewToken;
  Term = TermNumber;
  Book = &Jobs;
  TermBegan = Time.now();
  for (const auto &[Id, Each] : Jobs.jobs()) {
    adoptPlaced(Each);
    noteArrival(Each);
    if (Each.open()) {
      OpenJobs.insert(Id);
    }
  }
  PlanNeeded = true;
}

void Dispatcher::end() {
  Book = nullptr;
  Fenced = false;
  Workers.clear();
  Proposed.clear();
  DoneProposed.clear();
  CloseProposed.clear();
  OpenJobs.clear();
  LastFailedOn.clear();
  EndingAt.clear();
  BatchOpen = false;
  Events.clear();
  Orders.clear();
}

void Dispatcher::configure(std::shared_ptr<const Deployment> NewConfig) {
  Config = std::move(NewConfig);
  PlanNeeded = true;
  if (Book == nullptr) {
    return;
  }
  // An earlier holder may have recorded the last end of a job but not its
  // close; and the attempts that are allowed may have changed.
  for (const JobId &Id : OpenJobs) {
    closeIfDone(Id);
  }
}

void Dispatcher::adoptPlaced(const jobs::Job &Owner) {
  for (const auto &[Occurrence, Steps] : Owner.Record.Occurrences) {
    for (unsigned Step = 0; Step < Steps.size(); ++Step) {
      for (unsigned Index = 0; Index < Steps[Step].size(); ++Index) {
        const TaskRecord &Task = Steps[Step][Index];
        if (Task.Phase != TaskPhase::Placed) {
          continue;
        }
        WorkerState &Worker = Workers[Task.Worker.Id];
        Worker.Record.Life.Id = Task.Worker.Id;
        Worker.Record.Life.Born =
            std::max(Worker.Record.Life.Born, Task.Worker.Born);
        RunState Run;
        Run.Run = Task.Run;
        Run.Phase = RunPhase::Uncertain;
        Run.EarlierTerm = true;
        Run.PlacedBorn = Task.Worker.Born;
        const jobs::StepSpec &Spec = Owner.spec().Steps[Step];
        Run.Claim = claimOf(Spec);
        Run.Lasting = Spec.Lasting;
        Run.Filler = Spec.Filler;
        Run.StopWanted = !Owner.open();
        Worker.Claimed += Run.Claim;
        Worker.Runs[{Owner.id(), Occurrence, Step, Index}] = Run;
        Worker.LapsedAt = TermBegan + Settings.StorelessRenewal;
        extendLapse(Worker, Worker.LapsedAt);
      }
    }
  }
}

Resources Dispatcher::claimOf(const jobs::StepSpec &Step) {
  Resources Claim = Step.Need;
  if (Step.Filler) {
    Claim.CpuMilli = 0;
  }
  return Claim;
}

void Dispatcher::extendLapse(WorkerState &Worker, Instant Now) {
  const Duration Longest =
      Settings.RunLease * (100 + Settings.ClockSlackPercent) / 100 +
      LapseMargin;
  Worker.LapsedAt = std::max(Worker.LapsedAt, Now + Longest);
}

void Dispatcher::setWorkers(
    const std::map<std::string, WorkerRecord> &Records) {
  if (Book == nullptr) {
    return;
  }
  for (auto &[Id, Worker] : Workers) {
    if (!Records.contains(Id)) {
      Worker.Listed = false;
    }
  }
  for (const auto &[Id, Record] : Records) {
    WorkerState &Worker = Workers[Id];
    if (Record.Life.Born < Worker.Record.Life.Born) {
      continue; // the registration is older than the worker's own word
    }
    if (Record.Life.Born > Worker.Record.Life.Born) {
      takeLife(Worker, Record.Life.Born);
    }
    if (!Worker.Listed) {
      Worker.NextHoldAt = Time.now();
    }
    Worker.Record = Record;
    Worker.Listed = true;
  }
  PlanNeeded = true;
}

void Dispatcher::takeLife(WorkerState &Worker, std::int64_t Born) {
  if (Worker.Record.Life.Born == Born) {
    return;
  }
  for (auto &[Task, Run] : Worker.Runs) {
    if (Run.PlacedBorn < Born) {
      proposeEnd(Worker, Task, Run, RunEnd::Lost, {});
    }
  }
  if (Worker.Record.Life.Born != 0) {
    Log.write(LogLevel::Info, "worker-restarted",
              {{"worker", Worker.Record.Life.Id},
               {"born", Born},
               {"before", Worker.Record.Life.Born}});
  }
  Worker.Record.Life.Born = Born;
  Worker.Contacted = false;
  Worker.EndsSeen = 0;
  Worker.EndsInBatch = 0;
  Worker.EndsRecorded = 0;
  Worker.FailuresInRow = 0;
  Worker.Suspicions = 0;
  Worker.AvoidUntil = {};
}

void Dispatcher::recorded(const std::vector<JobEvent> &Done) {
  if (Book == nullptr) {
    return;
  }
  BatchOpen = false;
  for (auto &[Id, Worker] : Workers) {
    noteRecorded(Worker, Worker.EndsInBatch);
  }
  // The book has the ends of all events now, so none counts as proposed when
  // the first job is looked at.
  for (const JobEvent &Event : Done) {
    dropDoneProposed(Event);
  }
  for (const JobEvent &Event : Done) {
    std::visit([this](const auto &Kind) { recordOf(Kind); }, Event);
  }
  PlanNeeded = true;
}

void Dispatcher::noteRecorded(WorkerState &Worker, std::uint64_t Number) {
  if (Worker.EndsRecorded < Number) {
    Worker.EndsRecorded = Number;
    Worker.NextHoldAt = std::min(Worker.NextHoldAt, Time.now());
  }
}

void Dispatcher::recordOf(const jobs::JobAccepted &Event) {
  OpenJobs.insert(Event.Job);
  if (const jobs::Job *Owner = Book->find(Event.Job)) {
    noteArrival(*Owner);
  }
}

void Dispatcher::recordOf(const jobs::TaskPlaced &Event) {
  Proposed.erase(Event.Task);
  RunState *Run = findRun(Event.Worker.Id, Event.Task, Event.Run);
  if (Run == nullptr) {
    Events.emplace_back(
        jobs::TaskEnded{Event.Task, Event.Run, RunEnd::Refused, {}});
    return;
  }
  WorkerState &Worker = Workers.at(Event.Worker.Id);
  const jobs::Job *Owner = Book->find(Event.Task.Job);
  const bool Wanted = Owner != nullptr && Owner->open() && !Run->StopWanted;
  // The worker's life may have ended while the record was written.
  if (!Wanted || Worker.Record.Life != Event.Worker) {
    proposeEnd(Worker, Event.Task, *Run, RunEnd::Refused, {});
    return;
  }
  orderStart(Worker, Event.Task, *Run);
}

void Dispatcher::recordOf(const jobs::TaskEnded &Event) {
  const auto At = EndingAt.find(Event.Task);
  if (At != EndingAt.end()) {
    const RunState *Run = findRun(At->second, Event.Task, Event.Run);
    if (Run != nullptr && Run->Phase == RunPhase::Ending) {
      Workers.at(At->second).Runs.erase(Event.Task);
      EndingAt.erase(At);
    }
  }
  closeIfDone(Event.Task.Job);
}

void Dispatcher::recordOf(const jobs::JobClosed &Event) {
  OpenJobs.erase(Event.Job);
  CloseProposed.erase(Event.Job);
  for (auto &[Id, Worker] : Workers) {
    for (auto &[Task, Run] : Worker.Runs) {
      if (Task.Job == Event.Job) {
        Run.StopWanted = true;
      }
    }
  }
}

void Dispatcher::dropDoneProposed(const JobEvent &Event) {
  const auto *Ended = std::get_if<jobs::TaskEnded>(&Event);
  if (Ended == nullptr || Ended->How != RunEnd::Done) {
    return;
  }
  const auto Count = DoneProposed.find(Ended->Task.Job);
  if (Count != DoneProposed.end() && --Count->second == 0) {
    DoneProposed.erase(Count);
  }
}

void Dispatcher::closeIfDone(const JobId &Id) {
  const jobs::Job *Owner = Book->find(Id);
  if (Owner == nullptr || !Owner->open() || CloseProposed.contains(Id)) {
    return;
  }
  const auto Count = DoneProposed.find(Id);
  const std::uint64_t Done = Count == DoneProposed.end() ? 0 : Count->second;
  jobs::JobState State = jobs::JobState::Running;
  if (Owner->OpenTasks <= Done) {
    State = jobs::JobState::Completed;
  } else {
    const Queue *From = Config == nullptr
                            ? nullptr
                            : Config->find(Owner->Record.Accepted.Queue);
    if (From == nullptr || Owner->worstFailures() < From->MaxAttempts) {
      return;
    }
    State = jobs::JobState::Failed;
  }
  CloseProposed.insert(Id);
  Events.emplace_back(jobs::JobClosed{Id, State, Time.wallNow()});
  Log.write(
      LogLevel::Info, "job-closed",
      {{"job", Id.Text},
       {"state", State == jobs::JobState::Completed ? "completed" : "failed"},
       {"failures", Owner->worstFailures()}});
}

void Dispatcher::release(WorkerState &Worker, RunState &Run) {
  if (Run.Phase != RunPhase::Ending) {
    Run.Phase = RunPhase::Ending;
    Worker.Claimed -= Run.Claim;
  }
}

void Dispatcher::proposeEnd(WorkerState &Worker, const TaskRef &Task,
                            RunState &Run, RunEnd How,
                            const std::string &Checkpoint) {
  if (Run.Phase == RunPhase::Ending) {
    return;
  }
  if (Run.Phase == RunPhase::Proposed && Proposed.contains(Task)) {
    // Its record comes first; recordOf() ends the run then.
    Run.StopWanted = true;
    return;
  }
  Log.write(LogLevel::Info, "run-ended",
            {{"job", Task.Job.Text},
             {"task", placeOf(Task)},
             {"run", Run.Run},
             {"worker", Worker.Record.Life.Id},
             {"how", endName(How)}});
  release(Worker, Run);
  EndingAt[Task] = Worker.Record.Life.Id;
  Events.emplace_back(jobs::TaskEnded{Task, Run.Run, How, Checkpoint});
  if (How == RunEnd::Done && !Run.Lasting) {
    ++DoneProposed[Task.Job];
    closeIfDone(Task.Job);
  }
}

void Dispatcher::loseAll(WorkerState &Worker, std::string_view Why) {
  for (auto &[Task, Run] : Worker.Runs) {
    if (Run.Phase == RunPhase::Ending || Run.Phase == RunPhase::Proposed) {
      continue;
    }
    Log.write(LogLevel::Info, "run-lost",
              {{"job", Task.Job.Text},
               {"worker", Worker.Record.Life.Id},
               {"run", Run.Run},
               {"why", Why}});
    proposeEnd(Worker, Task, Run, RunEnd::Lost, Run.Checkpoint);
  }
}

WorkerState *Dispatcher::findWorker(const WorkerLife &Life) {
  const auto Found = Workers.find(Life.Id);
  return Found == Workers.end() || Found->second.Record.Life != Life
             ? nullptr
             : &Found->second;
}

RunState *Dispatcher::findRun(const std::string &WorkerId, const TaskRef &Task,
                              std::uint32_t Run) {
  const auto Worker = Workers.find(WorkerId);
  if (Worker == Workers.end()) {
    return nullptr;
  }
  const auto Found = Worker->second.Runs.find(Task);
  return Found == Worker->second.Runs.end() || Found->second.Run != Run
             ? nullptr
             : &Found->second;
}

void Dispatcher::tick(bool MayPlace, bool MayRenew) {
  if (Book == nullptr || Fenced) {
    return;
  }
  const Instant Now = Time.now();
  expireLeases(Now);
  for (auto &[Id, Worker] : Workers) {
    if (!BatchOpen && Events.empty()) {
      noteRecorded(Worker, Worker.EndsSeen); // they needed no record
    }
    orderStops(Worker);
    orderHold(Worker, Now, MayRenew);
  }
  if (MayPlace && PlanNeeded && Now >= NextPlanAt) {
    NextPlanAt = Now + PlanPeriod;
    PlanNeeded = false;
    plan(Now);
  }
  if (Now >= NextForgetAt) {
    NextForgetAt = Now + ForgetPeriod;
    PlanNeeded = true; // times of scheduled jobs come without an event
    forgetOld();
  }
}

void Dispatcher::forgetOld() {
  const WallTime Before = Time.wallNow() - Settings.StatusRetention;
  for (const auto &[Id, Each] : Book->jobs()) {
    if (!Each.open() && Each.PlacedTasks == 0 &&
        Each.Record.ClosedAt < Before) {
      Events.emplace_back(jobs::JobForgotten{Id});
    }
  }
}

void Dispatcher::expireLeases(Instant Now) {
  for (auto It = Workers.begin(); It != Workers.end();) {
    WorkerState &Worker = It->second;
    if (!Worker.Runs.empty() && Now >= Worker.LapsedAt &&
        (Worker.Silent || !Worker.Contacted)) {
      loseAll(Worker, "its worker can't be reached and the lease has run out");
    }
    if (!Worker.Listed && Worker.Runs.empty() && Now >= Worker.LapsedAt) {
      It = Workers.erase(It);
    } else {
      ++It;
    }
  }
}

void Dispatcher::orderStops(WorkerState &Worker) {
  if (!Worker.Listed && !Worker.Contacted) {
    return;
  }
  for (auto &[Task, Run] : Worker.Runs) {
    const bool Present = Run.Phase == RunPhase::Running ||
                         (Run.Phase == RunPhase::Uncertain && !Run.EarlierTerm);
    if (!Present || Run.StopInFlight ||
        (!Run.StopWanted && Run.Phase == RunPhase::Running)) {
      continue;
    }
    if (Run.StopConfirmedAt) {
      continue; // the next report shows its end
    }
    Run.StopInFlight = true;
    Orders.emplace_back(StopOrder{Worker.Record.Address, Token, Task, Run.Run});
  }
}

void Dispatcher::orderHold(WorkerState &Worker, Instant Now, bool MayRenew) {
  if (Worker.HoldInFlight || Now < Worker.NextHoldAt ||
      Worker.Record.Address.Ip.empty() ||
      (!Worker.Listed && Worker.Runs.empty())) {
    return;
  }
  HoldOrder Order;
  Order.To = Worker.Record.Address;
  Order.Token = Token;
  Order.EndsRecorded = Worker.EndsRecorded;
  // Ends that the journal doesn't hold yet would be reported again at once.
  const bool EndsOpen = Worker.EndsSeen != Worker.EndsRecorded;
  if (Worker.Contacted && !Worker.Silent && !Worker.Runs.empty() && !EndsOpen) {
    const bool Starting = std::any_of(
        Worker.Runs.begin(), Worker.Runs.end(), [](const auto &Run) {
          return Run.second.Lasting && Run.second.Percent == 0;
        });
    Order.Wait = Starting ? Settings.StartingHoldWait : Settings.HoldWait;
  }
  // A worker that doesn't answer isn't renewed: its runs could never be taken
  // as ended otherwise.
  if (Worker.Contacted && !Worker.Silent && MayRenew && !Worker.Runs.empty()) {
    Order.LeaseUntil =
        Worker.clockAt(Now) +
        std::chrono::duration_cast<WorkerClock>(Settings.RunLease);
    extendLapse(Worker, Now);
  }
  Worker.HoldInFlight = true;
  Orders.emplace_back(std::move(Order));
}

void Dispatcher::orderStart(WorkerState &Worker, const TaskRef &Task,
                            RunState &Run) {
  const jobs::Job *Owner = Book->find(Task.Job);
  const Instant Now = Time.now();
  StartOrder Order;
  Order.To = Worker.Record.Address;
  Order.Token = Token;
  Order.Task = Task;
  Order.Run = Run.Run;
  Order.SpecText = Owner->spec().Text;
  Order.LeaseUntil = Worker.clockAt(Now) +
                     std::chrono::duration_cast<WorkerClock>(Settings.RunLease);
  Order.Checkpoint = Owner->find(Task)->Checkpoint;
  extendLapse(Worker, Now);
  Run.Phase = RunPhase::Ordered;
  Log.write(LogLevel::Info, "run-ordered",
            {{"job", Task.Job.Text},
             {"task", placeOf(Task)},
             {"run", Run.Run},
             {"worker", Worker.Record.Life.Id},
             {"used_cpu_milli", Worker.Claimed.CpuMilli},
             {"report_age_ms", millisecondsOf(Now - Worker.LastReportAt)}});
  Orders.emplace_back(std::move(Order));
}

std::vector<JobEvent> Dispatcher::takeEvents() {
  BatchOpen = BatchOpen || !Events.empty();
  for (auto &[Id, Worker] : Workers) {
    Worker.EndsInBatch = Worker.EndsSeen;
  }
  return std::exchange(Events, {});
}

std::vector<WorkerOrder> Dispatcher::takeOrders() {
  return std::exchange(Orders, {});
}

void Dispatcher::setLeaving(const std::string &WorkerId, bool Leaving) {
  setCordoned(WorkerId, Leaving);
  const auto Found = Workers.find(WorkerId);
  if (Found != Workers.end()) {
    Found->second.Leaving = Leaving;
  }
}

void Dispatcher::moveRun(const std::string &WorkerId, const TaskRef &Task) {
  const auto Found = Workers.find(WorkerId);
  if (Found == Workers.end() || !Found->second.Runs.contains(Task)) {
    return;
  }
  Found->second.Runs[Task].StopWanted = true;
  Log.write(LogLevel::Info, "run-moved",
            {{"job", Task.Job.Text},
             {"worker", WorkerId},
             {"why", "its host is to be maintained"}});
}

void Dispatcher::setHostedWorkers(const std::set<std::string> &Ids) {
  for (auto &[Id, Worker] : Workers) {
    if (Ids.contains(Id)) {
      Worker.UnhostedLists = 0;
    } else if ((Worker.Silent || !Worker.Contacted) &&
               ++Worker.UnhostedLists >= ListsToBelieve) {
      loseAll(Worker, "no host runs its worker any more");
    }
  }
}

void Dispatcher::hostTaken(const std::string &WorkerId) {
  const auto Found = Workers.find(WorkerId);
  if (Book == nullptr || Found == Workers.end()) {
    return;
  }
  loseAll(Found->second, "its host was moved or maintained");
  Found->second.Listed = false;
  Found->second.Cordoned = true;
  Found->second.Silent = true;
}

void Dispatcher::setCordoned(const std::string &WorkerId, bool Cordoned) {
  const auto Found = Workers.find(WorkerId);
  if (Found != Workers.end()) {
    Found->second.Cordoned = Cordoned;
    PlanNeeded = true;
  }
}

} // namespace balsamlatch::dispatch
