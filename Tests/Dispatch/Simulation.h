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
  WorkerRecord Record;
  bool IsDown = false;
  /// Capacity before the last change, which orders on their way may rely on.
  Resources FormerCapacity;
  Instant CapacityChangedAt{};
  /// The process has ended and is not started again yet.
  bool HasCrashed = false;
  /// All runs end as failed.
  bool FailsAll = false;
  /// Runs make no progress.
  bool Hangs = false;
  Duration RunDuration = std::chrono::milliseconds(400);
  /// Time from a stop order to the end of the run.
  Duration StopDuration{};
  /// Maximum number of ends in a report; the others follow once these are
  /// acknowledged.
  std::size_t MaxListedEnds = 500;
  /// Start orders must carry this ticket; empty for none.
  std::string RequiredTicket;

  RenewReport renew(const RenewOrder &Order, Instant Now, OrderOutcome &Outcome,
                    History &Observed);
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
  /// All runs end without a trace on the worker, as in a crash.
  void endAll(Instant Now, History &Observed);
  /// Loses all runs and state, and starts a new incarnation of the worker.
  void crash(Instant Now, History &Observed);

private:
  /// A run in progress.
  struct ActiveRun {
    std::uint32_t Number = 0;
    bool LongRunning = false;
    Instant StartedAt{};
    WorkerClock LeaseUntil{};
    std::optional<Instant> StopsAt;
    std::size_t TraceIndex = 0;
  };

  WorkerClock clock(Instant Now) const {
    return std::chrono::duration_cast<WorkerClock>(Now - BootedAt);
  }
  void end(const TaskRef &Task, const ActiveRun &Run, jobs::RunOutcome End,
           Instant Now, History &Observed);

  Instant BootedAt{};
  FencingToken HighestToken;
  /// Latest expiry of any lease so far.
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
  std::string KeptReason;
  std::vector<boost::json::object> Kept;

  void write(LogLevel, std::string_view Reason,
             boost::json::object Fields) override {
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

  const jobs::Job &job(const std::string &Id) const;
  std::vector<std::string> violations() const;
  unsigned countStarts(const std::string &Id) const;

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
  /// Whether a later incarnation refuses orders for an earlier one. Workers
  /// that keep their ID carry them out.
  bool OrdersNameIncarnation = true;
  /// Time from the execution of an order to the arrival of its reply.
  Duration ReplyDelay{};
  std::mt19937_64 Random;
  /// Whether the task crashes each worker that starts it, and the time until
  /// the worker is back.
  std::function<bool(const TaskRef &)> CrashesWorker;
  Duration CrashDownTime = std::chrono::seconds(3);
  /// Replies to permit queries; a result without a value means no reply.
  std::function<std::optional<PermitReply>(const PermitQuery &)> Policy;
  std::vector<PermitQuery> Queries;

private:
  struct PendingAction {
    Instant DueAt{};
    std::function<void()> Action;
  };

  void step();
  void writeJournal();
  void sendQuery(const PermitQuery &Query);
  void send(const WorkerOrder &Order);
  void deliver(const WorkerOrder &Order, std::uint64_t SenderTerm,
               std::int64_t IntendedIncarnation, bool SendsReply);
  /// Delivers a reply after ReplyDelay.
  void reply(std::function<void()> Receive);
  FakeWorker *find(const std::string &Id);
  void schedule(Duration Delay, std::function<void()> Action);
  /// Ends the worker process under the run, and starts it again later.
  void crashUnderRun(const std::string &WorkerId, const StartOrder &Order);
  bool isLongRunning(const TaskRef &Task) const;
  /// Adds an overload if the runs on the worker take more than its capacity.
  void checkLoad(const FakeWorker &Worker);

  std::map<JobId, jobs::JobSpec> Specs;
  std::vector<jobs::JobEvent> RequestedEvents;
  std::vector<PendingAction> PendingActions;
  std::uint64_t Term = 0;
  std::uint64_t Sequence = 0;
  bool RecordInFlight = false;
};

/// Returns a job whose steps run one after another, with \p Tasks tasks each.
jobs::JobSpec simpleJob(unsigned Tasks, unsigned Steps = 1);

} // namespace balsamlatch::dispatch::test

#endif // BALSAMLATCH_TESTS_DISPATCH_SIMULATION_H
