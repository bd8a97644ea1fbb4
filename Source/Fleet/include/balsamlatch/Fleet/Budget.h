/// \file
/// Disruption budgets: whether a host may leave service now, given the budgets
/// of its pool and failure domains and the expected demand of its pool.

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

/// Number of accepting hosts that each pool needs for its expected demand. A
/// pool that isn't listed needs none.
using RequiredHostCounts = std::map<PoolName, std::uint32_t>;

/// Why an operation doesn't start or proceed now.
struct Blocker {
  /// Stable reason code, documented in Help/reason.
  std::string Reason;
  /// Line of the rule that blocks; 0 if none does.
  unsigned RuleLine = 0;
  /// Explanation with the figures.
  std::string Text;

  auto operator<=>(const Blocker &) const = default;
};

/// What blocks the current operation of each host.
using HostBlockers = std::map<HostName, Blocker>;

/// Number of hosts in a pool or failure domain, and how many of them are away,
/// that is out of service, planned or not.
struct AwayCount {
  std::uint32_t Members = 0;
  std::uint32_t Away = 0;

  auto operator<=>(const AwayCount &) const = default;
};

/// Host counts of a ledger by pool, rack and data centre.
class AwayCounts {
public:
  explicit AwayCounts(const Ledger &CurrentLedger);

  /// A moving host counts as an away member of its old pool until it joins the
  /// new one. Then the old pool has one member and one away host fewer, so a
  /// budget that held before still holds, provided that it allows at most all
  /// hosts of the pool.
  AwayCount pool(const PoolName &Pool) const;
  AwayCount rack(const RackName &Rack) const;
  AwayCount dataCentre(const DataCentreName &DataCentre) const;
  /// Hosts of the pool that accept new tasks.
  std::uint32_t accepting(const PoolName &Pool) const;

  /// Adds or subtracts one host.
  void add(const HostRecord &Record);
  void remove(const HostRecord &Record);

private:
  void adjust(const HostRecord &Record, std::uint32_t Increment);

  std::map<PoolName, AwayCount> Pools;
  std::map<PoolName, std::uint32_t> Accepting;
  std::map<RackName, AwayCount> Racks;
  std::map<DataCentreName, AwayCount> DataCentres;
};

/// Everything that forbids that the host leaves service now, in the order pool,
/// failure domains, demand; empty if it may leave. A host that is already away
/// is never blocked.
std::vector<Blocker> absenceBlockers(const AwayCounts &Counts,
                                     const RuleSet &Rules,
                                     const HostRecord &Record,
                                     const RequiredHostCounts &RequiredHosts);

/// The same for the host with this name.
std::vector<Blocker>
absenceBlockers(const Ledger &CurrentLedger, const RuleSet &Rules,
                const HostName &Host,
                const RequiredHostCounts &RequiredHosts = {});

} // namespace balsamlatch::fleet

#endif // BALSAMLATCH_FLEET_BUDGET_H
