/// \file
/// Compares what the leader believes with the runs on the workers.

#include "LivenessChecker.h"

#include <algorithm>
#include <fmt/format.h>

namespace balsamlatch::control::test {

using namespace std::chrono_literals;
using dispatch::RunPhase;
using dispatch::TaskRef;
using dispatch::test::RunTrace;

namespace {

/// Time from the end of the last fault in which all tasks must run again: that
/// in which a leader finds out what is lost, and that for the restart.
constexpr Duration RecoveryTime = 4s + 3s;
/// Time in calm for anything that takes one order and one record.
constexpr Duration StepTime = 3s;
/// The longest time of a renewal: the long poll, the time for the reply, and
/// that for the way through a carrier.
constexpr Duration MaxRenewalTime = 1s + dispatch::MaxReplyTimeout + 200ms;
/// A worker is asked for a report at least this often.
constexpr Duration MaxReportAge = 4s;
/// A task that waits is placed within this time if there is room.
constexpr Duration PlacementTime = 300ms;

std::string nameOf(const TaskRef &Task) {
  return fmt::format("{}.{}.{}.{}", Task.Job.Text, Task.Occurrence, Task.Step,
                     Task.Index);
}

/// When the run of a lost worker may be ended at the earliest: a next
/// incarnation may still carry out a start without a reply.
Instant endableSince(const dispatch::RunState &Run) {
  return Run.UnansweredStarts > 0 ? Run.keptUntil() : Instant();
}

} // namespace

std::vector<std::string> checkClaims(const CarrierSimulation &Sim) {
  std::vector<std::string> Violations;
  for (const auto &[Id, Worker] : Sim.dispatcher().workers()) {
    jobs::Resources Claimed;
    for (const auto &[Task, Run] : Worker.Runs) {
      if (Run.Phase != RunPhase::Ending) {
        Claimed += Run.Claim;
      }
    }
    if (Claimed != Worker.ClaimedResources) {
      Violations.push_back(fmt::format(
          "the claimed resources of {} are not those of its runs", Id));
    }
  }
  return Violations;
}

LivenessChecker::LivenessChecker(CarrierSimulation &Simulation)
    : Sim(Simulation), CalmSince(Simulation.Time.now()) {}

void LivenessChecker::report(const std::string &Kind,
                             const std::string &Details) {
  Found.try_emplace(Kind,
                    fmt::format("{} ms into the calm: {}: {}",
                                toMilliseconds(Sim.Time.now() - CalmSince),
                                Kind, Details));
}

void LivenessChecker::expectSoon(const std::string &Kind,
                                 const std::string &Key, bool Holds,
                                 Duration Limit) {
  const std::string Condition = Kind + ' ' + Key;
  if (!Holds) {
    Since.erase(Condition);
    return;
  }
  const auto It = Since.try_emplace(Condition, Sim.Time.now(), Checks).first;
  if (It->second.second + 1 < Checks) {
    It->second.first = Sim.Time.now(); // its object was gone in between
  }
  It->second.second = Checks;
  if (Sim.Time.now() - It->second.first > Limit) {
    report(Kind, Key);
  }
}

void LivenessChecker::check() {
  ++Checks;
  for (const std::string &Violation : checkClaims(Sim)) {
    report("claims", Violation);
  }
  checkRuns();
  checkRenewals();
  checkLongRunningTasks();
}

std::vector<const RunTrace *> LivenessChecker::activeRuns() const {
  std::vector<const RunTrace *> Active;
  for (const RunTrace &Trace : Sim.Observed.Runs) {
    if (Trace.EndedAt == Instant::max()) {
      Active.push_back(&Trace);
    }
  }
  return Active;
}

void LivenessChecker::checkRuns() {
  std::set<std::tuple<std::string, TaskRef, std::uint32_t>> Actual;
  for (const RunTrace *Trace : activeRuns()) {
    Actual.emplace(Trace->Worker, Trace->Task, Trace->Run);
  }
  std::set<std::tuple<std::string, TaskRef, std::uint32_t>> Believed;
  for (const auto &[Id, Worker] : Sim.dispatcher().workers()) {
    if (Sim.isDown(Id)) {
      const bool HasEndableRun = std::any_of(
          Worker.Runs.begin(), Worker.Runs.end(), [&](const auto &RunEntry) {
            return Sim.Time.now() - endableSince(RunEntry.second) >
                   RecoveryTime;
          });
      if (HasEndableRun && Sim.Time.now() - CalmSince > RecoveryTime) {
        report("a lost worker still has runs", Id);
      }
      continue;
    }
    for (const auto &[Task, Run] : Worker.Runs) {
      const std::string Key =
          fmt::format("{} run {} on {}", nameOf(Task), Run.Number, Id);
      Believed.emplace(Id, Task, Run.Number);
      expectSoon("a run is in a phase other than Running",
                 fmt::format("{}, phase {}", Key, static_cast<int>(Run.Phase)),
                 Run.Phase != RunPhase::Running, StepTime);
      expectSoon("a run isn't on its worker", Key,
                 !Actual.contains({Id, Task, Run.Number}), StepTime);
      expectSoon("a stop is requested and the run goes on", Key,
                 Run.StopRequested, StepTime);
      expectSoon("a stop order is in flight", Key, Run.StopInFlight, StepTime);
      expectSoon("a pace order is in flight", Key, Run.PaceInFlight, StepTime);
    }
  }
  for (const auto &Run : Actual) {
    expectSoon("a worker has a run that the leader doesn't know",
               fmt::format("{} run {} on {}", nameOf(std::get<1>(Run)),
                           std::get<2>(Run), std::get<0>(Run)),
               !Believed.contains(Run), StepTime);
  }
}

void LivenessChecker::checkRenewals() {
  const Instant Now = Sim.Time.now();
  for (const auto &[Id, Worker] : Sim.dispatcher().workers()) {
    expectSoon("a renewal is in flight",
               fmt::format("{}, {} unanswered, reported at {} ms", Id,
                           Worker.UnansweredRenewals,
                           toMilliseconds(Worker.LastReportAt - CalmSince)),
               Worker.RenewalInFlight, MaxRenewalTime);
    if (!Worker.IsRegistered || Sim.isDown(Id) ||
        Now - CalmSince < RecoveryTime) {
      continue;
    }
    if (!Worker.HasReported || Now - Worker.LastReportAt > MaxReportAge) {
      report("no report of a worker that is up", Id);
    }
    expectSoon("a worker that is up is taken for unresponsive", Id,
               Worker.IsUnresponsive, Duration::zero());
  }
}

std::size_t LivenessChecker::workersWithRoom(
    const jobs::Resources &Claim,
    const std::map<std::string, jobs::Resources> &Used) const {
  std::size_t Count = 0;
  for (const FakeWorker &Worker : Sim.Workers) {
    jobs::Resources Free = Worker.Record.Capacity;
    if (const auto It = Used.find(Worker.Record.Instance.Id);
        It != Used.end()) {
      Free -= It->second;
    }
    Count += !Worker.IsDown &&
                     Worker.Record.Pool == Sim.Config->Queues.front().Pool &&
                     Claim.fitsInto(Free)
                 ? 1
                 : 0;
  }
  return Count;
}

void LivenessChecker::checkLongRunningTasks() {
  std::set<TaskRef> Running;
  std::map<std::string, jobs::Resources> Used;
  for (const RunTrace *Trace : activeRuns()) {
    Running.insert(Trace->Task);
    const jobs::StepSpec &Step =
        Sim.specs().at(Trace->Task.Job).Steps[Trace->Task.Step];
    Used[Trace->Worker] +=
        Step.BestEffort ? jobs::Resources{} : Step.RequestedResources;
  }
  for (const auto &[Id, Job] : Sim.Table.jobs()) {
    for (unsigned Step = 0; Job.isOpen() && Step < Job.spec().Steps.size();
         ++Step) {
      const jobs::StepSpec &Spec = Job.spec().Steps[Step];
      if (!Spec.LongRunning || !Job.isReady(0, Step)) {
        continue;
      }
      const bool HasRoom = workersWithRoom(Spec.RequestedResources, Used) >= 2;
      for (unsigned Index = 0; Index < Spec.Count; ++Index) {
        const TaskRef Task{Id, 0, Step, Index};
        expectSoon("a long-running task doesn't run although there is room",
                   nameOf(Task),
                   HasRoom && !Running.contains(Task) &&
                       Sim.Time.now() - CalmSince >
                           RecoveryTime - PlacementTime,
                   PlacementTime);
      }
    }
  }
}

void LivenessChecker::watchCarriers() {
  Sim.takeLoad();
  DirectOrdersBefore = Sim.DirectOrders;
}

void LivenessChecker::checkCarriers() {
  const std::size_t DirectOrders = Sim.DirectOrders - DirectOrdersBefore;
  const CarrierLoad Load = Sim.takeLoad();
  const auto Lost = static_cast<std::size_t>(
      std::count_if(Sim.Entries.begin(), Sim.Entries.end(),
                    [](const auto &Each) { return !Each.isInReach(); }));
  // A lost entry may be tried in place of another one.
  const std::size_t Wanted = std::min(Sim.Entries.size(), Sim.wantedCarriers());
  const std::size_t Expected = Wanted - std::min(Lost, Wanted);
  if (Load.Carriers < Expected) {
    report("carriers are missing",
           fmt::format("{} of {}", Load.Carriers, Expected));
  }
  if (Expected > 0 && (DirectOrders > 0 || Load.CarriedOrders == 0)) {
    report(
        "orders aren't carried",
        fmt::format("{} direct, {} carried", DirectOrders, Load.CarriedOrders));
  }
}

std::vector<std::string> LivenessChecker::violations() const {
  std::vector<std::string> Violations;
  for (const auto &[Kind, Text] : Found) {
    Violations.push_back(Text);
  }
  return Violations;
}

} // namespace balsamlatch::control::test
