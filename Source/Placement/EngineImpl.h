/// \file
/// The state and the steps of the engine. Engine.cpp handles the events about
/// rules, workers, entries and time, EngineRequests.cpp those about requests;
/// EngineAttempts.cpp places requests on workers; EngineSlots.cpp exchanges
/// slot messages with other entries.

#ifndef BALSAMLATCH_PLACEMENT_ENGINEIMPL_H
#define BALSAMLATCH_PLACEMENT_ENGINEIMPL_H

#include "balsamlatch/Placement/Admission.h"
#include "balsamlatch/Placement/AttemptMachine.h"
#include "balsamlatch/Placement/Engine.h"
#include "balsamlatch/Placement/JobStatistics.h"
#include "balsamlatch/Placement/PoolQueue.h"
#include "balsamlatch/Placement/RetryBudget.h"
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

/// Largest part of a pool's slots that patient work may hold, in percent.
inline constexpr std::uint32_t MaxPatientPercent = 75;
/// Part of the slots that patient work may hold at least, in percent: in a pool
/// some of whose prompt jobs may not spill, and in a pool where all of them
/// may.
inline constexpr std::uint32_t MinPatientPercent = 25;
inline constexpr std::uint32_t MinPatientPercentWithSpill = 50;

enum class RequestPhase { Claiming, Queued, BackingOff, Running };

/// A request that has not ended.
struct OpenRequest {
  RequestKey Key;
  Request CallerRequest;
  JobRule Rule;
  RequestPhase Phase = RequestPhase::Queued;
  Instant Deadline{};
  /// Dispatch deadline of the claim; no attempt starts at or after it.
  Instant DispatchDeadline = Instant::max();
  /// The timer that is set, if any: the end of a back-off, or the time to
  /// hedge.
  std::optional<Instant> TimerExpiry;
  unsigned AttemptCount = 0;
  /// An attempt ended without proof that the task didn't run.
  bool MayHaveRun = false;
  /// A second attempt is queued while the first one runs.
  bool IsHedgeQueued = false;
  /// Admitted as a probe of an ejected job.
  bool IsJobProbe = false;
  std::vector<AttemptId> RunningAttempts;
  std::vector<HostName> TriedHosts;
  /// Identifier that the claim was requested under; empty if there is none.
  RequestId ClaimId;
  /// Repeats with the same idempotency key that arrived at this entry.
  std::vector<RequestId> RepeatIds;
};

/// An attempt that holds a slot.
struct OpenAttempt {
  RequestKey Key;
  HostName Host;
  Address HostAddress;
  PoolName QueuePool;
  PoolName WorkerPool;
  TeamName Team;
  JobName Job;
  JobClass SlotClass = JobClass::Prompt;
  Instant StartTime{};
  AttemptMachine State;
};

/// State for the requests of one pool.
struct PoolState {
  explicit PoolState(const PoolName &Pool) : OwnSlots(Pool, Pool) {}

  PoolQueue Queue;
  SlotHolder OwnSlots;
  // Slots of the spare pool that are held for this pool's requests.
  std::optional<SlotHolder> SpareSlots;
  RetryBudget Budget;
  // Slots that patient requests of this entry hold.
  std::uint32_t PatientSlotsInUse = 0;
};

class Engine::Impl {
public:
  explicit Impl(EngineOptions InitialOptions);

  std::vector<Action> handle(const Event &NewEvent, Instant EventTime);

  EngineOptions Options;
  EngineCounters Counters;
  std::unordered_map<RequestKey, OpenRequest> Requests;
  std::unordered_map<AttemptId, OpenAttempt> Attempts;
  std::map<PoolName, PoolState> Pools;
  WorkerTable Workers;
  RuleSetPtr Rules;

private:
  // Engine.cpp
  void handleEvent(const RulesChanged &E);
  void handleEvent(const WorkersChanged &E);
  void handleEvent(const WorkerReported &E);
  void handleEvent(const EntriesChanged &E);
  void handleEvent(const Tick &E);
  void handleEvent(const StopRequested &E);
  void detectPause(Instant EventTime);
  void fireTimers();
  PoolState &poolState(const PoolName &Name);
  void updateQuotas();
  void updatePoolSizes();
  void logDecision(const std::string &Subject, Reason DecisionReason,
                   unsigned RuleLine, boost::json::object Details);

