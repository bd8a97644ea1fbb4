/// \file
/// The state of a worker and its runs as the lease holder knows it during its
/// term.

#ifndef BALSAMLATCH_DISPATCH_WORKERSTATE_H
#define BALSAMLATCH_DISPATCH_WORKERSTATE_H

#include "balsamlatch/Dispatch/Orders.h"
#include "balsamlatch/Dispatch/Pacing.h"

#include <algorithm>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>

namespace balsamlatch::dispatch {

/// The phase of a run as far as the lease holder knows.
enum class RunPhase {
  /// A worker is chosen; the placement is not recorded yet.
  Proposed,
  /// The start order is sent but has no reply yet.
  Ordered,
  Running,
  /// It is not known whether the start was carried out.
  Uncertain,
  /// The end is known but not recorded yet.
  Ending,
};

/// A run whose worker replies this long after the start has not crashed the
/// worker by its start. Longer for a task whose runs have met later crashes.
inline constexpr Duration SettlingTime = std::chrono::milliseconds(100);
/// A long-running run whose worker replies this long after the start clears its
/// task of earlier crashes. Longer for a task whose runs have met later
/// crashes.
inline constexpr Duration SurvivalTime = std::chrono::seconds(1);

/// An order that may be repeated is, after this many times the delay of recent
/// replies.
inline constexpr int PatienceFactor = 4;
/// Any order counts as unanswered after this many times that delay.
inline constexpr int ReplyTimeoutFactor = 2;
inline constexpr Duration MinPatience = std::chrono::milliseconds(80);
/// A call with an order ends after this many times the time allowed for its
/// reply, since another entry may carry it.
inline constexpr int DeliveryTimeFactor = 2;
inline constexpr Duration MaxDeliveryTime =
    DeliveryTimeFactor * MaxReplyTimeout;
/// Start orders that are sent for one run while none is answered.
inline constexpr unsigned MaxStartAttempts = 3;
/// An order without a reply is carried out no later than this after its call
/// has ended, by whichever incarnation of the worker is up then. The platform
/// documents 12 s; the rest covers late timers.
inline constexpr Duration MaxOrderDelay = std::chrono::milliseconds(12'500);
/// The latest time at which an order without a reply is carried out, if its
/// call ended at \p SettledAt.
constexpr Instant latestExecution(Instant SettledAt) {
  return SettledAt + MaxOrderDelay;
}
/// Delay before the next renewal after one without a reply.
inline constexpr Duration UnresponsiveRenewalPeriod =
    std::chrono::milliseconds(250);
/// Time from a failure on a worker that fails run after run to the next
/// long-running task that it may be given as the last resort.
inline constexpr Duration FailureProbeDelay = std::chrono::seconds(2);
/// Renewals in a row that are repeated with no more than that patience.
inline constexpr unsigned MaxQuickRenewals = 2;

/// A run on a worker as the lease holder tracks it.
struct RunState {
  std::uint32_t Number = 0;
  RunPhase Phase = RunPhase::Proposed;
  /// Incarnation of the worker that the run was placed on. Orders name the
  /// worker by its ID only, so a later incarnation may carry them out.
  std::int64_t WorkerIncarnation = 0;
  /// Incarnation of the worker that has reported the run; 0 if none has.
  std::int64_t ReportedBy = 0;
  /// The start was answered by a later incarnation of the worker than was known
  /// then. It may have ended with the run since.
  bool IsOnUnknownIncarnation = false;
  /// Incarnation of the worker on which the run has ended, or that will not
  /// start it any more; 0 for none.
  std::int64_t EndedOn = 0;
  Resources Claim;
  bool LongRunning = false;
  bool BestEffort = false;
  bool StopRequested = false;
  bool StopInFlight = false;
  /// When the last stop was ordered.
  Instant StopOrderedAt{};
  /// When the present incarnation of the worker confirmed a stop. It refuses a
  /// start that arrives after that.
  std::optional<Instant> StopConfirmedAt;
  /// How the run ends if the present incarnation of the worker turns out not to
  /// have it; set if an earlier one has ended meanwhile.
  std::optional<jobs::RunOutcome> OutcomeIfMissing;
  /// Started under a lower fencing token, so the worker refuses a start that
  /// arrives late.
  bool FromEarlierTerm = false;
  /// When the start was ordered; unset for a run of an earlier term.
  Instant OrderedAt{};
  /// Start orders sent. An earlier one without a reply may still be carried
  /// out when a later one is refused.
  unsigned StartAttempts = 0;
  /// Start orders without a reply. Each may still be carried out. For a run of
  /// an earlier term it is 1 while such an order is possible.
  unsigned UnansweredStarts = 0;
  /// When the calls with its start orders have ended.
  Instant StartsSettledAt{};
  /// Consecutive host lists without a host for the worker, of those that show
  /// the time after keptUntil().
  unsigned ListsWithoutHost = 0;
  /// When the run was first known to be running.
  Instant StartedAt{};
  /// The time after the start in which the run may crash its worker, as far as
  /// others are kept away from it, and as far as its task is suspected.
  Duration SettlesAfter = SettlingTime;
  Duration SurvivesAfter = SurvivalTime;
  /// Crashes of workers under earlier runs of the task that count against it.
  std::uint32_t EarlierCrashes = 0;
  /// The worker has replied at least SettlesAfter after the start.
  bool HasSettled = false;
  /// No other run may be on the worker until this one has settled.
  bool IsIsolated = false;
  /// No other run may start on the worker until this one has settled, so that a
  /// crash is counted against one suspect only. Set if IsIsolated is.
  bool StartsAlone = false;
  unsigned Percent = 0;
  Instant PercentChangedAt{};
  /// The longest time that the run took from one percentage to the next.
  Duration LongestPercentTime{};
  /// The run counts as stalled after this time without progress.
  Duration StallTimeout{};
  std::int64_t Gauge = 0;
  std::string Checkpoint;
  /// Ticket of the permit for the placement; empty without a policy.
  std::string Ticket;
  /// Tail latency objective of a serving task; zero for other tasks.
  Duration TailObjective{};
  /// Pace of a best-effort task in percent, as last confirmed by the worker;
  /// unset while unknown.
  std::optional<unsigned> Pace = 100;
  bool PaceInFlight = false;

  /// Whether an incarnation of the worker that has not reported the run may
  /// have started it, or may start it yet.
  bool mayBeTakenLater() const {
    return Phase != RunPhase::Proposed && Phase != RunPhase::Ending &&
           (ReportedBy == 0 || UnansweredStarts > 0);
  }
  /// The latest time at which any worker carries out a start order.
  Instant latestStart() const {
    return UnansweredStarts > 0 ? latestExecution(StartsSettledAt)
                                : StartsSettledAt;
  }
  /// Until when the run is kept although its worker is gone, as a later
  /// incarnation may start it. A long-running task is missed all the while, so
  /// it isn't kept for as long as an order may be on its way.
  Instant keptUntil() const {
    return LongRunning ? StartsSettledAt : latestStart();
  }
};

/// Orders without a reply that ask for leases. Each lengthens the leases of all
/// runs on the incarnation of the worker that carries it out.
struct UnansweredLeases {
  /// When the calls with the orders have ended; unset if there are none.
  std::optional<Instant> SettledAt;
  /// The latest end of a lease that they ask for, on the clock of the
  /// incarnation that each is meant for.
  WorkerClock Until{};

  void add(Instant CallSettledAt, WorkerClock LeaseUntil) {
    SettledAt = std::max(SettledAt.value_or(CallSettledAt), CallSettledAt);
    Until = std::max(Until, LeaseUntil);
  }
  void add(const UnansweredLeases &Others) {
    if (Others.SettledAt) {
      add(*Others.SettledAt, Others.Until);
    }
  }
  /// Whether one of them may still be carried out.
  bool mayBeExecutedAt(Instant Now) const {
    return SettledAt && Now <= latestExecution(*SettledAt);
  }
};

/// A run that has ended by the journal, while a start of it may still be
/// carried out or has been.
struct FormerStart {
  TaskRef Task;
  std::uint32_t Run = 0;
  /// When the calls with its start orders had ended.
  Instant SettledAt{};
  /// The incarnation of the worker that neither has the run nor will start it;
  /// 0 for none.
  std::int64_t RefusedBy = 0;
  /// Stops without a reply. Replies don't tell to which stop they belong, so
  /// none counts while one for a former incarnation is among them.
  unsigned StopsInFlight = 0;
  bool HasStopForFormer = false;
  /// A stop for the present incarnation is in flight.
  bool IsStopOrdered = false;
  /// When the present incarnation confirmed a stop.
  std::optional<Instant> StopConfirmedAt;
  /// The earliest time of the next stop.
  Instant NextStopAt{};
};

/// Whether the worker is kept free of new work for its host.
enum class Cordon {
  None,
  /// The host is to be moved once it is vacant, unless it is needed meanwhile.
  Draining,
  /// The host is to be maintained once it is vacant.
  DrainingForMaintenance,
  /// An order that ends all runs on the worker is open for the host.
  OrderPending,
};

/// Why a worker gets no new work.
enum class WorkerExclusion {
  None,
  NotRegistered,
  NotReported,
  Unresponsive,
  Cordoned,
  Draining,
  /// Runs on it have failed, or it has refused a run.
  Avoided,
};

/// A run that was declared lost, and how it counts if its worker turns out to
/// have crashed.
struct PossibleCrash {
  TaskRef Task;
  std::uint32_t Run = 0;
  jobs::RunOutcome Outcome = jobs::RunOutcome::WorkerCrashedOnStart;
  /// Time from the start to the crash, if it is known.
  std::optional<Duration> Delay;
};

/// A worker, its runs, and the times of the next orders to it.
struct WorkerState {
  WorkerRecord Record;
  /// Registered at present.
  bool IsRegistered = false;
  /// Has replied to a renewal in this term.
  bool HasReported = false;
  /// The last renewal failed or got no reply, and since when that is so.
  bool IsUnresponsive = false;
  Instant UnresponsiveSince{};
  /// When the incarnation was learnt in this term, or the start of the term if
  /// it is known from the journal.
  Instant IncarnationLearntAt{};
  /// An earlier incarnation was known in this term.
  bool HasRestarted = false;
  /// Earlier incarnations whose numbers are higher: the clock of the host was
  /// set back since. Their registrations and replies may still arrive.
  std::set<std::int64_t> SupersededIncarnations;
  /// This incarnation has ended as far as is known: its host was moved or
  /// maintained, or no host runs it any more. Its registration may last longer.
  bool HasEnded = false;
  /// When a host order was seen to have ended this incarnation. Replies to
  /// earlier renewals say nothing of it.
  Instant EndedAt{};
  Cordon HostCordon = Cordon::None;
  /// An earlier lease holder may have ordered the host just before this term,
  /// so all runs on the worker may end.
  bool HostMayBeOrdered = false;
  /// Set while a run that starts alone has not settled, and until the next
  /// report after such a run has ended.
  bool MayHaveIsolatedRun = false;
  /// Kept free of all work but isolated runs.
  bool IsReserved = false;
  bool RenewalInFlight = false;
  /// The end of the leases that it asks for, the last end that it acknowledges,
  /// and when its call has ended.
  std::optional<WorkerClock> RenewalLeaseUntil;
  std::uint64_t RenewalAck = 0;
  Instant RenewalSettledAt{};
  /// Long-poll time of the last renewal.
  Duration RenewalWait{};
  /// Consecutive renewals without a reply.
  unsigned UnansweredRenewals = 0;
  /// The longest delay of recent replies.
  Duration RecentReplyDelay{};
  Instant NextRenewalAt{};
  Instant LastReportAt{};
  /// When the renewal was sent that the last report answers. The report may
  /// have waited on its way.
  Instant LastReportAskedAt{};
  WorkerClock Clock{};
  /// Consecutive host lists without a host for this worker.
  unsigned ListsWithoutHost = 0;
  /// Host lists since the worker became unresponsive.
  unsigned ListsWhileUnresponsive = 0;
  /// A host list has shown the worker since the incarnation was learnt. That
  /// list may be older.
  bool WasListed = false;
  /// Local time when Clock was received.
  Instant ClockReceivedAt{};
  /// The time when all leases granted so far have expired on the incarnation
  /// that they were meant for. See Dispatcher::leaseExpiry() for all leases.
  Instant LeasesExpireAt{};
  /// Orders of this term that are meant for the present incarnation, and for
  /// earlier ones. A later incarnation takes the end of a lease for a time on
  /// its own clock.
  UnansweredLeases PresentLeases;
  UnansweredLeases FormerLeases;
  /// When the calls of renewals without a reply that acknowledge ends have
  /// ended, of those meant for the present incarnation and for earlier ones. A
  /// later incarnation that carries one out forgets ends that were not seen.
  std::optional<Instant> PresentAckSettledAt;
  std::optional<Instant> FormerAckSettledAt;
  /// Highest sequence number of an end that was processed.
  std::uint64_t LastSeenEnd = 0;
  /// The last renewal acknowledged no ends, as the worker may have restarted.
  bool IsAckWithheld = false;
  /// Highest sequence number that an answered renewal has acknowledged.
  std::uint64_t LastConfirmedAck = 0;
  /// Value of LastSeenEnd when the events that are being recorded were taken.
  std::uint64_t LastEndInBatch = 0;
  /// Highest sequence number of an end that is recorded.
  std::uint64_t LastRecordedEnd = 0;
  /// The worker gets no new work before this time, since it refused a run.
  Instant AvoidUntil{};
  /// The worker gets no new work before this time, since runs on it have failed
  /// one after another; and when the last one did.
  Instant FailingUntil{};
  Instant LastFailureAt{};
  /// Failed runs since the last success, where consecutive failures of one job
  /// count once; and the job of the last failure.
  unsigned ConsecutiveFailures = 0;
  JobId LastFailedJob;
  unsigned AvoidanceDoublings = 0;
  /// Desired pace of the best-effort tasks, and the earliest time of the next
  /// pace order.
  BestEffortPace TargetPace;
  Instant NextPaceAt{};
  std::map<TaskRef, RunState> Runs;
  /// Runs that were declared lost while the worker couldn't be reached.
  std::vector<PossibleCrash> PossibleCrashes;
  /// Starts that the present incarnation must refuse, unless it has.
  std::vector<FormerStart> FormerStarts;
  // Invariant: the sum of the claims of all Runs that are not in phase Ending.
  Resources ClaimedResources;
  /// Resources of the runs in the last report that are not among Runs. They are
  /// being stopped.
  Resources OrphanedResources;

  void setUnresponsive(Instant Now) {
    if (!std::exchange(IsUnresponsive, true)) {
      UnresponsiveSince = Now;
    }
  }
  WorkerClock clockAt(Instant Now) const {
    return Clock +
           std::chrono::duration_cast<WorkerClock>(Now - ClockReceivedAt);
  }
  Resources freeResources() const {
    Resources FreeResources = Record.Capacity;
    FreeResources -= ClaimedResources;
    FreeResources -= OrphanedResources;
    return FreeResources;
  }
  /// Whether all claims fit. They don't once the worker has shrunk.
  bool hasRoomForClaims() const {
    return Resources().fitsInto(freeResources());
  }
  /// Whether the worker may still forget ends that were not seen, by a renewal
  /// for an earlier incarnation.
  bool mayForgetEnds(Instant Now) const {
    return FormerAckSettledAt && Now <= latestExecution(*FormerAckSettledAt);
  }
  /// Whether a later incarnation may still carry out orders without a reply.
  bool mayExecuteLate(Instant Now) const {
    return PresentLeases.mayBeExecutedAt(Now) || mayForgetEnds(Now) ||
           (PresentAckSettledAt &&
            Now <= latestExecution(*PresentAckSettledAt));
  }
  /// Whether any run is on the worker, also one that is being stopped.
  bool isOccupied() const {
    return !Runs.empty() || OrphanedResources != Resources();
  }
  /// Whether the end of the worker is planned, so that it is no crash.
  bool isLeaving() const {
    return Record.Draining || HostCordon == Cordon::OrderPending;
  }
  bool hasLabel(const std::string &Label) const;
  /// Null if there is none.
  FormerStart *findFormerStart(const TaskRef &Task, std::uint32_t Run);
  /// Whether best-effort tasks share the worker with serving tasks, so that the
  /// tails of the serving tasks control the pace of the best-effort tasks.
  bool hasBestEffortNextToServing() const;
  /// Time allowed for a reply, from the delays of recent replies.
  Duration replyTimeout() const {
    return std::clamp(RecentReplyDelay * ReplyTimeoutFactor, MinReplyTimeout,
                      MaxReplyTimeout);
  }
  /// Time after which an order that may safely be repeated is, from the delays
  /// of recent replies.
  Duration patience() const {
    return std::clamp(RecentReplyDelay * PatienceFactor, MinPatience,
                      replyTimeout());
  }
  /// The address for the next order, with the time allowed for its reply.
  WorkerAddress address() const {
    WorkerAddress Address = Record.Address;
    // A worker that is silent may be slow: every second retry waits longer.
    Address.ReplyTimeout = UnansweredRenewals > 0 && UnansweredRenewals % 2 == 0
                               ? MaxReplyTimeout
                               : replyTimeout();
    return Address;
  }
  WorkerExclusion exclusionAt(Instant Now) const {
    return !IsRegistered                ? WorkerExclusion::NotRegistered
           : !HasReported               ? WorkerExclusion::NotReported
           : IsUnresponsive             ? WorkerExclusion::Unresponsive
           : HostCordon != Cordon::None ? WorkerExclusion::Cordoned
           : Record.Draining            ? WorkerExclusion::Draining
           : Now < std::max(AvoidUntil, FailingUntil) ? WorkerExclusion::Avoided
                                                      : WorkerExclusion::None;
  }
  /// Whether new work may be placed on the worker.
  bool isUsable(Instant Now) const {
    return exclusionAt(Now) == WorkerExclusion::None;
  }
  /// Whether a long-running task that no usable worker can take may be placed
  /// on the worker: also while it drains for its host, and to find out whether
  /// runs on it still fail.
  bool isLastResort(Instant Now) const {
    const WorkerExclusion Exclusion = exclusionAt(Now);
    if (Exclusion != WorkerExclusion::Cordoned &&
        Exclusion != WorkerExclusion::Avoided) {
      return Exclusion == WorkerExclusion::None;
    }
    return HostCordon != Cordon::OrderPending && !Record.Draining &&
           Now >= std::max(AvoidUntil, LastFailureAt + FailureProbeDelay);
  }
};

using WorkerTable = std::map<std::string, WorkerState>;

} // namespace balsamlatch::dispatch

#endif // BALSAMLATCH_DISPATCH_WORKERSTATE_H
