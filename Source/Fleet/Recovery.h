/// \file
/// Records lost hosts and replaces them from the spare pool.

#ifndef BALSAMLATCH_FLEET_RECOVERY_H
#define BALSAMLATCH_FLEET_RECOVERY_H

#include "Draft.h"
#include "FleetObservations.h"
#include "balsamlatch/Fleet/Budget.h"

#include <string>

namespace balsamlatch::fleet {

/// A host is replaced once it has been lost for this long; until then it may
/// come back.
inline constexpr Duration ReplacementDelay = std::chrono::minutes(10);

/// Marks hosts as failed whose workers haven't reported for long. If most of
/// the fleet is unresponsive, this controller is probably cut off, which says
/// nothing about the hosts: then it marks none and returns the blocker.
Blocker recordLostHosts(Draft &NextLedger, FleetObservations &Observations,
                        Instant Now);

/// Starts a move from the spare pool for each host that has been lost for
/// ReplacementDelay from a pool that has fewer accepting hosts than its rule
/// requires.
void replaceLostHosts(Draft &NextLedger, FleetObservations &Observations,
                      const RuleSet &Rules,
                      const RequiredHostCounts &RequiredHosts, Instant Now,
                      WallTime Wall, const std::string &IdPrefix);

} // namespace balsamlatch::fleet

#endif // BALSAMLATCH_FLEET_RECOVERY_H
