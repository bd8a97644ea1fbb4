/// \file
/// A deterministic simulation of workers, a journal and time around a
/// dispatcher, with fault injection. It records all runs so that their history
/// can be checked against the guarantees of the dispatcher.

#ifndef BALSAMLATCH_TESTS_DISPATCH_SIMULATION_H
#define BALSAMLATCH_TESTS_DISPATCH_SIMULATION_H

#include "balsamlatch/Dispatch/Dispatcher.h"

#include <functional>
#include <memory>
#include <random>

namespace balsamlatch::dispatch::test {

/// A run as the worker executed it.
struct RunTrace {
  TaskRef Task;
  std::uint32_t Run = 0;
  std::string Worker;
  Instant StartedAt{};
  Instant EndedAt = Instant::max();
  jobs::RunOutcome End = jobs::RunOutcome::Lost;
  /// The worker was told that the end is recorded.
  bool EndAcknowledged = false;
  /// The leases of the worker expired before the end was acknowledged, so the
  /// lease holder may not have heard of the end in time.
  bool LeaseExpiredFirst = false;
  /// The run crashed its worker.
  bool CrashedWorker = false;
  /// When the long-running run was last at work; the epoch if it never was.
  Instant LastAtWork{};
  /// A stop or a host order ended the run while it was at work.
  bool EndedByOrder = false;
};

/// All runs in the order of their starts, and the results shown to callers.
struct History {
  std::vector<RunTrace> Runs;
  std::map<JobId, Instant> CompletedAt;
  std::map<JobId, Instant> CancelledAt;
  /// Starts that took a worker over its capacity.
  std::vector<std::string> Overloads;
};

/// Returns the violations of the guarantees of the dispatcher: runs of a task
/// don't overlap, run numbers grow, no task runs after it has completed or has
/// used all attempts, a step starts after its predecessors have completed, all
/// tasks of a job shown as completed have completed, no run starts long after
/// its job was cancelled, and a task that crashes its workers is soon given up.
std::vector<std::string>
checkHistory(const History &Observed,
             const std::map<JobId, jobs::JobSpec> &Specs, unsigned MaxAttempts);

/// A worker that behaves as the platform specifies.
class FakeWorker {
public:
  /// A run in progress.
  struct ActiveRun {
    std::uint32_t Number = 0;
    bool LongRunning = false;
    Instant StartedAt{};
    std::optional<Instant> StopsAt;
    std::size_t TraceIndex = 0;
  };

  WorkerRecord Record;
  bool IsDown = false;
  /// Capacity before the last change, which orders on their way may rely on.
  Resources FormerCapacity;
  Instant CapacityChangedAt{};
  /// The process has ended and is not started again yet.
  bool HasCrashed = false;
  /// The process is never started again.
  bool IsRetired = false;
  /// All runs end as failed.
  bool FailsAll = false;
  /// Runs make no progress.
  bool Hangs = false;
  Duration RunDuration = std::chrono::milliseconds(400);
  /// Time from the start of a long-running run until it is at work.
  Duration StartupTime{};
  /// Time from a stop order to the end of the run.
  Duration StopDuration{};
  /// Maximum number of ends in a report; the others follow once these are
  /// acknowledged.
  std::size_t MaxListedEnds = 500;
  /// Start orders must carry this ticket; empty for none.
  std::string RequiredTicket;
  /// By how much the worker's clock is slow.
  unsigned ClockLagPercent = 0;
  /// A longer lease is shortened to this.
  WorkerClock MaxLease = std::chrono::seconds(10);

