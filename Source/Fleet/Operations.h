/// \file
/// The beginning and the failing of operations, for owners' orders and for the
/// planners alike.

#ifndef BALSAMLATCH_FLEET_OPERATIONS_H
#define BALSAMLATCH_FLEET_OPERATIONS_H

#include "Draft.h"
#include "balsamlatch/Fleet/Budget.h"

#include <string>
#include <vector>

namespace balsamlatch::fleet {

/// Begins an operation on a host that may go. FailedPrecondition says why it
/// may not.
absl::Status beginOperation(Draft &Next, const RuleSet &Rules,
                            const HostsNeeded &Needed, const HostName &Host,
                            const Operation &Hand);

/// All hindrances as one sentence.
std::string describe(const std::vector<Hindrance> &Why);

/// Records a host as lost. A host of a maintenance wave counts in its wave.
void failHost(Draft &Next, const HostName &Host, const std::string &Why);

} // namespace balsamlatch::fleet

#endif // BALSAMLATCH_FLEET_OPERATIONS_H
