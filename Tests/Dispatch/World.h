/// \file
/// Workers, a journal and the passing of time around one dispatcher, with
/// faults, and a record of what ran that is checked against the promises.

#ifndef BALSAMLATCH_TESTS_DISPATCH_WORLD_H
#define BALSAMLATCH_TESTS_DISPATCH_WORLD_H

#include "balsamlatch/Dispatch/Dispatcher.h"

#include <functional>
#include <memory>
#include <random>

namespace balsamlatch::dispatch::test {

/// One run as it really was.
struct RunTrace {
  TaskRef Task;
  std::uint32_t Run = 0;
  std::string Worker;
  Instant Began{};
  Instant Ended = Instant::max();
  jobs::RunEnd How = jobs::RunEnd::Lost;
  /// The worker was told that the end is recorded.
  bool Acknowledged = false;
  /// The worker's lease ran out before that, so the holder could not know of
  /// the end in time.
  bool Unheard = false;
};

/// What ran, in the order of starts, and what callers were told.
struct History {
  std::vector<RunTrace> Runs;
  std::map<JobId, Instant> ShownCompleted;
  std::map<JobId, Instant> Cancelled;
};

/// What is wrong with a history; empty when every promise was kept: no task
/// runs twice at a time or after it was done, steps wait for those before
/// them, no task runs after it has failed as often as allowed, jobs shown as
/// completed are, and nothing starts long after its job was cancelled.
std::vector<std::string> check(const History &What,
                               const std::map<JobId, jobs::JobSpec> &Specs,
                               unsigned MaxAttempts);

/// A worker as the platform describes it.
class FakeWorker {
public:
  WorkerRecord Record;
  bool Down = false;
  /// Fails everything it starts.
  bool FailsAll = false;
  /// Its runs make no progress.
  bool Hangs = false;
  Duration RunTime = std::chrono::milliseconds(400);
  /// Starts need this ticket; empty for none.
  std::string Ticket;

  HoldReport hold(const HoldOrder &Order, Instant Now, OrderOutcome &Outcome,
                  History &Into);
  OrderOutcome start(const StartOrder &Order, bool Lasting, Instant Now,
                     History &Into);
  OrderOutcome stop(const StopOrder &Order, Instant Now, History &Into);
  OrderOutcome pace(const PaceOrder &Order);
  /// The tail of its serving tasks for what its fillers do together, in
  /// percent of one; unset where no filler disturbs.
  std::function<std::int64_t(unsigned)> Tail;
  /// Paces of the runs whose spec says "filler".
  std::map<TaskRef, unsigned> Paces;
  void advance(Instant Now, History &Into);
  /// Ends all runs; a new life begins.
  void crash(Instant Now, History &Into);

private:
  struct Active {
    std::uint32_t Number = 0;
    bool Lasting = false;
    Instant Began{};
    WorkerClock LeaseUntil{};
    std::size_t Trace = 0;
  };

  WorkerClock clock(Instant Now) const {
    return std::chrono::duration_cast<WorkerClock>(Now - Start);
  }
  void end(const TaskRef &Task, const Active &Which, jobs::RunEnd How,
           Instant Now, History &Into);

  Instant Start{};
  FencingToken Highest;
  /// Latest time that anything was allowed to run until.
  WorkerClock LeaseUntil{};
  // Traces of the runs in Ends, by their number.
  std::map<std::uint64_t, std::size_t> TraceOf;
  std::uint64_t EndCount = 0;
  std::map<TaskRef, Active> Runs;
  std::map<TaskRef, std::uint32_t> Finished;
  std::vector<EndedTask> Ends;
};

class World {
public:
  explicit World(unsigned WorkerCount, std::uint64_t Seed = 1);

  void submit(const std::string &Id, jobs::JobSpec Spec);
  void cancel(const std::string &Id);
  /// Advances time in steps of 5 ms.
  void run(Duration Time);
  /// A later holder begins with what the journal has.
  void changeHolder();

  const jobs::Job &job(const std::string &Id) const;
  std::vector<std::string> faults() const;
  unsigned started(const std::string &Id) const;

  ManualClock Time;
  NullLog Log;
  History Past;
  std::vector<FakeWorker> Workers;
  jobs::JobBook Book;
  std::unique_ptr<Dispatcher> Decisions;
  std::shared_ptr<Deployment> Config = std::make_shared<Deployment>();
  /// Records wait so long for the journal.
  Duration JournalDelay = std::chrono::milliseconds(5);
  bool JournalAway = false;
  /// Whether the answer to an order gets lost, and whether the order is
  /// carried out then, at once or after this time.
  std::function<bool(const WorkerOrder &)> LosesAnswer;
  std::function<std::optional<Duration>(const WorkerOrder &)> LateBy;
  std::mt19937_64 Random;
  /// Answers the placement policy's queries; unset for no answer.
  std::function<std::optional<PermitReply>(const PermitQuery &)> Policy;
  std::vector<PermitQuery> Queries;

private:
  struct Pending {
    Instant Due{};
    std::function<void()> Task;
  };

  void step();
  void record();
  void ask(const PermitQuery &Query);
  void send(const WorkerOrder &Order);
  void carryOut(const WorkerOrder &Order, std::uint64_t Sender,
                std::int64_t MeantFor, bool Answered);
  FakeWorker *find(const std::string &Id);
  void later(Duration Wait, std::function<void()> Task);
  bool lasting(const TaskRef &Task) const;

  std::map<JobId, jobs::JobSpec> Specs;
  std::vector<jobs::JobEvent> Requested;
  std::vector<Pending> Waiting;
  std::uint64_t Term = 0;
  std::uint64_t Sequence = 0;
  bool RecordInFlight = false;
};

jobs::JobSpec simpleJob(unsigned Tasks, unsigned Steps = 1);

} // namespace balsamlatch::dispatch::test

#endif // BALSAMLATCH_TESTS_DISPATCH_WORLD_H
