/// \file
/// Losses and replacements.

#include "Recovery.h"

#include "Operations.h"

#include <algorithm>
#include <fmt/format.h>

namespace balsamlatch::fleet {

namespace {

const PoolRule *sparePool(const RuleSet &Rules) {
  const auto Found =
      std::find_if(Rules.Pools.begin(), Rules.Pools.end(),
                   [](const auto &Item) { return Item.second.Spare; });
  return Found == Rules.Pools.end() ? nullptr : &Found->second;
}

/// Accepting hosts of the pool and those on their way to it.
std::uint32_t present(const Ledger &Value, const PoolName &Pool) {
  return static_cast<std::uint32_t>(
      std::count_if(Value.Hosts.begin(), Value.Hosts.end(), [&](auto &Item) {
        const HostRecord &Record = Item.second;
        const bool Arrives = Record.InHand.Kind == OperationKind::Move &&
                             Record.InHand.Target == Pool &&
                             !Record.InHand.Cancelled;
        return Arrives || (Record.Pool == Pool && Record.accepting());
      }));
}

bool replacementBegun(const Ledger &Value, const HostName &Lost) {
  return std::any_of(
      Value.Hosts.begin(), Value.Hosts.end(),
      [&](const auto &Item) { return Item.second.InHand.Replaces == Lost; });
}

/// A spare host that may leave now, by preference outside the racks that have
/// a loss.
std::optional<HostName> freeSpare(const Ledger &Value, const RuleSet &Rules,
                                  const PoolName &Spare,
                                  const HostsNeeded &Needed) {
  const AwayCounts Counts(Value);
  std::optional<HostName> Best;
  std::uint32_t BestAway = 0;
  for (const auto &[Host, Record] : Value.Hosts) {
    if (Record.Pool != Spare || Record.State != HostState::InService ||
        !mayGoAway(Counts, Rules, Record, Needed).empty()) {
      continue;
    }
    const std::uint32_t Away = Counts.rack(Record.Rack).Away;
    if (!Best || Away < BestAway) {
      Best = Host;
      BestAway = Away;
    }
  }
  return Best;
}

} // namespace

Hindrance recordLosses(Draft &Next, Facts &Observed, Instant Now) {
  std::vector<HostName> Silent;
  for (const auto &[Host, Record] : Next.value().Hosts) {
    const bool MayBeSilent = Record.State == HostState::InMaintenance ||
                             Record.State == HostState::Failed;
    if (!MayBeSilent && Observed.silent(Host, Now)) {
      Silent.push_back(Host);
    }
  }
  if (Silent.empty()) {
    return {};
  }
  if (!Observed.seesMost(Next.value(), Now)) {
    return {"reports-missing", 0,
            fmt::format("{} hosts are silent here, most of the fleet: this "
                        "controller may be cut off",
                        Silent.size())};
  }
  for (const HostName &Host : Silent) {
    failHost(Next, Host, "its worker does not report");
  }
  return {};
}

void replaceLost(Draft &Next, Facts &Observed, const RuleSet &Rules,
                 const HostsNeeded &Needed, Instant Now, WallTime Wall,
                 const std::string &Prefix) {
  const PoolRule *Spare = sparePool(Rules);
  if (Spare == nullptr || !Next.value().HaltedBy.empty()) {
    return;
  }
  std::vector<HostName> Lost;
  for (const auto &[Host, Record] : Next.value().Hosts) {
    // A host that an owner holds is the owner's to replace.
    if (Record.State == HostState::Failed && Record.Pool != Spare->Pool &&
        Record.InHand.Kind != OperationKind::Drain &&
        Now - Observed.host(Host).StateSince >= ReplaceAfter) {
      Lost.push_back(Host);
    }
  }
  for (const HostName &Host : Lost) {
    const PoolName Pool = Next.find(Host)->Pool;
    const PoolRule *Rule = Rules.pool(Pool);
    if (Rule == nullptr || present(Next.value(), Pool) >= Rule->Hosts ||
        replacementBegun(Next.value(), Host)) {
      continue;
    }
    const std::optional<HostName> Free =
        freeSpare(Next.value(), Rules, Spare->Pool, Needed);
    if (!Free) {
      return;
    }
    Operation Hand;
    Hand.Kind = OperationKind::Move;
    Hand.Id = fmt::format("{}-r{}-{}", Prefix, Next.baseVersion(), Free->Text);
    Hand.Target = Pool;
    Hand.Cause = fmt::format("rule line {}", Rule->Origin.Line);
    Hand.Since = Wall;
    Hand.Replaces = Host;
    // Refused only for a reason that freeSpare has excluded.
    if (!beginOperation(Next, Rules, Needed, *Free, Hand).ok()) {
      return;
    }
  }
}

} // namespace balsamlatch::fleet
