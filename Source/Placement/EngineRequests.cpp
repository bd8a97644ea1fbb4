/// \file
/// The life of a request: arrival, claim, cancellation, deadline and end.

#include "EngineImpl.h"

#include <algorithm>

namespace balsamlatch::placement {

namespace {

/// A patient request joins the prompt order after this fraction of its
/// deadline.
constexpr int AgingDivisor = 2;
constexpr Duration RetryAfterHint = std::chrono::seconds(1);

bool isOverload(Reason EndReason) {
  return EndReason == Reason::QueueFull || EndReason == Reason::Stopping ||
         EndReason == Reason::DeadlineUnreachable ||
         EndReason == Reason::ClaimUnavailable;
}

} // namespace

OpenRequest *Engine::Impl::findRequest(const RequestId &Id) {
  const auto It = RequestsById.find(Id);
  return It == RequestsById.end() ? nullptr : &Requests.at(It->second);
}

/// Idempotency keys of different teams or jobs are distinct.
std::string Engine::Impl::scopedIdempotencyKey(const Request &CallerRequest) {
  return CallerRequest.Team.Text + '\n' + CallerRequest.Job.Text + '\n' +
         CallerRequest.IdempotencyKey;
}

bool Engine::Impl::refuseIfInadmissible(const Request &CallerRequest,
                                        const JobRule *Rule) {
  if (IsStopping || Rule == nullptr) {
    emitFinish(CallerRequest.Id, Outcome::NotRun,
               IsStopping ? Reason::Stopping : Reason::UnknownJob);
    return true;
  }
  const PoolState &Pool = poolState(Rule->Pool);
  const std::uint32_t Slots = Workers.slots(Rule->Pool) +
                              (Rule->MaySpill ? Workers.slots(SparePool) : 0);
  const PoolLoad Load{Pool.Queue.size(), Options.MaxQueuedPerPool,
                      Pool.Queue.urgentCount(),
                      double(Slots) / double(liveEntryCount())};
  const std::optional<Reason> RefusalReason = refusalReason(
      CallerRequest, *Rule, *Rules->pool(Rule->Pool), Statistics, Load, Now);
  if (RefusalReason) {
    emitFinish(CallerRequest.Id, Outcome::NotRun, *RefusalReason);
    return true;
  }
  if (Health.isEjected(Rule->Job) && !Health.admitJobProbe(Rule->Job, Now)) {
    emitFinish(CallerRequest.Id, Outcome::NotRun, Reason::JobEjected);
    return true;
  }
  return false;
}

/// Attaches a repeat of an open request to it, so that both get the same end.
/// Returns false if there is no such request.
bool Engine::Impl::joinOpenRequest(const Request &CallerRequest) {
  const auto It =
      RequestsByIdempotencyKey.find(scopedIdempotencyKey(CallerRequest));
  if (CallerRequest.IdempotencyKey.empty() ||
      It == RequestsByIdempotencyKey.end()) {
    return false;
  }
  OpenRequest &FirstRequest = Requests.at(It->second);
  if (FirstRequest.CallerRequest.BodyDigest != CallerRequest.BodyDigest) {
    emitFinish(CallerRequest.Id, Outcome::NotRun, Reason::KeyReused);
    return true;
  }
  FirstRequest.RepeatIds.push_back(CallerRequest.Id);
  RequestsById.emplace(CallerRequest.Id, FirstRequest.Key);
  return true;
}

void Engine::Impl::handleEvent(const RequestArrived &E) {
  const JobRule *Rule = findJobRule(Rules.get(), E.CallerRequest.Job);
  if (joinOpenRequest(E.CallerRequest) ||
      refuseIfInadmissible(E.CallerRequest, Rule)) {
    return;
  }
  const RequestKey Key(++LastKey);
  OpenRequest &Req = Requests[Key];
  Req.Key = Key;
  Req.CallerRequest = E.CallerRequest;
  Req.Rule = *Rule;
  Req.Deadline = Now + E.CallerRequest.TimeLeft.value_or(Rule->Deadline);
  Req.IsJobProbe = Health.isEjected(Rule->Job);
  RequestsById.emplace(E.CallerRequest.Id, Key);
  Timers.emplace(Req.Deadline, Key);
  if (Rule->Idempotent || E.CallerRequest.IdempotencyKey.empty()) {
    enqueue(Req);
    return;
  }
  RequestsByIdempotencyKey.emplace(scopedIdempotencyKey(E.CallerRequest), Key);
  RequestsByClaim.emplace(E.CallerRequest.Id, Key);
  Req.ClaimId = E.CallerRequest.Id;
  Req.Phase = RequestPhase::Claiming;
  Actions.push_back(ClaimKey{E.CallerRequest.Id,
                             scopedIdempotencyKey(E.CallerRequest),
                             E.CallerRequest.BodyDigest, Req.Deadline - Now});
}

void Engine::Impl::enqueue(OpenRequest &Req) {
  Req.Phase = Req.IsHedgeQueued ? RequestPhase::Running : RequestPhase::Queued;
  const Instant LatestStart = Req.Deadline - Statistics.runTime(Req.Rule);
  const Instant AgingTime = Now + (Req.Deadline - Now) / AgingDivisor;
  poolState(Req.Rule.Pool)
      .Queue.push({Req.Key, Req.CallerRequest.Team, Req.Rule.Class, LatestStart,
                   AgingTime, Req.Rule.MaySpill});
  PoolsToSchedule.insert(Req.Rule.Pool);
}

void Engine::Impl::handleEvent(const ClaimSettled &E) {
  const auto It = RequestsByClaim.find(E.Id);
  if (It == RequestsByClaim.end()) {
    return;
  }
  OpenRequest *Req = &Requests.at(It->second);
  RequestsByClaim.erase(It);
  switch (E.Result) {
  case ClaimResult::Won:
    Req->DispatchDeadline = E.DispatchDeadline;
    enqueue(*Req);
    return;
  case ClaimResult::Taken:
    finishRequest(Req->Key, Outcome::Unknown, Reason::ClaimTaken, {},
                  E.PriorOutcome);
    return;
  case ClaimResult::BodyMismatch:
    finishRequest(Req->Key, Outcome::NotRun, Reason::KeyReused);
    return;
  case ClaimResult::Unavailable:
    finishRequest(Req->Key, Outcome::NotRun, Reason::ClaimUnavailable);
    return;
  }
}

void Engine::Impl::handleEvent(const RequestCancelled &E) {
  OpenRequest *Req = findRequest(E.Id);
  if (Req == nullptr) {
    return;
  }
  const bool MayHaveRun = Req->MayHaveRun || !Req->RunningAttempts.empty();
  const Outcome FinalOutcome = MayHaveRun ? Outcome::Unknown : Outcome::NotRun;
  if (Req->RepeatIds.empty()) {
    cancelAttempts(*Req);
    finishRequest(Req->Key, FinalOutcome, Reason::Cancelled);
    return;
  }
  // The other requests with the same key still need the answer.
  RequestsById.erase(E.Id);
  if (Req->CallerRequest.Id != E.Id) {
    std::erase(Req->RepeatIds, E.Id);
    emitFinish(E.Id, Outcome::Unknown, Reason::Cancelled);
    return;
  }
  Req->CallerRequest.Id = Req->RepeatIds.front();
  Req->RepeatIds.erase(Req->RepeatIds.begin());
  emitFinish(E.Id, Outcome::Unknown, Reason::Cancelled);
}

void Engine::Impl::expireRequest(OpenRequest &Req) {
  const bool MayHaveRun = Req.MayHaveRun || !Req.RunningAttempts.empty();
  for (const AttemptId Attempt : Req.RunningAttempts) {
    const OpenAttempt &RunningAttempt = Attempts.at(Attempt);
    if (Now - RunningAttempt.StartTime > 2 * Statistics.runTime(Req.Rule)) {
      applyHealthChange(Health.recordFailure(RunningAttempt.Host,
                                             RunningAttempt.WorkerPool,
                                             Req.Rule.Job, true, Now));
    }
  }
  cancelAttempts(Req);
  const bool IsClaiming = Req.Phase == RequestPhase::Claiming;
  finishRequest(Req.Key, MayHaveRun ? Outcome::Unknown : Outcome::NotRun,
                IsClaiming ? Reason::ClaimUnavailable : Reason::DeadlinePassed);
}

void Engine::Impl::setTimer(OpenRequest &Req, Instant Expiry) {
  clearTimer(Req);
  if (Expiry < Req.Deadline) {
    Req.TimerExpiry = Expiry;
    Timers.emplace(Expiry, Req.Key);
  }
}

void Engine::Impl::clearTimer(OpenRequest &Req) {
  if (Req.TimerExpiry) {
    Timers.erase({*Req.TimerExpiry, Req.Key});
    Req.TimerExpiry.reset();
  }
}

void Engine::Impl::finishRequest(RequestKey Key, Outcome FinalOutcome,
                                 Reason EndReason, AttemptId Attempt,
                                 std::optional<Outcome> PriorOutcome) {
  const auto It = Requests.find(Key);
  clearTimer(It->second);
  const OpenRequest Req = std::move(It->second);
  Requests.erase(It);
  Timers.erase({Req.Deadline, Key});
  poolState(Req.Rule.Pool).Queue.remove(Key);
  RequestsById.erase(Req.CallerRequest.Id);
  RequestsByClaim.erase(Req.ClaimId);
  if (const auto KeyIt = RequestsByIdempotencyKey.find(
          scopedIdempotencyKey(Req.CallerRequest));
      KeyIt != RequestsByIdempotencyKey.end() && KeyIt->second == Key) {
    RequestsByIdempotencyKey.erase(KeyIt);
  }
  if (Req.IsJobProbe) {
    Health.clearProbe({}, Req.Rule.Job);
  }
  emitFinish(Req.CallerRequest.Id, FinalOutcome, EndReason, Attempt,
             PriorOutcome);
  for (const RequestId &Repeat : Req.RepeatIds) {
    RequestsById.erase(Repeat);
    const bool IsAnswered = FinalOutcome == Outcome::Answered;
    emitFinish(Repeat, FinalOutcome,
               IsAnswered ? Reason::AnswerRepeated : EndReason, Attempt,
               PriorOutcome);
  }
}

void Engine::Impl::emitFinish(const RequestId &Id, Outcome FinalOutcome,
                              Reason EndReason, AttemptId Attempt,
                              std::optional<Outcome> PriorOutcome) {
  Counters.Answered += FinalOutcome == Outcome::Answered ? 1 : 0;
  Counters.NotRun += FinalOutcome == Outcome::NotRun ? 1 : 0;
  Counters.Unknown += FinalOutcome == Outcome::Unknown ? 1 : 0;
  Actions.push_back(FinishRequest{
      Id, FinalOutcome, EndReason, Attempt,
      isOverload(EndReason) ? RetryAfterHint : Duration::zero(), PriorOutcome});
  logDecision(Id.Text, EndReason, 0, {{"outcome", outcomeCode(FinalOutcome)}});
}

} // namespace balsamlatch::placement
