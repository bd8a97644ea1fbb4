/// \file
/// The move policy beside a threshold policy. Four queues burst in turn to five
/// times their mean and ask a twentieth of it in between; one queue's load
/// also rises for three hours. All policies serve alike: a queue uses its
/// pool's hosts; the part of it that may spill also uses the spare pool's;
/// what finds no slot is late.

#include "Bench.h"
#include "MovePlanner.h"
#include "World.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <fmt/format.h>
#include <random>

namespace balsamlatch::fleet::bench {

namespace {

using namespace std::chrono_literals;

constexpr unsigned Queues = 4;
constexpr unsigned Slots = 8;
constexpr Duration MoveTime = 60s;
constexpr Duration DayLength = 24h;
/// Share of the demand whose jobs may not run on the spare pool.
constexpr double OwnShare = 0.3;
constexpr Duration CheckPeriod = 10s;

using Demands = std::array<double, Queues>;

/// Demand in slots, second by second.
class Trace {
public:
  Trace(double MeanSlots, std::uint64_t Seed) : Mean(MeanSlots), Random(Seed) {}

  Demands next(Duration Time) {
    if (Time >= BurstEnds) {
      Bursting = (Bursting + 1) % Queues;
      // A fifth of the time for each queue; a pause fills the rest.
      BurstEnds = Time + std::chrono::seconds(
                             std::uniform_int_distribution<int>(8, 22)(Random));
    }
    Demands Now{};
    for (unsigned I = 0; I < Queues; ++I) {
      Now[I] = I == Bursting ? Mean * 5 : Mean / 20;
    }
    // The lasting rise of the first queue.
    if (Time >= 10h && Time < 13h) {
      Now[0] += Mean * 4;
    }
    return Now;
  }

private:
  double Mean;
  std::mt19937_64 Random;
  unsigned Bursting = 0;
  Duration BurstEnds{};
};

struct Result {
  unsigned Moves = 0;
  double BufferHostHours = 0;
  double SpareHostHours = 0;
  double LateSlotHours = 0;
};

/// The hosts and the moves under way, whatever the policy.
class Fleet {
public:
  Fleet(RuleSet InForce, double MeanSlots, std::uint64_t Seed)
      : Rules(std::move(InForce)), Load(MeanSlots, Seed) {
    unsigned Number = 0;
    for (const auto &[Pool, Rule] : Rules.Pools) {
      for (unsigned I = 0; I < Rule.Hosts; ++I) {
        HostRecord Record;
        Record.Pool = Pool;
        Record.Rack = RackName(fmt::format("r{}", Number / 4));
        Value.Hosts.emplace(HostName(fmt::format("h{:03}", Number++)), Record);
      }
    }
  }

  template <typename Policy> Result run(Policy Decide) {
    for (Time = 0s; Time < DayLength; Time += 1s) {
      const Demands Now = Load.next(Time);
      finishMoves();
      Decide(*this, Now);
      serve(Now);
    }
    return Total;
  }

  std::uint32_t accepting(const PoolName &Pool) const {
    return AwayCounts(Value).accepting(Pool);
  }

  void adopt(const Draft &Next) {
    if (!Next.changed()) {
      return;
    }
    for (const auto &[Host, Record] : Next.value().Hosts) {
      if (Record.State == HostState::Leaving && !Under.contains(Host)) {
        Under[Host] = Time + MoveTime;
        ++Total.Moves;
      }
    }
    Value = Next.value();
    ++Version;
  }

  bool move(const PoolName &From, const PoolName &To) {
    Draft Next(Value, Version);
    for (const auto &[Host, Record] : Value.Hosts) {
      if (Record.Pool == From && absenceBlockers(Value, Rules, Host).empty() &&
          !Record.away()) {
        (void)Next.change(Host, HostChange::Leave);
        Next.edit(Host).CurrentOperation.Kind = OperationKind::Move;
        Next.edit(Host).CurrentOperation.Target = To;
        adopt(Next);
        return true;
      }
    }
    return false;
  }

  RuleSet Rules;
  Ledger Value;
  std::uint64_t Version = 1;
  Duration Time{};

private:
  void finishMoves() {
    std::erase_if(Under, [&](const auto &Item) {
      if (Time < Item.second) {
        return false;
      }
      HostRecord &Record = Value.Hosts.at(Item.first);
      Record.Pool = Record.CurrentOperation.Target;
      Record.State = HostState::InService;
      Record.CurrentOperation = Operation();
      return true;
    });
  }

