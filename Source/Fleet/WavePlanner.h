/// \file
/// Begins, stops and ends maintenance waves.

#ifndef BALSAMLATCH_FLEET_WAVEPLANNER_H
#define BALSAMLATCH_FLEET_WAVEPLANNER_H

#include "Draft.h"
#include "balsamlatch/Fleet/Budget.h"

#include <string>

namespace balsamlatch::fleet {

/// With fewer hosts started, this many are the base of the stop share.
inline constexpr std::uint32_t StopBaseHosts = 10;

/// Drafts the next step of maintenance: begins a wave when hosts are due, lets
/// those leave that may, stops the wave when too many of it are lost, ends it
/// when none is left. \p Prefix makes operation identifiers unique.
void planWave(Draft &Next, const RuleSet &Rules, const HostsNeeded &Needed,
              WallTime Wall, const std::string &Prefix);

} // namespace balsamlatch::fleet

#endif // BALSAMLATCH_FLEET_WAVEPLANNER_H
