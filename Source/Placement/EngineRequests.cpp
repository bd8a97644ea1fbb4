/// \file
/// A request's arrival, claim, cancellation, deadline and end.

#include "EngineImpl.h"

#include <algorithm>

namespace balsamlatch::placement {

namespace {

/// Patient work is ordered among prompt work after this part of its deadline.
constexpr int AgeingDivisor = 2;
constexpr Duration RetryHint = std::chrono::seconds(1);

bool isOverload(Reason Why) {
  return Why == Reason::QueueFull || Why == Reason::Stopping ||
         Why == Reason::DeadlineUnreachable || Why == Reason::ClaimUnavailable;
}

} // namespace

OpenRequest *Engine::Impl::find(const RequestId &Id) {
  const auto Found = ById.find(Id);
  return Found == ById.end() ? nullptr : &Requests.at(Found->second);
}

/// Keys of different teams and jobs never meet.
std::string Engine::Impl::keyOf(const Request &Asked) {
  return Asked.Team.Text + '\n' + Asked.Job.Text + '\n' + Asked.IdempotencyKey;
}

bool Engine::Impl::refuse(const Request &Asked, const JobRule *Rule) {
  if (Stopping || Rule == nullptr) {
    finishNow(Asked.Id, Outcome::NotRun,
              Stopping ? Reason::Stopping : Reason::UnknownJob);
    return true;
  }
  const PoolState &P = pool(Rule->Pool);
  const std::uint32_t Slots = Workers.slots(Rule->Pool) +
                              (Rule->MaySpill ? Workers.slots(SparePool) : 0);
  const PoolLoad Load{P.Queue.size(), Options.MaxQueuedPerPool,
                      P.Queue.urgentCount(),
                      double(Slots) / double(liveEntries())};
  const std::optional<Reason> Why =
      refusalReason(Asked, *Rule, *Rules->pool(Rule->Pool), Sizes, Load, Now);
  if (Why) {
    finishNow(Asked.Id, Outcome::NotRun, *Why);
    return true;
  }
  if (Health.isEjected(Rule->Job) && !Health.admitJobProbe(Rule->Job, Now)) {
    finishNow(Asked.Id, Outcome::NotRun, Reason::JobEjected);
    return true;
  }
  return false;
}

/// A repeat of a request that is open here waits for the same end.
bool Engine::Impl::joinFirst(const Request &Asked) {
  const auto Found = ByKey.find(keyOf(Asked));
  if (Asked.IdempotencyKey.empty() || Found == ByKey.end()) {
    return false;
  }
  OpenRequest &First = Requests.at(Found->second);
  if (First.Asked.BodyDigest != Asked.BodyDigest) {
    finishNow(Asked.Id, Outcome::NotRun, Reason::KeyReused);
    return true;
  }
  First.Repeats.push_back(Asked.Id);
  ById.emplace(Asked.Id, First.Key);
  return true;
}

void Engine::Impl::on(const RequestArrived &E) {
  const JobRule *Rule = findJobRule(Rules.get(), E.Asked.Job);
  if (joinFirst(E.Asked) || refuse(E.Asked, Rule)) {
    return;
  }
  const RequestKey Key(++LastKey);
  OpenRequest &R = Requests[Key];
  R.Key = Key;
  R.Asked = E.Asked;
  R.Rule = *Rule;
  R.Deadline = Now + E.Asked.TimeLeft.value_or(Rule->Deadline);
  R.JobProbe = Health.isEjected(Rule->Job);
  ById.emplace(E.Asked.Id, Key);
  Timers.emplace(R.Deadline, Key);
  if (Rule->Idempotent || E.Asked.IdempotencyKey.empty()) {
    enqueue(R);
    return;
  }
  ByKey.emplace(keyOf(E.Asked), Key);
  Claims.emplace(E.Asked.Id, Key);
  R.ClaimId = E.Asked.Id;
  R.At = Phase::Claiming;
  Out.push_back(ClaimKey{E.Asked.Id, keyOf(E.Asked), E.Asked.BodyDigest,
                         R.Deadline - Now});
}

void Engine::Impl::enqueue(OpenRequest &R) {
  R.At = R.Hedging ? Phase::Running : Phase::Waiting;
  const Instant LatestStart = R.Deadline - Sizes.runTime(R.Rule);
  const Instant AgesAt = Now + (R.Deadline - Now) / AgeingDivisor;
  pool(R.Rule.Pool)
      .Queue.push({R.Key, R.Asked.Team, R.Rule.Class, LatestStart, AgesAt,
                   R.Rule.MaySpill});
  Dirty.insert(R.Rule.Pool);
}

void Engine::Impl::on(const ClaimSettled &E) {
  const auto Found = Claims.find(E.Id);
  if (Found == Claims.end()) {
    return;
  }
  OpenRequest *R = &Requests.at(Found->second);
  Claims.erase(Found);
  switch (E.Result) {
  case ClaimResult::Won:
    R->DispatchDeadline = E.DispatchDeadline;
    enqueue(*R);
    return;
  case ClaimResult::Taken:
    finish(R->Key, Outcome::Unknown, Reason::ClaimTaken, {}, E.First);
    return;
  case ClaimResult::OtherBody:
    finish(R->Key, Outcome::NotRun, Reason::KeyReused);
    return;
  case ClaimResult::Unavailable:
    finish(R->Key, Outcome::NotRun, Reason::ClaimUnavailable);
    return;
  }
}

void Engine::Impl::on(const RequestCancelled &E) {
  OpenRequest *R = find(E.Id);
  if (R == nullptr) {
    return;
  }
  const bool Ran = R->MayHaveRun || !R->Running.empty();
  const Outcome End = Ran ? Outcome::Unknown : Outcome::NotRun;
  if (R->Repeats.empty()) {
    cancelRunning(*R);
    finish(R->Key, End, Reason::Cancelled);
    return;
  }
  // The others that wait with the same key still want the answer.
  ById.erase(E.Id);
  if (R->Asked.Id != E.Id) {
    std::erase(R->Repeats, E.Id);
    finishNow(E.Id, Outcome::Unknown, Reason::Cancelled);
    return;
  }
  R->Asked.Id = R->Repeats.front();
  R->Repeats.erase(R->Repeats.begin());
  finishNow(E.Id, Outcome::Unknown, Reason::Cancelled);
}

void Engine::Impl::passDeadline(OpenRequest &R) {
  const bool Ran = R.MayHaveRun || !R.Running.empty();
  for (const AttemptId Attempt : R.Running) {
    const OpenAttempt &Open = Attempts.at(Attempt);
    if (Now - Open.Started > 2 * Sizes.runTime(R.Rule)) {
      apply(Health.recordFailure(Open.Host, Open.WorkerPool, R.Rule.Job, true,
                                 Now));
    }
  }
  cancelRunning(R);
  const bool Claiming = R.At == Phase::Claiming;
  finish(R.Key, Ran ? Outcome::Unknown : Outcome::NotRun,
         Claiming ? Reason::ClaimUnavailable : Reason::DeadlinePassed);
}

void Engine::Impl::setTimer(OpenRequest &R, Instant At) {
  clearTimer(R);
  if (At < R.Deadline) {
    R.Timer = At;
    Timers.emplace(At, R.Key);
  }
}

void Engine::Impl::clearTimer(OpenRequest &R) {
  if (R.Timer) {
    Timers.erase({*R.Timer, R.Key});
    R.Timer.reset();
  }
}

void Engine::Impl::finish(RequestKey Key, Outcome End, Reason Why,
                          AttemptId Attempt, std::optional<Outcome> First) {
  const auto Found = Requests.find(Key);
  clearTimer(Found->second);
  const OpenRequest R = std::move(Found->second);
  Requests.erase(Found);
  Timers.erase({R.Deadline, Key});
  pool(R.Rule.Pool).Queue.remove(Key);
  ById.erase(R.Asked.Id);
  Claims.erase(R.ClaimId);
  if (const auto Named = ByKey.find(keyOf(R.Asked));
      Named != ByKey.end() && Named->second == Key) {
    ByKey.erase(Named);
  }
  if (R.JobProbe) {
    Health.clearProbe({}, R.Rule.Job);
  }
  finishNow(R.Asked.Id, End, Why, Attempt, First);
  for (const RequestId &Repeat : R.Repeats) {
    ById.erase(Repeat);
    const bool Answered = End == Outcome::Answered;
    finishNow(Repeat, End, Answered ? Reason::AnswerRepeated : Why, Attempt,
              First);
  }
}

void Engine::Impl::finishNow(const RequestId &Id, Outcome End, Reason Why,
                             AttemptId Attempt, std::optional<Outcome> First) {
  Counters.Answered += End == Outcome::Answered ? 1 : 0;
  Counters.NotRun += End == Outcome::NotRun ? 1 : 0;
  Counters.Unknown += End == Outcome::Unknown ? 1 : 0;
  Out.push_back(FinishRequest{Id, End, Why, Attempt,
                              isOverload(Why) ? RetryHint : Duration::zero(),
                              First});
  log(Id.Text, Why, 0, {{"outcome", outcomeCode(End)}});
}

} // namespace balsamlatch::placement
