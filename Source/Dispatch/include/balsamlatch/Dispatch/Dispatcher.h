/// \file
/// The job scheduler of the lease holder, which is the entry that leads the
/// jobs at present. Decides which task runs on which worker, which orders the
/// workers get, and what their replies mean for the jobs. It does no I/O:
/// events and orders are returned as values, and time comes from the clock.
///
/// Runs of the same task never overlap. A placement is first proposed as an
/// event; the start is ordered once the journal holds the event; and the task
/// is placed again only after the run is known to have ended, or every lease
/// that it may hold has expired.

#ifndef BALSAMLATCH_DISPATCH_DISPATCHER_H
#define BALSAMLATCH_DISPATCH_DISPATCHER_H

#include "balsamlatch/Base/Clock.h"
#include "balsamlatch/Base/Log.h"
#include "balsamlatch/Dispatch/CrashEvidence.h"
#include "balsamlatch/Dispatch/CrashIsolation.h"
#include "balsamlatch/Dispatch/Permits.h"
#include "balsamlatch/Dispatch/WorkerState.h"
#include "balsamlatch/Jobs/JobTable.h"

#include <memory>
#include <set>
#include <unordered_set>

namespace balsamlatch::dispatch {

struct DispatchOptions {
  /// Lease duration of runs: how long they continue without a renewal. Short,
  /// so that tasks of a lost worker restart elsewhere soon, but long enough for
  /// a change of the lease holder.
  Duration RunLease = std::chrono::seconds(4);
  /// The longest lease that a worker grants. It grants this if the clock of an
  /// earlier incarnation was far ahead of its own.
  Duration MaxRunLease = std::chrono::seconds(10);
  /// How much slower a worker's clock may run, in percent.
  unsigned ClockSlackPercent = 3;
  /// How long an earlier lease holder may have renewed run leases while it
  /// could not reach the store.
  Duration StoreOutageRenewal = std::chrono::seconds(6);
  /// Long-poll time of a renewal: how long the worker waits for a run to end
  /// before it replies.
  Duration RenewalWait = std::chrono::milliseconds(1000);
  /// Long-poll time while a long-running task has not started its work, since
  /// only a reply shows that it has.
  Duration StartingRenewalWait = std::chrono::milliseconds(250);
  /// Long-poll time while best-effort tasks share a worker with serving tasks,
  /// since the tail latencies in the replies control the pace of the
  /// best-effort tasks.
  Duration SharedRenewalWait = std::chrono::milliseconds(400);
  /// Long-poll time while replies of workers get lost, since ends are not known
  /// until the next reply.
  Duration LossyRenewalWait = std::chrono::milliseconds(400);
  /// Time between renewals for a worker without runs.
  Duration IdleRenewalPeriod = std::chrono::milliseconds(2000);
  /// Time from a reply to the next renewal for a worker with runs, so that ends
  /// are reported in batches.
  Duration RenewalPeriod = std::chrono::milliseconds(20);
  /// A run without progress for this long is stopped, unless its task is
  /// expected to take long.
  Duration StallTimeout = std::chrono::milliseconds(2500);
  /// How long the state of a closed job is kept.
  Duration StatusRetention = std::chrono::seconds(120);
};

/// How much work is due, or waits for a reply.
struct DispatchBacklog {
  /// Workers whose next renewal is due but not sent, and the longest such
  /// delay.
  std::size_t OverdueRenewals = 0;
  Duration LongestOverdue{};
  std::size_t UnresponsiveWorkers = 0;
  /// Runs whose start isn't answered.
  std::size_t OpenStarts = 0;
  std::size_t OpenJobs = 0;
  /// Steps with tasks that no usable worker can take.
  std::size_t UnplacedSteps = 0;

  auto operator<=>(const DispatchBacklog &) const = default;
};

/// Schedules jobs while this entry is the lease holder.
class Dispatcher {
public:
  Dispatcher(const Clock &TimeSource, DispatchOptions Options, LogSink &Sink);

