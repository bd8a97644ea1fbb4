/// \file
/// Sizes of pools and moves between them.

#include "balsamlatch/Dispatch/PoolPlanner.h"

#include <algorithm>

namespace balsamlatch::dispatch {

namespace {

unsigned hostsFor(std::int64_t Amount, std::int64_t OfEach) {
  return OfEach <= 0 ? 0
                     : static_cast<unsigned>((Amount + OfEach - 1) / OfEach);
}

/// Orders hosts that are easier to take away first: those that are vacant,
/// then those with little to lose.
bool easierToTake(const PoolHost &A, const PoolHost &B) {
  if (A.Vacant != B.Vacant) {
    return A.Vacant;
  }
  if (A.Draining != B.Draining) {
    return A.Draining;
  }
  return A.UsedCpuMilli < B.UsedCpuMilli;
}

bool mayLeave(const PoolHost &Host, const PoolPlanner::Balances &All) {
  const auto From = All.find(Host.Pool);
  return From != All.end() && Host.Movable && !Host.Lasting &&
         (From->second.Standby || From->second.Have > From->second.Want);
}

/// The pool that lacks most in relation to what it wants, or null.
const PoolName *shortestPool(const PoolPlanner::Balances &All) {
  const PoolName *Worst = nullptr;
  for (const auto &[Name, Each] : All) {
    if (!Each.Standby && Each.Have < Each.Want &&
        (Worst == nullptr || Each.shorter(All.at(*Worst)))) {
      Worst = &Name;
    }
  }
  return Worst;
}

/// A host to take for the pool: a vacant one that is paid for, then one from
/// standby, then one that has to drain first.
std::vector<PoolHost>::iterator findDonor(const PoolPlanner::Balances &All,
                                          std::vector<PoolHost> &Hosts,
                                          const PoolName &To) {
  auto Best = Hosts.end();
  int BestClass = 3;
  for (auto It = Hosts.begin(); It != Hosts.end(); ++It) {
    if (It->Pool == To || !mayLeave(*It, All)) {
      continue;
    }
    const bool Standby = All.at(It->Pool).Standby;
    const int Class = Standby ? 1 : (It->Vacant ? 0 : 2);
    if (Class < BestClass) {
      Best = It;
      BestClass = Class;
    }
  }
  return Best;
}

void coverShortages(PoolPlanner::Balances &All, std::vector<PoolHost> &Hosts,
                    PoolPlan &Plan) {
  while (const PoolName *To = shortestPool(All)) {
    const auto Donor = findDonor(All, Hosts, *To);
    if (Donor == Hosts.end()) {
      return;
    }
    --All[Donor->Pool].Have;
    ++All[*To].Have;
    if (Donor->Vacant) {
      Plan.Moves.push_back({Donor->Name, *To});
    } else {
      Plan.Drains.push_back(Donor->Name);
    }
    Hosts.erase(Donor);
  }
}

Resources usualCapacity(const std::vector<PoolHost> &Hosts) {
  Resources Sum;
  for (const PoolHost &Each : Hosts) {
    Sum += Each.Capacity;
  }
  const auto Count =
      static_cast<std::int64_t>(std::max<std::size_t>(1, Hosts.size()));
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
      std::max({Demand.LastingHosts, Demand.HostsLacking, Settings.LeastHosts});
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
  Balances All;
  PoolName Standby;
  const Resources Usual = usualCapacity(Hosts);
  for (const Pool &Each : Pools) {
    Balance &New = All[Each.Name];
    New.Standby = Each.Standby;
    if (Each.Standby) {
      Standby = Each.Name;
      continue;
    }
    const auto Found = Demand.find(Each.Name);
    New.Want =
        wanted(Now, Each.Name,
               Found == Demand.end() ? PoolDemand() : Found->second, Usual);
  }
  for (const PoolHost &Each : Hosts) {
    const auto Found = All.find(Each.Pool);
    if (Found != All.end()) {
      ++Found->second.Have;
    }
  }
  std::sort(Hosts.begin(), Hosts.end(), easierToTake);
  PoolPlan Plan;
  coverShortages(All, Hosts, Plan);
  if (!Standby.empty()) {
    giveBack(Now, Standby, All, Hosts, Plan);
  }
  return Plan;
}

void PoolPlanner::giveBack(Instant Now, const PoolName &Standby, Balances &All,
                           const std::vector<PoolHost> &Hosts, PoolPlan &Plan) {
  for (auto &[Name, Each] : All) {
    Memory &Past = Known[Name];
    if (Each.Standby || Each.Have <= Each.Want ||
        Past.SurplusSince == Instant()) {
      Past.SurplusSince = Now;
      continue;
    }
    if (Now - Past.SurplusSince < Settings.IdleTime) {
      continue;
    }
    for (const PoolHost &Host : Hosts) {
      if (Host.Pool == Name && Host.Vacant && mayLeave(Host, All)) {
        --Each.Have;
        Plan.Moves.push_back({Host.Name, Standby});
      }
    }
  }
}

} // namespace balsamlatch::dispatch
