/// \file
/// The engine's path of a request: admission, claim, queue, attempt, end.

#include "balsamlatch/Placement/Engine.h"

#include "balsamlatch/Placement/PoolQueue.h"
#include "balsamlatch/Placement/WorkerTable.h"

#include <algorithm>
#include <set>
#include <unordered_map>
#include <utility>

namespace balsamlatch::placement {

namespace {

/// Patient work is ordered among prompt work after this part of its deadline.
constexpr int AgeingDivisor = 2;
constexpr Duration FirstBackOff = std::chrono::milliseconds(2);
constexpr Duration LongestBackOff = std::chrono::milliseconds(500);
constexpr unsigned MostDoublings = 8;
constexpr Duration RetryHint = std::chrono::seconds(1);

enum class Phase { Claiming, Waiting, BackingOff, Running };

struct OpenRequest {
  RequestKey Key;
  Request Asked;
  JobRule Rule;
  Phase At = Phase::Waiting;
  Instant Deadline{};
  Instant DispatchBefore = Instant::max();
  Instant BackOffUntil{};
  unsigned Tries = 0;
  // Set when an attempt ended without proof that it didn't run.
  bool MayHaveRun = false;
  Reason LastWhy = Reason::NoWorker;
  std::vector<AttemptId> Running;
  std::vector<HostName> Tried;
};

struct OpenAttempt {
  RequestKey Key;
  HostName Host;
  Address At;
  PoolName QueuePool;
  TeamName Team;
  bool Cancelling = false;
};

template <typename... Ts> struct Overloaded : Ts... {
  using Ts::operator()...;
};
template <typename... Ts> Overloaded(Ts...) -> Overloaded<Ts...>;

} // namespace

class Engine::Impl {
public:
  explicit Impl(EngineOptions Given)
      : Options(std::move(Given)), Rng(Options.Seed) {}

  std::vector<Action> handle(const Event &Happened, Instant At) {
    Now = At;
    expire();
    std::visit([this](const auto &E) { on(E); }, Happened);
    pumpAll();
    return std::exchange(Out, {});
  }

  EngineOptions Options;
  EngineCounters Counters;
  std::unordered_map<RequestKey, OpenRequest> Requests;
  std::unordered_map<AttemptId, OpenAttempt> Attempts;
  std::map<PoolName, PoolQueue> Queues;
  WorkerTable Workers;
  RuleSetPtr Rules;

private:
  void on(const RequestArrived &E);
  void on(const RequestCancelled &E);
  void on(const AttemptEnded &E);
  void on(const CancelConfirmed &E);
  void on(const RulesChanged &E);
  void on(const WorkersChanged &E);
  void on(const WorkerReported & /*E*/) {}
  void on(const EntriesChanged & /*E*/) {}
  void on(const ClaimSettled &E);
  void on(const SlotMessageArrived & /*E*/) {}
  void on(const Tick &E);
  void on(const StopRequested & /*E*/) { Stopping = true; }

  std::optional<Reason> refusal(const Request &Asked) const;
  void enqueue(OpenRequest &R);
  void expire();
  void passDeadline(OpenRequest &R);
  void pumpAll();
  void pump(const PoolName &Pool, PoolQueue &Queue);
  WorkerState *choose(const PoolName &Pool, const OpenRequest &R);
  void dispatch(OpenRequest &R, WorkerState &Worker);
  void retryLater(OpenRequest &R, Reason Why);
  void settle(OpenRequest &R, AttemptId Attempt, TaskEnd End);
  OpenAttempt closeAttempt(AttemptId Attempt);
  void cancelRunning(const OpenRequest &R, AttemptId Except);
  void finish(RequestKey Key, Outcome End, Reason Why, AttemptId Attempt = {});
  void finishNow(const RequestId &Id, Outcome End, Reason Why,
                 AttemptId Attempt = {});
  OpenRequest *find(const RequestId &Id);

