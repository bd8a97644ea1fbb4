/// \file
/// Plans moves of hosts between the pools and the spare pool. Only lasting
/// demand causes a move; thresholds and a minimum duration give hysteresis, and
/// the weights in the rules trade moves against buffer.

#ifndef BALSAMLATCH_FLEET_MOVEPLANNER_H
#define BALSAMLATCH_FLEET_MOVEPLANNER_H

#include "DemandTracker.h"
#include "Draft.h"

#include <string>

namespace balsamlatch::fleet {

/// Watches the pools' demand and starts moves.
class MovePlanner {
public:
  struct PlanInputs {
    const RuleSet &Rules;
    const DemandTracker &Demand;
    std::uint32_t SlotsPerHost;
    Instant Now;
    WallTime Wall;
    const std::string &IdPrefix;
  };

  /// Starts at most one move. A pool gets a host from the spare pool when its
  /// lasting demand has been high for the required duration, and gives one back
  /// when its demand has been low for as long.
  void plan(Draft &NextLedger, const PlanInputs &Inputs);

private:
  struct DemandState {
    std::optional<Instant> HighSince;
    std::optional<Instant> LowSince;
  };

  void updateDemandState(const Ledger &CurrentLedger, const PoolRule &Pool,
                         const PlanInputs &Inputs);

  std::map<PoolName, DemandState> DemandStates;
};

/// How long demand must stay high or low before a host moves: longer where the
/// rules weigh moves more than buffer.
Duration requiredDemandDuration(const WeightRule &Weights);

/// Minimum number of hosts that moves leave in the pool: its declared number if
/// moves weigh at least as much as buffer, otherwise what the lasting demand
/// requires.
std::uint32_t minPoolHosts(const PoolRule &Pool, const WeightRule &Weights,
                           std::uint32_t RequiredHosts);

} // namespace balsamlatch::fleet

#endif // BALSAMLATCH_FLEET_MOVEPLANNER_H
