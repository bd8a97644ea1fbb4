/// \file
/// Pairs of faults with many seeds: racing controllers, outages, lost hosts.
/// The ledger's invariants must hold in every version, and the wave must end
/// once the faults are over.

#define BOOST_TEST_MODULE FleetFaults
#include <boost/test/unit_test.hpp>

#include "World.h"

#include <algorithm>
#include <array>
#include <cstdlib>

using namespace balsamlatch;
using namespace balsamlatch::fleet;
using namespace balsamlatch::fleet::test;
using namespace std::chrono_literals;

namespace {

constexpr unsigned SeedCount = 500;
constexpr Duration Period = 100h;
constexpr Duration FaultLength = 5min;

/// One run: its simulation and the random choices of its faults.
struct FaultRun {
  World Simulation;
  std::mt19937_64 Random;

  unsigned randomBelow(unsigned Count) {
    return std::uniform_int_distribution<unsigned>(0, Count - 1)(Random);
  }
  Duration randomDuration(Duration Min, Duration Max) {
    return Duration(std::uniform_int_distribution<Duration::rep>(
        Min.count(), Max.count())(Random));
  }
  HostName randomHost() {
    const std::vector<HostName> Names = Simulation.hostNames();
    return Names[randomBelow(static_cast<unsigned>(Names.size()))];
  }
  /// A host that is out of service, if there is one; otherwise any host.
  HostName hostInOperation() {
    for (const auto &[Host, Record] : Simulation.ledger().Hosts) {
      if (Record.away()) {
        return Host;
      }
    }
    return randomHost();
  }
  HostRecord recordOf(const HostName &Host) const {
    return Simulation.ledger().Hosts.at(Host);
  }
};

void submitRandomOrder(FaultRun &Run) {
  static std::uint64_t RequestId = 0;
  constexpr std::array Verbs = {OwnerOrderKind::Drain, OwnerOrderKind::Return,
                                OwnerOrderKind::Move, OwnerOrderKind::Halt,
                                OwnerOrderKind::Resume};
  OwnerOrderReceived Order;
  Order.Question = ++RequestId;
  Order.Verb = Verbs[Run.randomBelow(Verbs.size())];
  Order.Host =
      Run.randomBelow(2) == 0 ? Run.hostInOperation() : Run.randomHost();
  Order.Pool = PoolName(Run.randomBelow(2) == 0 ? "p0" : "p1");
  Order.By = OwnerName("anna");
  Run.Simulation.submitOrder(Run.randomBelow(2), Order);
}

struct Fault {
  const char *Name;
  void (*Inject)(FaultRun &);
};

const std::array Faults = {
    Fault{"store down",
          [](FaultRun &Run) {
            Run.Simulation.failStore(Run.randomDuration(20s, 90s));
          }},
    Fault{"store slow",
          [](FaultRun &Run) {
            Run.Simulation.slowStore(Run.randomDuration(1s, 7s), 90s);
          }},
    Fault{"replies lost",
          [](FaultRun &Run) { Run.Simulation.loseReplies(60, 90s); }},
    Fault{"controller paused",
          [](FaultRun &Run) {
            Run.Simulation.pauseController(Run.randomBelow(2),
                                           Run.randomDuration(2s, 60s));
          }},
    Fault{"all controllers paused",
          [](FaultRun &Run) {
            Run.Simulation.pauseController(0, Run.randomDuration(7s, 30s));
            Run.Simulation.pauseController(1, Run.randomDuration(7s, 30s));
          }},
    Fault{"controller restarted",
          [](FaultRun &Run) {
            Run.Simulation.restartController(Run.randomBelow(2));
          }},
    Fault{"host of the wave crashes",
          [](FaultRun &Run) {
            Run.Simulation.crashHost(Run.hostInOperation(),
                                     Run.randomDuration(5s, 4min));
          }},
    Fault{"reboot exceeds its timeout",
          [](FaultRun &Run) {
            Run.Simulation.slowReboot(Run.randomHost(), 17min);
          }},
    Fault{"rack down",
          [](FaultRun &Run) {
            Run.Simulation.crashRack(Run.recordOf(Run.randomHost()).Rack,
                                     Run.randomDuration(10s, 3min));
          }},
    Fault{"data centre down",
          [](FaultRun &Run) {
            Run.Simulation.crashCentre(
                Run.recordOf(Run.randomHost()).DataCentre,
                Run.randomDuration(10s, 3min));
          }},
    Fault{"entry receives no ledger",
          [](FaultRun &Run) {
            Run.Simulation.blockLedgerUpdates(Run.randomBelow(3),
                                              Run.randomDuration(10s, 2min));
          }},
    Fault{"entry disconnected",
          [](FaultRun &Run) {
            Run.Simulation.disconnectEntry(Run.randomBelow(3),
                                           Run.randomDuration(10s, 2min));
          }},
    Fault{"worker sends no reports",
          [](FaultRun &Run) {
            Run.Simulation.blockReports(Run.hostInOperation(),
                                        Run.randomDuration(5s, 2min));
          }},
    Fault{"owners' orders", submitRandomOrder},
};

SimulationOptions optionsFor(std::uint64_t Seed) {
  SimulationOptions Options;
  Options.Hosts = 24;
  Options.Pools = 3;
  Options.Controllers = 2 + Seed % 2;
  Options.RebootTime = 20s;
  Options.MaintainedAgo = Period;
  Options.Seed = Seed;
  return Options;
}

RuleSet rulesFor(const SimulationOptions &Options) {
  RuleSet Rules = simulationRules(Options, Period);
  for (auto &[Pool, Rule] : Rules.Pools) {
    Rule.Away = {AwayBudget::Kind::Hosts, 1};
  }
  return Rules;
}

bool settled(const World &Simulation, WallTime MaintenanceStart) {
  const Ledger &Value = Simulation.ledger();
  return Value.Wave.DueHosts == 0 &&
         std::all_of(Value.Hosts.begin(), Value.Hosts.end(), [&](auto &Item) {
           return Item.second.State == HostState::InService &&
                  Item.second.LastMaintained >= MaintenanceStart;
         });
}

std::string describeUnsettled(const World &Simulation,
                              WallTime MaintenanceStart) {
  std::string Text = "wave " +
                     std::to_string(Simulation.ledger().Wave.DueHosts) + " " +
                     Simulation.ledger().Wave.StopReason + " halt " +
                     Simulation.ledger().HaltedBy + ":";
  for (const auto &[Host, Record] : Simulation.ledger().Hosts) {
    if (Record.State != HostState::InService ||
        Record.LastMaintained < MaintenanceStart) {
      Text += " " + Host.Text + "=" + stateCode(Record.State) + "/" +
              operationCode(Record.CurrentOperation.Kind) +
              (Record.CurrentOperation.Cancelled ? "/cancelled" : "");
    }
  }
  return Text;
}

void runFaultPair(std::uint64_t Seed) {
  const SimulationOptions Options = optionsFor(Seed);
  FaultRun Run{World(Options, rulesFor(Options)), std::mt19937_64(Seed)};
  World &Simulation = Run.Simulation;
  const unsigned FirstFault = Run.randomBelow(Faults.size());
  const unsigned SecondFault =
      (FirstFault + 1 + Run.randomBelow(Faults.size() - 1)) % Faults.size();
  BOOST_TEST_CONTEXT("seed " << Seed << ": " << Faults[FirstFault].Name << ", "
                             << Faults[SecondFault].Name) {
    const WallTime MaintenanceStart =
        Simulation.ledger().Hosts.begin()->second.LastMaintained + 1s;
    const Instant FaultEnd = Simulation.now() + FaultLength;
    Simulation.run(15s);
    while (Simulation.now() < FaultEnd) {
      Faults[Run.randomBelow(2) == 0 ? FirstFault : SecondFault].Inject(Run);
      Simulation.run(Run.randomDuration(5s, 60s));
    }
    Simulation.endSlowReboots();
    // The faults are over. An owner resumes the fleet whenever it is halted or
    // its wave is stopped.
    std::uint64_t RequestId = 1'000'000;
    const bool HasSettled = Simulation.runUntil(
        [&] {
          const Ledger &Value = Simulation.ledger();
          if (!Value.Wave.StopReason.empty() || !Value.HaltedBy.empty()) {
            Simulation.submitOrder(0, {++RequestId,
                                       OwnerOrderKind::Resume,
                                       {},
                                       {},
                                       OwnerName("anna")});
          }
          return settled(Simulation, MaintenanceStart);
        },
        60min);
    BOOST_TEST(HasSettled, describeUnsettled(Simulation, MaintenanceStart));
    Simulation.run(10s);
    BOOST_TEST(Simulation.inconsistentWorkers().empty());
    for (const Violation &Failure : Simulation.audit()) {
      BOOST_ERROR("version " << Failure.Version << " " << Failure.Host.Text
                             << ": " << Failure.Text);
    }
    BOOST_TEST(Simulation.counts().UnplannedReboots == 0u);
    BOOST_TEST(Simulation.counts().MisplacedTasks == 0u);
  }
}

} // namespace

BOOST_AUTO_TEST_CASE(InvariantsHoldUnderFaultPairs) {
  // Runs a single seed to reproduce a failure.
  if (const char *SeedText = std::getenv("BALSAMLATCH_SEED")) {
    runFaultPair(std::strtoull(SeedText, nullptr, 10));
    return;
  }
  for (std::uint64_t Seed = 1; Seed <= SeedCount; ++Seed) {
    runFaultPair(Seed);
  }
}
