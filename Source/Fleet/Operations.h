/// \file
/// Starting and failing of host operations, shared by the planners and the
/// owners' orders.

#ifndef BALSAMLATCH_FLEET_OPERATIONS_H
#define BALSAMLATCH_FLEET_OPERATIONS_H

#include "Draft.h"
#include "balsamlatch/Fleet/Budget.h"

#include <string>
#include <vector>

namespace balsamlatch::fleet {

/// Starts an operation on a host. FailedPrecondition says what blocks it.
absl::Status beginOperation(Draft &NextLedger, const RuleSet &Rules,
                            const RequiredHostCounts &RequiredHosts,
                            const HostName &Host, const Operation &Op);

/// All blockers as one sentence.
std::string describeBlockers(const std::vector<Blocker> &Blockers);

/// Marks a host as failed. A host under maintenance also counts as lost in the
/// current wave.
void recordHostLoss(Draft &NextLedger, const HostName &Host,
                    const std::string &LossCause);

} // namespace balsamlatch::fleet

#endif // BALSAMLATCH_FLEET_OPERATIONS_H
