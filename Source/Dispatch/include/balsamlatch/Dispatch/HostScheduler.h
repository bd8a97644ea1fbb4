/// \file
/// Decides which hosts are maintained next, within the limits of each wave on
/// time and on hosts away at once, and which hosts move between pools. It never
/// makes more tasks of a long-running step unavailable than the caller allows,
/// and it drains a host before it cuts off work that would end by itself.

#ifndef BALSAMLATCH_DISPATCH_HOSTSCHEDULER_H
#define BALSAMLATCH_DISPATCH_HOSTSCHEDULER_H

#include "balsamlatch/Dispatch/Dispatcher.h"
#include "balsamlatch/Dispatch/Hosts.h"
#include "balsamlatch/Dispatch/PoolPlanner.h"

namespace balsamlatch::dispatch {

struct HostSchedulerOptions {
  /// For this long after the start of a term, hosts that the earlier lease
  /// holder ordered recently get no order, so that two holders never issue
  /// conflicting orders for a host.
  Duration HandoverDelay = std::chrono::milliseconds(3500);
  /// How long a host may drain before its remaining runs are cut off.
  Duration DrainTimeout = std::chrono::seconds(7);
  /// Time for which a host is away for maintenance, and for a move.
  Duration MaintenanceTime = std::chrono::seconds(2);
  Duration MoveTime = std::chrono::milliseconds(1500);
  /// Time within which the platform may still carry out an order to which it
  /// didn't reply.
  Duration LateOrderTime = std::chrono::seconds(12);
  /// Part of a wave's time that is kept in reserve, in percent.
  unsigned WaveReservePercent = 25;
  PoolPlannerOptions Pools;
};

/// An order to maintain or move a host. The caller sends it to the platform and
/// reports the outcome.
struct HostOrder {
  HostName Host;
  /// The worker on the host, which the order ends; empty for none.
  std::string WorkerId;
  /// The number of the maintenance wave; 0 for a move.
  std::uint64_t Wave = 0;
  PoolName DestinationPool;

  auto operator<=>(const HostOrder &) const = default;
};

/// All hosts of the wave are done.
struct WaveCompleted {
  std::uint64_t Wave = 0;

  auto operator<=>(const WaveCompleted &) const = default;
};

using HostDecision = std::variant<HostOrder, WaveCompleted>;

/// Tracks maintenance waves, host orders and moves, and decides on new ones.
class HostScheduler {
public:
  HostScheduler(const Clock &TimeSource, HostSchedulerOptions Options,
                LogSink &Sink);

  /// Begins a term without any state of earlier ones.
  void begin();
  /// Sets the hosts that the earlier lease holder ordered recently, from its
  /// recentOrders(). Nothing is decided before this is known.
  void setRecentOrders(std::set<HostName> Hosts);
  /// Hosts that were ordered in the last HandoverDelay.
  std::set<HostName> recentOrders() const;
  /// Takes a host list that was asked for at \p AskedAt, and made after all
  /// replies so far.
  void setHosts(std::vector<HostRecord> Hosts, Instant AskedAt,
                Dispatcher &JobDispatcher);
  /// Adds a wave; the caller must not add a completed one again. \p ElapsedTime
  /// is the time for which earlier lease holders have already worked on it.
  void addWave(const WaveRequest &Wave, Duration ElapsedTime = {});
  bool hasWave(std::uint64_t Number) const { return Waves.contains(Number); }
  /// Whether a wave, an order or a move is in progress, so that the host list
  /// is needed often.
  bool hasOpenWork() const;
  /// Hosts on the latest list.
  std::size_t hostCount() const { return Hosts.size(); }

  /// Returns the orders and completed waves that are due now.
  std::vector<HostDecision> decide(Dispatcher &JobDispatcher,
                                   const jobs::JobTable &Jobs,
                                   const Deployment &Config);

  /// The platform accepted the order, or never replied. It accepts an order
  /// that was already carried out without doing anything, so only the next host
  /// list shows what became of the worker. A host is done once an order was
  /// accepted, or the list shows it in maintenance that no other order can have
  /// begun; without a reply the order is repeated until then.
  void handleReply(const HostOrder &Order, bool WasAccepted);
  /// The platform refused the orders, or they were not sent.
  void handleRefusals(const std::vector<HostOrder> &Orders,
                      Dispatcher &JobDispatcher);

  /// The hosts of a wave that need no further order: adds those that an earlier
  /// lease holder has finished, and returns all of them.
  void addDoneHosts(std::uint64_t Wave, const std::vector<HostName> &Hosts);
  std::vector<HostName> doneHosts(std::uint64_t Wave) const;
  /// The hosts of a wave that may still be taken away by an order without a
  /// reply: adds those of the earlier lease holder, and returns all of them.
  void addUnconfirmedHosts(std::uint64_t Wave,
                           const std::vector<HostName> &Hosts);
  std::vector<HostName> unconfirmedHosts(std::uint64_t Wave) const;

private:
  /// An order without a reply: whether it was or will be carried out is
  /// unknown.
  struct UnconfirmedOrder {
    // The worker that it ends if it is carried out; empty once that is gone.
    std::string WorkerId;
    Instant Since{};
    // Set once a list has shown a maintenance that may be another order's.
    bool IsAmbiguous = false;
  };

