/// \file
/// Keeps the ledger's hosts in step with the platform's listing: the first
/// ledger, hosts that are new, hosts that are gone.

#ifndef BALSAMLATCH_FLEET_HOSTREGISTRATION_H
#define BALSAMLATCH_FLEET_HOSTREGISTRATION_H

#include "Draft.h"
#include "FleetObservations.h"

namespace balsamlatch::fleet {

/// A failed host that the platform no longer lists is forgotten after this.
inline constexpr Duration ForgetAfter = std::chrono::minutes(10);

/// Makes the first ledger's hosts of the listing, all in service.
void enrolAll(Draft &Next, const HostListing &Listing, const RuleSet &Rules,
              WallTime Wall);

/// Adds the hosts that are new in the listing, on probation, and removes
/// failed hosts that have long left it.
void enrolChanges(Draft &Next, Facts &Observed, const RuleSet &Rules,
                  Instant Now, WallTime Wall);

} // namespace balsamlatch::fleet

#endif // BALSAMLATCH_FLEET_HOSTREGISTRATION_H
