/// \file
/// The engine's state and steps. Engine.cpp takes the events about the fleet,
/// EngineRequests.cpp those about requests, EngineAttempts.cpp places work on
/// workers, EngineSlots.cpp exchanges slots with other entries.

#ifndef BALSAMLATCH_PLACEMENT_ENGINEIMPL_H
#define BALSAMLATCH_PLACEMENT_ENGINEIMPL_H

#include "balsamlatch/Placement/Admission.h"
#include "balsamlatch/Placement/AttemptMachine.h"
#include "balsamlatch/Placement/Engine.h"
#include "balsamlatch/Placement/PoolQueue.h"
#include "balsamlatch/Placement/RetryBudget.h"
#include "balsamlatch/Placement/SizeModel.h"
#include "balsamlatch/Placement/SlotHolder.h"
#include "balsamlatch/Placement/SlotScheduler.h"
#include "balsamlatch/Placement/WorkerHealth.h"
#include "balsamlatch/Placement/WorkerTable.h"

#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

namespace balsamlatch::placement {

/// Part of a pool's slots that patient work may hold, in percent.
inline constexpr std::uint32_t MaxPatientPercent = 75;
/// The least such part, in a pool whose prompt bursts can't all spill, and in
/// one where they can.
inline constexpr std::uint32_t MinPatientPercent = 25;
inline constexpr std::uint32_t MinPatientPercentWithSpill = 50;

enum class Phase { Claiming, Waiting, BackingOff, Running };

/// A request that has not ended.
struct OpenRequest {
  RequestKey Key;
  Request Asked;
  JobRule Rule;
  Phase At = Phase::Waiting;
  Instant Deadline{};
  /// A claim's limit; no attempt starts later.
  Instant DispatchDeadline = Instant::max();
  /// End of a back-off, or the time to hedge; the timer that is set.
  std::optional<Instant> Timer;
  unsigned Tries = 0;
  /// An attempt ended without proof that it didn't run.
  bool MayHaveRun = false;
  /// Waits for a second attempt while the first runs.
  bool Hedging = false;
  /// Lets the engine see whether an ejected job works again.
  bool JobProbe = false;
  std::vector<AttemptId> Running;
  std::vector<HostName> Tried;
  /// Under which a claim was asked; empty: none.
  RequestId ClaimId;
  /// Repeats with the same idempotency key through this entry.
  std::vector<RequestId> Repeats;
};

/// An attempt that holds a slot.
struct OpenAttempt {
  RequestKey Key;
  HostName Host;
  Address At;
  PoolName QueuePool;
  PoolName WorkerPool;
  TeamName Team;
  JobName Job;
  JobClass SlotClass = JobClass::Prompt;
  Instant Started{};
  AttemptMachine State;
};

/// What the engine keeps for one pool's requests.
struct PoolState {
  explicit PoolState(const PoolName &Pool) : Own(Pool, Pool) {}

  PoolQueue Queue;
  SlotHolder Own;
  // Slots of the spare pool, for this pool's requests.
  std::optional<SlotHolder> Spare;
  RetryBudget Budget;
  // Slots that patient requests of this entry hold.
  std::uint32_t PatientInUse = 0;
};

class Engine::Impl {
public:
  explicit Impl(EngineOptions Given);

  std::vector<Action> handle(const Event &Happened, Instant At);

  EngineOptions Options;
  EngineCounters Counters;
  std::unordered_map<RequestKey, OpenRequest> Requests;
  std::unordered_map<AttemptId, OpenAttempt> Attempts;
  std::map<PoolName, PoolState> Pools;
  WorkerTable Workers;
  RuleSetPtr Rules;

private:
  // Engine.cpp
  void on(const RulesChanged &E);
  void on(const WorkersChanged &E);
  void on(const WorkerReported &E);
  void on(const EntriesChanged &E);
  void on(const Tick &E);
  void on(const StopRequested &E);
  void noticePause(Instant At);
  void expire();
  PoolState &pool(const PoolName &Name);
  void applyQuotas();
  void applyWorkers();
  void log(const std::string &Subject, Reason Why, unsigned RuleLine,
           boost::json::object Details);

