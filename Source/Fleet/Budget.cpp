/// \file
/// Counts of hosts away and the checks against the budgets.

#include "balsamlatch/Fleet/Budget.h"

#include <fmt/format.h>

namespace balsamlatch::fleet {

namespace {

template <typename Key, typename Value>
Value valueOf(const std::map<Key, Value> &All, const Key &Of) {
  const auto Found = All.find(Of);
  return Found == All.end() ? Value() : Found->second;
}

std::string overBudget(const std::string &Group, const AwayCount &Count,
                       std::uint32_t Allowed) {
  return fmt::format("{} has {} of {} hosts away and may have {}", Group,
                     Count.Away, Count.Members, Allowed);
}

void checkPool(const AwayCounts &Counts, const PoolRule &Rule,
               std::vector<Hindrance> &Found) {
  const AwayCount Count = Counts.pool(Rule.Pool);
  const std::uint32_t Allowed = Rule.Away.allowed(Count.Members);
  if (Count.Away + 1 > Allowed) {
    Found.push_back({"budget-pool", Rule.Origin.Line,
                     overBudget("pool " + Rule.Pool.Text, Count, Allowed)});
  }
}

void checkDomains(const AwayCounts &Counts, const RuleSet &Rules,
                  const HostRecord &Record, std::vector<Hindrance> &Found) {
  for (const DomainRule &Rule : Rules.Domains) {
    const bool Rack = Rule.Kind == DomainKind::Rack;
    const AwayCount Count =
        Rack ? Counts.rack(Record.Rack) : Counts.dataCentre(Record.DataCentre);
    const std::uint32_t Allowed = Rule.Away.allowed(Count.Members);
    if (Count.Away + 1 > Allowed) {
      const std::string Group = Rack ? "rack " + Record.Rack.Text
                                     : "data centre " + Record.DataCentre.Text;
      Found.push_back({Rack ? "budget-rack" : "budget-data-centre",
                       Rule.Origin.Line, overBudget(Group, Count, Allowed)});
    }
  }
}

void checkDemand(const AwayCounts &Counts, const PoolRule &Rule,
                 const HostsNeeded &Needed, std::vector<Hindrance> &Found) {
  const auto Need = Needed.find(Rule.Pool);
  if (Need == Needed.end()) {
    return;
  }
  const std::uint32_t Accepting = Counts.accepting(Rule.Pool);
  if (Accepting < Need->second + 1) {
    Found.push_back({"forecast-demand", 0,
                     fmt::format("pool {} has {} accepting hosts and needs {}",
                                 Rule.Pool.Text, Accepting, Need->second)});
  }
}

} // namespace

AwayCounts::AwayCounts(const Ledger &Value) {
  for (const auto &[Host, Record] : Value.Hosts) {
    add(Record);
  }
}

AwayCount AwayCounts::pool(const PoolName &Pool) const {
  return valueOf(Pools, Pool);
}

AwayCount AwayCounts::rack(const RackName &Rack) const {
  return valueOf(Racks, Rack);
}

AwayCount AwayCounts::dataCentre(const DataCentreName &Centre) const {
  return valueOf(Centres, Centre);
}

std::uint32_t AwayCounts::accepting(const PoolName &Pool) const {
  return valueOf(Accepting, Pool);
}

void AwayCounts::add(const HostRecord &Record) { count(Record, 1); }

void AwayCounts::remove(const HostRecord &Record) {
  // Unsigned numbers wrap round: adding the largest takes one away.
  count(Record, ~std::uint32_t(0));
}

void AwayCounts::count(const HostRecord &Record, std::uint32_t Step) {
  const std::uint32_t AwayStep = Record.away() ? Step : 0;
  Pools[Record.Pool].Members += Step;
  Pools[Record.Pool].Away += AwayStep;
  Accepting[Record.Pool] += Step - AwayStep;
  Racks[Record.Rack].Members += Step;
  Racks[Record.Rack].Away += AwayStep;
  Centres[Record.DataCentre].Members += Step;
  Centres[Record.DataCentre].Away += AwayStep;
}

std::vector<Hindrance> mayGoAway(const AwayCounts &Counts, const RuleSet &Rules,
                                 const HostRecord &Record,
                                 const HostsNeeded &Needed) {
  std::vector<Hindrance> Found;
  if (Record.away()) {
    return Found;
  }
  const PoolRule *Rule = Rules.pool(Record.Pool);
  if (Rule == nullptr) {
    return {{"pool-unknown", 0, "no rule for pool " + Record.Pool.Text}};
  }
  checkPool(Counts, *Rule, Found);
  checkDomains(Counts, Rules, Record, Found);
  checkDemand(Counts, *Rule, Needed, Found);
  return Found;
}

std::vector<Hindrance> mayGoAway(const Ledger &Value, const RuleSet &Rules,
                                 const HostName &Host,
                                 const HostsNeeded &Needed) {
  const auto Record = Value.Hosts.find(Host);
  if (Record == Value.Hosts.end()) {
    return {{"host-unknown", 0, "the ledger has no host " + Host.Text}};
  }
  return mayGoAway(AwayCounts(Value), Rules, Record->second, Needed);
}

} // namespace balsamlatch::fleet
