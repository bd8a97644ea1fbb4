/// \file
/// Exponentially weighted means of the pools' demand.

#include "DemandTracker.h"

#include <cmath>

namespace balsamlatch::fleet {

namespace {

/// Slots kept free beyond the lasting demand, as a share of it.
constexpr double Headroom = 0.25;

} // namespace

void DemandTracker::take(const DemandSeen &Seen, Instant Now) {
  using Seconds = std::chrono::duration<double>;
  const double Step = First ? Seconds(Now - Last) / Seconds(Memory) : 0;
  const double Weight = 1 - std::exp(-Step);
  for (const DemandSeen::Need &Need : Seen.Pools) {
    const double Slots =
        static_cast<double>(Need.SlotsInUse) + Need.SlotsQueued;
    const auto [Known, IsNew] = Means.emplace(Need.Pool, Slots);
    if (!IsNew) {
      Known->second += (Slots - Known->second) * Weight;
    }
  }
  if (!First) {
    First = Now;
  }
  Last = Now;
}

bool DemandTracker::warm(Instant Now) const {
  return First && Now - *First >= WarmUp;
}

double DemandTracker::lastingSlots(const PoolName &Pool) const {
  const auto Found = Means.find(Pool);
  return Found == Means.end() ? 0 : Found->second;
}

HostsNeeded DemandTracker::hostsNeeded(std::uint32_t SlotsPerHost) const {
  HostsNeeded Needed;
  for (const auto &[Pool, Slots] : Means) {
    Needed[Pool] = static_cast<std::uint32_t>(
        std::ceil(Slots * (1 + Headroom) / SlotsPerHost));
  }
  return Needed;
}

} // namespace balsamlatch::fleet
