/// \file
/// The maintenance plan: which hosts leave next and why the others wait. Used
/// by the controller, the command line and the status page.

#ifndef BALSAMLATCH_FLEET_PLAN_H
#define BALSAMLATCH_FLEET_PLAN_H

#include "balsamlatch/Fleet/Budget.h"

#include <boost/json/object.hpp>
#include <string>
#include <vector>

namespace balsamlatch::fleet {

/// A host that is due for maintenance but isn't in the next round.
struct WaitingHost {
  HostName Host;
  PoolName Pool;
  std::vector<Blocker> Blockers;

  auto operator<=>(const WaitingHost &) const = default;
};

/// The next maintenance rounds and what blocks the rest.
struct FleetPlan {
  /// Why no maintenance starts at all: a halt, a stopped wave, a closed window.
  std::vector<Blocker> StartBlockers;
  /// Hosts that leave together, round by round, assuming that all hosts of a
  /// round return. The first round is what may leave now.
  std::vector<std::vector<HostName>> Rounds;
  /// Hosts that are due but not in the first round, with what blocks them now.
  std::vector<WaitingHost> Waiting;
  /// Hosts that are out of service now, planned or not.
  std::vector<HostName> Away;

  bool operator==(const FleetPlan &) const = default;
};

/// A host is due when this share of the maintenance period has passed since its
/// last maintenance. The rest of the period is reserve for budgets and windows.
inline constexpr int DueSharePercent = 75;

/// Computes at most \p MaxRounds rounds.
FleetPlan makePlan(const Ledger &CurrentLedger, const RuleSet &Rules,
                   const RequiredHostCounts &RequiredHosts, WallTime Wall,
                   unsigned MaxRounds = 1);

/// Why no maintenance starts now, independent of the host. Empty if it may
/// start.
std::vector<Blocker> maintenanceBlocked(const Ledger &CurrentLedger,
                                        const RuleSet &Rules, WallTime Wall);

/// Whether maintenance of the host is due.
bool maintenanceDue(const HostRecord &Record, const RuleSet &Rules,
                    WallTime Wall);

/// The plan as a table: hosts that are out of service, rounds, and waiting
/// hosts with their blockers. \p OperationBlockers says what the hosts that are
/// out of service wait for, where known.
std::string planText(const Ledger &CurrentLedger, const RuleSet &Rules,
                     const RequiredHostCounts &RequiredHosts, WallTime Wall,
                     unsigned MaxRounds,
                     const HostBlockers &OperationBlockers = {});

/// The same as JSON.
boost::json::object planJson(const Ledger &CurrentLedger, const RuleSet &Rules,
                             const RequiredHostCounts &RequiredHosts,
                             WallTime Wall, unsigned MaxRounds,
                             const HostBlockers &OperationBlockers = {});

} // namespace balsamlatch::fleet

#endif // BALSAMLATCH_FLEET_PLAN_H
