/// \file
/// The status and explain pages for operators, as JSON.

#ifndef BALSAMLATCH_DAEMON_STATUSPAGE_H
#define BALSAMLATCH_DAEMON_STATUSPAGE_H

#include "balsamlatch/Base/Ids.h"
#include "balsamlatch/Daemon/DaemonStatus.h"
#include "balsamlatch/Daemon/DecisionHistory.h"

#include <string>
#include <string_view>
#include <vector>

namespace balsamlatch::daemon {

/// Name and location of this entry.
struct EntryIdentity {
  EntryName Entry;
  std::string Region;
  DataCentreName DataCentre;
  /// Whether the simulated platform runs in this process.
  bool Embedded = false;
};

/// Returns the body of /v1/status. Lists the hosts of the ledger if \p
/// WithHosts is set.
std::string statusPage(const EntryIdentity &Identity,
                       const DaemonStatus &Status, bool WithHosts);

/// Returns the body of /v1/explain/<subject>.
std::string explainPage(const EntryIdentity &Identity,
                        const DaemonStatus &Status, std::string_view Subject,
                        const std::vector<Decision> &Decisions);

} // namespace balsamlatch::daemon

#endif // BALSAMLATCH_DAEMON_STATUSPAGE_H
