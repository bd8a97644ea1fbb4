/// \file
/// The JSON documents that operators read: status and explain.

#ifndef BALSAMLATCH_DAEMON_STATUSPAGE_H
#define BALSAMLATCH_DAEMON_STATUSPAGE_H

#include "balsamlatch/Base/Ids.h"
#include "balsamlatch/Daemon/DaemonStatus.h"
#include "balsamlatch/Daemon/DecisionHistory.h"

#include <string>
#include <string_view>
#include <vector>

namespace balsamlatch::daemon {

/// Who this entry is.
struct EntryIdentity {
  EntryName Entry;
  std::string Region;
  DataCentreName DataCentre;
  /// The stand-ins of the platform run in this process.
  bool Embedded = false;
};

/// The body of /v1/status; with the hosts of the ledger if asked for.
std::string statusPage(const EntryIdentity &Self, const DaemonStatus &Status,
                       bool WithHosts);

/// The body of /v1/explain/<subject>.
std::string explainPage(const EntryIdentity &Self, const DaemonStatus &Status,
                        std::string_view Subject,
                        const std::vector<Decision> &Decisions);

} // namespace balsamlatch::daemon

#endif // BALSAMLATCH_DAEMON_STATUSPAGE_H
