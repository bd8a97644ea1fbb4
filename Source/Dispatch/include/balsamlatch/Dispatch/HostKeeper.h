/// \file
/// Decides which hosts are maintained or moved next: within each wave's bound
/// and time, where pools are short of hosts, without taking more of a lasting
/// step away than its caller allows, and without cutting work off while there
/// is time to let it end.

#ifndef BALSAMLATCH_DISPATCH_HOSTKEEPER_H
#define BALSAMLATCH_DISPATCH_HOSTKEEPER_H

#include "balsamlatch/Dispatch/Dispatcher.h"
#include "balsamlatch/Dispatch/Hosts.h"
#include "balsamlatch/Dispatch/PoolPlanner.h"

namespace balsamlatch::dispatch {

struct HostKeeperOptions {
  /// A host that an earlier holder ordered lately isn't ordered in the first
  /// part of a term, so that two holders never take turns on it.
  Duration SettleTime = std::chrono::milliseconds(3500);
  /// Time for which a host is kept free of new work before its runs are cut
  /// off.
  Duration DrainLimit = std::chrono::seconds(7);
  /// What a host is away for maintenance, and for a move.
  Duration MaintenanceTime = std::chrono::seconds(2);
  Duration MoveTime = std::chrono::milliseconds(1500);
  /// Part of a wave's time that is left unused, in percent.
  unsigned WaveSparePercent = 25;
  PoolPlannerOptions Pools;
};

/// An order about a host that is due. The caller carries it out and reports
/// the outcome.
struct HostOrder {
  HostName Host;
  /// The worker that runs there and ends by the order; empty for none.
  std::string WorkerId;
  /// The wave that the host is maintained for; 0 for a move.
  std::uint64_t Wave = 0;
  PoolName MoveTo;

  auto operator<=>(const HostOrder &) const = default;
};

struct WaveCompleted {
  std::uint64_t Wave = 0;

  auto operator<=>(const WaveCompleted &) const = default;
};

using HostDecision = std::variant<HostOrder, WaveCompleted>;

class HostKeeper {
public:
  HostKeeper(const Clock &TimeSource, HostKeeperOptions Options, LogSink &Sink);

  void begin();
  /// The hosts that the earlier holder has ordered last, from its
  /// recentOrders(). Nothing is decided before.
  void setEarlierOrders(std::set<HostName> Hosts);
  /// Hosts that were ordered in the last SettleTime.
  std::set<HostName> recentOrders() const;
  /// The hosts as listed after all orders that were answered so far.
  void setHosts(std::vector<HostRecord> Hosts, Dispatcher &Workers);
  /// A wave that is already completed is not given again. \p UnderWay: for how
  /// long earlier holders have known of it.
  void addWave(const WaveRequest &Wave, Duration UnderWay = {});
  bool hasWave(std::uint64_t Number) const { return Waves.contains(Number); }
  /// Whether orders are open or a wave is under way, so that the host list
  /// matters now.
  bool busy() const;

  std::vector<HostDecision> decide(Dispatcher &Workers,
                                   const jobs::JobBook &Jobs,
                                   const Deployment &Config);

  /// The platform took the order, or was never heard of again. It takes an
  /// order that was carried out before without doing anything, so what became
  /// of the host's worker is told by the next list.
  void answered(const HostOrder &Order, bool Taken);
  /// The platform refused the order.
  void refused(const HostOrder &Order, Dispatcher &Workers);

  /// Hosts of the wave that need no order any more, as an earlier holder left
  /// them and as they are now.
  void addDone(std::uint64_t Wave, const std::vector<HostName> &Hosts);
  std::vector<HostName> done(std::uint64_t Wave) const;

private:
  struct Wave {
    WaveRequest Request;
    Instant Since{};
    std::set<HostName> Done;
    // Hosts kept free of new work, and since when.
    std::map<HostName, Instant> Draining;
    // Hosts whose drain led to nothing, and when the next one may begin.
    std::map<HostName, Instant> NoDrainBefore;
    // When the maintenance of hosts that were ordered began.
    std::map<HostName, Instant> Away;
  };

  struct Move {
    PoolName To;
    Instant Since{};
  };

  void settle(Dispatcher &Workers);
  const HostRecord *find(const HostName &Name) const;
  /// An earlier holder may have ordered the host a moment ago.
  bool settling(const HostName &Name) const;
  void decideWave(Wave &Which, Dispatcher &Workers, const jobs::JobBook &Jobs,
                  std::vector<HostDecision> &Into);
  void decideMoves(Dispatcher &Workers, const jobs::JobBook &Jobs,
                   const Deployment &Config, std::vector<HostDecision> &Into);
  std::vector<PoolHost> poolHosts(const Dispatcher &Workers) const;
  unsigned away(const Wave &Which) const;
  unsigned drainsWanted(const Wave &Which, std::size_t Left) const;
  void give(HostOrder Order, Dispatcher &Workers,
            std::vector<HostDecision> &Into);

  const Clock &Time;
  const HostKeeperOptions Settings;
  LogSink &Log;
  PoolPlanner Pools;
  Instant TermBegan{};
  bool EarlierKnown = false;
  std::set<HostName> EarlierOrders;
  std::map<HostName, Instant> OrderedAt;
  std::map<HostName, HostRecord> Hosts;
  std::map<std::uint64_t, Wave> Waves;
  // Orders without an answer.
  std::map<HostName, HostOrder> Ordered;
  // Orders whose effect the next list shows, and whether they were taken.
  std::map<HostName, std::pair<HostOrder, bool>> Unsettled;
  // Hosts on their way to another pool, and hosts that drain for it.
  std::map<HostName, Move> Moving;
  std::set<HostName> DrainingForMove;
};

/// Whether all lasting tasks on the worker may be taken away now: of each of
/// their steps, no more are away then than its caller allows.
bool mayTakeAway(const WorkerState &Worker, const Dispatcher &Workers,
                 const jobs::JobBook &Jobs);

/// A lasting task on the worker that may be stopped now, so that it starts
/// elsewhere.
std::optional<TaskRef> taskToMove(const WorkerState &Worker,
                                  const Dispatcher &Workers,
                                  const jobs::JobBook &Jobs);

} // namespace balsamlatch::dispatch

#endif // BALSAMLATCH_DISPATCH_HOSTKEEPER_H
