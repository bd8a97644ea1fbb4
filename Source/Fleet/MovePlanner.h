/// \file
/// Moves of hosts between the pools and the spare pool: for lasting demand
/// only, with hysteresis, weighed by the rules.

#ifndef BALSAMLATCH_FLEET_MOVEPLANNER_H
#define BALSAMLATCH_FLEET_MOVEPLANNER_H

#include "DemandTracker.h"
#include "Draft.h"

#include <string>

namespace balsamlatch::fleet {

class MovePlanner {
public:
  struct Surroundings {
    const RuleSet &Rules;
    const DemandTracker &Demand;
    std::uint32_t SlotsPerHost;
    Instant Now;
    WallTime Wall;
    const std::string &Prefix;
  };

  /// Begins at most one move. A pool gets a host from the spare pool when its
  /// lasting demand has been high for the holding time, and gives one to the
  /// spare pool when it has been low for as long.
  void plan(Draft &Next, const Surroundings &Around);

private:
  struct Watch {
    std::optional<Instant> HighSince;
    std::optional<Instant> LowSince;
  };

  void follow(const Ledger &Value, const PoolRule &Pool,
              const Surroundings &Around);

  std::map<PoolName, Watch> Watches;
};

/// How long demand must last before a host moves: longer where moves weigh
/// more than buffer.
Duration moveHold(const WeightRule &Weights);

/// Fewest hosts that moves leave in the pool: its declared number where moves
/// weigh at least as much as buffer, else what the lasting demand takes.
std::uint32_t moveFloor(const PoolRule &Pool, const WeightRule &Weights,
                        std::uint32_t NeededHosts);

} // namespace balsamlatch::fleet

#endif // BALSAMLATCH_FLEET_MOVEPLANNER_H
