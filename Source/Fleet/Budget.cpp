/// \file
/// Counts of hosts out of service, and the checks against the budgets.

#include "balsamlatch/Fleet/Budget.h"

#include <fmt/format.h>

namespace balsamlatch::fleet {

namespace {

template <typename Key, typename Value>
Value findOrDefault(const std::map<Key, Value> &Items, const Key &SearchKey) {
  const auto Position = Items.find(SearchKey);
  return Position == Items.end() ? Value() : Position->second;
}

std::string budgetText(const std::string &Group, const AwayCount &Count,
                       std::uint32_t Allowed) {
  return fmt::format("{} has {} of {} hosts away and may have {}", Group,
                     Count.Away, Count.Members, Allowed);
}

void checkPoolBudget(const AwayCounts &Counts, const PoolRule &Rule,
                     std::vector<Blocker> &Blockers) {
  const AwayCount Count = Counts.pool(Rule.Pool);
  const std::uint32_t Allowed = Rule.Away.allowed(Count.Members);
  if (Count.Away + 1 > Allowed) {
    Blockers.push_back({"budget-pool", Rule.Origin.Line,
                        budgetText("pool " + Rule.Pool.Text, Count, Allowed)});
  }
}

void checkDomainBudgets(const AwayCounts &Counts, const RuleSet &Rules,
                        const HostRecord &Record,
                        std::vector<Blocker> &Blockers) {
  for (const DomainRule &Rule : Rules.Domains) {
    const bool IsRack = Rule.Kind == DomainKind::Rack;
    const AwayCount Count = IsRack ? Counts.rack(Record.Rack)
                                   : Counts.dataCentre(Record.DataCentre);
    const std::uint32_t Allowed = Rule.Away.allowed(Count.Members);
    if (Count.Away + 1 > Allowed) {
      const std::string Group = IsRack
                                    ? "rack " + Record.Rack.Text
                                    : "data centre " + Record.DataCentre.Text;
      Blockers.push_back({IsRack ? "budget-rack" : "budget-data-centre",
                          Rule.Origin.Line, budgetText(Group, Count, Allowed)});
    }
  }
}

void checkExpectedDemand(const AwayCounts &Counts, const PoolRule &Rule,
                         const RequiredHostCounts &RequiredHosts,
                         std::vector<Blocker> &Blockers) {
  const auto RequiredCount = RequiredHosts.find(Rule.Pool);
  if (RequiredCount == RequiredHosts.end()) {
    return;
  }
  const std::uint32_t Accepting = Counts.accepting(Rule.Pool);
  if (Accepting < RequiredCount->second + 1) {
    Blockers.push_back(
        {"forecast-demand", 0,
         fmt::format("pool {} has {} accepting hosts and needs {}",
                     Rule.Pool.Text, Accepting, RequiredCount->second)});
  }
}

} // namespace

AwayCounts::AwayCounts(const Ledger &CurrentLedger) {
  for (const auto &[Host, Record] : CurrentLedger.Hosts) {
    add(Record);
  }
}

AwayCount AwayCounts::pool(const PoolName &Pool) const {
  return findOrDefault(Pools, Pool);
}

AwayCount AwayCounts::rack(const RackName &Rack) const {
  return findOrDefault(Racks, Rack);
}

AwayCount AwayCounts::dataCentre(const DataCentreName &DataCentre) const {
  return findOrDefault(DataCentres, DataCentre);
}

std::uint32_t AwayCounts::accepting(const PoolName &Pool) const {
  return findOrDefault(Accepting, Pool);
}

void AwayCounts::add(const HostRecord &Record) { adjust(Record, 1); }

void AwayCounts::remove(const HostRecord &Record) {
  // Unsigned arithmetic wraps: adding the maximum subtracts one.
  adjust(Record, ~std::uint32_t(0));
}

void AwayCounts::adjust(const HostRecord &Record, std::uint32_t Increment) {
  const std::uint32_t AwayIncrement = Record.away() ? Increment : 0;
  Pools[Record.Pool].Members += Increment;
  Pools[Record.Pool].Away += AwayIncrement;
  Accepting[Record.Pool] += Increment - AwayIncrement;
  Racks[Record.Rack].Members += Increment;
  Racks[Record.Rack].Away += AwayIncrement;
  DataCentres[Record.DataCentre].Members += Increment;
  DataCentres[Record.DataCentre].Away += AwayIncrement;
}

std::vector<Blocker> absenceBlockers(const AwayCounts &Counts,
                                     const RuleSet &Rules,
                                     const HostRecord &Record,
                                     const RequiredHostCounts &RequiredHosts) {
  std::vector<Blocker> Blockers;
  if (Record.away()) {
    return Blockers;
  }
  const PoolRule *Rule = Rules.pool(Record.Pool);
  if (Rule == nullptr) {
    return {{"pool-unknown", 0, "no rule for pool " + Record.Pool.Text}};
  }
  checkPoolBudget(Counts, *Rule, Blockers);
  checkDomainBudgets(Counts, Rules, Record, Blockers);
  checkExpectedDemand(Counts, *Rule, RequiredHosts, Blockers);
  return Blockers;
}

std::vector<Blocker> absenceBlockers(const Ledger &CurrentLedger,
                                     const RuleSet &Rules, const HostName &Host,
                                     const RequiredHostCounts &RequiredHosts) {
  const auto Record = CurrentLedger.Hosts.find(Host);
  if (Record == CurrentLedger.Hosts.end()) {
    return {{"host-unknown", 0, "the ledger has no host " + Host.Text}};
  }
  return absenceBlockers(AwayCounts(CurrentLedger), Rules, Record->second,
                         RequiredHosts);
}

} // namespace balsamlatch::fleet
