/// \file
/// Exponentially weighted means of the pools' demand.

#include "DemandTracker.h"

#include <cmath>

namespace balsamlatch::fleet {

namespace {

/// Slots to keep free, as a share of the lasting demand.
constexpr double HeadroomShare = 0.25;

} // namespace

void DemandTracker::take(const DemandReported &Event, Instant Now) {
  using Seconds = std::chrono::duration<double>;
  const double DecayExponent =
      FirstSample ? Seconds(Now - LastSample) / Seconds(SmoothingTime) : 0;
  const double Weight = 1 - std::exp(-DecayExponent);
  for (const DemandReported::PoolDemand &Demand : Event.Pools) {
    const double Slots =
        static_cast<double>(Demand.SlotsInUse) + Demand.SlotsQueued;
    const auto [Mean, IsNew] = MeanSlots.emplace(Demand.Pool, Slots);
    if (!IsNew) {
      Mean->second += (Slots - Mean->second) * Weight;
    }
  }
  if (!FirstSample) {
    FirstSample = Now;
  }
  LastSample = Now;
}

bool DemandTracker::warmedUp(Instant Now) const {
  return FirstSample && Now - *FirstSample >= WarmUpPeriod;
}

double DemandTracker::lastingSlots(const PoolName &Pool) const {
  const auto Position = MeanSlots.find(Pool);
  return Position == MeanSlots.end() ? 0 : Position->second;
}

RequiredHostCounts
DemandTracker::requiredHosts(std::uint32_t SlotsPerHost) const {
  RequiredHostCounts RequiredHosts;
  for (const auto &[Pool, Slots] : MeanSlots) {
    RequiredHosts[Pool] = static_cast<std::uint32_t>(
        std::ceil(Slots * (1 + HeadroomShare) / SlotsPerHost));
  }
  return RequiredHosts;
}

} // namespace balsamlatch::fleet
