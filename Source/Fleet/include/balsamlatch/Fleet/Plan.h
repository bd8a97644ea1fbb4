/// \file
/// What maintenance does next and why the rest waits, for the controller, the
/// command line and the status page alike.

#ifndef BALSAMLATCH_FLEET_PLAN_H
#define BALSAMLATCH_FLEET_PLAN_H

#include "balsamlatch/Fleet/Budget.h"

#include <boost/json/object.hpp>
#include <string>
#include <vector>

namespace balsamlatch::fleet {

/// A host that is due and does not leave in the next round.
struct WaitingHost {
  HostName Host;
  PoolName Pool;
  std::vector<Hindrance> Why;

  auto operator<=>(const WaitingHost &) const = default;
};

struct FleetPlan {
  /// Why nothing starts at all: a halt, a stopped wave, a closed window.
  std::vector<Hindrance> Blocked;
  /// Hosts that leave together, round after round, as if each round came back
  /// whole. The first round is what may leave now.
  std::vector<std::vector<HostName>> Rounds;
  /// Hosts that are due and not in the first round, with today's reasons.
  std::vector<WaitingHost> Waiting;
  /// Hosts that are away now.
  std::vector<HostName> Away;

  bool operator==(const FleetPlan &) const = default;
};

/// A host is due when this share of the period has passed since it was last
/// maintained; the rest of the period is left for budgets and windows.
inline constexpr int DueSharePercent = 75;

/// Plans at most \p MaxRounds rounds.
FleetPlan makePlan(const Ledger &Value, const RuleSet &Rules,
                   const HostsNeeded &Needed, WallTime Wall,
                   unsigned MaxRounds = 1);

/// Why no maintenance starts now, whatever the host. Empty: it may.
std::vector<Hindrance> maintenanceBlocked(const Ledger &Value,
                                          const RuleSet &Rules, WallTime Wall);

/// Whether maintenance of the host is due.
bool maintenanceDue(const HostRecord &Record, const RuleSet &Rules,
                    WallTime Wall);

/// A table of the rounds and of the waiting hosts with their reasons. \p Waits
/// says what the hosts that are away wait for, where the controller knows.
std::string planText(const Ledger &Value, const RuleSet &Rules,
                     const HostsNeeded &Needed, WallTime Wall,
                     unsigned MaxRounds, const HostWaits &Waits = {});

/// The same as JSON.
boost::json::object planJson(const Ledger &Value, const RuleSet &Rules,
                             const HostsNeeded &Needed, WallTime Wall,
                             unsigned MaxRounds, const HostWaits &Waits = {});

} // namespace balsamlatch::fleet

#endif // BALSAMLATCH_FLEET_PLAN_H