  /// Begins a term with the jobs as recorded in the journal; \p Jobs must
  /// outlive the term. Every placed task in it may still be running.
  void begin(FencingToken Token, const jobs::JobTable &Jobs);
  /// Ends the term and drops all pending events and orders.
  void end();

  void configure(std::shared_ptr<const Deployment> Config);
  /// Sets the workers that are registered now.
  void setWorkers(const std::map<std::string, WorkerRecord> &Records);
  /// Takes over registrations that have changed.
  void updateWorkers(const std::vector<WorkerChange> &Changes);

  /// The journal holds the events, and they are applied to the job table.
  void handleRecorded(const std::vector<jobs::JobEvent> &RecordedEvents);

  /// Take the outcome of an order, and for a renewal the report of the worker.
  void handleRenewReply(const std::string &WorkerId, Instant SentAt,
                        OrderOutcome Outcome, const RenewReport &Report);
  void handleStartReply(const StartOrder &Order, const OrderReply &Reply);
  void handleStopReply(const StopOrder &Order, OrderOutcome Outcome);
  void handlePaceReply(const PaceOrder &Order, OrderOutcome Outcome);

  /// Does all work that is due. Call after other inputs, and at least every
  /// 20 ms. Without \p MayPlace no new run is proposed; without \p MayRenew no
  /// lease is renewed.
  void tick(bool MayPlace, bool MayRenew);

  /// Return and clear the events to record and the orders to send. Events may
  /// be taken only after those taken before are recorded.
  std::vector<jobs::JobEvent> takeEvents();
  std::vector<WorkerOrder> takeOrders();
  /// Returns and clears the queries to send to the placement policies. At most
  /// QueryLimit queries are in flight at a time, and at most one per step.
  std::vector<PermitQuery> takeQueries();
  void setQueryLimit(std::size_t Limit) { QueryLimit = Limit; }
  /// \p Reply is unset if the policy service did not reply.
  void handleQueryReply(const PermitQuery &Query, Instant AskedAt,
                        const std::optional<PermitReply> &Reply);

  /// Whether a worker has seen a higher fencing token, which ends this term.
  bool isFenced() const { return Fenced; }

  const WorkerTable &workers() const { return Workers; }
  /// Pools with work that has not fitted on any usable worker for a while, and
  /// the total number of hosts each of them needs to run it.
  const std::map<PoolName, unsigned> &requiredHosts() const {
    return RequiredHosts;
  }
  Instant now() const { return Time.now(); }
  DispatchBacklog backlog() const;
  /// Cordons these workers, by ID, and no others.
  void setCordons(const std::map<std::string, Cordon> &Cordons);
  /// Cordons one more worker until the next setCordons().
  void addCordon(const std::string &WorkerId, Cordon NewCordon);
  /// Marks these workers, by ID, and no others as HostMayBeOrdered.
  void setPossiblyOrdered(const std::set<std::string> &WorkerIds);
  /// Stops the run of the task on the worker, so that the task is placed again.
  /// \p Reason is logged.
  void moveRun(const std::string &WorkerId, const TaskRef &Task,
               std::string_view Reason);
  /// Takes the workers on any host by the latest host list, which was asked for
  /// at \p AskedAt. A worker that can't be reached and is missing from two
  /// lists in a row counts as ended.
  void setHostedWorkers(const std::set<std::string> &Ids, Instant AskedAt);
  /// Whether a worker with runs has become unresponsive, so that the next host
  /// lists show whether its runs are lost.
  bool needsHostList() const;
  /// The host of the worker was moved or maintained, so all runs on the worker
  /// have ended. If it may have crashed instead, the worker may be back under
  /// its ID, and runs that its next incarnation may have are kept.
  void handleHostGone(const std::string &WorkerId, bool MayHaveCrashed = false);

