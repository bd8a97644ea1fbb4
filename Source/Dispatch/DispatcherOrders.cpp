/// \file
/// What is due: orders to workers, leases that run out, records that may go;
/// and what becomes of workers whose hosts are ordered.

#include "balsamlatch/Dispatch/Dispatcher.h"

#include <algorithm>

namespace balsamlatch::dispatch {

using jobs::JobEvent;

namespace {

constexpr Duration PlanPeriod = std::chrono::milliseconds(8);
constexpr Duration ForgetPeriod = std::chrono::seconds(1);
/// Host lists in a row without a worker after which its life is over: one may
/// be older than the worker.
constexpr unsigned ListsToBelieve = 2;

std::int64_t millisecondsOf(Duration Length) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Length).count();
}

} // namespace

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
    orderPaces(Worker, Now);
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

void Dispatcher::orderPaces(WorkerState &Worker, Instant Now) {
  // Fillers begin whole, so that most workers need no orders at all.
  if (Worker.Fillers.ChangedAt == Instant() || Now < Worker.NextPaceAt) {
    return;
  }
  for (auto &[Task, Run] : Worker.Runs) {
    if (!Run.Filler || Run.Phase != RunPhase::Running || Run.StopWanted ||
        Run.PaceInFlight || Run.Pace == Worker.Fillers.Percent) {
      continue;
    }
    Run.PaceInFlight = true;
    Orders.emplace_back(PaceOrder{Worker.Record.Address, Token, Task, Run.Run,
                                  Worker.Fillers.Percent});
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
    Order.Wait = Starting          ? Settings.StartingHoldWait
                 : Worker.shared() ? Settings.SharedHoldWait
                                   : Settings.HoldWait;
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
  Order.Ticket = Run.Ticket;
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

std::vector<PermitQuery> Dispatcher::takeQueries() {
  return std::exchange(Queries, {});
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
