/// \file
/// Host registration: keeps the ledger's hosts in step with the platform's host
/// list. Creates the first ledger, adds new hosts and removes failed hosts that
/// are no longer listed.

#ifndef BALSAMLATCH_FLEET_HOSTREGISTRATION_H
#define BALSAMLATCH_FLEET_HOSTREGISTRATION_H

#include "Draft.h"
#include "FleetObservations.h"

namespace balsamlatch::fleet {

/// A failed host that the platform no longer lists is removed this long after
/// it failed.
inline constexpr Duration RemovalDelay = std::chrono::minutes(10);

/// Creates the first ledger from the host list, with all hosts in service.
void registerInitialHosts(Draft &NextLedger, const HostListing &Listing,
                          const RuleSet &Rules, WallTime Wall);

/// Adds newly listed hosts, on probation, and removes hosts that failed more
/// than RemovalDelay ago and are no longer listed.
void registerHostChanges(Draft &NextLedger, FleetObservations &Observations,
                         const RuleSet &Rules, Instant Now, WallTime Wall);

} // namespace balsamlatch::fleet

#endif // BALSAMLATCH_FLEET_HOSTREGISTRATION_H
