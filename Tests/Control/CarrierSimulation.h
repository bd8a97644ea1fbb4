/// \file
/// A deterministic simulation of leaders, the entries that carry their orders,
/// workers and a journal, with faults of each of them.

#ifndef BALSAMLATCH_TESTS_CONTROL_CARRIERSIMULATION_H
#define BALSAMLATCH_TESTS_CONTROL_CARRIERSIMULATION_H

#include "../Dispatch/Simulation.h"

#include "balsamlatch/Control/CarrierPool.h"
#include "balsamlatch/Control/OrderCarrier.h"

#include <map>
#include <set>

namespace balsamlatch::control::test {

using dispatch::test::FakeWorker;

class CarrierSimulation {
public:
  /// Without entries, the leader sends all orders itself.
  CarrierSimulation(unsigned WorkerCount, unsigned EntryCount,
                    std::uint64_t Seed = 1);

  void submit(const std::string &Id, jobs::JobSpec Spec);
  void cancel(const std::string &Id);
  void run(Duration Length);
  /// Another entry takes over. The earlier leader goes on for that long,
  /// without knowing of it; if it is paused, only afterwards.
  void changeLeader(Duration EarlierContinues, bool EarlierIsPaused);
  /// The worker's process ends and another one is started soon, at the same
  /// address or at another one.
  void crashWorker(FakeWorker &Worker);
  /// The worker's process ends, and isn't started again before reviveWorker().
  void endWorker(FakeWorker &Worker);
  void reviveWorker(FakeWorker &Worker);
  bool isDown(const std::string &WorkerId) const {
    return Workers[WorkerIndexes.at(WorkerId)].IsDown;
  }
  /// The process ends and another one is started.
  void restartEntry(unsigned Index);
  /// The process tells leaders that it is stopping.
  void leaveEntry(unsigned Index);
  /// Shows the leaders the entries that are registered now.
  void updateEntries();
  /// Shows the leaders that many workers for their choice of carriers.
  void setShownWorkers(std::size_t Count);
  /// The number of carriers that leaders should have if they are shown so many
  /// workers, apart from the number of entries.
  std::size_t wantedCarriers() const;
  /// The current leader's process doesn't run for that long.
  void pauseLeader(Duration Length);
  const dispatch::Dispatcher &dispatcher() const;
  /// The load of the current leader's carriers since the last call.
  CarrierLoad takeLoad();
  const std::map<jobs::JobId, jobs::JobSpec> &specs() const { return Specs; }
  std::vector<std::string> violations() const;

  ManualClock Time;
  NullLog Log;
  std::mt19937_64 Random;
  dispatch::test::History Observed;
  std::vector<FakeWorker> Workers;
  jobs::JobTable Table;
  std::shared_ptr<dispatch::Deployment> Config =
      std::make_shared<dispatch::Deployment>();
  bool JournalUnavailable = false;

  /// An entry that can carry orders.
  struct Entry {
    EntryRecord Record;
    std::unique_ptr<WorkerPort> Port;
    std::unique_ptr<OrderCarrier> Carrier;
    /// The process doesn't run; messages to it wait.
    bool IsPaused = false;
    /// Messages from and to the leader are lost.
    bool IsCutFromLeader = false;
    /// Messages from the leader arrive, but the replies are lost.
    bool AreRepliesCut = false;
    /// Messages to workers, or their replies, are lost.
    bool IsCutFromWorkers = false;
    /// Added to the delay of each message.
    Duration ExtraDelay{};
    /// Connections are refused.
    bool IsDown = false;
    bool IsLeaving = false;
    bool IsRegistered = true;
    std::vector<std::function<void()>> Postponed;
    /// Calls that the process may have read and has not answered, with the
    /// leader's term.
    std::set<std::pair<std::uint64_t, std::uint64_t>> OpenCalls;

    /// Whether the leader can reach the entry.
    bool isInReach() const { return !IsPaused && !IsDown && !IsCutFromLeader; }
  };
  std::vector<Entry> Entries;
  /// Whether the worker's reply to an order gets lost.
  std::function<bool()> LosesReply;
  /// Added to the delay of an order to a worker.
  std::function<Duration()> OrderDelay;
  /// Time that host lists take to reach the leader; unset for no lists.
  std::function<Duration()> HostListDelay;
  /// Workers whose registrations have expired, by ID.
  std::set<std::string> Unregistered;

  /// Calls that the leaders made, by second.
  std::map<std::int64_t, std::size_t> LeaderCalls;
  /// Orders that leaders sent themselves to workers that were up.
  std::size_t DirectOrders = 0;

private:
  class Port;

  struct Leader {
    std::unique_ptr<WorkerPort> DirectPort;
    std::unique_ptr<CarrierPool> Pool;
    /// The jobs as this leader knows them.
    std::unique_ptr<jobs::JobTable> KnownJobs;
    std::unique_ptr<dispatch::Dispatcher> JobDispatcher;
    std::uint64_t Term = 0;
    bool IsPaused = false;
    Instant EndsAt = Instant::max();
    bool RecordInFlight = false;
    std::vector<std::function<void()>> Postponed;
  };

  void schedule(Duration Delay, std::function<void()> Action);
  void restartWorker(FakeWorker &Worker);
  void scheduleForLeader(Duration Delay, std::uint64_t Term,
                         std::function<void(Leader &)> Action);
  void scheduleForEntry(unsigned Index, Duration Delay,
                        std::function<void(Entry &)> Action);
  Leader *findLeader(std::uint64_t Term);
  void startLeader();
  std::vector<EntryRecord> registeredEntries() const;
  static void resume(Leader &Paused);
  void tickLeaders();
  void tickLeader(Leader &Of);
  void sendHostLists();
  void flush(Leader &Of);
  void callCarrier(std::uint64_t Term, const CarrierCall &Call);
  void sendOrder(Leader &Of, const dispatch::WorkerOrder &Order);
  void writeJournal(Leader &Of);
  /// Delivers an order to its worker, from an entry or from the leader.
  void callWorker(
      const dispatch::WorkerOrder &Order, Duration Delay, bool IsCut,
      std::function<void(dispatch::OrderReply, dispatch::RenewReport)> Reply);
  /// \p ConnectedTo is the incarnation that the call has reached, if any.
  void deliver(const dispatch::WorkerOrder &Order, Instant WaitsUntil,
               std::optional<std::int64_t> ConnectedTo,
               const std::function<void(dispatch::OrderReply,
                                        dispatch::RenewReport)> &Reply);
  FakeWorker &workerFor(const dispatch::WorkerOrder &Order);

  std::multimap<Instant, std::function<void()>> Actions;
  std::map<std::string, std::size_t> WorkerIndexes;
  std::vector<std::unique_ptr<Leader>> Leaders;
  std::map<jobs::JobId, jobs::JobSpec> Specs;
  std::vector<jobs::JobEvent> RequestedEvents;
  // Carriers of processes that have ended; replies to them may be on their way.
  std::vector<std::unique_ptr<OrderCarrier>> EndedCarriers;
  std::uint64_t LastTerm = 0;
  std::int64_t LastProcess = 0;
  std::uint64_t Sequence = 0;
  std::size_t ShownWorkers = 0;
};

} // namespace balsamlatch::control::test

#endif // BALSAMLATCH_TESTS_CONTROL_CARRIERSIMULATION_H
