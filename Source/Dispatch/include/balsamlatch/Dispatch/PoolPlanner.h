/// \file
/// How many hosts each pool should have, and which hosts change pools. The
/// load that it answers: queues ask for much more than their pools hold, by
/// turns, while the other pools are nearly idle. Hosts follow the work, and
/// those that nobody needs go to the standby pool.

#ifndef BALSAMLATCH_DISPATCH_POOLPLANNER_H
#define BALSAMLATCH_DISPATCH_POOLPLANNER_H

#include "balsamlatch/Dispatch/Deployment.h"

#include <map>
#include <vector>

namespace balsamlatch::dispatch {

/// What a pool's open work asks for at this moment.
struct PoolDemand {
  /// Tasks that run or could run now, those of lasting steps aside.
  Resources Ending;
  /// Hosts that run lasting tasks, or will have to.
  unsigned LastingHosts = 0;
  /// Hosts that it takes to place what no usable worker can take.
  unsigned HostsLacking = 0;

  auto operator<=>(const PoolDemand &) const = default;
};

/// A host as the planner sees it.
struct PoolHost {
  HostName Name;
  PoolName Pool;
  Resources Capacity;
  /// Up and not under an order.
  bool Movable = false;
  /// Nothing runs there.
  bool Vacant = false;
  /// A lasting task runs there.
  bool Lasting = false;
  /// Takes no new work, in order to be moved.
  bool Draining = false;
  std::int64_t UsedCpuMilli = 0;

  auto operator<=>(const PoolHost &) const = default;
};

struct PoolPlannerOptions {
  /// Room kept beyond the demand of the moment, in percent.
  unsigned HeadroomPercent = 15;
  /// How long a pool keeps what it needed. Bridges the time between the steps
  /// of jobs.
  Duration Memory = std::chrono::milliseconds(1200);
  /// How long a host must be unneeded before it goes to standby: a move costs
  /// about as much as a host does in this time.
  Duration IdleTime = std::chrono::milliseconds(2000);
  /// Hosts that a pool keeps even without work, so that new work starts at
  /// once.
  unsigned LeastHosts = 2;
};

struct PoolPlan {
  struct Step {
    HostName Host;
    PoolName To;

    auto operator<=>(const Step &) const = default;
  };

  std::vector<Step> Moves;
  /// Hosts to keep free of new work, so that they can be moved soon.
  std::vector<HostName> Drains;
};

class PoolPlanner {
public:
  /// What is known of one pool during a plan.
  struct Balance {
    unsigned Have = 0;
    unsigned Want = 0;
    bool Standby = false;

    bool shorter(const Balance &Other) const {
      // Compares Have / Want without a division.
      return std::uint64_t{Have} * Other.Want <
             std::uint64_t{Other.Have} * Want;
    }
  };

  using Balances = std::map<PoolName, Balance>;

  explicit PoolPlanner(PoolPlannerOptions Options) : Settings(Options) {}

  void reset();
  PoolPlan plan(Instant Now, const std::vector<Pool> &Pools,
                const std::map<PoolName, PoolDemand> &Demand,
                std::vector<PoolHost> Hosts);

private:
  struct Memory {
    // Hosts wanted, and until when the wish counts.
    std::map<Instant, unsigned> Wanted;
    Instant SurplusSince{};
  };

  void giveBack(Instant Now, const PoolName &Standby, Balances &All,
                const std::vector<PoolHost> &Hosts, PoolPlan &Plan);
  unsigned wanted(Instant Now, const PoolName &Pool, const PoolDemand &Demand,
                  const Resources &HostCapacity);

  const PoolPlannerOptions Settings;
  std::map<PoolName, Memory> Known;
};

} // namespace balsamlatch::dispatch

#endif // BALSAMLATCH_DISPATCH_POOLPLANNER_H