  Random Rng;
  Instant Now{};
  bool Stopping = false;
  std::uint64_t LastKey = 0;
  std::uint64_t LastAttempt = 0;
  std::vector<Action> Out;
  std::unordered_map<RequestId, RequestKey> ById;
  // Deadlines and ends of back-offs.
  std::set<std::pair<Instant, RequestKey>> Timers;
  std::set<PoolName> Dirty;
};

OpenRequest *Engine::Impl::find(const RequestId &Id) {
  const auto Found = ById.find(Id);
  return Found == ById.end() ? nullptr : &Requests.at(Found->second);
}

std::optional<Reason> Engine::Impl::refusal(const Request &Asked) const {
  if (Stopping) {
    return Reason::Stopping;
  }
  const JobRule *Rule = Rules == nullptr ? nullptr : Rules->job(Asked.Job);
  const PoolRule *Pool = Rule == nullptr ? nullptr : Rules->pool(Rule->Pool);
  if (Pool == nullptr) {
    return Reason::UnknownJob;
  }
  const TaskSize &Most = Pool->WorkerSize;
  if (Rule->Size.MilliCores > Most.MilliCores ||
      Rule->Size.MemoryMiB > Most.MemoryMiB ||
      Rule->Size.Accelerators > Most.Accelerators) {
    return Reason::NeverFits;
  }
  if (Asked.TimeLeft.value_or(Rule->Deadline) <= Duration::zero()) {
    return Reason::DeadlineUnreachable;
  }
  const auto Queue = Queues.find(Rule->Pool);
  if (Queue != Queues.end() &&
      Queue->second.size() >= Options.MaxQueuedPerPool) {
    return Reason::QueueFull;
  }
  return std::nullopt;
}

void Engine::Impl::on(const RequestArrived &E) {
  if (const std::optional<Reason> Why = refusal(E.Asked)) {
    finishNow(E.Asked.Id, Outcome::NotRun, *Why);
    return;
  }
  const JobRule &Rule = *Rules->job(E.Asked.Job);
  const RequestKey Key(++LastKey);
  OpenRequest &R = Requests[Key];
  R.Key = Key;
  R.Asked = E.Asked;
  R.Rule = Rule;
  R.Deadline = Now + E.Asked.TimeLeft.value_or(Rule.Deadline);
  ById.emplace(E.Asked.Id, Key);
  Timers.emplace(R.Deadline, Key);
  if (!Rule.Idempotent && !E.Asked.IdempotencyKey.empty()) {
    R.At = Phase::Claiming;
    Out.push_back(ClaimKey{E.Asked.Id, E.Asked.IdempotencyKey,
                           E.Asked.BodyDigest, R.Deadline - Now});
    return;
  }
  enqueue(R);
}

void Engine::Impl::enqueue(OpenRequest &R) {
  R.At = Phase::Waiting;
  const Instant LatestStart = R.Deadline - R.Rule.RunTime;
  const Instant AgesAt = Now + (R.Deadline - Now) / AgeingDivisor;
  Queues[R.Rule.Pool].push({R.Key, R.Asked.Team, R.Rule.Class, LatestStart,
                            AgesAt, R.Rule.MaySpill});
  Dirty.insert(R.Rule.Pool);
}

void Engine::Impl::on(const ClaimSettled &E) {
  OpenRequest *R = find(E.Id);
  if (R == nullptr || R->At != Phase::Claiming) {
    return;
  }
  switch (E.Result) {
  case ClaimResult::Won:
    R->DispatchBefore = E.DispatchBefore;
    enqueue(*R);
    return;
  case ClaimResult::Taken:
    finish(R->Key, Outcome::Unknown, Reason::ClaimTaken);
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
  cancelRunning(*R, {});
  finish(R->Key, Ran ? Outcome::Unknown : Outcome::NotRun, Reason::Cancelled);
}

OpenAttempt Engine::Impl::closeAttempt(AttemptId Attempt) {
  const auto Found = Attempts.find(Attempt);
  OpenAttempt Gone = Found->second;
  Attempts.erase(Found);
  Queues[Gone.QueuePool].ended(Gone.Team);
  Dirty.insert(Gone.QueuePool);
  if (WorkerState *Worker = Workers.find(Gone.Host); Worker != nullptr) {
    Dirty.insert(Worker->View.Pool);
    Workers.release(*Worker, Now);
  }
  return Gone;
}

void Engine::Impl::on(const CancelConfirmed &E) {
  const auto Found = Attempts.find(E.Attempt);
  if (Found != Attempts.end() && Found->second.Cancelling) {
    closeAttempt(E.Attempt);
  }
}

void Engine::Impl::on(const AttemptEnded &E) {
  if (!Attempts.contains(E.Attempt)) {
    Counters.LateAnswers += E.End == TaskEnd::Answered ? 1 : 0;
    return;
  }
  WorkerState *Worker = Workers.find(Attempts.at(E.Attempt).Host);
  if (Worker != nullptr && E.End == TaskEnd::Answered) {
    Workers.accepted(*Worker);
  } else if (Worker != nullptr &&
             (E.End == TaskEnd::Refused || E.End == TaskEnd::NotSent)) {
    Workers.refused(*Worker, Now);
  }
  const OpenAttempt Gone = closeAttempt(E.Attempt);
  const auto Found = Requests.find(Gone.Key);
  if (Found == Requests.end()) {
    Counters.LateAnswers += E.End == TaskEnd::Answered ? 1 : 0;
    return;
  }
  std::erase(Found->second.Running, E.Attempt);
  settle(Found->second, E.Attempt, E.End);
}

void Engine::Impl::settle(OpenRequest &R, AttemptId Attempt, TaskEnd End) {
  if (End == TaskEnd::Answered) {
    cancelRunning(R, Attempt);
    finish(R.Key, Outcome::Answered, Reason::AnswerWhole, Attempt);
    return;
  }
  const bool CertainlyNotRun =
      End == TaskEnd::Refused || End == TaskEnd::NotSent;
  R.MayHaveRun = R.MayHaveRun || !CertainlyNotRun;
  const Reason Why =
      End == TaskEnd::Failed ? Reason::TaskFailed : Reason::AttemptLost;
  if (!CertainlyNotRun && !R.Rule.Idempotent) {
    finish(R.Key, Outcome::Unknown, Why);
    return;
  }
  if (R.Running.empty()) {
    retryLater(R, CertainlyNotRun ? Reason::NoWorker : Why);
  }
}

void Engine::Impl::retryLater(OpenRequest &R, Reason Why) {
  R.LastWhy = Why;
  ++Counters.Retries;
  if (R.Tries <= 1) {
    enqueue(R);
    return;
  }
  const unsigned Doublings = std::min(R.Tries - 2, MostDoublings);
  const Duration Most =
      std::min(LongestBackOff, FirstBackOff * (std::int64_t(1) << Doublings));
  R.BackOffUntil = Now + Duration(Rng() % std::uint64_t(Most.count() + 1));
  R.At = Phase::BackingOff;
  Timers.emplace(R.BackOffUntil, R.Key);
}

void Engine::Impl::expire() {
  while (!Timers.empty() && Timers.begin()->first <= Now) {
    const RequestKey Key = Timers.begin()->second;
    Timers.erase(Timers.begin());
    OpenRequest &R = Requests.at(Key);
    if (R.Deadline <= Now) {
      passDeadline(R);
    } else if (R.At == Phase::BackingOff) {
      enqueue(R);
    }
  }
}

void Engine::Impl::passDeadline(OpenRequest &R) {
  const bool Ran = R.MayHaveRun || !R.Running.empty();
  cancelRunning(R, {});
  finish(R.Key, Ran ? Outcome::Unknown : Outcome::NotRun,
         Reason::DeadlinePassed);
}

void Engine::Impl::on(const RulesChanged &E) {
  Rules = E.Rules;
  for (const QuotaRule &Quota : Rules->Quotas) {
    Queues[Quota.Pool].setQuota(Quota.Team, Quota.Slots);
  }
  for (auto &[Pool, Queue] : Queues) {
    Dirty.insert(Pool);
  }
}

void Engine::Impl::on(const WorkersChanged &E) {
  Workers.replace(E.Workers, Now);
  for (auto &[Pool, Queue] : Queues) {
    Queue.setSlots(Workers.slots(Pool));
    Dirty.insert(Pool);
  }
}

void Engine::Impl::on(const Tick & /*E*/) {
  for (auto &[Pool, Queue] : Queues) {
    if (!Queue.empty()) {
      Dirty.insert(Pool);
    }
  }
}

void Engine::Impl::pumpAll() {
  while (!Dirty.empty()) {
    const PoolName Pool = *Dirty.begin();
    Dirty.erase(Dirty.begin());
    pump(Pool, Queues[Pool]);
  }
}

void Engine::Impl::pump(const PoolName &Pool, PoolQueue &Queue) {
  while (const Waiting *Next = Queue.next(Now)) {
    OpenRequest &R = Requests.at(Next->Key);
    WorkerState *Worker = choose(Pool, R);
    if (Worker == nullptr) {
      return;
    }
    dispatch(R, *Worker);
  }
}

WorkerState *Engine::Impl::choose(const PoolName &Pool, const OpenRequest &R) {
  if (Options.Choice == Policy::RoundRobin) {
    return Workers.roundRobin(Pool, R.Tried, Now);
  }
  return Workers.twoRandomChoices(Pool, R.Tried, Rng, Now);
}

void Engine::Impl::dispatch(OpenRequest &R, WorkerState &Worker) {
  PoolQueue &Queue = Queues[R.Rule.Pool];
  Queue.remove(R.Key);
  if (R.DispatchBefore <= Now) {
    finish(R.Key, Outcome::NotRun, Reason::ClaimUnavailable);
    return;
  }
  const AttemptId Attempt(++LastAttempt);
  Queue.started({R.Key, R.Asked.Team, R.Rule.Class, {}, {}, false});
  Workers.acquire(Worker, Now);
  Attempts.emplace(Attempt, OpenAttempt{R.Key, Worker.View.Host, Worker.View.At,
                                        R.Rule.Pool, R.Asked.Team});
  R.At = Phase::Running;
  ++R.Tries;
  R.Running.push_back(Attempt);
  R.Tried.push_back(Worker.View.Host);
  ++Counters.Attempts;
  Out.push_back(StartAttempt{Attempt, R.Asked.Id, R.Asked.Job, Worker.View.Host,
                             Worker.View.At, R.Deadline - Now,
                             std::min(R.Deadline, R.DispatchBefore)});
  Out.push_back(LogDecision{R.Asked.Id.Text,
                            R.Tries == 1 ? Reason::Placed : Reason::Retried,
                            R.Rule.Origin.Line,
                            {{"host", Worker.View.Host.Text},
                             {"pool", Worker.View.Pool.Text},
                             {"in_use", Worker.InUse},
                             {"queued", Queue.size()},
                             {"try", R.Tries}}});
}

void Engine::Impl::cancelRunning(const OpenRequest &R, AttemptId Except) {
  for (const AttemptId Attempt : R.Running) {
    OpenAttempt &Open = Attempts.at(Attempt);
    if (Attempt != Except && !Open.Cancelling) {
      Open.Cancelling = true;
      Out.push_back(CancelAttempt{Attempt, Open.Host, Open.At});
    }
  }
}

void Engine::Impl::finish(RequestKey Key, Outcome End, Reason Why,
                          AttemptId Attempt) {
  const OpenRequest R = std::move(Requests.at(Key));
  Requests.erase(Key);
  ById.erase(R.Asked.Id);
  Timers.erase({R.Deadline, Key});
  Timers.erase({R.BackOffUntil, Key});
  const auto Queue = Queues.find(R.Rule.Pool);
  if (Queue != Queues.end()) {
    Queue->second.remove(Key);
  }
  finishNow(R.Asked.Id, End, Why, Attempt);
}

void Engine::Impl::finishNow(const RequestId &Id, Outcome End, Reason Why,
                             AttemptId Attempt) {
  Counters.Answered += End == Outcome::Answered ? 1 : 0;
  Counters.NotRun += End == Outcome::NotRun ? 1 : 0;
  Counters.Unknown += End == Outcome::Unknown ? 1 : 0;
  const bool Overload = Why == Reason::QueueFull || Why == Reason::Stopping;
  Out.push_back(FinishRequest{Id, End, Why, Attempt,
                              Overload ? RetryHint : Duration::zero()});
  Out.push_back(LogDecision{Id.Text, Why, 0, {{"outcome", outcomeCode(End)}}});
}

Engine::Engine(EngineOptions Options)
    : Self(std::make_unique<Impl>(std::move(Options))) {}
Engine::~Engine() = default;
Engine::Engine(Engine &&) noexcept = default;
Engine &Engine::operator=(Engine &&) noexcept = default;

std::vector<Action> Engine::handle(const Event &Happened, Instant Now) {
  return Self->handle(Happened, Now);
}

const EngineCounters &Engine::counters() const { return Self->Counters; }

std::vector<PoolStanding> Engine::standings() const {
  std::vector<PoolStanding> All;
  if (Self->Rules == nullptr) {
    return All;
  }
  for (const auto &[Pool, Rule] : Self->Rules->Pools) {
    const auto Queue = Self->Queues.find(Pool);
    const bool Has = Queue != Self->Queues.end();
    All.push_back({Pool, Has ? Queue->second.prompt() : 0,
                   Has ? Queue->second.patient() : 0,
                   Self->Workers.slotsInUse(Pool), Self->Workers.slots(Pool),
                   Self->Workers.ejected(Pool)});
  }
  return All;
}

std::size_t Engine::openRequests() const { return Self->Requests.size(); }
std::size_t Engine::openAttempts() const { return Self->Attempts.size(); }

} // namespace balsamlatch::placement
