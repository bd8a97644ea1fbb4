/// \file
/// Computes the desired size of each pool and the moves that lead to it.

#include "balsamlatch/Dispatch/PoolPlanner.h"

#include <algorithm>
#include <functional>

namespace balsamlatch::dispatch {

namespace {

unsigned hostsNeeded(std::int64_t Amount, std::int64_t PerHost) {
  return PerHost <= 0 ? 0
                      : static_cast<unsigned>((Amount + PerHost - 1) / PerHost);
}

/// Sorts hosts by how cheap they are to take: vacant ones first, then draining
/// ones, then those with the least claimed CPU.
bool isCheaperToTake(const PoolHost &Left, const PoolHost &Right) {
  if (Left.IsVacant != Right.IsVacant) {
    return Left.IsVacant;
  }
  if (Left.IsDraining != Right.IsDraining) {
    return Left.IsDraining;
  }
  return Left.ClaimedCpuMilli < Right.ClaimedCpuMilli;
}

bool canLeavePool(const PoolHost &Host,
                  const PoolPlanner::Balances &PoolBalances) {
  const auto Source = PoolBalances.find(Host.Pool);
  return Source != PoolBalances.end() && Host.IsMovable &&
         !Host.HasLongRunningTask &&
         (Source->second.Standby ||
          Source->second.HostCount > Source->second.DesiredHosts);
}

/// The pool with the smallest ratio of hosts to desired hosts, or null if none
/// is undersized.
const PoolName *
findMostUndersizedPool(const PoolPlanner::Balances &PoolBalances) {
  const PoolName *MostUndersized = nullptr;
  for (const auto &[Name, PoolEntry] : PoolBalances) {
    if (!PoolEntry.Standby && PoolEntry.HostCount < PoolEntry.DesiredHosts &&
        (MostUndersized == nullptr ||
         PoolEntry.isMoreUndersizedThan(PoolBalances.at(*MostUndersized)))) {
      MostUndersized = &Name;
    }
  }
  return MostUndersized;
}

/// The best host to move to the pool. A vacant host of another pool comes first
/// as it is paid for already, then one from standby, then one that has to
/// drain.
std::vector<PoolHost>::iterator
findDonor(const PoolPlanner::Balances &PoolBalances,
          std::vector<PoolHost> &Hosts, const PoolName &TargetPool) {
  auto BestDonor = Hosts.end();
  int BestCostClass = 3;
  for (auto HostIt = Hosts.begin(); HostIt != Hosts.end(); ++HostIt) {
    if (HostIt->Pool == TargetPool || !canLeavePool(*HostIt, PoolBalances)) {
      continue;
    }
    const bool IsStandby = PoolBalances.at(HostIt->Pool).Standby;
    const int CostClass = IsStandby ? 1 : (HostIt->IsVacant ? 0 : 2);
    if (CostClass < BestCostClass) {
      BestDonor = HostIt;
      BestCostClass = CostClass;
    }
  }
  return BestDonor;
}

void coverShortages(PoolPlanner::Balances &PoolBalances,
                    std::vector<PoolHost> &Hosts, PoolPlan &Plan) {
  while (const PoolName *TargetPool = findMostUndersizedPool(PoolBalances)) {
    const auto Donor = findDonor(PoolBalances, Hosts, *TargetPool);
    if (Donor == Hosts.end()) {
      return;
    }
    --PoolBalances[Donor->Pool].HostCount;
    ++PoolBalances[*TargetPool].HostCount;
    if (Donor->IsVacant) {
      Plan.Moves.push_back({Donor->Name, *TargetPool});
    } else {
      Plan.Drains.push_back({Donor->Name, *TargetPool});
    }
    Hosts.erase(Donor);
  }
}

using Balances = PoolPlanner::Balances;
using HostCountOf = std::function<unsigned(const PoolPlanner::Balance &)>;

/// What the pool desires, up to a number of hosts.
HostCountOf atMost(unsigned HostCount) {
  return [HostCount](const PoolPlanner::Balance &Pool) {
    return std::min(Pool.DesiredHosts, HostCount);
  };
}

/// What its long-running tasks need, and no less than the minimum.
HostCountOf fixedHostsOrAtLeast(unsigned MinHosts) {
  return [MinHosts](const PoolPlanner::Balance &Pool) {
    return std::min(Pool.DesiredHosts, std::max(MinHosts, Pool.FixedHosts));
  };
}

std::uint64_t sumOf(const Balances &PoolBalances, const HostCountOf &CountFor) {
  std::uint64_t Sum = 0;
  for (const auto &[Name, Pool] : PoolBalances) {
    Sum += CountFor(Pool);
  }
  return Sum;
}

/// Gives each pool its floor, and shares the other hosts in proportion to what
/// the pools lack up to their limits. There are enough hosts for the floors,
/// but not for the limits.
void shareHosts(Balances &PoolBalances, std::uint64_t Available,
                const HostCountOf &FloorOf, const HostCountOf &LimitOf) {
  const std::uint64_t Spare = Available - sumOf(PoolBalances, FloorOf);
  const std::uint64_t Lacking =
      sumOf(PoolBalances, LimitOf) - sumOf(PoolBalances, FloorOf);
  std::uint64_t Left = Spare;
  // Pools by what rounding takes from their share.
  std::multimap<std::uint64_t, PoolPlanner::Balance *, std::greater<>> ByRest;
  for (auto &[Name, Pool] : PoolBalances) {
    const std::uint64_t Floor = FloorOf(Pool);
    const std::uint64_t Share = (LimitOf(Pool) - Floor) * Spare;
    ByRest.emplace(Share % Lacking, &Pool);
    Pool.DesiredHosts = static_cast<unsigned>(Floor + Share / Lacking);
    Left -= Share / Lacking;
  }
  for (const auto &[Rest, Pool] : ByRest) {
    if (Left == 0 || Rest == 0) {
      return;
    }
    ++Pool->DesiredHosts;
    --Left;
  }
}

/// Fewer hosts than pools: those with work come first.
void shareAmongPoolsWithWork(Balances &PoolBalances, std::uint64_t Available) {
  const HostCountOf OneForWork = [](const PoolPlanner::Balance &Pool) {
    return Pool.HasWork ? std::min(Pool.DesiredHosts, 1U) : 0U;
  };
  if (sumOf(PoolBalances, OneForWork) <= Available) {
    shareHosts(PoolBalances, Available, OneForWork, atMost(1));
  } else {
    shareHosts(PoolBalances, Available, atMost(0), OneForWork);
  }
}

/// Shares the hosts if the pools desire more than there are. Without it, a pool
/// whose demand came first keeps its hosts while work for later ones piles up.
/// A pool keeps a host if there are enough for all, even beside long-running
/// tasks that lack one: a host that takes those doesn't come back when work for
/// the pool arrives.
void limitToFairShares(Balances &PoolBalances, unsigned MinHosts) {
  const HostCountOf AllDesired = atMost(std::numeric_limits<unsigned>::max());
  const HostCountOf FixedOrOne = fixedHostsOrAtLeast(1);
  const std::uint64_t Available =
      sumOf(PoolBalances, [](const auto &Pool) { return Pool.HostCount; });
  if (sumOf(PoolBalances, AllDesired) <= Available) {
    return;
  }
  if (sumOf(PoolBalances, fixedHostsOrAtLeast(MinHosts)) < Available) {
    shareHosts(PoolBalances, Available, fixedHostsOrAtLeast(MinHosts),
               AllDesired);
  } else if (sumOf(PoolBalances, FixedOrOne) <= Available) {
    shareHosts(PoolBalances, Available, FixedOrOne, AllDesired);
  } else if (sumOf(PoolBalances, atMost(1)) <= Available) {
    shareHosts(PoolBalances, Available, atMost(1), FixedOrOne);
  } else {
    shareAmongPoolsWithWork(PoolBalances, Available);
  }
}

Resources meanCapacity(const std::vector<PoolHost> &Hosts) {
  Resources Sum;
  for (const PoolHost &Host : Hosts) {
    Sum += Host.Capacity;
  }
  const auto Count =
      static_cast<std::int64_t>(std::max<std::size_t>(1, Hosts.size()));
  return {Sum.CpuMilli / Count, Sum.MemoryMb / Count, Sum.Gpus / Count};
}

} // namespace

void PoolPlanner::reset() { HistoryByPool.clear(); }

unsigned PoolPlanner::neededHosts(Instant Now, const PoolName &Pool,
                                  const PoolDemand &Demand,
                                  const Resources &HostCapacity) {
  const auto WithHeadroom = [this](std::int64_t Amount) {
    return Amount * (100 + Settings.HeadroomPercent) / 100;
  };
  const unsigned BatchHosts =
      std::max(hostsNeeded(WithHeadroom(Demand.BatchResources.CpuMilli),
                           HostCapacity.CpuMilli),
               hostsNeeded(WithHeadroom(Demand.BatchResources.MemoryMb),
                           HostCapacity.MemoryMb));
  // Tasks that claim nothing need a host all the same.
  const unsigned MinHosts =
      std::max({Demand.LongRunningHosts, Demand.HostsForUnplaced,
                Demand == PoolDemand() ? 0U : 1U});
  std::map<Instant, unsigned> &RecentDemand = HistoryByPool[Pool].RecentDemand;
  RecentDemand.erase(RecentDemand.begin(), RecentDemand.lower_bound(Now));
  RecentDemand[Now + Settings.DemandWindow] = std::max(BatchHosts, MinHosts);
  unsigned PeakHosts = 0;
  for (const auto &[ValidUntil, HostCount] : RecentDemand) {
    PeakHosts = std::max(PeakHosts, HostCount);
  }
  return PeakHosts;
}

PoolPlan PoolPlanner::plan(Instant Now, const std::vector<Pool> &Pools,
                           const std::map<PoolName, PoolDemand> &Demand,
                           std::vector<PoolHost> Hosts) {
  Balances PoolBalances;
  PoolName StandbyPool;
  const Resources HostCapacity = meanCapacity(Hosts);
  for (const Pool &PoolEntry : Pools) {
    Balance &PoolBalance = PoolBalances[PoolEntry.Name];
    PoolBalance.Standby = PoolEntry.Standby;
    if (PoolEntry.Standby) {
      StandbyPool = PoolEntry.Name;
      continue;
    }
    const auto It = Demand.find(PoolEntry.Name);
    const PoolDemand NoDemand;
    const PoolDemand &OwnDemand = It == Demand.end() ? NoDemand : It->second;
    const unsigned NeededHosts =
        neededHosts(Now, PoolEntry.Name, OwnDemand, HostCapacity);
    PoolBalance.HasWork = NeededHosts > 0;
    PoolBalance.DesiredHosts = std::max(NeededHosts, Settings.MinHosts);
    PoolBalance.FixedHosts = OwnDemand.LongRunningHosts;
  }
  for (const PoolHost &Host : Hosts) {
    const auto It = PoolBalances.find(Host.Pool);
    if (It != PoolBalances.end()) {
      ++It->second.HostCount;
    }
  }
  std::sort(Hosts.begin(), Hosts.end(), isCheaperToTake);
  PoolPlan Plan;
  limitToFairShares(PoolBalances, Settings.MinHosts);
  Plan.Sizes = PoolBalances;
  coverShortages(PoolBalances, Hosts, Plan);
  if (!StandbyPool.empty()) {
    releaseSurplus(Now, StandbyPool, PoolBalances, Hosts, Plan);
  }
  return Plan;
}

void PoolPlanner::releaseSurplus(Instant Now, const PoolName &StandbyPool,
                                 Balances &PoolBalances,
                                 const std::vector<PoolHost> &Hosts,
                                 PoolPlan &Plan) {
  for (auto &[Name, PoolEntry] : PoolBalances) {
    PoolHistory &History = HistoryByPool[Name];
    if (PoolEntry.Standby || PoolEntry.HostCount <= PoolEntry.DesiredHosts ||
        History.SurplusSince == Instant()) {
      History.SurplusSince = Now;
      continue;
    }
    if (Now - History.SurplusSince < Settings.SurplusDelay) {
      continue;
    }
    for (const PoolHost &Host : Hosts) {
      if (Host.Pool == Name && Host.IsVacant &&
          canLeavePool(Host, PoolBalances)) {
        --PoolEntry.HostCount;
        Plan.Moves.push_back({Host.Name, StandbyPool});
      }
    }
  }
}

} // namespace balsamlatch::dispatch
