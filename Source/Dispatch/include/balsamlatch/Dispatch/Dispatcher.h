/// \file
/// The holder's decisions: which task runs where, what the workers are told,
/// and what their answers mean for the jobs. Pure: events and orders come out
/// as values, time comes from the clock.
///
/// A run goes through three steps so that it never overlaps another one of its
/// task: it is proposed as an event; once the journal holds the event its start
/// is ordered; and its task is placed again only after the run is known to have
/// ended, or can't run any longer since every lease that it may have has run
/// out.

#ifndef BALSAMLATCH_DISPATCH_DISPATCHER_H
#define BALSAMLATCH_DISPATCH_DISPATCHER_H

#include "balsamlatch/Base/Clock.h"
#include "balsamlatch/Base/Log.h"
#include "balsamlatch/Dispatch/Permits.h"
#include "balsamlatch/Dispatch/WorkerState.h"
#include "balsamlatch/Jobs/JobBook.h"

#include <memory>
#include <set>

namespace balsamlatch::dispatch {

struct DispatchOptions {
  /// How long runs go on without a renewal. Short, so that tasks of a lost
  /// worker start elsewhere soon; long enough for a change of the holder.
  Duration RunLease = std::chrono::seconds(4);
  /// A worker's clock may be this much slow, in percent.
  unsigned ClockSlackPercent = 3;
  /// How long an earlier holder may have renewed leases without the store.
  Duration StorelessRenewal = std::chrono::seconds(6);
  /// How long a hold waits at a worker for an end.
  Duration HoldWait = std::chrono::milliseconds(1000);
  /// The same while a lasting task has not begun its work: nothing tells of
  /// that but an answer.
  Duration StartingHoldWait = std::chrono::milliseconds(250);
  /// The same while fillers run next to serving tasks, whose tails tell how
  /// fast the fillers may work.
  Duration SharedHoldWait = std::chrono::milliseconds(400);
  /// Time between holds of a worker without runs.
  Duration IdleHoldPeriod = std::chrono::milliseconds(2000);
  /// Time between two holds that report ends, so that ends are batched.
  Duration HoldGap = std::chrono::milliseconds(20);
  /// A run whose progress stands still for this long is stopped.
  Duration StallLimit = std::chrono::milliseconds(2500);
  /// How long the state of a final job is kept.
  Duration StatusRetention = std::chrono::seconds(120);
};

class Dispatcher {
public:
  Dispatcher(const Clock &TimeSource, DispatchOptions Options, LogSink &Sink);

  /// Begins a term with the book as the journal has it. The book must outlive
  /// the term. All that is placed in it may still run.
  void begin(FencingToken Token, const jobs::JobBook &Jobs);
  /// Ends the term; nothing is ordered any more.
  void end();

  void configure(std::shared_ptr<const Deployment> Config);
  /// The workers that are registered now.
  void setWorkers(const std::map<std::string, WorkerRecord> &Records);

  /// The journal holds the events, and the book has them applied.
  void recorded(const std::vector<jobs::JobEvent> &Events);

  void holdAnswered(const std::string &WorkerId, Instant SentAt,
                    OrderOutcome Outcome, const HoldReport &Report);
  void startAnswered(const StartOrder &Order, OrderOutcome Outcome);
  void stopAnswered(const StopOrder &Order, OrderOutcome Outcome);
  void paceAnswered(const PaceOrder &Order, OrderOutcome Outcome);

  /// Does what is due. Call after other inputs, and at least every 20 ms.
  /// Without \p MayPlace no new run is proposed.
  void tick(bool MayPlace, bool MayRenew);

  /// What to record, and whom to tell what. Taken once. Events are taken only
  /// when those taken before are recorded.
  std::vector<jobs::JobEvent> takeEvents();
  std::vector<WorkerOrder> takeOrders();
  /// What to ask the placement policies; at most \p Limit queries are out at
  /// a time, one of a step.
  std::vector<PermitQuery> takeQueries();
  void limitQueries(std::size_t Limit) { QueryLimit = Limit; }
  /// Unset: there is no answer.
  void queryAnswered(const PermitQuery &Query, Instant AskedAt,
                     const std::optional<PermitReply> &Reply);

  /// A worker has seen a higher token: this term is over.
  bool fenced() const { return Fenced; }

  const WorkerTable &workers() const { return Workers; }
  /// Pools whose usable workers can't take work that has waited for a while,
  /// and how many hosts it would take to run it.
  const std::map<PoolName, unsigned> &hostsLacking() const { return Lacking; }
  Instant now() const { return Time.now(); }
  void setCordoned(const std::string &WorkerId, bool Cordoned);
  /// An order that ends all that runs on the worker is about to be sent, or
  /// was refused.
  void setLeaving(const std::string &WorkerId, bool Leaving);
  /// Stops the task's run there; it waits to be placed again.
  void moveRun(const std::string &WorkerId, const TaskRef &Task);
  /// The workers that run on some host. What can't be reached and isn't among
  /// them in two lists has ended.
  void setHostedWorkers(const std::set<std::string> &Ids);
  /// The worker's host was moved or maintained: all that ran there has ended.
  void hostTaken(const std::string &WorkerId);

private:
  WorkerState *findWorker(const WorkerLife &Life);
  RunState *findRun(const std::string &WorkerId, const TaskRef &Task,
                    std::uint32_t Run);
  void adoptPlaced(const jobs::Job &Owner);
  void recordOf(const jobs::TaskPlaced &Event);
  void recordOf(const jobs::TaskEnded &Event);
  void recordOf(const jobs::JobClosed &Event);
  void recordOf(const jobs::JobAccepted &Event);
  template <typename Other> void recordOf(const Other &) {}

