/// \file
/// Placing requests on workers, and what follows when an attempt ends.

#include "EngineImpl.h"

#include <algorithm>

namespace balsamlatch::placement {

namespace {

/// A run is long when it takes this many times the high quantile.
constexpr int HedgeFactor = 2;
constexpr Duration ShortestHedgeWait = std::chrono::milliseconds(20);
/// Declared run times may be ten times too short.
constexpr int LeaseFactor = 20;
constexpr Duration ShortestLease = std::chrono::seconds(30);
constexpr unsigned MostLeaseDoublings = 6;
/// A decision is acted on within this time or not at all, since the worker
/// may have begun to leave.
constexpr Duration DispatchWithin = std::chrono::seconds(1);
/// A worker's probe waits this long for an idempotent request.
constexpr Duration ProbeWithAnyAfter = std::chrono::seconds(10);

/// The task certainly did not run.
bool provesNotRun(TaskEnd End) {
  return End == TaskEnd::Refused || End == TaskEnd::NotSent;
}

} // namespace

void Engine::Impl::pumpAll() {
  do {
    while (!Dirty.empty()) {
      const PoolName Name = *Dirty.begin();
      Dirty.erase(Dirty.begin());
      pump(Name, pool(Name));
      Touched.insert(Name);
    }
  } while (exchangeSlots());
}

void Engine::Impl::pump(const PoolName &Name, PoolState &P) {
  bool Progress = Now >= HoldUntil;
  while (Progress && !P.Queue.empty()) {
    Progress =
        pumpProbe(Name, P) || pumpGranted(Name, P) || pumpChosen(Name, P);
  }
}

/// Sends one request to an ejected worker whose probe is due.
bool Engine::Impl::pumpProbe(const PoolName &Name, PoolState &P) {
  const std::optional<HostName> Host = Health.findDueProbe(Name, Now);
  WorkerState *Worker = Host ? Workers.find(*Host) : nullptr;
  if (Worker == nullptr || !Worker->IsListed || !Worker->View.Accepting ||
      Worker->SlotsInUse >= Worker->View.Slots) {
    return false;
  }
  const QueuedRequest *Next = P.Queue.next(Now);
  OpenRequest &R = Requests.at(Next->Key);
  if (!R.Rule.Idempotent &&
      !Health.findDueProbe(Name, Now - ProbeWithAnyAfter)) {
    return false;
  }
  dispatch(R, *Worker);
  return true;
}

/// Uses one slot that a scheduler granted.
bool Engine::Impl::pumpGranted(const PoolName &Name, PoolState &P) {
  if (Options.Choice != Policy::SlotGrants) {
    return false;
  }
  const auto Try = [&](const QueuedRequest *Next, SlotHolder &Holder,
                       const PoolName &Target, JobClass Class) {
    if (Next == nullptr) {
      return false;
    }
    OpenRequest &R = Requests.at(Next->Key);
    const auto Suits = [&](const HostName &Host) {
      const WorkerState *Worker = Workers.find(Host);
      return Worker != nullptr && Worker->isUsable(Now) &&
             Worker->View.Pool == Target &&
             std::find(R.Tried.begin(), R.Tried.end(), Host) == R.Tried.end();
    };
    const std::optional<HostName> Host = Holder.takeGrant(Class, Now, Suits);
    if (Host) {
      dispatch(R, *Workers.find(*Host));
    }
    return Host.has_value();
  };
  const bool NoneUnaged = P.Queue.unagedCount() == 0;
  return Try(P.Queue.nextUrgent(Now), P.Own, Name, JobClass::Prompt) ||
         Try(P.Queue.nextPatient(Now), P.Own, Name, JobClass::Patient) ||
         (NoneUnaged &&
          Try(P.Queue.nextUrgent(Now), P.Own, Name, JobClass::Patient)) ||
         (P.Spare && Name != SparePool &&
          Try(P.Queue.nextSpill(), *P.Spare, SparePool, JobClass::Prompt));
}

/// The request to place by this entry's own choice, or null.
const QueuedRequest *Engine::Impl::nextChosen(const PoolName &Name,
                                              PoolState &P) {
  const QueuedRequest *Next = P.Queue.next(Now);
  const std::uint32_t Part = Workers.slots(Name) * MaxPatientPercent /
                             static_cast<std::uint32_t>(100 * liveEntries());
  const bool Urgent = P.Queue.nextUrgent(Now) != nullptr;
  if (!Urgent && P.PatientInUse >= std::max(1U, Part)) {
    return nullptr;
  }
  return Next;
}

/// Places one request by this entry's own view.
bool Engine::Impl::pumpChosen(const PoolName &Name, PoolState &P) {
  const bool Granting = Options.Choice == Policy::SlotGrants;
  if (Granting && !P.Own.isUnanswered(Now)) {
    return false;
  }
  if (const QueuedRequest *Next = nextChosen(Name, P)) {
    OpenRequest &R = Requests.at(Next->Key);
    if (WorkerState *Worker = choose(Name, R)) {
      dispatch(R, *Worker);
      return true;
    }
  }
  const QueuedRequest *Next = P.Queue.nextSpill();
  if (Next == nullptr || SparePool.empty() || SparePool == Name ||
      (Granting && !P.Spare->isUnanswered(Now))) {
    return false;
  }
  OpenRequest &R = Requests.at(Next->Key);
  WorkerState *Worker = choose(SparePool, R);
  if (Worker != nullptr) {
    dispatch(R, *Worker);
  }
  return Worker != nullptr;
}

WorkerState *Engine::Impl::choose(const PoolName &Name, const OpenRequest &R) {
  if (Options.Choice == Policy::RoundRobin) {
    return Workers.chooseRoundRobin(Name, R.Tried, Now);
  }
  return Workers.chooseOfTwoRandom(Name, R.Tried, Rng, Now);
}

/// Why the request must not be sent now; empty: it may.
std::optional<Reason> Engine::Impl::obstacle(const OpenRequest &R) {
  if (R.DispatchDeadline <= Now) {
    return Reason::ClaimUnavailable;
  }
  if (R.Deadline - Now < Sizes.shortestRunTime(R.Rule, Now)) {
    return Reason::DeadlineUnreachable;
  }
  if (Health.isEjected(R.Rule.Job) && !R.JobProbe) {
    return Reason::JobEjected;
  }
  return std::nullopt;
}

void Engine::Impl::dispatch(OpenRequest &R, WorkerState &Worker) {
  const std::optional<Reason> Why = obstacle(R);
  if (!Why) {
    start(R, Worker);
    return;
  }
  if (R.Hedging) {
    pool(R.Rule.Pool).Queue.remove(R.Key);
    return;
  }
  finish(R.Key, R.MayHaveRun ? Outcome::Unknown : Outcome::NotRun, *Why);
}

void Engine::Impl::start(OpenRequest &R, WorkerState &Worker) {
  PoolState &P = pool(R.Rule.Pool);
  const bool Unaged = P.Queue.isUnaged(R.Key);
  const JobClass Class = Unaged ? JobClass::Patient : JobClass::Prompt;
  P.Queue.remove(R.Key);
  P.Queue.acquireSlot(R.Asked.Team, Class);
  P.PatientInUse += Unaged ? 1 : 0;
  const WorkerView &View = Worker.View;
  const bool OnSpare = View.Pool != R.Rule.Pool;
  (OnSpare ? *P.Spare : P.Own).acquireSlot(View.Host, Class);
  Workers.acquire(Worker, Now);
  const AttemptId Attempt(++LastAttempt);
  Attempts.emplace(Attempt, OpenAttempt{R.Key, View.Host, View.At, R.Rule.Pool,
                                        View.Pool, R.Asked.Team, R.Rule.Job,
                                        Class, Now, AttemptMachine()});
  if (Worker.IsEjected) {
    Health.startProbe(View.Host);
  }
  R.At = Phase::Running;
  ++R.Tries;
  R.Running.push_back(Attempt);
  R.Tried.push_back(View.Host);
  ++Counters.Attempts;
  Counters.Hedges += R.Hedging ? 1 : 0;
  Counters.Spilled += OnSpare ? 1 : 0;
  if (R.Tries == 1) {
    P.Budget.recordFirstAttempt();
  }
  if (R.Tries == 1 && R.Rule.Idempotent && R.Rule.Class == JobClass::Prompt &&
      Sizes.hasEnoughRuns(R.Rule.Job)) {
    setTimer(R, Now + std::max(ShortestHedgeWait,
                               HedgeFactor * Sizes.runTime(R.Rule)));
  }
  Out.push_back(StartAttempt{
      Attempt, R.Asked.Id, R.Asked.Job, View.Host, View.At, leaseFor(R),
      std::min({R.Deadline, R.DispatchDeadline, Now + DispatchWithin})});
  const Reason Why = R.Hedging     ? Reason::Hedged
                     : R.Tries > 1 ? Reason::Retried
                     : OnSpare     ? Reason::PlacedOnSpare
                                   : Reason::Placed;
  log(R.Asked.Id.Text, Why, R.Rule.Origin.Line,
      {{"host", View.Host.Text},
       {"pool", View.Pool.Text},
       {"in_use", Worker.SlotsInUse},
       {"queued", P.Queue.size()},
       {"try", R.Tries}});
  R.Hedging = false;
}

/// An idempotent task that doesn't end is lost with its lease and tried
/// elsewhere; others may run until their deadline.
Duration Engine::Impl::leaseFor(const OpenRequest &R) const {
  const Duration Left = R.Deadline - Now;
  if (!R.Rule.Idempotent) {
    return Left;
  }
  const Duration Usual =
      std::max(ShortestLease, LeaseFactor * Sizes.runTime(R.Rule));
  const unsigned Doublings = std::min(R.Tries - 1, MostLeaseDoublings);
  return std::min(Left, Usual * (1 << Doublings));
}

/// Queues a second attempt of an idempotent request whose first takes long.
void Engine::Impl::hedge(OpenRequest &R) {
  PoolState &P = pool(R.Rule.Pool);
  if (R.Tries != 1 || R.Hedging || !P.Budget.trySpend()) {
    return;
  }
  R.Hedging = true;
  enqueue(R);
}

OpenAttempt Engine::Impl::closeAttempt(AttemptId Attempt) {
  const auto Found = Attempts.find(Attempt);
  OpenAttempt Gone = std::move(Found->second);
  Attempts.erase(Found);
  PoolState &P = pool(Gone.QueuePool);
  P.Queue.releaseSlot(Gone.Team);
  P.PatientInUse -= Gone.SlotClass == JobClass::Patient ? 1 : 0;
  const bool OnSpare = Gone.WorkerPool != Gone.QueuePool;
  (OnSpare ? *P.Spare : P.Own).releaseSlot(Gone.Host, Gone.SlotClass);
  Dirty.insert(Gone.QueuePool);
  Dirty.insert(Gone.WorkerPool);
  if (WorkerState *Worker = Workers.find(Gone.Host)) {
    Workers.release(*Worker, Now);
  }
  return Gone;
}

void Engine::Impl::on(const CancelConfirmed &E) {
  const auto Found = Attempts.find(E.Attempt);
  if (Found == Attempts.end() ||
      Found->second.State.confirmCancel() != AttemptAction::ReleaseSlot) {
    return;
  }
  const OpenAttempt Gone = closeAttempt(E.Attempt);
  Health.clearProbe(Gone.Host, Gone.Job);
}

void Engine::Impl::on(const AttemptEnded &E) {
  const auto Found = Attempts.find(E.Attempt);
  const bool Wanted =
      Found != Attempts.end() && Found->second.State.isRunning();
  const bool Answered = E.End == TaskEnd::Answered;
  if (!Wanted && Answered) {
    ++Counters.LateAnswers;
    log(std::to_string(E.Attempt.Value), Reason::LateAnswerDropped, 0, {});
  }
  if (Found == Attempts.end()) {
    return;
  }
  Found->second.State.endCall();
  const OpenAttempt Gone = closeAttempt(E.Attempt);
  if (!Wanted && !Answered) {
    Health.clearProbe(Gone.Host, Gone.Job);
    return;
  }
  judge(Gone, E.End);
  if (!Wanted) {
    return;
  }
  OpenRequest &R = Requests.at(Gone.Key);
  std::erase(R.Running, E.Attempt);
  settle(R, E.Attempt, E.End);
}

/// Draws what the end says about the worker and the job.
void Engine::Impl::judge(const OpenAttempt &Gone, TaskEnd End) {
  WorkerState *Worker = Workers.find(Gone.Host);
  if (End == TaskEnd::Answered) {
    Sizes.recordRun(Gone.Job, Now - Gone.Started, Now);
    apply(Health.recordSuccess(Gone.Host, Gone.Job, Now));
    if (Worker != nullptr) {
      Workers.recordAcceptance(*Worker);
    }
    return;
  }
  if (Worker != nullptr && provesNotRun(End)) {
    Workers.recordRefusal(*Worker, Now);
  }
  if (End == TaskEnd::Refused) {
    Health.clearProbe(Gone.Host, Gone.Job);
    return;
  }
  apply(Health.recordFailure(Gone.Host, Gone.WorkerPool, Gone.Job,
                             !provesNotRun(End), Now));
}

void Engine::Impl::apply(const std::optional<HealthChange> &Change) {
  if (!Change) {
    return;
  }
  using Kind = HealthChange::Kind;
  const bool Ejected = Change->ChangeKind == Kind::WorkerEjected;
  if (Change->ChangeKind == Kind::JobEjected ||
      Change->ChangeKind == Kind::JobReadmitted) {
    log(Change->Job.Text,
        Change->ChangeKind == Kind::JobEjected ? Reason::JobEjected
                                               : Reason::JobReadmitted,
        0, {});
    return;
  }
  if (WorkerState *Worker = Workers.find(Change->Host)) {
    Workers.setEjected(*Worker, Ejected, Now);
    Dirty.insert(Worker->View.Pool);
  }
  log(Change->Host.Text,
      Ejected ? Reason::WorkerEjected : Reason::WorkerReadmitted, 0, {});
}

void Engine::Impl::settle(OpenRequest &R, AttemptId Attempt, TaskEnd End) {
  if (End == TaskEnd::Answered) {
    cancelRunning(R, Attempt);
    finish(R.Key, Outcome::Answered, Reason::AnswerWhole, Attempt);
    return;
  }
  R.MayHaveRun = R.MayHaveRun || !provesNotRun(End);
  if (!provesNotRun(End) && !R.Rule.Idempotent) {
    finish(R.Key, Outcome::Unknown,
           End == TaskEnd::Failed ? Reason::TaskFailed : Reason::AttemptLost);
    return;
  }
  if (R.Running.empty()) {
    retry(R, End);
  }
}

void Engine::Impl::retry(OpenRequest &R, TaskEnd End) {
  PoolState &P = pool(R.Rule.Pool);
  P.Queue.remove(R.Key);
  R.Hedging = false;
  if (!provesNotRun(End) && !P.Budget.trySpend()) {
    finish(R.Key, Outcome::Unknown, Reason::RetryBudgetSpent);
    return;
  }
  ++Counters.Retries;
  // Once every worker was tried, all may be tried again.
  if (R.Tried.size() >= Workers.acceptingCount(R.Rule.Pool)) {
    R.Tried.clear();
  }
  const Duration Wait = backOffDelay(R.Tries, Rng);
  if (Wait == Duration::zero()) {
    enqueue(R);
    return;
  }
  R.At = Phase::BackingOff;
  setTimer(R, Now + Wait);
}

void Engine::Impl::cancelRunning(const OpenRequest &R, AttemptId Except) {
  for (const AttemptId Attempt : R.Running) {
    OpenAttempt &Open = Attempts.at(Attempt);
    if (Attempt != Except && Open.State.cancel() == AttemptAction::SendCancel) {
      Out.push_back(CancelAttempt{Attempt, Open.Host, Open.At});
    }
  }
}

} // namespace balsamlatch::placement