  /// Jobs of the queue, without those that repeat, that the journal has as
  /// begun although no run of them is known to have started; 0 outside of
  /// a term.
  unsigned countUnstartedJobs(const QueueName &Queue) const;

private:
  void registerWorker(const std::string &Id, const WorkerRecord &Record);
  /// Null if the worker is unknown or in another incarnation.
  WorkerState *findWorker(const WorkerInstance &Instance);
  /// Null if the task has no run with this number on the worker.
  RunState *findRun(const std::string &WorkerId, const TaskRef &Task,
                    std::uint32_t Run);
  const RunState *findRun(const std::string &WorkerId, const TaskRef &Task,
                          std::uint32_t Run) const;
  /// Tracks the runs of the job that an earlier lease holder has placed.
  void adoptPlacedRuns(const jobs::Job &Job);
  /// Whether a start of the placed task by an earlier lease holder may still be
  /// carried out.
  bool mayHaveStartOnItsWay(const jobs::TaskRecord &Task) const;
  void applyRecorded(const jobs::TaskPlaced &Event);
  void applyRecorded(const jobs::TaskEnded &Event);
  void applyRecorded(const jobs::JobClosed &Event);
  void applyRecorded(const jobs::JobAccepted &Event);
  template <typename EventType> void applyRecorded(const EventType &) {}

  /// Tracks a run on the worker.
  void addRun(WorkerState &Worker, const TaskRef &Task, const RunState &Run);
  void removeRun(WorkerState &Worker, const TaskRef &Task);
  /// Raises the number up to which the ends of the worker are recorded.
  void advanceRecordedEnds(WorkerState &Worker, std::uint64_t Number);
  /// Proposes an event for the end of the run and releases its claim.
  void proposeEnd(WorkerState &Worker, const TaskRef &Task, RunState &Run,
                  jobs::RunOutcome End, const std::string &Checkpoint);
  static void releaseClaim(WorkerState &Worker, RunState &Run);
  /// A run with what its step and its task's record say of it, in phase
  /// Proposed. \p Record is null if the task has not run yet.
  RunState makeRun(const TaskRef &Task, const jobs::StepSpec &Step,
                   const jobs::TaskRecord *Record, std::uint32_t Number,
                   std::int64_t WorkerIncarnation) const;
  /// Resources that a run claims. Best-effort tasks claim no CPU.
  static Resources claimFor(const jobs::StepSpec &Step);
  /// Time without progress after which a new run of the task counts as stalled.
  Duration stallTimeout(const TaskRef &Task, const jobs::StepSpec &Step) const;
  /// Counts consecutive failures, after which the worker is avoided.
  void updateWorkerHealth(WorkerState &Worker, const TaskRef &Task,
                          jobs::RunOutcome End);
  /// Stops the other members of a gang after one of them has ended.
  void stopGangPeers(const TaskRef &EndedMember, std::uint32_t Run);
  /// Proposes to close a job whose tasks have all completed, or one of whose
  /// tasks has used all attempts or crashes its workers.
  void closeIfDone(const JobId &Id);
  /// Declares all runs on the worker lost, except for those that a later
  /// incarnation may have if \p MayHaveCrashed.
  void endAllAsLost(WorkerState &Worker, std::string_view Reason,
                    bool MayHaveCrashed);
  void logKeptRun(const WorkerState &Worker, const TaskRef &Task,
                  const RunState &Run) const;
  /// The worker process of all runs not on \p Incarnation has ended. If that
  /// wasn't planned, the runs that it had just started may be the cause. Runs
  /// that \p Incarnation may have are kept.
  void handleWorkerGone(WorkerState &Worker, std::int64_t Incarnation,
                        std::string_view Reason);
  /// Keeps a run that the present incarnation of the worker may have. It ends
  /// with \p Outcome if it isn't there.
  static void keepForNextIncarnation(RunState &Run, jobs::RunOutcome Outcome);
  /// How the run ends if its worker has crashed.
  jobs::RunOutcome crashOutcome(const WorkerState &Worker,
                                const RunState &Run) const;
  /// The worker has crashed: records that for the remembered runs.
  void confirmPossibleCrashes(WorkerState &Worker);
  /// A worker has crashed this long after a start of the task; unset if that
  /// isn't known.
  void noteCrashDelay(const TaskRef &Task, std::optional<Duration> Delay);
  void logLostRun(const WorkerState &Worker, const TaskRef &Task,
                  const RunState &Run, std::string_view Reason) const;
  /// Switches to another incarnation of the worker; runs of earlier ones are
  /// lost.
  void setWorkerInstance(WorkerState &Worker, std::int64_t Incarnation);
  /// Unanswered orders that were meant for the present incarnation may be
  /// carried out by the next one.
  static void inheritUnansweredOrders(WorkerState &Worker);
  /// Switches to the incarnation that has replied to a renewal sent at
  /// \p SentAt. Returns false if the reply is from an earlier one.
  bool acceptIncarnation(WorkerState &Worker, std::int64_t Incarnation,
                         Instant SentAt);
  /// Time until the next renewal after one without a reply.
  Duration renewalRetryDelay(const WorkerState &Worker) const;
  /// Learns from a reply how long to wait for the next ones.
  void noteReplyDelay(WorkerState &Worker, Instant SentAt);
  void processEndedRuns(WorkerState &Worker, const RenewReport &Report);
  /// Handles the end of a run that was declared lost, or that is not tracked
  /// for another reason.
  void processLateEnd(const EndedTask &EndedRun);
  void processRunningTasks(WorkerState &Worker, const RenewReport &Report,
                           Instant SentAt);
  /// Declares runs lost that are missing from a complete report and can't start
  /// later.
  void resolveMissingRuns(WorkerState &Worker,
                          const std::set<TaskRef> &ReportedTasks,
                          Instant SentAt);
  void updateProgress(WorkerState &Worker, const RunningTask &ReportedRun,
                      RunState &Run);
  void stopOrphanedRun(WorkerState &Worker, const RunningTask &ReportedRun);
  /// The worker has just replied, so runs that started some time ago have
  /// settled.
  void settleRuns(WorkerState &Worker);

