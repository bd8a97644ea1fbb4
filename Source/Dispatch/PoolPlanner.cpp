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

/// Hosts that the pool keeps when the hosts are shared.
unsigned reservedHosts(const PoolPlanner::Balance &Pool, unsigned MinHosts) {
  return std::min(Pool.DesiredHosts, std::max(MinHosts, Pool.FixedHosts));
}

std::uint64_t sumOfReservedHosts(const PoolPlanner::Balances &PoolBalances,
                                 unsigned MinHosts) {
  std::uint64_t Sum = 0;
  for (const auto &[Name, Pool] : PoolBalances) {
    Sum += reservedHosts(Pool, MinHosts);
  }
  return Sum;
}

/// Shares the hosts in proportion to what the pools desire if they desire more
/// than there are. Without it, a pool whose demand came first keeps its hosts
/// while work for later ones piles up.
void limitToFairShares(PoolPlanner::Balances &PoolBalances, unsigned MinHosts) {
  std::uint64_t Available = 0;
  std::uint64_t Desired = 0;
  for (const auto &[Name, Pool] : PoolBalances) {
    Available += Pool.HostCount;
    Desired += Pool.DesiredHosts;
  }
  if (Desired <= Available) {
    return;
  }
  if (sumOfReservedHosts(PoolBalances, MinHosts) >= Available) {
    MinHosts = 0; // pools may be without a host
  }
  const std::uint64_t Reserved = sumOfReservedHosts(PoolBalances, MinHosts);
  if (Reserved >= Available) {
    return;
  }
  std::uint64_t Left = Available - Reserved;
  // Pools by what rounding takes from their share.
  std::multimap<std::uint64_t, PoolPlanner::Balance *, std::greater<>> ByRest;
  for (auto &[Name, Pool] : PoolBalances) {
    const std::uint64_t Floor = reservedHosts(Pool, MinHosts);
    const std::uint64_t Share =
        (Pool.DesiredHosts - Floor) * (Available - Reserved);
    const std::uint64_t Whole = Share / (Desired - Reserved);
    ByRest.emplace(Share % (Desired - Reserved), &Pool);
    Pool.DesiredHosts = static_cast<unsigned>(Floor + Whole);
    Left -= Whole;
  }
  for (const auto &[Rest, Pool] : ByRest) {
    if (Left == 0 || Rest == 0) {
      return;
    }
    ++Pool->DesiredHosts;
    --Left;
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

unsigned PoolPlanner::desiredHosts(Instant Now, const PoolName &Pool,
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
  const unsigned MinHosts = std::max(
      {Demand.LongRunningHosts, Demand.HostsForUnplaced, Settings.MinHosts});
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
    PoolBalance.DesiredHosts =
        desiredHosts(Now, PoolEntry.Name, OwnDemand, HostCapacity);
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
