/// \file
/// The start and end of a leadership term, and the effect of recorded journal
/// events on the state of the dispatcher.

#include "balsamlatch/Dispatch/Dispatcher.h"

#include <algorithm>
#include <utility>

namespace balsamlatch::dispatch {

using jobs::JobEvent;
using jobs::RunOutcome;
using jobs::TaskPhase;
using jobs::TaskRecord;

namespace {

/// Covers late timers and the network time of an order.
constexpr Duration LeaseExpiryMargin = std::chrono::milliseconds(200);
/// Pace, in percent, of best-effort tasks that an earlier lease holder may have
/// throttled.
constexpr unsigned AdoptedPacePercent = 50;
/// A run may crash its worker within so many times as long as the last one of
/// its task went on before a crash, but within MaxSettlingTime at most.
constexpr int SettlingFactor = 2;
constexpr Duration MaxSettlingTime = std::chrono::seconds(2);
/// The time after which the last run of a task met a crash that an earlier
/// leader has seen.
constexpr Duration UnknownCrashDelay = std::chrono::milliseconds(500);
/// A long-running run clears its task of crashes if it goes on for so many
/// times as long as that one, but for MaxSurvivalTime at most.
constexpr int SurvivalFactor = 4;
constexpr Duration MaxSurvivalTime = std::chrono::seconds(30);

/// How far the clocks of two hosts that run entries may be apart.
constexpr Duration MaxEntryClockError = std::chrono::seconds(5);
/// From the placement of a run to the latest time at which a start order of it
/// is carried out.
constexpr Duration LongestStart =
    MaxStartAttempts * MaxDeliveryTime + MaxOrderDelay;

std::string_view runEndName(RunOutcome End) {
  switch (End) {
  case RunOutcome::Done:
    return "done";
  case RunOutcome::Failed:
    return "failed";
  case RunOutcome::Stopped:
    return "stopped";
  case RunOutcome::Lost:
  case RunOutcome::LostAfterStart:
    return "lost";
  case RunOutcome::GangAborted:
    return "gang-broken";
  case RunOutcome::Refused:
    return "refused";
  case RunOutcome::WorkerCrashed:
    return "worker-crashed";
  case RunOutcome::WorkerCrashedOnStart:
    return "worker-crashed-on-start";
  case RunOutcome::WorkerCrashedAlone:
    return "worker-crashed-alone";
  case RunOutcome::WorkerCrashedUnconfirmed:
    return "worker-crashed-unconfirmed";
  }
  return "lost";
}

} // namespace

bool WorkerState::hasBestEffortNextToServing() const {
  bool HasServing = false;
  bool HasBestEffort = false;
  for (const auto &[Task, Run] : Runs) {
    HasServing = HasServing || Run.TailObjective > Duration::zero();
    HasBestEffort = HasBestEffort || Run.BestEffort;
  }
  return HasServing && HasBestEffort;
}

bool WorkerState::hasLabel(const std::string &Label) const {
  return std::find(Record.Labels.begin(), Record.Labels.end(), Label) !=
         Record.Labels.end();
}

Dispatcher::Dispatcher(const Clock &TimeSource, DispatchOptions Options,
                       LogSink &Sink)
    : Time(TimeSource), Settings(Options), Log(Sink) {}

void Dispatcher::begin(FencingToken NewToken, const jobs::JobTable &Jobs) {
  end();
  Token = NewToken;
  Table = &Jobs;
  TermStart = Time.now();
  HasPredecessor = !Jobs.jobs().empty();
  for (const auto &[Id, Job] : Jobs.jobs()) {
    adoptPlacedRuns(Job);
    updateMeanWork(Job);
    if (Job.isOpen()) {
      OpenJobs.insert(Id);
    }
  }
  PlanNeeded = true;
}

void Dispatcher::end() {
  Table = nullptr;
  Fenced = false;
  Workers.clear();
  HostCordons.clear();
  RunCountsByJob.clear();
  ProposedTasks.clear();
  LateCompletions.clear();
  ClosingJobs.clear();
  OpenJobs.clear();
  LastFailedWorker.clear();
  StallCounts.clear();
  Isolation.clear();
  LastCrashDelays.clear();
  WorkerOfEndingRun.clear();
  UnrefusedTasks.clear();
  WorkersWithUnrecordedEnds.clear();
  UnplacedSince.clear();
  DelayedSince.clear();
  RequiredHosts.clear();
  Permits.clear();
  Queries.clear();
  QueriesInFlight.clear();
  NextQueryAt = {};
  BatchInFlight = false;
  LastLostReplyAt = {};
  Events.clear();
  Orders.clear();
}

void Dispatcher::configure(std::shared_ptr<const Deployment> NewConfig) {
  Config = std::move(NewConfig);
  PlanNeeded = true;
  if (Table == nullptr) {
    return;
  }
  // An earlier lease holder may have recorded the last end of a job but not
  // closed the job, and MaxAttempts may have changed.
  for (const JobId &Id : OpenJobs) {
    closeIfDone(Id);
  }
}

void Dispatcher::adoptPlacedRuns(const jobs::Job &Job) {
  for (const auto &[Occurrence, Steps] : Job.Record.Occurrences) {
    for (unsigned Step = 0; Step < Steps.size(); ++Step) {
      for (unsigned Index = 0; Index < Steps[Step].size(); ++Index) {
        const TaskRecord &Task = Steps[Step][Index];
        if (Task.Phase != TaskPhase::Placed) {
          continue;
        }
        WorkerState &Worker = Workers[Task.Worker.Id];
        Worker.Record.Instance.Id = Task.Worker.Id;
        Worker.Record.Instance.Incarnation = std::max(
            Worker.Record.Instance.Incarnation, Task.Worker.Incarnation);
        Worker.IncarnationLearntAt = TermStart;
        const TaskRef Placed{Job.id(), Occurrence, Step, Index};
        RunState Run = makeRun(Placed, Job.spec().Steps[Step], &Task, Task.Run,
                               Task.Worker.Incarnation);
        Run.Phase = RunPhase::Uncertain;
        Run.FromEarlierTerm = true;
        Run.StartsSettledAt = TermStart;
        if (!Run.LongRunning && mayHaveStartOnItsWay(Task)) {
          Run.UnansweredStarts = 1;
          Run.StartsSettledAt = TermStart + MaxDeliveryTime;
        }
        if (Run.BestEffort) {
          Run.Pace.reset();
          Worker.TargetPace = {AdoptedPacePercent, TermStart};
        }
        Run.StopRequested = !Job.isOpen();
        Worker.ClaimedResources += Run.Claim;
        addRun(Worker, Placed, Run);
        Worker.LeasesExpireAt = TermStart + Settings.StoreOutageRenewal;
        extendLeaseExpiry(Worker, Worker.LeasesExpireAt);
      }
    }
  }
}

bool Dispatcher::mayHaveStartOnItsWay(const TaskRecord &Task) const {
  const WallTime Now = Time.wallNow();
  return Now < Task.PlacedAt + LongestStart + MaxEntryClockError ||
         Now < Task.PlacedAt - MaxEntryClockError ||
         Task.PlacedAt == WallTime();
}

void Dispatcher::addRun(WorkerState &Worker, const TaskRef &Task,
                        const RunState &Run) {
  if (Worker.Runs.insert_or_assign(Task, Run).second) {
    ++RunCountsByJob[Task.Job][Worker.Record.Instance.Id];
  }
}

void Dispatcher::removeRun(WorkerState &Worker, const TaskRef &Task) {
  const auto RunIt = Worker.Runs.find(Task);
  if (RunIt == Worker.Runs.end()) {
    return;
  }
  const RunState &Run = RunIt->second;
  if (Run.UnansweredStarts > 0) {
    // The lease refuses a start that is late on the incarnation it is meant
    // for.
    addFormerStart(Worker,
                   {Task, Run.Number, Run.StartsSettledAt,
                    Run.EndedOn == 0 ? Run.WorkerIncarnation : Run.EndedOn});
  }
  Worker.Runs.erase(RunIt);
  const auto JobIt = RunCountsByJob.find(Task.Job);
  const auto CountIt = JobIt->second.find(Worker.Record.Instance.Id);
  if (--CountIt->second == 0) {
    JobIt->second.erase(CountIt);
  }
  if (JobIt->second.empty()) {
    RunCountsByJob.erase(JobIt);
  }
}

RunState Dispatcher::makeRun(const TaskRef &Task, const jobs::StepSpec &Step,
                             const TaskRecord *Record, std::uint32_t Number,
                             std::int64_t WorkerIncarnation) const {
  RunState Run;
  Run.Number = Number;
  Run.WorkerIncarnation = WorkerIncarnation;
  Run.Claim = claimFor(Step);
  Run.LongRunning = Step.LongRunning;
  Run.BestEffort = Step.BestEffort;
  Run.TailObjective = Step.TailObjective;
  Run.StallTimeout = stallTimeout(Task, Step);
  Run.EarlierCrashes = Record == nullptr ? 0 : Record->ConsecutiveCrashes;
  const auto DelayIt = LastCrashDelays.find(Task);
  if (Run.EarlierCrashes > 0 || DelayIt != LastCrashDelays.end()) {
    const Duration CrashDelay =
        DelayIt == LastCrashDelays.end() ? UnknownCrashDelay : DelayIt->second;
    Run.SettlesAfter = std::clamp<Duration>(CrashDelay * SettlingFactor,
                                            SettlingTime, MaxSettlingTime);
    Run.SurvivesAfter = std::clamp<Duration>(CrashDelay * SurvivalFactor,
                                             SurvivalTime, MaxSurvivalTime);
  }
  return Run;
}

Resources Dispatcher::claimFor(const jobs::StepSpec &Step) {
  Resources Claim = Step.RequestedResources;
  if (Step.BestEffort) {
    Claim.CpuMilli = 0;
  }
  return Claim;
}

Duration Dispatcher::leaseBound(Duration Lease) const {
  return Lease * (100 + Settings.ClockSlackPercent) / 100 + LeaseExpiryMargin;
}

void Dispatcher::extendLeaseExpiry(WorkerState &Worker, Instant Now) const {
  Worker.LeasesExpireAt =
      std::max(Worker.LeasesExpireAt, Now + leaseBound(Settings.RunLease));
}

void Dispatcher::handleRecorded(const std::vector<JobEvent> &RecordedEvents) {
  if (Table == nullptr) {
    return;
  }
  BatchInFlight = false;
  std::erase_if(WorkersWithUnrecordedEnds, [this](const std::string &Id) {
    const auto WorkerIt = Workers.find(Id);
    if (WorkerIt == Workers.end()) {
      return true;
    }
    WorkerState &Worker = WorkerIt->second;
    advanceRecordedEnds(Worker, Worker.LastEndInBatch);
    return Worker.LastRecordedEnd == Worker.LastSeenEnd;
  });
  for (const JobEvent &Event : RecordedEvents) {
    std::visit(
        [this](const auto &RecordedEvent) { applyRecorded(RecordedEvent); },
        Event);
  }
  PlanNeeded = true;
}

void Dispatcher::advanceRecordedEnds(WorkerState &Worker,
                                     std::uint64_t Number) {
  if (Worker.LastRecordedEnd < Number) {
    Worker.LastRecordedEnd = Number;
    Worker.NextRenewalAt = std::min(Worker.NextRenewalAt, Time.now());
  }
}

void Dispatcher::applyRecorded(const jobs::JobAccepted &Event) {
  OpenJobs.insert(Event.Job);
  if (const jobs::Job *Job = Table->find(Event.Job)) {
    updateMeanWork(*Job);
  }
}

void Dispatcher::applyRecorded(const jobs::TaskPlaced &Event) {
  ProposedTasks.erase(Event.Task);
  RunState *Run = findRun(Event.Worker.Id, Event.Task, Event.Run);
  const RunOutcome OutcomeWithoutStart = LateCompletions.contains(Event.Task)
                                             ? RunOutcome::Done
                                             : RunOutcome::Refused;
  if (Run == nullptr) {
    Events.emplace_back(
        jobs::TaskEnded{Event.Task, Event.Run, OutcomeWithoutStart, {}});
    return;
  }
  WorkerState &Worker = Workers.at(Event.Worker.Id);
  const jobs::Job *Job = Table->find(Event.Task.Job);
  // Other events of the same record may have ended the job or the task.
  const bool IsStillWanted = Job != nullptr && Job->isOpen() &&
                             !Run->StopRequested &&
                             isCurrentRun(Event.Task, Event.Run) &&
                             OutcomeWithoutStart != RunOutcome::Done;
  // The worker may have restarted or shrunk while the event was being written.
  if (!IsStillWanted || Worker.Record.Instance != Event.Worker ||
      !Worker.hasRoomForClaims()) {
    proposeEnd(Worker, Event.Task, *Run, OutcomeWithoutStart, {});
    return;
  }
  orderStart(Worker, Event.Task, *Run);
}

std::uint32_t Dispatcher::currentRun(const TaskRef &Task) const {
  const jobs::Job *Job = Table->find(Task.Job);
  const TaskRecord *Record = Job == nullptr ? nullptr : Job->find(Task);
  return Record != nullptr && Record->Phase == TaskPhase::Placed ? Record->Run
                                                                 : 0;
}

bool Dispatcher::isCurrentRun(const TaskRef &Task, std::uint32_t Run) const {
  return currentRun(Task) == Run;
}

void Dispatcher::applyRecorded(const jobs::TaskEnded &Event) {
  if (Event.Outcome == RunOutcome::Done) {
    LateCompletions.erase(Event.Task);
  }
  const auto WorkerIt = WorkerOfEndingRun.find(Event.Task);
  if (WorkerIt != WorkerOfEndingRun.end()) {
    const RunState *Run = findRun(WorkerIt->second, Event.Task, Event.Run);
    if (Run != nullptr && Run->Phase == RunPhase::Ending) {
      removeRun(Workers.at(WorkerIt->second), Event.Task);
      WorkerOfEndingRun.erase(WorkerIt);
    }
  }
  closeIfDone(Event.Task.Job);
}

void Dispatcher::applyRecorded(const jobs::JobClosed &Event) {
  OpenJobs.erase(Event.Job);
  Permits.removeJob(Event.Job);
  const auto IsOfJob = [&Event](const auto &TaskEntry) {
    return TaskEntry.first.Job == Event.Job;
  };
  std::erase_if(LastFailedWorker, IsOfJob);
  std::erase_if(StallCounts, IsOfJob);
  std::erase_if(LastCrashDelays, IsOfJob);
  Isolation.removeJob(Event.Job);
  ClosingJobs.erase(Event.Job);
  const auto JobIt = RunCountsByJob.find(Event.Job);
  if (JobIt == RunCountsByJob.end()) {
    return;
  }
  for (const auto &[WorkerId, Count] : JobIt->second) {
    std::map<TaskRef, RunState> &Runs = Workers.at(WorkerId).Runs;
    for (auto RunIt = Runs.lower_bound({Event.Job, 0, 0, 0});
         RunIt != Runs.end() && RunIt->first.Job == Event.Job; ++RunIt) {
      RunIt->second.StopRequested = true;
    }
  }
}

void Dispatcher::closeIfDone(const JobId &Id) {
  const jobs::Job *Job = Table->find(Id);
  if (Job == nullptr || !Job->isOpen() || ClosingJobs.contains(Id)) {
    return;
  }
  jobs::JobState State = jobs::JobState::Failed;
  std::string_view Reason = "a task has used all attempts";
  if (Job->OpenTasks == 0) {
    State = jobs::JobState::Completed;
    Reason = "all tasks are done";
  } else if (Job->HasCrashingTask) {
    Reason = "a task crashes the workers that start it";
  } else if (Config == nullptr ||
             Job->maxFailures() <
                 Config->placementOf(Job->Record.Accepted).Terms.MaxAttempts) {
    return;
  }
  ClosingJobs.insert(Id);
  Events.emplace_back(jobs::JobClosed{Id, State, Time.wallNow()});
  Log.write(
      LogLevel::Info, "job-closed",
      {{"job", Id.Text},
       {"state", State == jobs::JobState::Completed ? "completed" : "failed"},
       {"why", Reason},
       {"failures", Job->maxFailures()}});
}

void Dispatcher::releaseClaim(WorkerState &Worker, RunState &Run) {
  if (Run.Phase != RunPhase::Ending) {
    Run.Phase = RunPhase::Ending;
    Worker.ClaimedResources -= Run.Claim;
  }
}

void Dispatcher::proposeEnd(WorkerState &Worker, const TaskRef &Task,
                            RunState &Run, RunOutcome End,
                            const std::string &Checkpoint) {
  if (Run.Phase == RunPhase::Ending) {
    return;
  }
  if (Run.Phase == RunPhase::Proposed && ProposedTasks.contains(Task)) {
    // The placement must be recorded first; applyRecorded() then ends the run.
    Run.StopRequested = true;
    return;
  }
  Log.write(LogLevel::Info, "run-ended",
            {{"job", Task.Job.Text},
             {"task", taskPath(Task)},
             {"run", Run.Number},
             {"worker", Worker.Record.Instance.Id},
             {"how", runEndName(End)}});
  if (jobs::isCrash(End)) {
    // The worker may be the cause; a run on another one tells.
    LastFailedWorker[Task] = Worker.Record.Instance.Id;
  }
  releaseClaim(Worker, Run);
  WorkerOfEndingRun[Task] = Worker.Record.Instance.Id;
  if (Run.EarlierCrashes > 0 && hasSurvived(Worker, Run)) {
    Events.emplace_back(
        jobs::TaskEnded{Task, Run.Number, RunOutcome::LostAfterStart, {}});
  }
  Events.emplace_back(jobs::TaskEnded{Task, Run.Number, End, Checkpoint});
  if (End != RunOutcome::Done) {
    stopGangPeers(Task, Run.Number);
  }
}

void Dispatcher::stopGangPeers(const TaskRef &EndedMember, std::uint32_t Run) {
  const jobs::Job *Job = Table->find(EndedMember.Job);
  const TaskRecord *EndedRecord =
      Job == nullptr ? nullptr : Job->find(EndedMember);
  if (EndedRecord == nullptr || !Job->spec().Steps[EndedMember.Step].Gang) {
    return;
  }
  TaskRef Peer = EndedMember;
  for (Peer.Index = 0; Peer.Index < Job->spec().Steps[EndedMember.Step].Count;
       ++Peer.Index) {
    const TaskRecord *PeerRecord = Job->find(Peer);
    RunState *PeerRun = PeerRecord == nullptr
                            ? nullptr
                            : findRun(PeerRecord->Worker.Id, Peer, Run);
    if (PeerRun != nullptr && Peer != EndedMember) {
      PeerRun->StopRequested = true;
    }
  }
}

WorkerState *Dispatcher::findWorker(const WorkerInstance &Instance) {
  const auto WorkerIt = Workers.find(Instance.Id);
  return WorkerIt == Workers.end() ||
                 WorkerIt->second.Record.Instance != Instance
             ? nullptr
             : &WorkerIt->second;
}

RunState *Dispatcher::findRun(const std::string &WorkerId, const TaskRef &Task,
                              std::uint32_t Run) {
  return const_cast<RunState *>(
      std::as_const(*this).findRun(WorkerId, Task, Run));
}

const RunState *Dispatcher::findRun(const std::string &WorkerId,
                                    const TaskRef &Task,
                                    std::uint32_t Run) const {
  const auto WorkerIt = Workers.find(WorkerId);
  if (WorkerIt == Workers.end()) {
    return nullptr;
  }
  const auto RunIt = WorkerIt->second.Runs.find(Task);
  return RunIt == WorkerIt->second.Runs.end() || RunIt->second.Number != Run
             ? nullptr
             : &RunIt->second;
}

} // namespace balsamlatch::dispatch
