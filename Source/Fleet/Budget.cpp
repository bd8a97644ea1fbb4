/// \file
/// Counts of hosts away and the checks against the budgets.

#include "balsamlatch/Fleet/Budget.h"

#include <fmt/format.h>

namespace balsamlatch::fleet {

namespace {

template <typename Predicate>
AwayCount countHosts(const Ledger &Value, Predicate Belongs) {
  AwayCount Count;
  for (const auto &[Host, Record] : Value.Hosts) {
    if (Belongs(Record)) {
      ++Count.Members;
      Count.Away += Record.away() ? 1 : 0;
    }
  }
  return Count;
}

bool movesOut(const HostRecord &Record) {
  return Record.InHand.Kind == OperationKind::Move &&
         !Record.InHand.Cancelled && Record.InHand.Target != Record.Pool;
}

std::string overBudget(const std::string &Group, const AwayCount &Count,
                       std::uint32_t Allowed) {
  return fmt::format("{} has {} of {} hosts away and may have {}", Group,
                     Count.Away, Count.Members, Allowed);
}

void checkPool(const Ledger &Value, const PoolRule &Rule, OperationKind Kind,
               std::vector<Hindrance> &Found) {
  const AwayCount Count = countPool(Value, Rule.Pool);
  const std::uint32_t Stay =
      Count.Members - (Kind == OperationKind::Move ? 1 : 0);
  const std::uint32_t Allowed = Rule.Away.allowed(Stay);
  if (Count.Away + 1 > Allowed) {
    Found.push_back({"budget-pool", Rule.Origin.Line,
                     overBudget("pool " + Rule.Pool.Text, Count, Allowed)});
  }
}

void checkDomains(const Ledger &Value, const RuleSet &Rules,
                  const HostRecord &Record, std::vector<Hindrance> &Found) {
  for (const DomainRule &Rule : Rules.Domains) {
    const bool Rack = Rule.Kind == DomainKind::Rack;
    const AwayCount Count = Rack ? countRack(Value, Record.Rack)
                                 : countDataCentre(Value, Record.DataCentre);
    const std::uint32_t Allowed = Rule.Away.allowed(Count.Members);
    if (Count.Away + 1 > Allowed) {
      const std::string Group = Rack ? "rack " + Record.Rack.Text
                                     : "data centre " + Record.DataCentre.Text;
      Found.push_back({Rack ? "budget-rack" : "budget-data-centre",
                       Rule.Origin.Line, overBudget(Group, Count, Allowed)});
    }
  }
}

void checkDemand(const Ledger &Value, const PoolRule &Rule,
                 const HostsNeeded &Needed, std::vector<Hindrance> &Found) {
  const auto Need = Needed.find(Rule.Pool);
  if (Need == Needed.end()) {
    return;
  }
  const AwayCount Count = countHosts(Value, [&](const HostRecord &Record) {
    return Record.Pool == Rule.Pool;
  });
  const std::uint32_t Accepting = Count.Members - Count.Away;
  if (Accepting < Need->second + 1) {
    Found.push_back({"forecast-demand", 0,
                     fmt::format("pool {} has {} accepting hosts and needs {}",
                                 Rule.Pool.Text, Accepting, Need->second)});
  }
}

} // namespace

AwayCount countPool(const Ledger &Value, const PoolName &Pool) {
  AwayCount Count;
  for (const auto &[Host, Record] : Value.Hosts) {
    if (Record.Pool == Pool) {
      Count.Members += movesOut(Record) ? 0 : 1;
      Count.Away += Record.away() ? 1 : 0;
    }
  }
  return Count;
}

AwayCount countRack(const Ledger &Value, const RackName &Rack) {
  return countHosts(
      Value, [&](const HostRecord &Record) { return Record.Rack == Rack; });
}

AwayCount countDataCentre(const Ledger &Value, const DataCentreName &Centre) {
  return countHosts(Value, [&](const HostRecord &Record) {
    return Record.DataCentre == Centre;
  });
}

std::vector<Hindrance> mayGoAway(const Ledger &Value, const RuleSet &Rules,
                                 const HostName &Host, OperationKind Kind,
                                 const HostsNeeded &Needed) {
  std::vector<Hindrance> Found;
  const auto Record = Value.Hosts.find(Host);
  if (Record == Value.Hosts.end()) {
    return {{"host-unknown", 0, "the ledger has no host " + Host.Text}};
  }
  if (Record->second.away()) {
    return Found;
  }
  const PoolRule *Rule = Rules.pool(Record->second.Pool);
  if (Rule == nullptr) {
    return {
        {"pool-unknown", 0, "no rule for pool " + Record->second.Pool.Text}};
  }
  checkPool(Value, *Rule, Kind, Found);
  checkDomains(Value, Rules, Record->second, Found);
  checkDemand(Value, *Rule, Needed, Found);
  return Found;
}

} // namespace balsamlatch::fleet