  /// Sends the orders that are due to each worker.
  void sweepWorkers(Instant Now, bool MayRenew);
  void expireLeases(Instant Now);
  /// Declares the runs lost whose leases have expired, and remembers those that
  /// may have crashed the worker.
  void expireRuns(WorkerState &Worker, Instant Now);
  /// When all leases on the present incarnation of the worker have expired,
  /// also those by the clocks of earlier ones.
  Instant leaseExpiry(const WorkerState &Worker) const;
  /// When the run has ended if the worker isn't heard of until then.
  Instant runExpiry(const WorkerState &Worker, const RunState &Run) const;
  /// The time that a lease may last if it was granted by the worker now.
  Duration leaseBound(Duration Lease) const;
  /// Whether an earlier lease holder may have asked for a lease on the worker
  /// by the clock of an earlier incarnation. \p Clock is the time on the clock
  /// of the present one, or zero while it isn't known.
  bool mayHoldEarlierLease(const WorkerState &Worker, WorkerClock Clock) const;
  /// Remembers an order that asked for leases and got no reply.
  void noteUnansweredLease(WorkerState &Worker, Instant SettledAt,
                           WorkerClock Until) const;
  static void addFormerStart(WorkerState &Worker, const FormerStart &Start);
  /// Removes starts that are too old to be carried out or to be running.
  void removeSettledStarts(WorkerState &Worker, Instant Now) const;
  /// Makes the present incarnation refuse starts that were left unanswered by
  /// earlier ones, until it has confirmed that.
  void refuseFormerStarts(WorkerState &Worker, Instant Now);
  void handleRefusalReply(WorkerState &Worker, FormerStart &Start,
                          OrderOutcome Outcome);
  /// Learns from a report which confirmed refusals have taken effect.
  void settleFormerStarts(WorkerState &Worker, const RenewReport &Report,
                          Instant SentAt);
  /// What earlier incarnations refuse says nothing of the present one.
  static void forgetRefusals(WorkerState &Worker);
  /// Whether the task of the start must not be placed yet, as the worker may
  /// run it.
  bool isRefusalAwaited(const WorkerState &Worker,
                        const FormerStart &Start) const;
  std::set<TaskRef> findUnrefusedTasks() const;
  void orderStops(WorkerState &Worker);
  void orderPaces(WorkerState &Worker, Instant Now);
  void adjustPace(WorkerState &Worker, Instant Now);
  void orderRenewal(WorkerState &Worker, Instant Now, bool MayRenew);
  /// The number of the end up to which the worker may forget ends. It is 0 if
  /// the worker may have restarted with a run that it has not reported: a new
  /// incarnation counts its ends from 1 and would forget them.
  static std::uint64_t acknowledgedEnd(WorkerState &Worker);
  void orderStart(WorkerState &Worker, const TaskRef &Task, RunState &Run);
  /// Sends a start order, also again if it got no reply. The journal must have
  /// the run as the current one of its task.
  void sendStart(WorkerState &Worker, const TaskRef &Task, RunState &Run);
  /// Whether the clock in the reply to a start shows that a later incarnation
  /// of the worker than the known one has answered it.
  bool isAnsweredByLater(const WorkerState &Worker, const RunState &Run,
                         const OrderReply &Reply) const;
  /// The worker has refused a start: decides when it gets the next one.
  void handleRefusedStart(WorkerState &Worker, const StartOrder &Order,
                          OrderOutcome Outcome);
  /// It isn't known whether the worker has started the run or still will.
  void leaveStartUncertain(WorkerState &Worker, RunState &Run);
  /// Raises LeasesExpireAt for leases that are granted at \p Now.
  void extendLeaseExpiry(WorkerState &Worker, Instant Now) const;
  void forgetClosedJobs();

