/// \file
/// The demand of each pool over time, smoothed so that bursts don't count and
/// only lasting demand remains.

#ifndef BALSAMLATCH_FLEET_DEMANDTRACKER_H
#define BALSAMLATCH_FLEET_DEMANDTRACKER_H

#include "balsamlatch/Fleet/Budget.h"
#include "balsamlatch/Fleet/Controller.h"

#include <map>
#include <optional>

namespace balsamlatch::fleet {

/// Exponentially weighted mean of each pool's demand.
class DemandTracker {
public:
  /// Time constant of the exponentially weighted mean.
  static constexpr Duration SmoothingTime = std::chrono::minutes(10);
  /// Observation time before the mean counts as lasting demand.
  static constexpr Duration WarmUpPeriod = std::chrono::minutes(5);

  void take(const DemandReported &Event, Instant Now);

  /// Whether WarmUpPeriod has passed since the first sample.
  bool warmedUp(Instant Now) const;

  /// Slots that the pool's lasting demand uses.
  double lastingSlots(const PoolName &Pool) const;

  /// Hosts that each pool needs for its lasting demand, with headroom.
  RequiredHostCounts requiredHosts(std::uint32_t SlotsPerHost) const;

private:
  std::map<PoolName, double> MeanSlots;
  std::optional<Instant> FirstSample;
  Instant LastSample{};
};

} // namespace balsamlatch::fleet

#endif // BALSAMLATCH_FLEET_DEMANDTRACKER_H