  // EngineRequests.cpp
  void on(const RequestArrived &E);
  void on(const RequestCancelled &E);
  void on(const ClaimSettled &E);
  bool refuse(const Request &Asked, const JobRule *Rule);
  bool joinFirst(const Request &Asked);
  void enqueue(OpenRequest &R);
  void passDeadline(OpenRequest &R);
  void finish(RequestKey Key, Outcome End, Reason Why, AttemptId Attempt = {},
              std::optional<Outcome> First = std::nullopt);
  void finishNow(const RequestId &Id, Outcome End, Reason Why,
                 AttemptId Attempt = {},
                 std::optional<Outcome> First = std::nullopt);
  void setTimer(OpenRequest &R, Instant At);
  void clearTimer(OpenRequest &R);
  OpenRequest *find(const RequestId &Id);
  static std::string keyOf(const Request &Asked);

  // EngineAttempts.cpp
  void on(const AttemptEnded &E);
  void on(const CancelConfirmed &E);
  void pumpAll();
  void pump(const PoolName &Name, PoolState &P);
  bool pumpGranted(const PoolName &Name, PoolState &P);
  bool pumpChosen(const PoolName &Name, PoolState &P);
  bool pumpProbe(const PoolName &Name, PoolState &P);
  const QueuedRequest *nextChosen(const PoolName &Name, PoolState &P);
  WorkerState *choose(const PoolName &Name, const OpenRequest &R);
  void dispatch(OpenRequest &R, WorkerState &Worker);
  void start(OpenRequest &R, WorkerState &Worker);
  std::optional<Reason> obstacle(const OpenRequest &R);
  Duration leaseFor(const OpenRequest &R) const;
  void hedge(OpenRequest &R);
  void settle(OpenRequest &R, AttemptId Attempt, TaskEnd End);
  void retry(OpenRequest &R, TaskEnd End);
  OpenAttempt closeAttempt(AttemptId Attempt);
  void judge(const OpenAttempt &Gone, TaskEnd End);
  void apply(const std::optional<HealthChange> &Change);
  void cancelRunning(const OpenRequest &R, AttemptId Except = {});

  // EngineSlots.cpp
  void on(const SlotMessageArrived &E);
  void electSchedulers();
  void updateSchedulers();
  bool exchangeSlots();
  void askFor(SlotHolder &Holder, const PoolName &Target,
              const SlotDemand &Wanted);
  void deliver(const SlotScheduler::Grants &Grants);
  void take(const EntryName &From, const SlotGrant &Grant);
  static PoolName sparePoolOf(const RuleSet &Rules);
  std::uint32_t spillingPools() const;
  bool allPromptSpills(const PoolName &Name) const;
  std::size_t liveEntries() const;

  Random Rng;
  Instant Now{};
  // After a pause of the process, when the view of workers may be old: no
  // work is placed before this instant.
  Instant HoldUntil{};
  bool Stopping = false;
  std::uint64_t LastKey = 0;
  std::uint64_t LastAttempt = 0;
  std::vector<Action> Out;
  std::unordered_map<RequestId, RequestKey> ById;
  // Open requests by the identifier that their claim was asked under.
  std::unordered_map<RequestId, RequestKey> Claims;
  // Open requests with an idempotency key.
  std::unordered_map<std::string, RequestKey> ByKey;
  // Deadlines, ends of back-offs and times to hedge.
  std::set<std::pair<Instant, RequestKey>> Timers;
  // Pools whose queue may go on.
  std::set<PoolName> Dirty;
  // Pools whose demand or holdings may have changed.
  std::set<PoolName> Touched;
  PoolName SparePool;
  SizeModel Sizes;
  WorkerHealth Health;
  std::vector<EntryName> Live;
  // Invariant: the pools for which this entry is schedulerOf(pool, Live).
  std::map<PoolName, SlotScheduler> Schedulers;
};

} // namespace balsamlatch::placement

#endif // BALSAMLATCH_PLACEMENT_ENGINEIMPL_H