  /// Adds a new job to the mean work of its queue.
  void updateMeanWork(const jobs::Job &NewJob);
  void plan(Instant Now);
  struct WaitingStep;
  struct UsableWorkers;
  struct WorkerChoice;
  using WorkersByPool = std::map<PoolName, UsableWorkers>;
  std::vector<WaitingStep> findWaitingSteps() const;
  void appendWaitingSteps(const jobs::Job &ParentJob,
                          const JobPlacement &Placement,
                          std::vector<WaitingStep> &Candidates) const;
  /// Indexes of the tasks that wait for a worker.
  std::vector<unsigned> waitingTasks(const WaitingStep &Candidate) const;
  /// Places waiting tasks of the step and returns the number of those left.
  std::size_t placeWaitingTasks(const WaitingStep &Candidate,
                                WorkersByPool &UsableByPool,
                                WorkersByPool &LastResortByPool,
                                Duration WaitingTime, Instant Now);
  /// The workers of the pool that a long-running task may use as the last
  /// resort.
  UsableWorkers findLastResort(const PoolName &Pool, Instant Now);
  /// These two return the number of tasks that no worker could take.
  std::size_t placeStep(const WaitingStep &Candidate, UsableWorkers &Pool);
  std::size_t placeGang(const WaitingStep &Candidate,
                        const std::vector<unsigned> &TaskIndexes,
                        const UsableWorkers &Pool);
  /// Workers for all tasks of a gang, or none if they don't all fit.
  std::vector<WorkerState *>
  chooseGangWorkers(const WaitingStep &Candidate,
                    const std::vector<unsigned> &TaskIndexes,
                    const UsableWorkers &Pool);
  /// Updates RequiredHosts for a step with unplaced tasks.
  void recordUnplaced(const WaitingStep &Candidate, std::size_t UnplacedTasks,
                      Instant WaitingSince, UsableWorkers &Pool);
  bool mustIsolate(const WaitingStep &Candidate, unsigned Index) const;
  /// Members of a gang wait together for workers of their own.
  void noteIsolationWaits(const WaitingStep &Candidate,
                          const std::vector<unsigned> &TaskIndexes);
  /// Whether the worker has what the step requires besides free resources.
  static bool canTake(const WorkerState &Worker, const jobs::StepSpec &Step,
                      const TaskRef &Task);
  WorkerChoice chooseWorker(const WaitingStep &Candidate, unsigned Index,
                            const UsableWorkers &Pool) const;
  void proposePlacement(const WaitingStep &Candidate, unsigned Index,
                        WorkerState &Worker, std::uint32_t Run);
  void queryPermits(const std::vector<WaitingStep> &Candidates,
                    const WorkersByPool &UsableByPool, Instant Now);
  /// Writes a line for each long-running step with tasks that have not been at
  /// work for a while, with what distinguishes the causes.
  void reportDelayedTasks(Instant Now);
  struct DelayedStep;
  void logDelayedStep(const DelayedStep &Delayed, Instant Now) const;
  /// What is known of a task that isn't known to run at present.
  std::string_view delayedTaskState(const TaskRef &Task,
                                    const jobs::TaskRecord *Record) const;
  /// Whether the task runs by a recent report of its worker.
  bool isKnownToRun(const TaskRef &Task, const jobs::TaskRecord *Record,
                    Instant Now) const;
  bool isProposed(const TaskRef &Task) const {
    return ProposedTasks.contains(Task);
  }
  /// The run of the task that is placed by the journal; 0 for none.
  std::uint32_t currentRun(const TaskRef &Task) const;
  /// Whether the journal has the run as the current one of its task. It isn't
  /// if the task, its gang or its job has ended otherwise.
  bool isCurrentRun(const TaskRef &Task, std::uint32_t Run) const;