  struct Wave {
    WaveRequest Request;
    Instant BegunAt{};
    // Hosts whose maintenance is known to have begun.
    std::set<HostName> DoneHosts;
    // Disjoint from DoneHosts.
    std::map<HostName, UnconfirmedOrder> UnconfirmedOrders;
    // Draining hosts, and the start of their drain. Disjoint from DoneHosts: a
    // host that drains is no capacity of its pool.
    std::map<HostName, Instant> DrainingSince;
    // Drains that were given up, by host.
    std::map<HostName, unsigned> FailedDrains;
    // Hosts whose drain was given up, and when they may drain again.
    std::map<HostName, Instant> NextDrainAt;
    // Hosts whose order took effect, and when that was seen.
    std::map<HostName, Instant> AwaySince;
  };

  struct LastOrder {
    Instant IssuedAt{};
    // 0 for a move.
    std::uint64_t Wave = 0;
  };

  struct Move {
    PoolName TargetPool;
    Instant OrderedAt{};
  };

  /// Takes the effect of answered orders from the host list.
  void settleOrders(Dispatcher &JobDispatcher);
  /// Takes the late effect of unconfirmed orders from the host list.
  void settleUnconfirmedOrders(Wave &ActiveWave, Dispatcher &JobDispatcher);
  /// Whether another wave still has to maintain the host.
  bool isNeededByOtherWave(const Wave &ActiveWave, const HostName &Name) const;
  /// Whether a maintenance of the host that the list shows can only be the
  /// effect of an order for this wave.
  bool isSoleCause(const Wave &ActiveWave, const HostName &Name) const;
  bool isUnconfirmed(const Wave &ActiveWave, const HostName &Name) const;
  bool hasPendingOrder(const HostName &Name) const {
    return OpenOrders.contains(Name) || AnsweredOrders.contains(Name);
  }
  /// The workers to keep free of new work, from the drains and orders in
  /// progress.
  std::map<std::string, Cordon> cordons() const;
  const HostRecord *find(const HostName &Name) const;
  /// Whether the earlier lease holder may have ordered the host just before the
  /// term began.
  bool isInHandover(const HostName &Name) const;
  std::set<std::string> workersInHandover() const;
  /// The workers on the draining hosts of the wave, null for none.
  std::vector<const WorkerState *>
  drainingWorkers(const Wave &ActiveWave,
                  const Dispatcher &JobDispatcher) const;
  /// Ends the drain of a host for some time, which grows with each time.
  void giveUpDrain(Wave &ActiveWave, const HostName &Name);
  void decideWave(Wave &ActiveWave, Dispatcher &JobDispatcher,
                  const jobs::JobTable &Jobs,
                  std::vector<HostDecision> &Decisions);
  /// Stops runs on the draining host that continue from a checkpoint elsewhere
  /// and whose queue is less urgent than \p TopPriority.
  void preemptRuns(const HostName &Name, unsigned TopPriority,
                   const jobs::JobTable &Jobs, const Deployment &Config,
                   Dispatcher &JobDispatcher) const;
  /// Writes the actual and the desired sizes of the pools, once a second.
  void logPoolSizes(const PoolPlan &Plan);
  void decideMoves(Dispatcher &JobDispatcher, const jobs::JobTable &Jobs,
                   const Deployment &Config,
                   std::vector<HostDecision> &Decisions);
  /// The hosts that count as capacity of a pool.
  std::vector<PoolHost> poolHosts(const Dispatcher &JobDispatcher) const;
  /// Whether the host is away for maintenance, or may be or become so by an
  /// order that was issued.
  bool mayBeAway(const Wave &ActiveWave, const HostName &Name) const;
  unsigned countAway(const Wave &ActiveWave) const;
  /// Hosts that must drain at once to complete the wave in its time.
  unsigned desiredDrains(const Wave &ActiveWave, std::size_t HostsLeft) const;
  /// Adds the order to the decisions and tracks it as open.
  void issueOrder(HostOrder Order, Dispatcher &JobDispatcher,
                  std::vector<HostDecision> &Decisions);

  const Clock &Time;
  const HostSchedulerOptions Settings;
  LogSink &Log;
  PoolPlanner Pools;
  Instant NextSizesLogAt{};
  Instant TermStart{};
  bool EarlierOrdersKnown = false;
  std::set<HostName> EarlierOrders;
  // The last order of this term for a host.
  std::map<HostName, LastOrder> LastOrders;
  std::map<HostName, HostRecord> Hosts;
  std::map<std::uint64_t, Wave> Waves;
  // Orders without a reply.
  std::map<HostName, HostOrder> OpenOrders;
  // Orders whose effect the next host list shows, and whether the platform
  // accepted them.
  std::map<HostName, std::pair<HostOrder, bool>> AnsweredOrders;
  // Hosts that are moving to another pool, and hosts that drain for a move.
  std::map<HostName, Move> MovingHosts;
  std::set<HostName> HostsDrainingForMove;
};

/// Whether all long-running tasks on the worker may be interrupted now without
/// making more tasks of any step unavailable than its caller allows.
bool canInterrupt(const WorkerState &Worker, const Dispatcher &JobDispatcher,
                  const jobs::JobTable &Jobs);

/// Returns a long-running task on the worker that may be stopped now to be
/// placed on another worker.
std::optional<TaskRef> findTaskToMove(const WorkerState &Worker,
                                      const Dispatcher &JobDispatcher,
                                      const jobs::JobTable &Jobs);

} // namespace balsamlatch::dispatch

#endif // BALSAMLATCH_DISPATCH_HOSTSCHEDULER_H
