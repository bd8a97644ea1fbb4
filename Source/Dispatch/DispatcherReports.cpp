/// \file
/// What the workers' answers mean for their runs.

#include "balsamlatch/Dispatch/Dispatcher.h"

#include <algorithm>
#include <fmt/format.h>

namespace balsamlatch::dispatch {

using jobs::RunEnd;

namespace {

/// A worker that failed this many runs in a row, of more than one job, is
/// avoided for a while.
constexpr unsigned FailuresToAvoid = 3;
constexpr Duration FirstAvoidance = std::chrono::seconds(2);
constexpr unsigned MaxAvoidanceDoublings = 3;
/// A worker that has no room, though it should have, is left alone so long.
constexpr Duration NoRoomPause = std::chrono::milliseconds(100);
constexpr Duration UnhealthyPause = std::chrono::milliseconds(500);
/// Time from a pace order that wasn't carried out to the next one.
constexpr Duration PaceRetry = std::chrono::milliseconds(200);
/// Time from a query that wasn't answered to the next one.
constexpr Duration QueryRetry = std::chrono::milliseconds(100);
/// Time from a hold without answer to the next one.
constexpr Duration SilentHoldPeriod = std::chrono::milliseconds(250);
/// Time between holds while the journal is behind.
constexpr Duration UnrecordedHoldPeriod = std::chrono::milliseconds(500);

} // namespace

void Dispatcher::holdAnswered(const std::string &WorkerId, Instant SentAt,
                              OrderOutcome Outcome, const HoldReport &Report) {
  const auto Found = Workers.find(WorkerId);
  if (Book == nullptr || Found == Workers.end()) {
    return;
  }
  WorkerState &Worker = Found->second;
  const Instant Now = Time.now();
  Worker.HoldInFlight = false;
  if (Outcome != OrderOutcome::Done) {
    Fenced = Fenced || Outcome == OrderOutcome::Fenced;
    if (!Worker.Silent && Worker.Contacted) {
      Log.write(LogLevel::Info, "worker-silent",
                {{"worker", WorkerId}, {"outcome", static_cast<int>(Outcome)}});
    }
    Worker.Silent = true;
    Worker.NextHoldAt = Now + SilentHoldPeriod;
    return;
  }
  if (Report.Born != 0 && Report.Born < Worker.Record.Life.Born) {
    Worker.NextHoldAt = Now; // an answer of an earlier life
    return;
  }
  if (Report.Born > Worker.Record.Life.Born) {
    takeLife(Worker, Report.Born);
  }
  PlanNeeded = PlanNeeded || Worker.Silent || !Worker.Contacted;
  if (!Worker.Contacted) {
    // The worker has this term's token now, so no earlier holder can renew
    // there any longer.
    Worker.LapsedAt = {};
    extendLapse(Worker, Now);
  }
  Worker.Silent = false;
  Worker.Contacted = true;
  Worker.Clock = Report.Clock;
  Worker.ClockAt = Now;
  Worker.LastReportAt = Now;
  takeEnds(Worker, Report);
  takeRunning(Worker, Report, SentAt);
  adjustPace(Worker, Now);
  Worker.NextHoldAt =
      Now + (Worker.Runs.empty() ? Settings.IdleHoldPeriod : Settings.HoldGap);
  if (Worker.EndsSeen != Worker.EndsRecorded) {
    Worker.NextHoldAt = Now + UnrecordedHoldPeriod;
  }
}

void Dispatcher::takeEnds(WorkerState &Worker, const HoldReport &Report) {
  for (const EndedTask &Ended : Report.Ended) {
    if (Ended.Number <= Worker.EndsSeen) {
      continue;
    }
    Worker.EndsSeen = Ended.Number;
    PlanNeeded = true;
    const auto Found = Worker.Runs.find(Ended.Task);
    if (Found == Worker.Runs.end() || Found->second.Run != Ended.Run) {
      takeLateEnd(Ended);
      continue;
    }
    noteHealth(Worker, Ended.Task, Ended.How);
    proposeEnd(Worker, Ended.Task, Found->second, Ended.How, Ended.Checkpoint);
  }
}

void Dispatcher::takeLateEnd(const EndedTask &Ended) {
  const jobs::Job *Owner = Book->find(Ended.Task.Job);
  const jobs::TaskRecord *Task =
      Owner == nullptr ? nullptr : Owner->find(Ended.Task);
  if (Ended.How != RunEnd::Done || Task == nullptr ||
      Task->Phase == jobs::TaskPhase::Done || Task->Run != Ended.Run ||
      Owner->spec().Steps[Ended.Task.Step].Lasting || proposed(Ended.Task)) {
    return;
  }
  // Given up as lost, but it was done and its task has not run again.
  Events.emplace_back(
      jobs::TaskEnded{Ended.Task, Ended.Run, Ended.How, Ended.Checkpoint});
}

void Dispatcher::noteHealth(WorkerState &Worker, const TaskRef &Task,
                            RunEnd How) {
  if (How == RunEnd::Done) {
    Worker.FailuresInRow = 0;
    Worker.Suspicions = 0;
    LastFailedOn.erase(Task);
    return;
  }
  if (How != RunEnd::Failed) {
    return;
  }
  LastFailedOn[Task] = Worker.Record.Life.Id;
  const bool OtherJob = Worker.LastFailedJob != Task.Job;
  Worker.LastFailedJob = Task.Job;
  Worker.FailuresInRow += OtherJob || Worker.FailuresInRow == 0 ? 1 : 0;
  if (Worker.FailuresInRow < FailuresToAvoid) {
    return;
  }
  Worker.AvoidUntil = Time.now() + FirstAvoidance * (1U << Worker.Suspicions);
  Worker.Suspicions = std::min(Worker.Suspicions + 1, MaxAvoidanceDoublings);
  Worker.FailuresInRow = FailuresToAvoid - 1;
  Log.write(LogLevel::Warning, "worker-avoided",
            {{"worker", Worker.Record.Life.Id},
             {"why", "runs of several jobs failed one after the other"}});
}

void Dispatcher::takeRunning(WorkerState &Worker, const HoldReport &Report,
                             Instant SentAt) {
  std::set<TaskRef> Present;
  for (const RunningTask &Seen : Report.Running) {
    const auto Found = Worker.Runs.find(Seen.Task);
    if (Found == Worker.Runs.end() || Found->second.Run != Seen.Run) {
      stopOrphan(Worker, Seen);
      continue;
    }
    Present.insert(Seen.Task);
    noteProgress(Worker, Seen, Found->second);
  }
  settleMissing(Worker, Present, SentAt);
}

void Dispatcher::stopOrphan(const WorkerState &Worker,
                            const RunningTask &Seen) {
  Log.write(LogLevel::Info, "run-orphaned",
            {{"job", Seen.Task.Job.Text},
             {"run", Seen.Run},
             {"worker", Worker.Record.Life.Id},
             {"why", "the journal has no such run there"}});
  Orders.emplace_back(
      StopOrder{Worker.Record.Address, Token, Seen.Task, Seen.Run});
}

void Dispatcher::noteProgress(WorkerState &Worker, const RunningTask &Seen,
                              RunState &Run) {
  const Instant Now = Time.now();
  if (Run.Phase == RunPhase::Ending) {
    return;
  }
  if (Run.Phase != RunPhase::Proposed) {
    Run.Phase = RunPhase::Running;
  }
  if (Run.StartedAt == Instant()) {
    Run.StartedAt = Now;
  }
  if (Run.Percent != Seen.Percent || Run.PercentChangedAt == Instant()) {
    Run.Percent = Seen.Percent;
    Run.PercentChangedAt = Now;
  }
  Run.Gauge = Seen.Gauge;
  if (!Seen.Checkpoint.empty() && Seen.Checkpoint != Run.Checkpoint) {
    Run.Checkpoint = Seen.Checkpoint;
    Events.emplace_back(
        jobs::CheckpointSaved{Seen.Task, Seen.Run, Seen.Checkpoint});
  }
  if (!Run.Lasting && !Run.StopWanted &&
      Now - Run.PercentChangedAt > Settings.StallLimit) {
    Log.write(LogLevel::Warning, "run-stalled",
              {{"job", Seen.Task.Job.Text},
               {"worker", Worker.Record.Life.Id},
               {"percent", Run.Percent}});
    Run.StopWanted = true;
    LastFailedOn[Seen.Task] = Worker.Record.Life.Id;
  }
}

void Dispatcher::settleMissing(WorkerState &Worker,
                               const std::set<TaskRef> &Present,
                               Instant SentAt) {
  for (auto &[Task, Run] : Worker.Runs) {
    if (Present.contains(Task)) {
      continue;
    }
    const bool WasThere =
        Run.Phase == RunPhase::Running && Run.StartedAt < SentAt;
    const bool NeverComes =
        Run.Phase == RunPhase::Uncertain &&
        (Run.EarlierTerm ||
         (Run.StopConfirmedAt && *Run.StopConfirmedAt < SentAt));
    if (WasThere || NeverComes) {
      proposeEnd(Worker, Task, Run, RunEnd::Lost, Run.Checkpoint);
    }
  }
}

void Dispatcher::startAnswered(const StartOrder &Order, OrderOutcome Outcome) {
  RunState *Run = Book == nullptr
                      ? nullptr
                      : findRun(Order.To.WorkerId, Order.Task, Order.Run);
  if (Run == nullptr || Run->Phase != RunPhase::Ordered) {
    return;
  }
  WorkerState &Worker = Workers.at(Order.To.WorkerId);
  const Instant Now = Time.now();
  PlanNeeded = true;
  switch (Outcome) {
  case OrderOutcome::Done:
    Run->Phase = RunPhase::Running;
    Run->StartedAt = Now;
    Run->PercentChangedAt = Now;
    Worker.NextHoldAt = std::min(Worker.NextHoldAt, Now + Settings.HoldGap);
    return;
  case OrderOutcome::Unknown:
    Run->Phase = RunPhase::Uncertain;
    Worker.NextHoldAt = std::min(Worker.NextHoldAt, Now);
    return;
  case OrderOutcome::NoRoom:
    Worker.AvoidUntil = Now + NoRoomPause;
    break;
  case OrderOutcome::Unhealthy:
    Worker.AvoidUntil = Now + UnhealthyPause;
    break;
  case OrderOutcome::NoPermit:
    Permits.drop(stepOf(Order.Task), Order.To.WorkerId);
    break;
  case OrderOutcome::OtherWorker:
    Worker.Contacted = false;
    Worker.NextHoldAt = Now;
    break;
  case OrderOutcome::Fenced:
    Fenced = true;
    break;
  case OrderOutcome::TooLate:
  case OrderOutcome::OldRun:
  case OrderOutcome::Invalid:
    Worker.NextHoldAt = std::min(Worker.NextHoldAt, Now);
    break;
  }
  Log.write(LogLevel::Info, "start-refused",
            {{"job", Order.Task.Job.Text},
             {"worker", Order.To.WorkerId},
             {"run", Order.Run},
             {"outcome", static_cast<int>(Outcome)}});
  proposeEnd(Worker, Order.Task, *Run, RunEnd::Refused, {});
}

void Dispatcher::adjustPace(WorkerState &Worker, Instant Now) {
  if (!Worker.shared()) {
    return;
  }
  TailReport Seen{0, Now};
  for (const auto &[Task, Run] : Worker.Runs) {
    if (Run.TailObjective > Duration::zero()) {
      const Duration Tail = std::chrono::milliseconds(Run.Gauge);
      Seen.WorstShare =
          std::max(Seen.WorstShare,
                   std::chrono::duration<double>(Tail) / Run.TailObjective);
    }
  }
  const FillerPace Next = nextPace(Worker.Fillers, Seen);
  if (Next.Percent != Worker.Fillers.Percent) {
    Log.write(
        LogLevel::Info, "fillers-paced",
        {{"worker", Worker.Record.Life.Id},
         {"percent", Next.Percent},
         {"before", Worker.Fillers.Percent},
         {"tail_percent", static_cast<std::int64_t>(Seen.WorstShare * 100)}});
  }
  Worker.Fillers = Next;
}

void Dispatcher::paceAnswered(const PaceOrder &Order, OrderOutcome Outcome) {
  RunState *Run = Book == nullptr
                      ? nullptr
                      : findRun(Order.To.WorkerId, Order.Task, Order.Run);
  Fenced = Fenced || Outcome == OrderOutcome::Fenced;
  if (Run == nullptr) {
    return;
  }
  Run->PaceInFlight = false;
  if (Outcome == OrderOutcome::Done) {
    Run->Pace = Order.Percent;
    return;
  }
  // It may have been carried out, or may be yet; the next order settles it.
  Run->Pace.reset();
  Workers.at(Order.To.WorkerId).NextPaceAt = Time.now() + PaceRetry;
}

void Dispatcher::queryAnswered(const PermitQuery &Asked, Instant AskedAt,
                               const std::optional<PermitReply> &Reply) {
  if (Book == nullptr) {
    return;
  }
  QueriesOut.erase(Asked.Step);
  PlanNeeded = true;
  const jobs::Job *Owner = Book->find(Asked.Step.Job);
  if (!Reply) {
    NextQueryAt = Time.now() + QueryRetry;
  } else if (Owner != nullptr && Owner->open()) {
    Permits.answered(Asked, *Reply, AskedAt);
  }
  Log.write(LogLevel::Info, "permits-asked",
            {{"job", Asked.Step.Job.Text},
             {"step", Asked.Step.Step},
             {"workers", Asked.Workers.size()},
             {"allowed", Reply ? Reply->Allowed.size() : 0},
             {"answered", Reply.has_value()}});
}

void Dispatcher::stopAnswered(const StopOrder &Order, OrderOutcome Outcome) {
  RunState *Run = Book == nullptr
                      ? nullptr
                      : findRun(Order.To.WorkerId, Order.Task, Order.Run);
  if (Run == nullptr) {
    return;
  }
  Run->StopInFlight = false;
  if (Outcome == OrderOutcome::Done || Outcome == OrderOutcome::OldRun) {
    Run->StopConfirmedAt = Time.now();
    WorkerState &Worker = Workers.at(Order.To.WorkerId);
    Worker.NextHoldAt = std::min(Worker.NextHoldAt, Time.now());
  }
  Fenced = Fenced || Outcome == OrderOutcome::Fenced;
}

} // namespace balsamlatch::dispatch
