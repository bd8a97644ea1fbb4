/// \file
/// The course of a term: its begin, and what the journal holds.

#include "balsamlatch/Dispatch/Dispatcher.h"

#include <algorithm>

namespace balsamlatch::dispatch {

using jobs::JobEvent;
using jobs::RunEnd;
using jobs::TaskPhase;
using jobs::TaskRecord;

namespace {

/// Covers what a timer is late and the way of an order.
constexpr Duration LapseMargin = std::chrono::milliseconds(200);
/// Percent for fillers that an earlier holder may have slowed down.
constexpr unsigned AdoptedPace = 50;

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

bool WorkerState::shared() const {
  bool Serving = false;
  bool Filling = false;
  for (const auto &[Task, Run] : Runs) {
    Serving = Serving || Run.TailObjective > Duration::zero();
    Filling = Filling || Run.Filler;
  }
  return Serving && Filling;
}

bool WorkerState::hasLabel(const std::string &Label) const {
  return std::find(Record.Labels.begin(), Record.Labels.end(), Label) !=
         Record.Labels.end();
}

Dispatcher::Dispatcher(const Clock &TimeSource, DispatchOptions Options,
                       LogSink &Sink)
    : Time(TimeSource), Settings(Options), Log(Sink) {}

void Dispatcher::begin(FencingToken NewToken, const jobs::JobBook &Jobs) {
  end();
  Token = NewToken;
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
  CloseProposed.clear();
  OpenJobs.clear();
  LastFailedOn.clear();
  EndingAt.clear();
  UnplacedSince.clear();
  Lacking.clear();
  Permits.clear();
  Queries.clear();
  QueriesOut.clear();
  NextQueryAt = {};
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
        Run.TailObjective = Spec.TailObjective;
        if (Run.Filler) {
          Run.Pace.reset();
          Worker.Fillers = {AdoptedPace, TermBegan};
        }
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
  Permits.forget(Event.Job);
  CloseProposed.erase(Event.Job);
  for (auto &[Id, Worker] : Workers) {
    for (auto &[Task, Run] : Worker.Runs) {
      if (Task.Job == Event.Job) {
        Run.StopWanted = true;
      }
    }
  }
}

void Dispatcher::closeIfDone(const JobId &Id) {
  const jobs::Job *Owner = Book->find(Id);
  if (Owner == nullptr || !Owner->open() || CloseProposed.contains(Id)) {
    return;
  }
  jobs::JobState State = jobs::JobState::Running;
  if (Owner->OpenTasks == 0) {
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
  if (How != RunEnd::Done) {
    stopGang(Task, Run.Run);
  }
}

void Dispatcher::stopGang(const TaskRef &Ended, std::uint32_t Run) {
  const jobs::Job *Owner = Book->find(Ended.Job);
  const TaskRecord *Own = Owner == nullptr ? nullptr : Owner->find(Ended);
  if (Own == nullptr || !Owner->spec().Steps[Ended.Step].Gang) {
    return;
  }
  TaskRef Member = Ended;
  for (Member.Index = 0; Member.Index < Owner->spec().Steps[Ended.Step].Count;
       ++Member.Index) {
    const TaskRecord &Record = *Owner->find(Member);
    RunState *Other = findRun(Record.Worker.Id, Member, Run);
    if (Other != nullptr && Member != Ended) {
      Other->StopWanted = true;
    }
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

} // namespace balsamlatch::dispatch