  /// The incarnation of a worker that starts now.
  static std::int64_t incarnationAt(Instant Now);
  RenewReport renew(const RenewOrder &Order, Instant Now, OrderOutcome &Outcome,
                    History &Observed);
  RenewReport report(Instant Now) const;
  OrderOutcome start(const StartOrder &Order, bool LongRunning, Instant Now,
                     History &Observed);
  OrderOutcome stop(const StopOrder &Order, Instant Now, History &Observed);
  OrderOutcome pace(const PaceOrder &Order);
  /// Tail latency of the serving tasks in milliseconds as a function of the sum
  /// of the paces of all best-effort tasks; unset if best-effort tasks have no
  /// effect.
  std::function<std::int64_t(unsigned)> TailLatency;
  /// Paces of the runs whose SpecText is "filler".
  std::map<TaskRef, unsigned> Paces;
  void advance(Instant Now, History &Observed);
  const std::map<TaskRef, ActiveRun> &runs() const { return Runs; }
  bool isReachable() const { return !IsDown && !HasCrashed; }
  bool hasEnds() const { return !Ends.empty(); }
  /// Whether a long-running run is at work.
  bool isAtWork(const ActiveRun &Run, Instant Now) const {
    return Run.LongRunning && !Hangs && Now - Run.StartedAt >= StartupTime;
  }
  /// All runs end without a trace on the worker, as in a crash.
  void endAll(Instant Now, History &Observed);
  /// Loses all runs and state, and starts a new incarnation of the worker.
  void crash(Instant Now, History &Observed);

  WorkerClock clock(Instant Now) const {
    return std::chrono::duration_cast<WorkerClock>(
        (Now - BootedAt) * (100 - ClockLagPercent) / 100);
  }

private:
  void end(const TaskRef &Task, const ActiveRun &Run, jobs::RunOutcome End,
           Instant Now, History &Observed);
  void extendLease(WorkerClock Until, Instant Now);

  Instant BootedAt{};
  FencingToken HighestToken;
  /// Expiry of the leases of all runs. It only grows.
  WorkerClock LeaseUntil{};
  // Index of the trace in the history, by the number of the end.
  std::map<std::uint64_t, std::size_t> TraceByEnd;
  std::uint64_t EndCount = 0;
  std::map<TaskRef, ActiveRun> Runs;
  std::map<TaskRef, std::uint32_t> FinishedRuns;
  std::vector<EndedTask> Ends;
};

/// Keeps the lines of one reason.
class RecordingLog final : public LogSink {
public:
  /// Called for each line, if set.
  std::function<void(std::string_view, const boost::json::object &)> Echo;
  std::string KeptReason;
  std::vector<boost::json::object> Kept;

  void write(LogLevel, std::string_view Reason,
             boost::json::object Fields) override {
    if (Echo) {
      Echo(Reason, Fields);
    }
    if (Reason == KeptReason) {
      Kept.push_back(std::move(Fields));
    }
  }
};

/// Runs a dispatcher against fake workers and a simulated journal.
class Simulation {
public:
  explicit Simulation(unsigned WorkerCount, std::uint64_t Seed = 1);

  void submit(const std::string &Id, jobs::JobSpec Spec);
  void submit(const std::string &Id, jobs::JobSpec Spec, const Queue &JobQueue);
  void cancel(const std::string &Id);
  /// Changes the capacity of the worker, as its registration shows at once.
  void setCapacity(FakeWorker &Worker, Resources Capacity);
  /// Advances time in steps of 5 ms.
  void run(Duration Time);
  /// Starts the term of a new lease holder with the jobs in the journal.
  void startNewTerm();
  /// Ends the term; no lease holder follows until startNewTerm().
  void endTerm();
  std::uint64_t term() const { return Term; }

  const jobs::Job &job(const std::string &Id) const;
  std::vector<std::string> violations() const;
  unsigned countStarts(const std::string &Id) const;

  /// The place of the worker among Workers.
  std::optional<std::size_t> indexOf(const std::string &Id) const;
  FakeWorker *find(const std::string &Id);
  const FakeWorker *find(const std::string &Id) const;
  FakeWorker &addWorker(const PoolName &Pool);
  void schedule(Duration Delay, std::function<void()> Action);

