/// \file
/// Detection of lost hosts, and the choice of their replacements.

#include "Recovery.h"

#include "Operations.h"

#include <algorithm>
#include <fmt/format.h>

namespace balsamlatch::fleet {

namespace {

const PoolRule *sparePool(const RuleSet &Rules) {
  const auto Position =
      std::find_if(Rules.Pools.begin(), Rules.Pools.end(),
                   [](const auto &Item) { return Item.second.Spare; });
  return Position == Rules.Pools.end() ? nullptr : &Position->second;
}

/// Accepting hosts of the pool plus hosts that are moving to it.
std::uint32_t countPresentHosts(const Ledger &CurrentLedger,
                                const PoolName &Pool) {
  return static_cast<std::uint32_t>(std::count_if(
      CurrentLedger.Hosts.begin(), CurrentLedger.Hosts.end(), [&](auto &Item) {
        const HostRecord &Record = Item.second;
        const bool IsArriving =
            Record.CurrentOperation.Kind == OperationKind::Move &&
            Record.CurrentOperation.Target == Pool &&
            !Record.CurrentOperation.Cancelled;
        return IsArriving || (Record.Pool == Pool && Record.accepting());
      }));
}

bool hasReplacement(const Ledger &CurrentLedger, const HostName &LostHost) {
  return std::any_of(CurrentLedger.Hosts.begin(), CurrentLedger.Hosts.end(),
                     [&](const auto &Item) {
                       return Item.second.CurrentOperation.Replaces == LostHost;
                     });
}

/// A spare host that may leave now, preferably from the rack with the fewest
/// hosts away.
std::optional<HostName>
selectSpareHost(const Ledger &CurrentLedger, const RuleSet &Rules,
                const PoolName &SparePool,
                const RequiredHostCounts &RequiredHosts) {
  const AwayCounts Counts(CurrentLedger);
  std::optional<HostName> BestHost;
  std::uint32_t BestAwayInRack = 0;
  for (const auto &[Host, Record] : CurrentLedger.Hosts) {
    if (Record.Pool != SparePool || Record.State != HostState::InService ||
        !absenceBlockers(Counts, Rules, Record, RequiredHosts).empty()) {
      continue;
    }
    const std::uint32_t AwayInRack = Counts.rack(Record.Rack).Away;
    if (!BestHost || AwayInRack < BestAwayInRack) {
      BestHost = Host;
      BestAwayInRack = AwayInRack;
    }
  }
  return BestHost;
}

} // namespace

Blocker recordLostHosts(Draft &NextLedger, FleetObservations &Observations,
                        Instant Now) {
  std::vector<HostName> UnresponsiveHosts;
  for (const auto &[Host, Record] : NextLedger.value().Hosts) {
    const bool IsExpectedDown = Record.State == HostState::InMaintenance ||
                                Record.State == HostState::Failed;
    if (!IsExpectedDown && Observations.unresponsive(Host, Now)) {
      UnresponsiveHosts.push_back(Host);
    }
  }
  if (UnresponsiveHosts.empty()) {
    return {};
  }
  if (!Observations.reportsFromMajority(NextLedger.value(), Now)) {
    return {"reports-missing", 0,
            fmt::format("{} hosts are silent here, most of the fleet: this "
                        "controller may be cut off",
                        UnresponsiveHosts.size())};
  }
  for (const HostName &Host : UnresponsiveHosts) {
    recordHostLoss(NextLedger, Host, "its worker does not report");
  }
  return {};
}

void replaceLostHosts(Draft &NextLedger, FleetObservations &Observations,
                      const RuleSet &Rules,
                      const RequiredHostCounts &RequiredHosts, Instant Now,
                      WallTime Wall, const std::string &IdPrefix) {
  const PoolRule *SpareRule = sparePool(Rules);
  if (SpareRule == nullptr || !NextLedger.value().HaltedBy.empty()) {
    return;
  }
  std::vector<HostName> LostHosts;
  for (const auto &[Host, Record] : NextLedger.value().Hosts) {
    // A host that an owner holds drained is left to the owner to replace.
    if (Record.State == HostState::Failed && Record.Pool != SpareRule->Pool &&
        Record.CurrentOperation.Kind != OperationKind::Drain &&
        Now - Observations.host(Host).StateSince >= ReplacementDelay) {
      LostHosts.push_back(Host);
    }
  }
  for (const HostName &Host : LostHosts) {
    const PoolName Pool = NextLedger.find(Host)->Pool;
    const PoolRule *Rule = Rules.pool(Pool);
    if (Rule == nullptr ||
        countPresentHosts(NextLedger.value(), Pool) >= Rule->Hosts ||
        hasReplacement(NextLedger.value(), Host)) {
      continue;
    }
    const std::optional<HostName> SpareHost = selectSpareHost(
        NextLedger.value(), Rules, SpareRule->Pool, RequiredHosts);
    if (!SpareHost) {
      return;
    }
    Operation Op;
    Op.Kind = OperationKind::Move;
    Op.Id = fmt::format("{}-r{}-{}", IdPrefix, NextLedger.baseVersion(),
                        SpareHost->Text);
    Op.Target = Pool;
    Op.Cause = fmt::format("rule line {}", Rule->Origin.Line);
    Op.Since = Wall;
    Op.Replaces = Host;
    // selectSpareHost has excluded every blocker except a change in this draft.
    if (!beginOperation(NextLedger, Rules, RequiredHosts, *SpareHost, Op)
             .ok()) {
      return;
    }
  }
}

} // namespace balsamlatch::fleet
