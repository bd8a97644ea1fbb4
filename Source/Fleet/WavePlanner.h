/// \file
/// Starts, stops and ends maintenance waves.

#ifndef BALSAMLATCH_FLEET_WAVEPLANNER_H
#define BALSAMLATCH_FLEET_WAVEPLANNER_H

#include "Draft.h"
#include "balsamlatch/Fleet/Budget.h"

#include <string>

namespace balsamlatch::fleet {

/// Minimum base of the stop percentage: early in a wave the share of lost hosts
/// is computed as if this many had started, or the wave's size if smaller.
inline constexpr std::uint32_t MinStopBaseHosts = 10;

/// Drafts the next step of maintenance: starts a wave when hosts are due,
/// starts operations within the budgets, stops the wave when too many of its
/// hosts are lost, and ends it when none is left. \p IdPrefix makes operation
/// identifiers unique.
void planWave(Draft &NextLedger, const RuleSet &Rules,
              const RequiredHostCounts &RequiredHosts, WallTime Wall,
              const std::string &IdPrefix);

} // namespace balsamlatch::fleet

#endif // BALSAMLATCH_FLEET_WAVEPLANNER_H
