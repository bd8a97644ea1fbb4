/// \file
/// Sizes of pools and moves between them.

#include "balsamlatch/Dispatch/PoolPlanner.h"

#include <algorithm>

namespace balsamlatch::dispatch {

namespace {

unsigned hostsFor(std::int64_t Amount, std::int64_t OfEach) {
  return OfEach <= 0
             ? 0
             : static_cast<unsigned>((Amount + OfEach - 1) / OfEach);
}

/// What is known of one pool during a plan.
struct Balance {
  unsigned Have = 0;
  unsigned Want = 0;
  bool Standby = false;

  bool shorter(const Balance &Other) const {
    // Compares Have / Want without a division.
    return std::uint64_t{Have} * Other.Want < std::uint64_t{Other.Have} * Want;
  }
};

/// Larger is a better host to take away: one that is vacant, then one with
/// little to lose.
bool easierToTake(const PoolHost &A, const PoolHost &B) {
  if (A.Vacant != B.Vacant) {
    return A.Vacant;
  }
  if (A.Draining != B.Draining) {
    return A.Draining;
  }
  return A.UsedCpuMilli < B.UsedCpuMilli;
}

Resources usualCapacity(const std::vector<PoolHost> &Hosts) {
  Resources Sum;
  for (const PoolHost &Each : Hosts) {
    Sum += Each.Capacity;
  }
  const auto Count = static_cast<std::int64_t>(std::max<std::size_t>(1, Hosts.size()));
  return {Sum.CpuMilli / Count, Sum.MemoryMb / Count, Sum.Gpus / Count};
}

} // namespace

void PoolPlanner::reset() { Known.clear(); }

unsigned PoolPlanner::wanted(Instant Now, const PoolName &Pool,
                             const PoolDemand &Demand,
                             const Resources &HostCapacity) {
  const auto Padded = [this](std::int64_t Amount) {
    return Amount * (100 + Settings.HeadroomPercent) / 100;
  };
  const unsigned AtOnce =
      std::max(hostsFor(Padded(Demand.Ending.CpuMilli), HostCapacity.CpuMilli),
               hostsFor(Padded(Demand.Ending.MemoryMb), HostCapacity.MemoryMb));
  const unsigned Least =
      std::max(Demand.LastingHosts, Settings.LeastHosts);
  std::map<Instant, unsigned> &Past = Known[Pool].Wanted;
  Past.erase(Past.begin(), Past.lower_bound(Now));
  Past[Now + Settings.Memory] = std::max(AtOnce, Least);
  unsigned Most = 0;
  for (const auto &[Until, Count] : Past) {
    Most = std::max(Most, Count);
  }
  return Most;
}

PoolPlan PoolPlanner::plan(Instant Now, const std::vector<Pool> &Pools,
                           const std::map<PoolName, PoolDemand> &Demand,
                           std::vector<PoolHost> Hosts) {
  PoolPlan Plan;
  std::map<PoolName, Balance> Balances;
  const Resources Usual = usualCapacity(Hosts);
  PoolName Standby;
  for (const Pool &Each : Pools) {
    Balance &New = Balances[Each.Name];
    New.Standby = Each.Standby;
    if (Each.Standby) {
      Standby = Each.Name;
      continue;
    }
    const auto Found = Demand.find(Each.Name);
    New.Want = wanted(Now, Each.Name,
                      Found == Demand.end() ? PoolDemand() : Found->second,
                      Usual);
  }
  for (const PoolHost &Each : Hosts) {
    const auto Found = Balances.find(Each.Pool);
    if (Found != Balances.end()) {
      ++Found->second.Have;
    }
  }
  std::sort(Hosts.begin(), Hosts.end(), easierToTake);
  const auto Short = [&] {
    const PoolName *Worst = nullptr;
    for (const auto &[Name, Each] : Balances) {
      if (!Each.Standby && Each.Have < Each.Want &&
          (Worst == nullptr || Each.shorter(Balances[*Worst]))) {
        Worst = &Name;
      }
    }
    return Worst;
  };
  const auto Surplus = [&](const PoolHost &Each) {
    const auto Found = Balances.find(Each.Pool);
    return Found != Balances.end() && Each.Movable && !Each.Lasting &&
           (Found->second.Standby || Found->second.Have > Found->second.Want);
  };
  // Hosts of pools with a surplus, those that are paid for first.
  while (const PoolName *To = Short()) {
    auto Donor = Hosts.end();
    for (auto It = Hosts.begin(); It != Hosts.end(); ++It) {
      if (!Surplus(*It) || It->Pool == *To) {
        continue;
      }
      if (!Balances[It->Pool].Standby && It->Vacant) {
        Donor = It;
        break;
      }
      if (Donor == Hosts.end() ||
          (Balances[It->Pool].Standby && !Balances[Donor->Pool].Standby)) {
        Donor = It;
      }
    }
    if (Donor == Hosts.end()) {
      break;
    }
    --Balances[Donor->Pool].Have;
    ++Balances[*To].Have;
    if (Donor->Vacant) {
      Plan.Moves.push_back({Donor->Name, *To});
    } else {
      Plan.Drains.push_back(Donor->Name);
    }
    Hosts.erase(Donor);
  }
  if (Standby.empty()) {
    return Plan;
  }
  for (auto &[Name, Each] : Balances) {
    Memory &Past = Known[Name];
    if (Each.Standby || Each.Have <= Each.Want) {
      Past.SurplusSince = Now;
      continue;
    }
    if (Past.SurplusSince == Instant()) {
      Past.SurplusSince = Now;
    }
    if (Now - Past.SurplusSince < Settings.IdleTime) {
      continue;
    }
    for (const PoolHost &Host : Hosts) {
      if (Host.Pool == Name && Each.Have > Each.Want && Host.Vacant &&
          Surplus(Host)) {
        --Each.Have;
        Plan.Moves.push_back({Host.Name, Standby});
      }
    }
  }
  return Plan;
}

} // namespace balsamlatch::dispatch