  void serve(const Demands &Now) {
    constexpr double HoursPerSecond = 1.0 / 3600;
    double Spare = accepting(PoolName("spare")) * double(Slots);
    Total.SpareHostHours += Spare / Slots * HoursPerSecond;
    for (unsigned I = 0; I < Queues; ++I) {
      const double Own =
          accepting(PoolName(fmt::format("p{}", I))) * double(Slots);
      const double Over = std::max(0.0, Now[I] - Own);
      const double MaySpill = std::min(Over, Now[I] * (1 - OwnShare));
      const double Spilled = std::min(MaySpill, Spare);
      Spare -= Spilled;
      Total.LateSlotHours += (Over - Spilled) * HoursPerSecond;
      Total.BufferHostHours +=
          std::max(0.0, Own - Now[I]) / Slots * HoursPerSecond;
    }
  }

  Trace Load;
  std::map<HostName, Duration> Under;
  Result Total;
};

RuleSet rulesWith(const WeightRule &Weights) {
  RuleSet Rules;
  for (const char *Name : {"p0", "p1", "p2", "p3", "spare"}) {
    PoolRule Pool;
    Pool.Pool = PoolName(Name);
    Pool.Spare = Pool.Pool == PoolName("spare");
    Pool.Hosts = 10;
    Pool.Away = {AwayBudget::Kind::Hosts, 1};
    Rules.Pools.emplace(Pool.Pool, Pool);
  }
  Rules.Weights = Weights;
  return Rules;
}

/// Moves a host in above 80 percent of use and out below 30, down to a floor.
void threshold(Fleet &Around, const Demands &Now, std::uint32_t Floor) {
  if (Around.Time.count() % CheckPeriod.count() != 0) {
    return;
  }
  for (unsigned I = 0; I < Queues; ++I) {
    const PoolName Pool(fmt::format("p{}", I));
    const std::uint32_t Hosts = Around.accepting(Pool);
    const double Use = Now[I] / std::max(1.0, Hosts * double(Slots));
    if (Use > 0.8) {
      Around.move(PoolName("spare"), Pool);
    } else if (Use < 0.3 && Hosts > Floor) {
      Around.move(Pool, PoolName("spare"));
    }
  }
}

/// The product's policy, on the same checks.
class Planned {
public:
  void operator()(Fleet &Around, const Demands &Now) {
    DemandReported Seen;
    for (unsigned I = 0; I < Queues; ++I) {
      Seen.Pools.push_back({PoolName(fmt::format("p{}", I)),
                            static_cast<std::uint32_t>(Now[I]), 0});
    }
    const Instant At(Around.Time);
    Demand.take(Seen, At);
    if (Around.Time.count() % CheckPeriod.count() != 0) {
      return;
    }
    Draft Next(Around.Value, Around.Version);
    const std::string Prefix = "b";
    Planner.plan(Next, {Around.Rules, Demand, Slots, At, WallTime(), Prefix});
    Around.adopt(Next);
  }

private:
  DemandTracker Demand;
  MovePlanner Planner;
};

void print(const char *Name, const Result &R) {
  fmt::print(
      "  {:<24} moves {:>5}, idle in pools {:>7.1f} host h, spare {:>6.1f} "
      "host h, late {:>7.2f} slot h\n",
      Name, R.Moves, R.BufferHostHours, R.SpareHostHours, R.LateSlotHours);
}

void compare(const char *Name, const WeightRule &Weights, double MeanSlots) {
  fmt::print("{}, mean {} slots a queue, weights moves {} buffer {}\n", Name,
             MeanSlots, Weights.Moves, Weights.Buffer);
  const RuleSet Rules = rulesWith(Weights);
  for (const std::uint32_t Floor : {10u, 2u}) {
    print(fmt::format("threshold, floor {}", Floor).c_str(),
          Fleet(Rules, MeanSlots, 1)
              .run([Floor](Fleet &Around, const Demands &Now) {
                threshold(Around, Now, Floor);
              }));
  }
  print("lasting demand", Fleet(Rules, MeanSlots, 1).run(Planned()));
}

} // namespace

void runMoves() {
  for (const double Mean : {20.0, 25.0}) {
    compare("Brunnengeld", {4, 1, {}}, Mean);
    compare("Nile Tread", {1, 4, {}}, Mean);
  }
}

} // namespace balsamlatch::fleet::bench
