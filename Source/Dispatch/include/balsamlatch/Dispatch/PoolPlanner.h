/// \file
/// Computes the desired number of hosts of each pool and the moves between
/// pools. It is made for load in which one queue at a time demands much more
/// than its pool can run while the other pools are nearly idle: hosts move to
/// the pools with demand, and surplus hosts go to the standby pool.

#ifndef BALSAMLATCH_DISPATCH_POOLPLANNER_H
#define BALSAMLATCH_DISPATCH_POOLPLANNER_H

#include "balsamlatch/Dispatch/Deployment.h"

#include <limits>
#include <map>
#include <vector>

namespace balsamlatch::dispatch {

/// The current demand of a pool's open jobs.
struct PoolDemand {
  /// Resources of the tasks that run or could run now, except those of
  /// long-running steps.
  Resources BatchResources;
  /// Hosts needed for long-running tasks.
  unsigned LongRunningHosts = 0;
  /// Total hosts needed to place the tasks that no usable worker can take.
  unsigned HostsForUnplaced = 0;
  /// Priority of the most urgent queue with tasks that run or could run now;
  /// 0 comes first.
  unsigned TopPriority = std::numeric_limits<unsigned>::max();

  auto operator<=>(const PoolDemand &) const = default;
};

/// The planner's view of a host.
struct PoolHost {
  HostName Name;
  PoolName Pool;
  Resources Capacity;
  /// Up and without an open order.
  bool IsMovable = false;
  /// Has no runs.
  bool IsVacant = false;
  /// Has a run of a long-running task.
  bool HasLongRunningTask = false;
  /// Drains for a move.
  bool IsDraining = false;
  std::int64_t ClaimedCpuMilli = 0;

  auto operator<=>(const PoolHost &) const = default;
};

struct PoolPlannerOptions {
  /// Spare capacity beyond the current demand, in percent.
  unsigned HeadroomPercent = 15;
  /// A pool is sized for the peak demand of this window, which bridges the gaps
  /// between the steps of jobs.
  Duration DemandWindow = std::chrono::milliseconds(1200);
  /// How long a pool must have a surplus before hosts go to standby. A move
  /// costs about as much as running the host for this time.
  Duration SurplusDelay = std::chrono::milliseconds(2000);
  /// Minimum size of a pool, so that new work starts at once after idle times.
  unsigned MinHosts = 2;
};

struct PoolPlan;

/// Sizes the pools, keeping recent demand between calls of plan().
class PoolPlanner {
public:
  /// Actual and desired size of a pool during planning.
  struct Balance {
    unsigned HostCount = 0;
    unsigned DesiredHosts = 0;
    /// Hosts needed for long-running tasks.
    unsigned FixedHosts = 0;
    /// There were tasks that run or could run, within DemandWindow.
    bool HasWork = false;
    bool Standby = false;

    bool isMoreUndersizedThan(const Balance &Other) const {
      // Compares HostCount / DesiredHosts without a division.
      return std::uint64_t{HostCount} * Other.DesiredHosts <
             std::uint64_t{Other.HostCount} * DesiredHosts;
    }
  };

  using Balances = std::map<PoolName, Balance>;

  explicit PoolPlanner(PoolPlannerOptions Options) : Settings(Options) {}

  void reset();
  PoolPlan plan(Instant Now, const std::vector<Pool> &Pools,
                const std::map<PoolName, PoolDemand> &Demand,
                std::vector<PoolHost> Hosts);

private:
  struct PoolHistory {
    // Demand in hosts, by the end of the window in which it counts.
    std::map<Instant, unsigned> RecentDemand;
    Instant SurplusSince{};
  };

  /// Moves vacant hosts of pools with a lasting surplus to standby.
  void releaseSurplus(Instant Now, const PoolName &StandbyPool,
                      Balances &PoolBalances,
                      const std::vector<PoolHost> &Hosts, PoolPlan &Plan);
  /// Peak of the demand within DemandWindow, in hosts; 0 without work.
  unsigned neededHosts(Instant Now, const PoolName &Pool,
                       const PoolDemand &Demand, const Resources &HostCapacity);

  const PoolPlannerOptions Settings;
  std::map<PoolName, PoolHistory> HistoryByPool;
};

/// Moves and drains that are due now.
struct PoolPlan {
  struct HostMove {
    HostName Host;
    PoolName TargetPool;

    auto operator<=>(const HostMove &) const = default;
  };

  std::vector<HostMove> Moves;
  /// Hosts that must drain before they can move.
  std::vector<HostMove> Drains;

  /// The pools' sizes when the plan was made.
  PoolPlanner::Balances Sizes;
};

} // namespace balsamlatch::dispatch

#endif // BALSAMLATCH_DISPATCH_POOLPLANNER_H
