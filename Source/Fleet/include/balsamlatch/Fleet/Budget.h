/// \file
/// Whether a host may go away now: the availability budgets of its pool and of
/// its failure domains, and the demand that is expected of its pool.

#ifndef BALSAMLATCH_FLEET_BUDGET_H
#define BALSAMLATCH_FLEET_BUDGET_H

#include "balsamlatch/Fleet/Ledger.h"
#include "balsamlatch/Rules/RuleSet.h"

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace balsamlatch::fleet {

/// Accepting hosts that each pool's expected demand takes. A pool that is not
/// named needs none.
using HostsNeeded = std::map<PoolName, std::uint32_t>;

/// Why something does not happen now.
struct Hindrance {
  /// Stable code with a page in Help/reason.
  std::string Reason;
  /// Line of the rule that says so; 0: none does.
  unsigned RuleLine = 0;
  /// A sentence with the figures.
  std::string Text;

  auto operator<=>(const Hindrance &) const = default;
};

/// Hosts of a group, and how many of them are away, planned or not.
struct AwayCount {
  std::uint32_t Members = 0;
  std::uint32_t Away = 0;

  auto operator<=>(const AwayCount &) const = default;
};

/// Counts a pool. A host that is moving out is no member any more, but still
/// counts as away.
AwayCount countPool(const Ledger &Value, const PoolName &Pool);
AwayCount countRack(const Ledger &Value, const RackName &Rack);
AwayCount countDataCentre(const Ledger &Value, const DataCentreName &Centre);

/// Everything that keeps the host from going away for an operation of the kind
/// given, in the order pool, failure domains, demand. Empty: it may go. A host
/// that is away already meets no hindrance.
std::vector<Hindrance> mayGoAway(const Ledger &Value, const RuleSet &Rules,
                                 const HostName &Host,
                                 OperationKind Kind = OperationKind::Maintain,
                                 const HostsNeeded &Needed = {});

} // namespace balsamlatch::fleet

#endif // BALSAMLATCH_FLEET_BUDGET_H
