/// \file
/// High and low demand of the pools, and the moves that follow.

#include "MovePlanner.h"

#include "Operations.h"

#include <algorithm>
#include <fmt/format.h>

namespace balsamlatch::fleet {

namespace {

constexpr Duration BaseDemandDuration = std::chrono::minutes(10);
constexpr double MinDurationFactor = 0.5;
constexpr double MaxDurationFactor = 4;
/// Demand above this share of a pool's slots is high.
constexpr double HighDemandShare = 0.8;
/// Demand below this share of the slots that the pool would have with one host
/// fewer is low.
constexpr double LowDemandShare = 0.6;

/// Hosts of the pool after the current moves, without failed hosts.
std::uint32_t countFutureMembers(const Ledger &CurrentLedger,
                                 const PoolName &Pool) {
  return static_cast<std::uint32_t>(std::count_if(
      CurrentLedger.Hosts.begin(), CurrentLedger.Hosts.end(), [&](auto &Item) {
        const HostRecord &Record = Item.second;
        const bool IsMoving =
            Record.CurrentOperation.Kind == OperationKind::Move &&
            !Record.CurrentOperation.Cancelled;
        return Record.State != HostState::Failed &&
               (IsMoving ? Record.CurrentOperation.Target : Record.Pool) ==
                   Pool;
      }));
}

bool moveInProgress(const Ledger &CurrentLedger) {
  return std::any_of(CurrentLedger.Hosts.begin(), CurrentLedger.Hosts.end(),
                     [](const auto &Item) {
                       return Item.second.CurrentOperation.Kind ==
                                  OperationKind::Move &&
                              Item.second.away() &&
                              Item.second.State != HostState::Failed;
                     });
}

const PoolRule *sparePool(const RuleSet &Rules) {
  for (const auto &[Pool, Rule] : Rules.Pools) {
    if (Rule.Spare) {
      return &Rule;
    }
  }
  return nullptr;
}

bool beginMove(Draft &NextLedger, const MovePlanner::PlanInputs &Inputs,
               const PoolRule &SourceRule, const PoolRule &TargetRule,
               const char *Cause) {
  const RequiredHostCounts NoRequiredHosts;
  for (const auto &[Host, Record] : Ledger(NextLedger.value()).Hosts) {
    if (Record.Pool != SourceRule.Pool ||
        Record.State != HostState::InService) {
      continue;
    }
    Operation Op;
    Op.Kind = OperationKind::Move;
    Op.Id = fmt::format("{}-m{}-{}", Inputs.IdPrefix, NextLedger.baseVersion(),
                        Host.Text);
    Op.Target = TargetRule.Pool;
    Op.Cause = Cause;
    Op.Since = Inputs.Wall;
    if (beginOperation(NextLedger, Inputs.Rules, NoRequiredHosts, Host, Op)
            .ok()) {
      return true;
    }
  }
  return false;
}

} // namespace

Duration requiredDemandDuration(const WeightRule &Weights) {
  const double Ratio =
      static_cast<double>(Weights.Moves) / std::max(Weights.Buffer, 1u);
  const double Factor = std::clamp(Ratio, MinDurationFactor, MaxDurationFactor);
  return std::chrono::duration_cast<Duration>(BaseDemandDuration * Factor);
}

std::uint32_t minPoolHosts(const PoolRule &Pool, const WeightRule &Weights,
                           std::uint32_t RequiredHosts) {
  if (Weights.Moves >= Weights.Buffer) {
    return Pool.Hosts;
  }
  // A pool with one host could never release it for maintenance.
  constexpr std::uint32_t MinHosts = 2;
  return std::clamp(RequiredHosts, std::min(MinHosts, Pool.Hosts),
                    std::max(MinHosts, Pool.Hosts));
}

void MovePlanner::updateDemandState(const Ledger &CurrentLedger,
                                    const PoolRule &Pool,
                                    const PlanInputs &Inputs) {
  DemandState &State = DemandStates[Pool.Pool];
  const std::uint32_t Members = countFutureMembers(CurrentLedger, Pool.Pool);
  const double Slots = Inputs.Demand.lastingSlots(Pool.Pool);
  const RequiredHostCounts RequiredHosts =
      Inputs.Demand.requiredHosts(Inputs.SlotsPerHost);
  const auto RequiredCount = RequiredHosts.find(Pool.Pool);
  const std::uint32_t MinMembers = minPoolHosts(
      Pool, Inputs.Rules.Weights,
      RequiredCount == RequiredHosts.end() ? 0 : RequiredCount->second);
  const double Capacity = static_cast<double>(Members) * Inputs.SlotsPerHost;
  const bool IsHigh =
      Slots > Capacity * HighDemandShare || Members < MinMembers;
  const bool IsLow = Members > MinMembers &&
                     Slots < (Capacity - Inputs.SlotsPerHost) * LowDemandShare;
  const auto UpdateStart = [&](std::optional<Instant> &Start, bool IsActive) {
    if (!IsActive) {
      Start.reset();
    } else if (!Start) {
      Start = Inputs.Now;
    }
  };
  UpdateStart(State.HighSince, IsHigh);
  UpdateStart(State.LowSince, IsLow);
}

void MovePlanner::plan(Draft &NextLedger, const PlanInputs &Inputs) {
  const PoolRule *SpareRule = sparePool(Inputs.Rules);
  if (SpareRule == nullptr || !Inputs.Demand.warmedUp(Inputs.Now)) {
    return;
  }
  const bool MovesBlocked = moveInProgress(NextLedger.value()) ||
                            !NextLedger.value().HaltedBy.empty();
  const Duration RequiredDuration =
      requiredDemandDuration(Inputs.Rules.Weights);
  const auto HasLasted = [&](const std::optional<Instant> &Start) {
    return Start && Inputs.Now - *Start >= RequiredDuration;
  };
  for (const auto &[Name, Pool] : Inputs.Rules.Pools) {
    if (Pool.Spare) {
      continue;
    }
    updateDemandState(NextLedger.value(), Pool, Inputs);
    if (MovesBlocked) {
      continue;
    }
    DemandState &State = DemandStates[Name];
    if (HasLasted(State.HighSince) &&
        beginMove(NextLedger, Inputs, *SpareRule, Pool, "lasting demand")) {
      State.HighSince.reset();
      return;
    }
    if (HasLasted(State.LowSince) &&
        beginMove(NextLedger, Inputs, Pool, *SpareRule, "demand has ended")) {
      State.LowSince.reset();
      return;
    }
  }
}

} // namespace balsamlatch::fleet
