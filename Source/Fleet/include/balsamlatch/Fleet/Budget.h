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

/// What the operation in hand of each host waits for.
using HostWaits = std::map<HostName, Hindrance>;

/// Hosts of a group, and how many of them are away, planned or not.
struct AwayCount {
  std::uint32_t Members = 0;
  std::uint32_t Away = 0;

  auto operator<=>(const AwayCount &) const = default;
};

/// Counts of a ledger by pool, rack and data centre.
class AwayCounts {
public:
  explicit AwayCounts(const Ledger &Value);

  /// A host that moves is a member of its old pool, and away, until it is in
  /// the new one. Then the old pool has one member less and one host less
  /// away, and a budget of at most all hosts that held before still holds.
  AwayCount pool(const PoolName &Pool) const;
  AwayCount rack(const RackName &Rack) const;
  AwayCount dataCentre(const DataCentreName &Centre) const;
  /// Hosts of the pool that take new work.
  std::uint32_t accepting(const PoolName &Pool) const;

  /// Adds a host's record, or takes it out.
  void add(const HostRecord &Record);
  void remove(const HostRecord &Record);

private:
  void count(const HostRecord &Record, std::uint32_t Step);

  std::map<PoolName, AwayCount> Pools;
  std::map<PoolName, std::uint32_t> Accepting;
  std::map<RackName, AwayCount> Racks;
  std::map<DataCentreName, AwayCount> Centres;
};

/// Everything that keeps the host from going away, in the order pool, failure
/// domains, demand. Empty: it may go. A host that is away already meets no
/// hindrance.
std::vector<Hindrance> mayGoAway(const AwayCounts &Counts, const RuleSet &Rules,
                                 const HostRecord &Record,
                                 const HostsNeeded &Needed);

/// The same for a host by its name.
std::vector<Hindrance> mayGoAway(const Ledger &Value, const RuleSet &Rules,
                                 const HostName &Host,
                                 const HostsNeeded &Needed = {});

} // namespace balsamlatch::fleet

#endif // BALSAMLATCH_FLEET_BUDGET_H
