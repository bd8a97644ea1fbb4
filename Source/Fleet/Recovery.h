/// \file
/// Hosts that are lost, and their replacement from the spare pool.

#ifndef BALSAMLATCH_FLEET_RECOVERY_H
#define BALSAMLATCH_FLEET_RECOVERY_H

#include "Draft.h"
#include "FleetObservations.h"
#include "balsamlatch/Fleet/Budget.h"

#include <string>

namespace balsamlatch::fleet {

/// A host that is lost for this long is replaced; before, it may come back.
inline constexpr Duration ReplaceAfter = std::chrono::minutes(10);

/// Records hosts as lost whose workers have long not reported. Returns why it
/// does not, when most of the fleet is silent: then this controller is cut
/// off, which says nothing about the hosts.
Hindrance recordLosses(Draft &Next, Facts &Observed, Instant Now);

/// Begins a move from the spare pool for each host that is lost for long from
/// a pool that has fewer accepting hosts than its rule says.
void replaceLost(Draft &Next, Facts &Observed, const RuleSet &Rules,
                 const HostsNeeded &Needed, Instant Now, WallTime Wall,
                 const std::string &Prefix);

} // namespace balsamlatch::fleet

#endif // BALSAMLATCH_FLEET_RECOVERY_H
