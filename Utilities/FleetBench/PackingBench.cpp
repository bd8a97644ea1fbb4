/// \file
/// Rounds of a wave by the plan's first fit and by a packing after the related
/// paper's section 4: hosts are packed into bins (racks), the bins are dealt
/// to the rounds by load, and a bin that exceeds a round's share is split.

#include "Bench.h"
#include "World.h"
#include "balsamlatch/Fleet/Plan.h"

#include <algorithm>
#include <fmt/format.h>

namespace balsamlatch::fleet::bench {

namespace {

using namespace std::chrono_literals;

struct Setting {
  unsigned Hosts;
  unsigned Pools;
  unsigned Centres;
  std::uint64_t Seed;
};

Ledger randomLedger(const Setting &Of) {
  std::mt19937_64 Random(Of.Seed);
  Ledger Value;
  for (unsigned I = 0; I < Of.Hosts; ++I) {
    HostRecord Record;
    Record.Pool = PoolName(fmt::format("p{}", Random() % Of.Pools));
    Record.Rack = RackName(fmt::format("r{}", I / 4));
    Record.DataCentre = DataCentreName(fmt::format("d{}", I / 4 % Of.Centres));
    Value.Hosts.emplace(HostName(fmt::format("h{:04}", I)), Record);
  }
  return Value;
}

RuleSet packingRules(const Setting &Of) {
  test::SimulationOptions Options;
  Options.Hosts = Of.Hosts;
  Options.Pools = Of.Pools;
  RuleSet Rules = test::simulationRules(Options, 1000h);
  for (auto &[Pool, Rule] : Rules.Pools) {
    Rule.Away = {AwayBudget::Kind::Hosts, 1};
  }
  Rules.Domains = {
      {DomainKind::Rack, {AwayBudget::Kind::Hosts, 1}, {}},
      {DomainKind::DataCentre, {AwayBudget::Kind::Percent, 10}, {}}};
  return Rules;
}

/// One round of the packing: what leaves together.
class Round {
public:
  explicit Round(const Ledger &Value) : Counts(Value) {}

  bool add(const HostRecord &Host, const RuleSet &Rules) {
    if (!absenceBlockers(Counts, Rules, Host, {}).empty()) {
      return false;
    }
    HostRecord Gone = Host;
    Gone.State = HostState::Leaving;
    Counts.remove(Host);
    Counts.add(Gone);
    ++Hosts;
    return true;
  }

  unsigned Hosts = 0;

private:
  AwayCounts Counts;
};

struct Bin {
  std::vector<const HostRecord *> Hosts;
  double Load = 0;
};

std::size_t packedRounds(const Ledger &Value, const RuleSet &Rules) {
  const AwayCounts Counts(Value);
  std::map<RackName, Bin> Racks;
  double Total = 0;
  std::uint32_t Least = 1;
  for (const auto &[Host, Record] : Value.Hosts) {
    const double Load = Counts.pool(Record.Pool).Members;
    Racks[Record.Rack].Hosts.push_back(&Record);
    Racks[Record.Rack].Load += Load;
    Total += Load;
    Least = std::max(Least, Counts.pool(Record.Pool).Members);
  }
  std::vector<Bin> Bins;
  for (auto &[Rack, One] : Racks) {
    Bins.push_back(std::move(One));
  }
  std::sort(Bins.begin(), Bins.end(),
            [](const Bin &A, const Bin &B) { return A.Load < B.Load; });
  std::vector<Round> Rounds(Least, Round(Value));
  std::vector<double> Loads(Least, 0.0);
  std::size_t At = 0;
  std::vector<const HostRecord *> Left;
  for (const Bin &One : Bins) {
    for (const HostRecord *Host : One.Hosts) {
      // Round robin; a round with its share of the load hands on the rest.
      if (Loads[At] >= Total / Least) {
        At = (At + 1) % Least;
      }
      if (Rounds[At].add(*Host, Rules)) {
        Loads[At] += Counts.pool(Host->Pool).Members;
      } else {
        Left.push_back(Host);
      }
    }
    At = (At + 1) % Least;
  }
  // What breaks a budget in its round goes to the first round that takes it.
  for (const HostRecord *Host : Left) {
    bool Placed = false;
    for (Round &Next : Rounds) {
      Placed = Placed || Next.add(*Host, Rules);
    }
    if (!Placed) {
      Rounds.emplace_back(Value).add(*Host, Rules);
    }
  }
  return Rounds.size();
}

void comparePacking(unsigned Hosts, unsigned Pools, unsigned Centres) {
  constexpr std::uint64_t Seeds = 20;
  std::size_t First = 0;
  std::size_t Packed = 0;
  std::size_t Bound = 0;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    const Setting Of{Hosts, Pools, Centres, Seed};
    const Ledger Value = randomLedger(Of);
    const RuleSet Rules = packingRules(Of);
    First += makePlan(Value, Rules, {}, WallTime(2000h), 10000).Rounds.size();
    Packed += packedRounds(Value, Rules);
    const AwayCounts Counts(Value);
    std::uint32_t Most = 0;
    for (const auto &[Pool, Rule] : Rules.Pools) {
      Most = std::max(Most, Counts.pool(Pool).Members);
    }
    Bound += Most;
  }
  fmt::print("packing {} hosts, {} pools, {} seeds: mean rounds first fit "
             "{:.2f}, packed {:.2f}, largest pool {:.2f}\n",
             Hosts, Pools, Seeds, double(First) / Seeds, double(Packed) / Seeds,
             double(Bound) / Seeds);
}

} // namespace

void runPacking() {
  comparePacking(50, 5, 3);
  comparePacking(1500, 88, 9);
}

} // namespace balsamlatch::fleet::bench