  ManualClock Time;
  RecordingLog Log;
  History Observed;
  std::vector<FakeWorker> Workers;
  jobs::JobTable Table;
  std::unique_ptr<Dispatcher> JobDispatcher;
  std::shared_ptr<Deployment> Config = std::make_shared<Deployment>();
  /// Time to write events to the journal.
  Duration JournalDelay = std::chrono::milliseconds(5);
  bool JournalUnavailable = false;
  /// Faults of the network: whether the reply to an order is lost, and the
  /// delay after which an order is delivered while its sender gets no reply.
  std::function<bool(const WorkerOrder &)> LosesAnswer;
  std::function<std::optional<Duration>(const WorkerOrder &)> OrderDelay;
  /// Whether an order that a worker carries out after its sender has given up
  /// reaches the next incarnation, if the worker is started again meanwhile.
  bool HeldOrdersOutliveWorkers = false;
  /// Time from the execution of an order to the arrival of its reply.
  Duration ReplyDelay{};
  std::mt19937_64 Random;
  /// Renewals are answered when a run ends, or after their long-poll time.
  bool HasLongPolls = false;
  /// Orders to workers that can't be reached fail only by their timeout.
  bool IsSilentWhileDown = false;
  /// The registrations that the dispatcher sees; unset if they always match the
  /// workers. Changes apply once RegistrationsChanged is set.
  std::optional<std::map<std::string, WorkerRecord>> Registrations;
  bool RegistrationsChanged = false;
  /// Called before a stop order is carried out. A late order was held up on its
  /// way.
  std::function<void(const FakeWorker &, const StopOrder &, bool)> BeforeStop;
  /// Whether the task crashes each worker that starts it, the time from the
  /// start to the crash, and the time until the worker is back.
  std::function<bool(const TaskRef &)> CrashesWorker;
  std::function<Duration(const TaskRef &)> CrashDelay = [](const TaskRef &) {
    return std::chrono::milliseconds(10);
  };
  Duration CrashDownTime = std::chrono::seconds(3);
  /// Replies to permit queries; a result without a value means no reply.
  std::function<std::optional<PermitReply>(const PermitQuery &)> Policy;
  std::vector<PermitQuery> Queries;

private:
  struct PendingAction {
    Instant DueAt{};
    std::function<void()> Action;
  };
  /// A renewal that waits for a run to end.
  struct LongPoll {
    RenewOrder Order;
    Instant SentAt{};
    Instant Until{};
    std::uint64_t SenderTerm = 0;
    /// The incarnation that the connection is to.
    std::int64_t Incarnation = 0;
  };

  void step();
  void updateRegistrations();
  void answerLongPolls();
  void deliverRenewal(const RenewOrder &Order, std::uint64_t SenderTerm,
                      bool ReplyArrives);
  void writeJournal();
  void sendQuery(const PermitQuery &Query);
  void send(const WorkerOrder &Order);
  /// Delivers the order to whichever incarnation of the worker is up: an order
  /// names the worker by its ID only.
  void deliver(const WorkerOrder &Order, std::uint64_t SenderTerm,
               bool SendsReply, Instant SentAt);
  /// The worker delivers an order to itself later, unless it has ended then.
  void holdOrder(const std::string &WorkerId, Duration HeldFor,
                 const std::function<void()> &Deliver);
  /// Delivers a reply after ReplyDelay.
  void reply(std::function<void()> Receive);
  /// Ends the worker process under the run, and starts it again later.
  void crashUnderRun(const std::string &WorkerId, const StartOrder &Order);
  bool isLongRunning(const TaskRef &Task) const;
  /// Adds an overload if the runs on the worker take more than its capacity
  /// after a start that was sent at \p SentAt.
  void checkLoad(const FakeWorker &Worker, Instant SentAt);

  std::map<JobId, jobs::JobSpec> Specs;
  std::vector<jobs::JobEvent> RequestedEvents;
  std::vector<PendingAction> PendingActions;
  std::vector<LongPoll> LongPolls;
  std::uint64_t Term = 0;
  std::uint64_t Sequence = 0;
  bool RecordInFlight = false;
};

/// Returns a job whose steps run one after another, with \p Tasks tasks each.
jobs::JobSpec simpleJob(unsigned Tasks, unsigned Steps = 1);
/// Returns a job with one long-running step, of whose tasks a worker takes one
/// and one may be unavailable.
jobs::JobSpec longRunningJob(unsigned Tasks);

} // namespace balsamlatch::dispatch::test

#endif // BALSAMLATCH_TESTS_DISPATCH_SIMULATION_H
