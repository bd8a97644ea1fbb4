/// \file
/// The pools' demand over time: bursts are smoothed away, what lasts stays.

#ifndef BALSAMLATCH_FLEET_DEMANDTRACKER_H
#define BALSAMLATCH_FLEET_DEMANDTRACKER_H

#include "balsamlatch/Fleet/Budget.h"
#include "balsamlatch/Fleet/Controller.h"

#include <map>
#include <optional>

namespace balsamlatch::fleet {

class DemandTracker {
public:
  /// Time constant of the exponentially weighted mean.
  static constexpr Duration Memory = std::chrono::minutes(10);
  /// Until the tracker has watched this long, it knows of no lasting demand.
  static constexpr Duration WarmUp = std::chrono::minutes(5);

  void take(const DemandSeen &Seen, Instant Now);

  /// Whether it has watched for long enough to speak of lasting demand.
  bool warm(Instant Now) const;

  /// Slots that the pool's lasting demand takes.
  double lastingSlots(const PoolName &Pool) const;

  /// Hosts that the lasting demand of each pool takes, with headroom.
  HostsNeeded hostsNeeded(std::uint32_t SlotsPerHost) const;

private:
  std::map<PoolName, double> Means;
  std::optional<Instant> First;
  Instant Last{};
};

} // namespace balsamlatch::fleet

#endif // BALSAMLATCH_FLEET_DEMANDTRACKER_H
