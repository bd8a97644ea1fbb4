/// \file
/// Places requests on workers, and handles the end of attempts.

#include "EngineImpl.h"

#include <algorithm>

namespace balsamlatch::placement {

namespace {

/// A request is hedged when its run exceeds the 95th percentile by this factor.
constexpr int HedgeFactor = 2;
constexpr Duration MinHedgeDelay = std::chrono::milliseconds(20);
/// Leaves a margin for declared run times, which may be ten times too short.
constexpr int LeaseFactor = 20;
constexpr Duration MinLease = std::chrono::seconds(30);
constexpr unsigned MaxLeaseDoublings = 6;
/// An attempt that was not sent within this time is not sent at all, since the
/// worker may have started to leave.
constexpr Duration DispatchWindow = std::chrono::seconds(1);
/// Time that a due probe of a worker waits for an idempotent request before it
/// uses any request.
constexpr Duration NonIdempotentProbeDelay = std::chrono::seconds(10);

/// Whether the task certainly did not run.
bool provesNotRun(TaskEnd End) {
  return End == TaskEnd::Refused || End == TaskEnd::NotSent;
}

} // namespace

void Engine::Impl::schedulePools() {
  do {
    while (!PoolsToSchedule.empty()) {
      const PoolName Name = *PoolsToSchedule.begin();
      PoolsToSchedule.erase(PoolsToSchedule.begin());
      schedulePool(Name, poolState(Name));
      PoolsWithSlotChanges.insert(Name);
    }
  } while (exchangeSlots());
}

void Engine::Impl::schedulePool(const PoolName &Name, PoolState &Pool) {
  bool HasProgress = Now >= PlacementPausedUntil;
  while (HasProgress && !Pool.Queue.empty()) {
    HasProgress = placeProbe(Name, Pool) || placeGranted(Name, Pool) ||
                  placeByOwnChoice(Name, Pool);
  }
}

/// Sends one request to an ejected worker whose probe is due. Returns whether
/// it handled a request.
bool Engine::Impl::placeProbe(const PoolName &Name, PoolState &Pool) {
  const std::optional<HostName> Host = Health.findDueProbe(Name, Now);
  WorkerState *Worker = Host ? Workers.find(*Host) : nullptr;
  if (Worker == nullptr || !Worker->IsListed || !Worker->View.Accepting ||
      Worker->SlotsInUse >= Worker->View.Slots) {
    return false;
  }
  const QueuedRequest *Candidate = Pool.Queue.next(Now);
  OpenRequest &Req = Requests.at(Candidate->Key);
  if (!Req.Rule.Idempotent &&
      !Health.findDueProbe(Name, Now - NonIdempotentProbeDelay)) {
    return false;
  }
  dispatch(Req, *Worker);
  return true;
}

/// Places one request on a slot that a scheduler granted.
bool Engine::Impl::placeGranted(const PoolName &Name, PoolState &Pool) {
  if (Options.Choice != Policy::SlotGrants) {
    return false;
  }
  const auto TryPlace = [&](const QueuedRequest *Candidate, SlotHolder &Holder,
                            const PoolName &TargetPool, JobClass Class) {
    if (Candidate == nullptr) {
      return false;
    }
    OpenRequest &Req = Requests.at(Candidate->Key);
    const auto IsSuitable = [&](const HostName &Host) {
      const WorkerState *Worker = Workers.find(Host);
      return Worker != nullptr && Worker->isUsable(Now) &&
             Worker->View.Pool == TargetPool &&
             std::find(Req.TriedHosts.begin(), Req.TriedHosts.end(), Host) ==
                 Req.TriedHosts.end();
    };
    const std::optional<HostName> Host =
        Holder.takeGrant(Class, Now, IsSuitable);
    if (Host) {
      dispatch(Req, *Workers.find(*Host));
    }
    return Host.has_value();
  };
  const bool HasNoUnaged = Pool.Queue.unagedCount() == 0;
  return TryPlace(Pool.Queue.nextUrgent(Now), Pool.OwnSlots, Name,
                  JobClass::Prompt) ||
         TryPlace(Pool.Queue.nextPatient(Now), Pool.OwnSlots, Name,
                  JobClass::Patient) ||
         (HasNoUnaged && TryPlace(Pool.Queue.nextUrgent(Now), Pool.OwnSlots,
                                  Name, JobClass::Patient)) ||
         (Pool.SpareSlots && Name != SparePool &&
          TryPlace(Pool.Queue.nextSpill(), *Pool.SpareSlots, SparePool,
                   JobClass::Prompt));
}

/// The next request to place without a grant, or null. Limits patient work to
/// this entry's share of the slots.
const QueuedRequest *Engine::Impl::nextForOwnChoice(const PoolName &Name,
                                                    PoolState &Pool) {
  const QueuedRequest *Candidate = Pool.Queue.next(Now);
  const std::uint32_t PatientShare =
      Workers.slots(Name) * MaxPatientPercent /
      static_cast<std::uint32_t>(100 * liveEntryCount());
  const bool HasUrgent = Pool.Queue.nextUrgent(Now) != nullptr;
  if (!HasUrgent && Pool.PatientSlotsInUse >= std::max(1U, PatientShare)) {
    return nullptr;
  }
  return Candidate;
}

/// Places one request without a grant, on a worker that this entry chooses from
/// its own view.
bool Engine::Impl::placeByOwnChoice(const PoolName &Name, PoolState &Pool) {
  const bool UsesGrants = Options.Choice == Policy::SlotGrants;
  if (UsesGrants && !Pool.OwnSlots.isUnanswered(Now)) {
    return false;
  }
  if (const QueuedRequest *Candidate = nextForOwnChoice(Name, Pool)) {
    OpenRequest &Req = Requests.at(Candidate->Key);
    if (WorkerState *Worker = chooseWorker(Name, Req)) {
      dispatch(Req, *Worker);
      return true;
    }
  }
  const QueuedRequest *Candidate = Pool.Queue.nextSpill();
  if (Candidate == nullptr || SparePool.empty() || SparePool == Name ||
      (UsesGrants && !Pool.SpareSlots->isUnanswered(Now))) {
    return false;
  }
  OpenRequest &Req = Requests.at(Candidate->Key);
  WorkerState *Worker = chooseWorker(SparePool, Req);
  if (Worker != nullptr) {
    dispatch(Req, *Worker);
  }
  return Worker != nullptr;
}

WorkerState *Engine::Impl::chooseWorker(const PoolName &Name,
                                        const OpenRequest &Req) {
  if (Options.Choice == Policy::RoundRobin) {
    return Workers.chooseRoundRobin(Name, Req.TriedHosts, Now);
  }
  return Workers.chooseOfTwoRandom(Name, Req.TriedHosts, Rng, Now);
}

/// The reason why the request must not be sent now; empty if it may.
std::optional<Reason>
Engine::Impl::findDispatchObstacle(const OpenRequest &Req) {
  if (Req.DispatchDeadline <= Now) {
    return Reason::ClaimUnavailable;
  }
  if (Req.Deadline - Now < Statistics.shortestRunTime(Req.Rule, Now)) {
    return Reason::DeadlineUnreachable;
  }
  if (Health.isEjected(Req.Rule.Job) && !Req.IsJobProbe) {
    return Reason::JobEjected;
  }
  return std::nullopt;
}

void Engine::Impl::dispatch(OpenRequest &Req, WorkerState &Worker) {
  const std::optional<Reason> Obstacle = findDispatchObstacle(Req);
  if (!Obstacle) {
    startAttempt(Req, Worker);
    return;
  }
  if (Req.IsHedgeQueued) {
    poolState(Req.Rule.Pool).Queue.remove(Req.Key);
    return;
  }
  finishRequest(Req.Key, Req.MayHaveRun ? Outcome::Unknown : Outcome::NotRun,
                *Obstacle);
}

void Engine::Impl::startAttempt(OpenRequest &Req, WorkerState &Worker) {
  PoolState &Pool = poolState(Req.Rule.Pool);
  const bool IsUnaged = Pool.Queue.isUnaged(Req.Key);
  const JobClass Class = IsUnaged ? JobClass::Patient : JobClass::Prompt;
  Pool.Queue.remove(Req.Key);
  Pool.Queue.acquireSlot(Req.CallerRequest.Team, Class);
  Pool.PatientSlotsInUse += IsUnaged ? 1 : 0;
  const WorkerView &View = Worker.View;
  const bool OnSpare = View.Pool != Req.Rule.Pool;
  (OnSpare ? *Pool.SpareSlots : Pool.OwnSlots).acquireSlot(View.Host, Class);
  Workers.acquire(Worker, Now);
  const AttemptId Attempt(++LastAttempt);
  Attempts.emplace(Attempt,
                   OpenAttempt{Req.Key, View.Host, View.At, Req.Rule.Pool,
                               View.Pool, Req.CallerRequest.Team, Req.Rule.Job,
                               Class, Now, AttemptMachine()});
  if (Worker.IsEjected) {
    Health.startProbe(View.Host);
  }
  Req.Phase = RequestPhase::Running;
  ++Req.AttemptCount;
  Req.RunningAttempts.push_back(Attempt);
  Req.TriedHosts.push_back(View.Host);
  ++Counters.Attempts;
  Counters.Hedges += Req.IsHedgeQueued ? 1 : 0;
  Counters.Spilled += OnSpare ? 1 : 0;
  if (Req.AttemptCount == 1) {
    Pool.Budget.recordFirstAttempt();
  }
  if (Req.AttemptCount == 1 && Req.Rule.Idempotent &&
      Req.Rule.Class == JobClass::Prompt &&
      Statistics.hasEnoughRuns(Req.Rule.Job)) {
    setTimer(Req, Now + std::max(MinHedgeDelay,
                                 HedgeFactor * Statistics.runTime(Req.Rule)));
  }
  Actions.push_back(StartAttempt{
      Attempt, Req.CallerRequest.Id, Req.CallerRequest.Job, View.Host, View.At,
      leaseDuration(Req),
      std::min({Req.Deadline, Req.DispatchDeadline, Now + DispatchWindow})});
  const Reason PlacementReason = Req.IsHedgeQueued      ? Reason::Hedged
                                 : Req.AttemptCount > 1 ? Reason::Retried
                                 : OnSpare              ? Reason::PlacedOnSpare
                                                        : Reason::Placed;
  logDecision(Req.CallerRequest.Id.Text, PlacementReason, Req.Rule.Origin.Line,
              {{"host", View.Host.Text},
               {"pool", View.Pool.Text},
               {"in_use", Worker.SlotsInUse},
               {"queued", Pool.Queue.size()},
               {"try", Req.AttemptCount}});
  Req.IsHedgeQueued = false;
}

/// An idempotent task that exceeds its lease counts as lost and is retried
/// elsewhere; other tasks may run until their deadline.
Duration Engine::Impl::leaseDuration(const OpenRequest &Req) const {
  const Duration TimeLeft = Req.Deadline - Now;
  if (!Req.Rule.Idempotent) {
    return TimeLeft;
  }
  const Duration BaseLease =
      std::max(MinLease, LeaseFactor * Statistics.runTime(Req.Rule));
  const unsigned Doublings = std::min(Req.AttemptCount - 1, MaxLeaseDoublings);
  return std::min(TimeLeft, BaseLease * (1 << Doublings));
}

/// Queues a second attempt of an idempotent request whose first one takes long.
void Engine::Impl::queueHedge(OpenRequest &Req) {
  PoolState &Pool = poolState(Req.Rule.Pool);
  if (Req.AttemptCount != 1 || Req.IsHedgeQueued || !Pool.Budget.trySpend()) {
    return;
  }
  Req.IsHedgeQueued = true;
  enqueue(Req);
}

OpenAttempt Engine::Impl::closeAttempt(AttemptId Attempt) {
  const auto It = Attempts.find(Attempt);
  OpenAttempt EndedAttempt = std::move(It->second);
  Attempts.erase(It);
  PoolState &Pool = poolState(EndedAttempt.QueuePool);
  Pool.Queue.releaseSlot(EndedAttempt.Team);
  Pool.PatientSlotsInUse -= EndedAttempt.SlotClass == JobClass::Patient ? 1 : 0;
  const bool OnSpare = EndedAttempt.WorkerPool != EndedAttempt.QueuePool;
  (OnSpare ? *Pool.SpareSlots : Pool.OwnSlots)
      .releaseSlot(EndedAttempt.Host, EndedAttempt.SlotClass);
  PoolsToSchedule.insert(EndedAttempt.QueuePool);
  PoolsToSchedule.insert(EndedAttempt.WorkerPool);
  if (WorkerState *Worker = Workers.find(EndedAttempt.Host)) {
    Workers.release(*Worker, Now);
  }
  return EndedAttempt;
}

void Engine::Impl::handleEvent(const CancelConfirmed &E) {
  const auto It = Attempts.find(E.Attempt);
  if (It == Attempts.end() ||
      It->second.State.confirmCancel() != AttemptAction::ReleaseSlot) {
    return;
  }
  const OpenAttempt EndedAttempt = closeAttempt(E.Attempt);
  Health.clearProbe(EndedAttempt.Host, EndedAttempt.Job);
}

void Engine::Impl::handleEvent(const AttemptEnded &E) {
  const auto It = Attempts.find(E.Attempt);
  const bool IsWanted = It != Attempts.end() && It->second.State.isRunning();
  const bool IsAnswered = E.End == TaskEnd::Answered;
  if (!IsWanted && IsAnswered) {
    ++Counters.LateAnswers;
    logDecision(std::to_string(E.Attempt.Value), Reason::LateAnswerDropped, 0,
                {});
  }
  if (It == Attempts.end()) {
    return;
  }
  It->second.State.endCall();
  const OpenAttempt EndedAttempt = closeAttempt(E.Attempt);
  if (!IsWanted && !IsAnswered) {
    Health.clearProbe(EndedAttempt.Host, EndedAttempt.Job);
    return;
  }
  recordHealth(EndedAttempt, E.End);
  if (!IsWanted) {
    return;
  }
  OpenRequest &Req = Requests.at(EndedAttempt.Key);
  std::erase(Req.RunningAttempts, E.Attempt);
  settleAttempt(Req, E.Attempt, E.End);
}

/// Records what the end of the attempt shows about the health of the worker and
/// of the job.
void Engine::Impl::recordHealth(const OpenAttempt &EndedAttempt, TaskEnd End) {
  WorkerState *Worker = Workers.find(EndedAttempt.Host);
  if (End == TaskEnd::Answered) {
    Statistics.recordRun(EndedAttempt.Job, Now - EndedAttempt.StartTime, Now);
    applyHealthChange(
        Health.recordSuccess(EndedAttempt.Host, EndedAttempt.Job, Now));
    if (Worker != nullptr) {
      Workers.recordAcceptance(*Worker);
    }
    return;
  }
  if (Worker != nullptr && provesNotRun(End)) {
    Workers.recordRefusal(*Worker, Now);
  }
  if (End == TaskEnd::Refused) {
    Health.clearProbe(EndedAttempt.Host, EndedAttempt.Job);
    return;
  }
  applyHealthChange(
      Health.recordFailure(EndedAttempt.Host, EndedAttempt.WorkerPool,
                           EndedAttempt.Job, !provesNotRun(End), Now));
}

void Engine::Impl::applyHealthChange(
    const std::optional<HealthChange> &Change) {
  if (!Change) {
    return;
  }
  using Kind = HealthChange::Kind;
  const bool IsEjection = Change->ChangeKind == Kind::WorkerEjected;
  if (Change->ChangeKind == Kind::JobEjected ||
      Change->ChangeKind == Kind::JobReadmitted) {
    logDecision(Change->Job.Text,
                Change->ChangeKind == Kind::JobEjected ? Reason::JobEjected
                                                       : Reason::JobReadmitted,
                0, {});
    return;
  }
  if (WorkerState *Worker = Workers.find(Change->Host)) {
    Workers.setEjected(*Worker, IsEjection, Now);
    PoolsToSchedule.insert(Worker->View.Pool);
  }
  logDecision(Change->Host.Text,
              IsEjection ? Reason::WorkerEjected : Reason::WorkerReadmitted, 0,
              {});
}

void Engine::Impl::settleAttempt(OpenRequest &Req, AttemptId Attempt,
                                 TaskEnd End) {
  if (End == TaskEnd::Answered) {
    cancelAttempts(Req, Attempt);
    finishRequest(Req.Key, Outcome::Answered, Reason::AnswerWhole, Attempt);
    return;
  }
  Req.MayHaveRun = Req.MayHaveRun || !provesNotRun(End);
  if (!provesNotRun(End) && !Req.Rule.Idempotent) {
    finishRequest(Req.Key, Outcome::Unknown,
                  End == TaskEnd::Failed ? Reason::TaskFailed
                                         : Reason::AttemptLost);
    return;
  }
  if (Req.RunningAttempts.empty()) {
    retryRequest(Req, End);
  }
}

void Engine::Impl::retryRequest(OpenRequest &Req, TaskEnd End) {
  PoolState &Pool = poolState(Req.Rule.Pool);
  Pool.Queue.remove(Req.Key);
  Req.IsHedgeQueued = false;
  if (!provesNotRun(End) && !Pool.Budget.trySpend()) {
    finishRequest(Req.Key, Outcome::Unknown, Reason::RetryBudgetSpent);
    return;
  }
  ++Counters.Retries;
  // Once every worker was tried, all of them may be tried again.
  if (Req.TriedHosts.size() >= Workers.acceptingCount(Req.Rule.Pool)) {
    Req.TriedHosts.clear();
  }
  const Duration Delay = backOffDelay(Req.AttemptCount, Rng);
  if (Delay == Duration::zero()) {
    enqueue(Req);
    return;
  }
  Req.Phase = RequestPhase::BackingOff;
  setTimer(Req, Now + Delay);
}

void Engine::Impl::cancelAttempts(const OpenRequest &Req,
                                  AttemptId KeptAttempt) {
  for (const AttemptId Attempt : Req.RunningAttempts) {
    OpenAttempt &RunningAttempt = Attempts.at(Attempt);
    if (Attempt != KeptAttempt &&
        RunningAttempt.State.cancel() == AttemptAction::SendCancel) {
      Actions.push_back(CancelAttempt{Attempt, RunningAttempt.Host,
                                      RunningAttempt.HostAddress});
    }
  }
}

} // namespace balsamlatch::placement
