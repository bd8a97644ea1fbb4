/// \file
/// Moves for lasting demand.

#include "MovePlanner.h"

#include "Operations.h"

#include <algorithm>
#include <fmt/format.h>

namespace balsamlatch::fleet {

namespace {

constexpr Duration BaseHold = std::chrono::minutes(10);
constexpr double LeastHoldFactor = 0.5;
constexpr double MostHoldFactor = 4;
/// Share of a pool's slots that lasting demand may take before it is high.
constexpr double HighShare = 0.8;
/// Share of the slots of one host less below which it is low.
constexpr double LowShare = 0.6;

/// Hosts of the pool once the moves in hand are done, lost ones left out.
std::uint32_t futureMembers(const Ledger &Value, const PoolName &Pool) {
  return static_cast<std::uint32_t>(
      std::count_if(Value.Hosts.begin(), Value.Hosts.end(), [&](auto &Item) {
        const HostRecord &Record = Item.second;
        const bool Moves = Record.InHand.Kind == OperationKind::Move &&
                           !Record.InHand.Cancelled;
        return Record.State != HostState::Failed &&
               (Moves ? Record.InHand.Target : Record.Pool) == Pool;
      }));
}

bool moveInHand(const Ledger &Value) {
  return std::any_of(
      Value.Hosts.begin(), Value.Hosts.end(), [](const auto &Item) {
        return Item.second.InHand.Kind == OperationKind::Move &&
               Item.second.away() && Item.second.State != HostState::Failed;
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

bool beginMove(Draft &Next, const MovePlanner::Surroundings &Around,
               const PoolRule &From, const PoolRule &To, const char *Why) {
  const HostsNeeded None;
  for (const auto &[Host, Record] : Ledger(Next.value()).Hosts) {
    if (Record.Pool != From.Pool || Record.State != HostState::InService) {
      continue;
    }
    Operation Hand;
    Hand.Kind = OperationKind::Move;
    Hand.Id =
        fmt::format("{}-m{}-{}", Around.Prefix, Next.baseVersion(), Host.Text);
    Hand.Target = To.Pool;
    Hand.Cause = Why;
    Hand.Since = Around.Wall;
    if (beginOperation(Next, Around.Rules, None, Host, Hand).ok()) {
      return true;
    }
  }
  return false;
}

} // namespace

Duration moveHold(const WeightRule &Weights) {
  const double Ratio =
      static_cast<double>(Weights.Moves) / std::max(Weights.Buffer, 1u);
  const double Factor = std::clamp(Ratio, LeastHoldFactor, MostHoldFactor);
  return std::chrono::duration_cast<Duration>(BaseHold * Factor);
}

std::uint32_t moveFloor(const PoolRule &Pool, const WeightRule &Weights,
                        std::uint32_t NeededHosts) {
  if (Weights.Moves >= Weights.Buffer) {
    return Pool.Hosts;
  }
  // A pool of one host could never let it be maintained.
  constexpr std::uint32_t LeastHosts = 2;
  return std::clamp(NeededHosts, std::min(LeastHosts, Pool.Hosts),
                    std::max(LeastHosts, Pool.Hosts));
}

void MovePlanner::follow(const Ledger &Value, const PoolRule &Pool,
                         const Surroundings &Around) {
  Watch &Seen = Watches[Pool.Pool];
  const std::uint32_t Members = futureMembers(Value, Pool.Pool);
  const double Slots = Around.Demand.lastingSlots(Pool.Pool);
  const HostsNeeded Needed = Around.Demand.hostsNeeded(Around.SlotsPerHost);
  const auto Need = Needed.find(Pool.Pool);
  const std::uint32_t Floor = moveFloor(
      Pool, Around.Rules.Weights, Need == Needed.end() ? 0 : Need->second);
  const double Capacity = static_cast<double>(Members) * Around.SlotsPerHost;
  const bool High = Slots > Capacity * HighShare || Members < Floor;
  const bool Low =
      Members > Floor && Slots < (Capacity - Around.SlotsPerHost) * LowShare;
  const auto Mark = [&](std::optional<Instant> &Since, bool Holds) {
    if (!Holds) {
      Since.reset();
    } else if (!Since) {
      Since = Around.Now;
    }
  };
  Mark(Seen.HighSince, High);
  Mark(Seen.LowSince, Low);
}

void MovePlanner::plan(Draft &Next, const Surroundings &Around) {
  const PoolRule *Spare = sparePool(Around.Rules);
  if (Spare == nullptr || !Around.Demand.warm(Around.Now)) {
    return;
  }
  const bool Busy = moveInHand(Next.value()) || !Next.value().HaltedBy.empty();
  const Duration Hold = moveHold(Around.Rules.Weights);
  const auto Held = [&](const std::optional<Instant> &Since) {
    return Since && Around.Now - *Since >= Hold;
  };
  for (const auto &[Name, Pool] : Around.Rules.Pools) {
    if (Pool.Spare) {
      continue;
    }
    follow(Next.value(), Pool, Around);
    if (Busy) {
      continue;
    }
    Watch &Seen = Watches[Name];
    if (Held(Seen.HighSince) &&
        beginMove(Next, Around, *Spare, Pool, "lasting demand")) {
      Seen.HighSince.reset();
      return;
    }
    if (Held(Seen.LowSince) &&
        beginMove(Next, Around, Pool, *Spare, "demand has ended")) {
      Seen.LowSince.reset();
      return;
    }
  }
}

} // namespace balsamlatch::fleet