  // EngineRequests.cpp
  void handleEvent(const RequestArrived &E);
  void handleEvent(const RequestCancelled &E);
  void handleEvent(const ClaimSettled &E);
  bool refuseIfInadmissible(const Request &CallerRequest, const JobRule *Rule);
  bool joinOpenRequest(const Request &CallerRequest);
  void enqueue(OpenRequest &Req);
  void expireRequest(OpenRequest &Req);
  void finishRequest(RequestKey Key, Outcome FinalOutcome, Reason EndReason,
                     AttemptId Attempt = {},
                     std::optional<Outcome> PriorOutcome = std::nullopt);
  void emitFinish(const RequestId &Id, Outcome FinalOutcome, Reason EndReason,
                  AttemptId Attempt = {},
                  std::optional<Outcome> PriorOutcome = std::nullopt);
  void setTimer(OpenRequest &Req, Instant Expiry);
  void clearTimer(OpenRequest &Req);
  OpenRequest *findRequest(const RequestId &Id);
  static std::string scopedIdempotencyKey(const Request &CallerRequest);

  // EngineAttempts.cpp
  void handleEvent(const AttemptEnded &E);
  void handleEvent(const CancelConfirmed &E);
  void schedulePools();
  void schedulePool(const PoolName &Name, PoolState &Pool);
  bool placeGranted(const PoolName &Name, PoolState &Pool);
  bool placeByOwnChoice(const PoolName &Name, PoolState &Pool);
  bool placeProbe(const PoolName &Name, PoolState &Pool);
  const QueuedRequest *nextForOwnChoice(const PoolName &Name, PoolState &Pool);
  WorkerState *chooseWorker(const PoolName &Name, const OpenRequest &Req);
  void dispatch(OpenRequest &Req, WorkerState &Worker);
  void startAttempt(OpenRequest &Req, WorkerState &Worker);
  std::optional<Reason> findDispatchObstacle(const OpenRequest &Req);
  Duration leaseDuration(const OpenRequest &Req) const;
  void queueHedge(OpenRequest &Req);
  void settleAttempt(OpenRequest &Req, AttemptId Attempt, TaskEnd End);
  void retryRequest(OpenRequest &Req, TaskEnd End);
  OpenAttempt closeAttempt(AttemptId Attempt);
  void recordHealth(const OpenAttempt &EndedAttempt, TaskEnd End);
  void applyHealthChange(const std::optional<HealthChange> &Change);
  void cancelAttempts(const OpenRequest &Req, AttemptId KeptAttempt = {});

  // EngineSlots.cpp
  void handleEvent(const SlotMessageArrived &E);
  void electSchedulers();
  void updateSchedulers();
  bool exchangeSlots();
  void requestSlots(SlotHolder &Holder, const PoolName &TargetPool,
                    const SlotDemand &Demand);
  void deliverGrants(const SlotScheduler::Grants &Grants);
  void receiveGrant(const EntryName &SenderEntry, const SlotGrant &Grant);
  static PoolName findSparePool(const RuleSet &Rules);
  std::uint32_t countSpillingPools() const;
  bool canAllPromptSpill(const PoolName &Name) const;
  std::size_t liveEntryCount() const;

  RandomEngine Rng;
  Instant Now{};
  // No work is placed before this instant: after a pause of the process, the
  // list of workers may be outdated.
  Instant PlacementPausedUntil{};
  bool IsStopping = false;
  std::uint64_t LastKey = 0;
  std::uint64_t LastAttempt = 0;
  std::vector<Action> Actions;
  std::unordered_map<RequestId, RequestKey> RequestsById;
  // Open requests by the identifier that their claim was requested under.
  std::unordered_map<RequestId, RequestKey> RequestsByClaim;
  // Open requests by scoped idempotency key.
  std::unordered_map<std::string, RequestKey> RequestsByIdempotencyKey;
  // Request deadlines, ends of back-offs and times to hedge.
  std::set<std::pair<Instant, RequestKey>> Timers;
  // Pools in which a queued request may be placed now.
  std::set<PoolName> PoolsToSchedule;
  // Pools whose slot demand or holdings may have changed.
  std::set<PoolName> PoolsWithSlotChanges;
  PoolName SparePool;
  JobStatistics Statistics;
  WorkerHealth Health;
  std::vector<EntryName> LiveEntries;
  // Invariant: one scheduler for each pool for which electScheduler() names
  // this entry.
  std::map<PoolName, SlotScheduler> Schedulers;
};

} // namespace balsamlatch::placement

#endif // BALSAMLATCH_PLACEMENT_ENGINEIMPL_H