  const Clock &Time;
  const DispatchOptions Settings;
  LogSink &Log;
  const jobs::JobTable *Table = nullptr;
  std::shared_ptr<const Deployment> Config;
  FencingToken Token;
  Instant TermStart{};
  // An earlier lease holder may have sent orders to workers.
  bool HasPredecessor = false;
  bool Fenced = false;
  bool PlanNeeded = false;
  Instant NextSweepAt{};
  Instant NextPlanAt{};
  Instant NextForgetAt{};
  WorkerTable Workers;
  // For workers that register later.
  std::map<std::string, Cordon> HostCordons;
  // Invariant: the number of Runs of each job on each worker, where it isn't 0.
  std::unordered_map<JobId, std::map<std::string, unsigned>> RunCountsByJob;
  // Tasks with a proposed placement that is not recorded yet.
  std::unordered_set<TaskRef> ProposedTasks;
  // Jobs with a proposed close that is not recorded yet.
  std::set<JobId> ClosingJobs;
  // Moving average of the estimated work per job of a queue, in CPU
  // milliseconds.
  std::map<QueueName, double> MeanWorkByQueue;
  std::set<JobId> OpenJobs;
  // The worker on which the last run of a task failed, stalled or met a crash,
  // so that the next run prefers another one.
  std::map<TaskRef, std::string> LastFailedWorker;
  // Invariant: holds the IDs of all workers whose LastRecordedEnd is lower than
  // their LastSeenEnd.
  std::set<std::string> WorkersWithUnrecordedEnds;
  // When a worker last replied whose renewal before had got no reply.
  Instant LastLostReplyAt{};
  CrashIsolation Isolation;
  // The time from the last start of a task that met a crash of its worker to
  // that crash.
  std::map<TaskRef, Duration> LastCrashDelays;
  // How often the runs of a task have stalled.
  std::map<TaskRef, unsigned> StallCounts;
  // Tasks that have completed in a run that had been declared lost, while that
  // isn't recorded yet. They must not be placed.
  std::unordered_set<TaskRef> LateCompletions;
  // Tasks that wait, by the last plan, until a worker has refused a former
  // start of them.
  std::set<TaskRef> UnrefusedTasks;
  // The workers of runs in phase Ending.
  std::unordered_map<TaskRef, std::string> WorkerOfEndingRun;
  // When steps were first found to have tasks that no usable worker can take.
  std::map<StepRef, Instant> UnplacedSince;
  std::map<PoolName, unsigned> RequiredHosts;
  // When tasks of long-running steps were first found not to run.
  std::map<TaskRef, Instant> DelayedSince;
  PermitCache Permits;
  std::vector<PermitQuery> Queries;
  std::set<StepRef> QueriesInFlight;
  std::size_t QueryLimit = 1;
  Instant NextQueryAt{};
  // Whether events were taken that are not recorded yet.
  bool BatchInFlight = false;
  std::vector<jobs::JobEvent> Events;
  std::vector<WorkerOrder> Orders;
};

} // namespace balsamlatch::dispatch

#endif // BALSAMLATCH_DISPATCH_DISPATCHER_H