  void noteRecorded(WorkerState &Worker, std::uint64_t Number);
  void proposeEnd(WorkerState &Worker, const TaskRef &Task, RunState &Run,
                  jobs::RunEnd How, const std::string &Checkpoint);
  static void release(WorkerState &Worker, RunState &Run);
  static Resources claimOf(const jobs::StepSpec &Step);
  void noteHealth(WorkerState &Worker, const TaskRef &Task, jobs::RunEnd How);
  /// The other members of a gang can't go on without the one that ended.
  void stopGang(const TaskRef &Ended, std::uint32_t Run);
  void closeIfDone(const JobId &Id);
  void loseAll(WorkerState &Worker, std::string_view Why);
  void takeLife(WorkerState &Worker, std::int64_t Born);
  void takeEnds(WorkerState &Worker, const HoldReport &Report);
  /// An end of a run that isn't expected any more.
  void takeLateEnd(const EndedTask &Ended);
  void takeRunning(WorkerState &Worker, const HoldReport &Report,
                   Instant SentAt);
  void settleMissing(WorkerState &Worker, const std::set<TaskRef> &Present,
                     Instant SentAt);
  void noteProgress(WorkerState &Worker, const RunningTask &Seen,
                    RunState &Run);
  void stopOrphan(const WorkerState &Worker, const RunningTask &Seen);

  void expireLeases(Instant Now);
  void orderStops(WorkerState &Worker);
  void orderPaces(WorkerState &Worker, Instant Now);
  void adjustPace(WorkerState &Worker, Instant Now);
  void orderHold(WorkerState &Worker, Instant Now, bool MayRenew);
  void orderStart(WorkerState &Worker, const TaskRef &Task, RunState &Run);
  void extendLapse(WorkerState &Worker, Instant Now);
  void forgetOld();

  void noteArrival(const jobs::Job &Owner);
  void plan(Instant Now);
  struct Candidate;
  using PoolWorkers = std::map<PoolName, std::vector<WorkerState *>>;
  std::vector<Candidate> candidates() const;
  void collect(const jobs::Job &Owner, const Queue &From,
               std::vector<Candidate> &Into) const;
  std::vector<unsigned> waitingTasks(const Candidate &Which) const;
  /// Return how many tasks found no worker.
  std::size_t placeStep(const Candidate &Which,
                        const std::vector<WorkerState *> &Among);
  std::size_t placeGang(const Candidate &Which,
                        const std::vector<unsigned> &Indexes,
                        const std::vector<WorkerState *> &Among);
  std::vector<WorkerState *>
  chooseGang(const Candidate &Which, const std::vector<unsigned> &Indexes,
             const std::vector<WorkerState *> &Among);
  void noteUnplaced(const Candidate &Which, std::size_t Tasks, Instant Since,
                    const std::vector<WorkerState *> &Among);
  WorkerState *choose(const Candidate &Which, unsigned Index,
                      const std::vector<WorkerState *> &Among) const;
  void propose(const Candidate &Which, unsigned Index, WorkerState &Worker,
               std::uint32_t Run);
  void queryPermits(const std::vector<Candidate> &Waiting,
                    const PoolWorkers &Usable, Instant Now);
  bool proposed(const TaskRef &Task) const { return Proposed.contains(Task); }

  const Clock &Time;
  const DispatchOptions Settings;
  LogSink &Log;
  const jobs::JobBook *Book = nullptr;
  std::shared_ptr<const Deployment> Config;
  FencingToken Token;
  Instant TermBegan{};
  bool Fenced = false;
  bool PlanNeeded = false;
  Instant NextPlanAt{};
  Instant NextForgetAt{};
  WorkerTable Workers;
  // Tasks with a placement that the journal doesn't hold yet.
  std::set<TaskRef> Proposed;
  std::set<JobId> CloseProposed;
  // Mean processor milliseconds of the jobs of a queue, recent ones more.
  std::map<QueueName, double> MeanWork;
  std::set<JobId> OpenJobs;
  // Where the last run of a task failed or stood still, so that the next one
  // goes elsewhere.
  std::map<TaskRef, std::string> LastFailedOn;
  // Workers of the runs that are Ending.
  std::unordered_map<TaskRef, std::string> EndingAt;
  // Since when steps have tasks that no usable worker can take.
  std::map<StepRef, Instant> UnplacedSince;
  std::map<PoolName, unsigned> Lacking;
  PermitBook Permits;
  std::vector<PermitQuery> Queries;
  std::set<StepRef> QueriesOut;
  std::size_t QueryLimit = 1;
  Instant NextQueryAt{};
  // Events were taken and are not recorded yet.
  bool BatchOpen = false;
  std::vector<jobs::JobEvent> Events;
  std::vector<WorkerOrder> Orders;
};

} // namespace balsamlatch::dispatch

#endif // BALSAMLATCH_DISPATCH_DISPATCHER_H
