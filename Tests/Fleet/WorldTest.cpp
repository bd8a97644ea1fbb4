/// \file
/// End-to-end tests of owners' orders, maintenance waves and host losses in the
/// simulation.

#define BOOST_TEST_MODULE FleetPaths
#include <boost/test/unit_test.hpp>

#include "World.h"
#include "balsamlatch/Fleet/Budget.h"

using namespace balsamlatch;
using namespace balsamlatch::fleet;
using namespace balsamlatch::fleet::test;
using namespace std::chrono_literals;

namespace {

const HostName TargetHost("h0000");

void checkInvariants(const World &Simulation) {
  for (const Violation &Failure : Simulation.audit()) {
    BOOST_ERROR("version " << Failure.Version << " " << Failure.Host.Text
                           << ": " << Failure.Text);
  }
  BOOST_TEST(Simulation.counts().UnplannedReboots == 0u);
}

bool ledgerCreated(const World &Simulation) {
  return !Simulation.history().empty();
}

/// A simulation in which the ledger is created and no maintenance is due.
struct StartedSimulation {
  explicit StartedSimulation(SimulationOptions Options = {},
                             Duration Period = 8 * 7 * 24h)
      : Simulation(Options, simulationRules(Options, Period)) {
    BOOST_REQUIRE(
        Simulation.runUntil([this] { return ledgerCreated(Simulation); }, 60s));
    Simulation.run(10s);
  }

  HostState state(const HostName &Host) const {
    return Simulation.ledger().Hosts.at(Host).State;
  }
  absl::Status submitOrder(OwnerOrderReceived Order, unsigned Controller = 0) {
    Order.Question = ++LastRequestId;
    Order.By = OwnerName("anna");
    Simulation.submitOrder(Controller, Order);
    Simulation.runUntil(
        [this] { return Simulation.answers().contains(LastRequestId); }, 20s);
    const auto Answer = Simulation.answers().find(LastRequestId);
    return Answer == Simulation.answers().end()
               ? absl::UnknownError("no answer")
               : Answer->second;
  }
  bool reachesState(const HostName &Host, HostState State, Duration Limit) {
    return Simulation.runUntil([&] { return state(Host) == State; }, Limit);
  }

  World Simulation;
  std::uint64_t LastRequestId = 0;
};

} // namespace

BOOST_AUTO_TEST_CASE(DrainedHostRebootsAndReturns) {
  StartedSimulation Fixture;
  BOOST_TEST(
      Fixture.submitOrder({0, OwnerOrderKind::Drain, TargetHost, {}, {}}).ok());
  BOOST_TEST(Fixture.reachesState(TargetHost, HostState::InMaintenance, 30s));
  BOOST_TEST(Fixture.reachesState(TargetHost, HostState::OnProbation, 120s));
  BOOST_TEST(Fixture.reachesState(TargetHost, HostState::InService, 60s));
  BOOST_TEST(Fixture.Simulation.counts().Reboots == 1u);
  BOOST_TEST(Fixture.Simulation.counts().RebootsRefused == 0u);
  BOOST_TEST(Fixture.Simulation.counts().UndrainedReboots == 0u);
  BOOST_TEST(Fixture.Simulation.counts().MisplacedTasks == 0u);
  // The first ledger, then five state changes.
  BOOST_TEST(Fixture.Simulation.history().size() <= 7u);
  checkInvariants(Fixture.Simulation);
}

BOOST_AUTO_TEST_CASE(DrainCanBeCancelledBeforeTheReboot) {
  SimulationOptions Options;
  Options.Entries = 3;
  StartedSimulation Fixture(Options);
  Fixture.Simulation.blockLedgerUpdates(0, 60s);
  BOOST_TEST(
      Fixture.submitOrder({0, OwnerOrderKind::Drain, TargetHost, {}, {}}).ok());
  Fixture.Simulation.run(10s);
  // One entry doesn't act on the new ledger, which delays the reboot.
  BOOST_TEST((Fixture.state(TargetHost) == HostState::Leaving));
  BOOST_TEST(Fixture.Simulation.logged("waiting-entries"));
  // Any controller accepts the order.
  BOOST_TEST(
      Fixture.submitOrder({0, OwnerOrderKind::Return, TargetHost, {}, {}}, 1)
          .ok());
  BOOST_TEST(Fixture.reachesState(TargetHost, HostState::InService, 15s));
  BOOST_TEST(Fixture.Simulation.counts().Reboots == 0u);
  checkInvariants(Fixture.Simulation);
}

BOOST_AUTO_TEST_CASE(HeldHostStaysDrainedUntilReturned) {
  StartedSimulation Fixture;
  OwnerOrderReceived DrainOrder{0,   OwnerOrderKind::Drain, TargetHost, {}, {},
                                true};
  BOOST_TEST(Fixture.submitOrder(DrainOrder).ok());
  BOOST_TEST(Fixture.reachesState(TargetHost, HostState::Drained, 30s));
  Fixture.Simulation.run(5min);
  BOOST_TEST((Fixture.state(TargetHost) == HostState::Drained));
  // The host is still held after it was lost and reported again.
  Fixture.Simulation.crashHost(TargetHost, 1min);
  Fixture.Simulation.run(5min);
  BOOST_TEST((Fixture.state(TargetHost) == HostState::Failed));
  BOOST_TEST(
      Fixture.submitOrder({0, OwnerOrderKind::Return, TargetHost, {}, {}})
          .ok());
  BOOST_TEST(Fixture.reachesState(TargetHost, HostState::InService, 60s));
  checkInvariants(Fixture.Simulation);
}

BOOST_AUTO_TEST_CASE(RefusedOrderNamesItsBlocker) {
  StartedSimulation Fixture;
  BOOST_TEST(
      Fixture.submitOrder({0, OwnerOrderKind::Drain, TargetHost, {}, {}}).ok());
  // Both hosts are in one pool, where one in ten may be away.
  const absl::Status SecondDrain = Fixture.submitOrder(
      {0, OwnerOrderKind::Drain, HostName("h0005"), {}, {}}, 1);
  BOOST_TEST(absl::IsFailedPrecondition(SecondDrain));
  BOOST_TEST(SecondDrain.message().find("pool p0 has 1 of 10 hosts away") !=
             std::string::npos);
  BOOST_TEST(absl::IsNotFound(
      Fixture.submitOrder({0, OwnerOrderKind::Drain, HostName("x"), {}, {}})));
  BOOST_TEST(absl::IsFailedPrecondition(Fixture.submitOrder(
      {0, OwnerOrderKind::Return, HostName("h0001"), {}, {}})));
  BOOST_TEST(Fixture.submitOrder({0, OwnerOrderKind::Halt, {}, {}, {}}).ok());
  BOOST_TEST(absl::IsFailedPrecondition(Fixture.submitOrder(
      {0, OwnerOrderKind::Drain, HostName("h0001"), {}, {}})));
  BOOST_TEST(Fixture.submitOrder({0, OwnerOrderKind::Resume, {}, {}, {}}).ok());
  BOOST_TEST(
      Fixture.submitOrder({0, OwnerOrderKind::Drain, HostName("h0001"), {}, {}})
          .ok());
  checkInvariants(Fixture.Simulation);
}

BOOST_AUTO_TEST_CASE(MoveChangesThePool) {
  RuleSet Rules = simulationRules({}, 8 * 7 * 24h);
  for (auto &[Pool, Rule] : Rules.Pools) {
    Rule.Away = {AwayBudget::Kind::Hosts, 2};
  }
  World Simulation({}, Rules);
  BOOST_REQUIRE(
      Simulation.runUntil([&] { return ledgerCreated(Simulation); }, 60s));
  Simulation.submitOrder(
      0, {1, OwnerOrderKind::Move, TargetHost, PoolName("p2"), {}});
  BOOST_TEST(Simulation.runUntil(
      [&] {
        const HostRecord &MovedRecord =
            Simulation.ledger().Hosts.at(TargetHost);
        return MovedRecord.Pool == PoolName("p2") &&
               MovedRecord.State == HostState::InService;
      },
      120s));
  checkInvariants(Simulation);
}

BOOST_AUTO_TEST_CASE(WaveMaintainsEveryHost) {
  StartedSimulation Fixture({}, 1h);
  BOOST_TEST(Fixture.Simulation.runUntil(
      [&] { return Fixture.Simulation.logged("wave-ended"); }, 70min));
  BOOST_TEST(Fixture.Simulation.counts().Reboots == 50u);
  BOOST_TEST(Fixture.Simulation.counts().RebootsRefused == 0u);
  BOOST_TEST(Fixture.Simulation.counts().UndrainedReboots == 0u);
  BOOST_TEST(Fixture.Simulation.counts().MisplacedTasks == 0u);
  BOOST_TEST(Fixture.Simulation.counts().Swaps <= 6u * 50);
  checkInvariants(Fixture.Simulation);
}

BOOST_AUTO_TEST_CASE(HostLossesStopTheWave) {
  StartedSimulation Fixture({}, 1h);
  for (const HostName &Host : Fixture.Simulation.hostNames()) {
    Fixture.Simulation.slowReboot(Host, 10h);
  }
  BOOST_TEST(Fixture.Simulation.runUntil(
      [&] { return !Fixture.Simulation.ledger().Wave.StopReason.empty(); },
      120min));
  BOOST_TEST(Fixture.Simulation.logged("wave-stopped"));
  Fixture.Simulation.run(2h);
  BOOST_TEST(Fixture.Simulation.counts().Reboots <= 5u);
  checkInvariants(Fixture.Simulation);
}

BOOST_AUTO_TEST_CASE(LostHostIsReplacedFromTheSparePool) {
  RuleSet Rules = simulationRules({}, 8 * 7 * 24h);
  World Simulation({}, Rules);
  BOOST_REQUIRE(
      Simulation.runUntil([&] { return ledgerCreated(Simulation); }, 60s));
  Simulation.run(10s);
  Simulation.crashHost(TargetHost, 3h);
  BOOST_TEST(Simulation.runUntil(
      [&] {
        return Simulation.ledger().Hosts.at(TargetHost).Pool == PoolName("p4");
      },
      30min));
  const AwayCounts Counts(Simulation.ledger());
  BOOST_TEST(Counts.accepting(PoolName("p0")) == 10u);
  BOOST_TEST(Simulation.runUntil(
      [&] {
        return Simulation.ledger().Hosts.at(TargetHost).State ==
               HostState::InService;
      },
      4h));
  checkInvariants(Simulation);
}

// The platform must learn the new pool of a lost host that was replaced;
// otherwise the worker comes back in its old pool. Found by FleetFaults, seeds
// 9, 35 and 69.
BOOST_AUTO_TEST_CASE(ReplacedHostReturnsToItsNewPool) {
  StartedSimulation Fixture;
  Fixture.Simulation.crashHost(TargetHost, 30min);
  BOOST_TEST(Fixture.reachesState(TargetHost, HostState::Failed, 60s));
  Fixture.Simulation.run(29min);
  BOOST_TEST(Fixture.reachesState(TargetHost, HostState::InService, 10min));
  BOOST_TEST((Fixture.Simulation.ledger().Hosts.at(TargetHost).Pool ==
              PoolName("p4")));
  BOOST_TEST(Fixture.Simulation.inconsistentWorkers().empty());
  checkInvariants(Fixture.Simulation);
}

// A worker may lose its draining state while it leaves. It must not be rebooted
// while it accepts tasks. Found by FleetFaults, seeds 143 and 151.
BOOST_AUTO_TEST_CASE(AcceptingWorkerIsDrainedBeforeItsReboot) {
  StartedSimulation Fixture;
  Fixture.Simulation.blockLedgerUpdates(0, 30s);
  BOOST_TEST(
      Fixture.submitOrder({0, OwnerOrderKind::Drain, TargetHost, {}, {}}).ok());
  Fixture.Simulation.run(10s);
  BOOST_TEST((Fixture.state(TargetHost) == HostState::Leaving));
  Fixture.Simulation.clearDrain(TargetHost);
  BOOST_TEST(Fixture.reachesState(TargetHost, HostState::InService, 180s));
  BOOST_TEST(Fixture.Simulation.counts().Reboots == 1u);
  BOOST_TEST(Fixture.Simulation.counts().UndrainedReboots == 0u);
  BOOST_TEST(Fixture.Simulation.inconsistentWorkers().empty());
  checkInvariants(Fixture.Simulation);
}

BOOST_AUTO_TEST_CASE(DisconnectedControllerMarksNoHostLost) {
  StartedSimulation Fixture;
  for (const HostName &Host : Fixture.Simulation.hostNames()) {
    Fixture.Simulation.blockReports(Host, 5min);
  }
  Fixture.Simulation.run(4min);
  BOOST_TEST(Fixture.Simulation.logged("reports-missing"));
  BOOST_TEST(!Fixture.Simulation.logged("host-lost"));
}

BOOST_AUTO_TEST_CASE(WaveRespectsWindowAndDemand) {
  SimulationOptions Options;
  Options.MaintainedAgo = 1000h;
  RuleSet Rules = simulationRules(Options, 1000h);
  // The simulation starts at 01:00.
  Rules.Maintenance.Windows = {{1h + 10min, 2h}};
  World Simulation(Options, Rules);
  DemandReported HighDemand;
  HighDemand.Pools.push_back({PoolName("p0"), 70, 30});
  Simulation.setDemand(HighDemand);
  Simulation.run(9min);
  BOOST_TEST(Simulation.counts().Reboots == 0u);
  Simulation.run(30min);
  BOOST_TEST(Simulation.counts().Reboots >= 30u);
  for (const auto &[Host, Record] : Simulation.ledger().Hosts) {
    // The pool with high demand keeps its hosts.
    BOOST_TEST((Record.Pool != PoolName("p0") || Record.accepting()));
  }
  checkInvariants(Simulation);
}

BOOST_AUTO_TEST_CASE(LastingDemandMovesASpareHost) {
  SimulationOptions Options;
  RuleSet Rules = simulationRules(Options, 1000h);
  for (auto &[Pool, Rule] : Rules.Pools) {
    Rule.Away = {AwayBudget::Kind::Hosts, 1};
  }
  World Simulation(Options, Rules);
  DemandReported HighDemand;
  HighDemand.Pools.push_back({PoolName("p0"), 70, 0});
  Simulation.setDemand(HighDemand);
  const auto Members = [&](const char *Pool) {
    return AwayCounts(Simulation.ledger()).pool(PoolName(Pool)).Members;
  };
  BOOST_TEST(Simulation.runUntil(
      [&] { return ledgerCreated(Simulation) && Members("p0") == 11u; },
      40min));
  // When the demand ends, the spare pool gets its host back.
  HighDemand.Pools.front().SlotsInUse = 5;
  Simulation.setDemand(HighDemand);
  BOOST_TEST(Simulation.runUntil([&] { return Members("p4") == 10u; }, 60min));
  checkInvariants(Simulation);
}

BOOST_AUTO_TEST_CASE(RemovedHostLeavesTheLedger) {
  StartedSimulation Fixture;
  Fixture.Simulation.removeHost(TargetHost);
  BOOST_TEST(Fixture.reachesState(TargetHost, HostState::Failed, 60s));
  BOOST_TEST(Fixture.Simulation.runUntil(
      [&] { return !Fixture.Simulation.ledger().Hosts.contains(TargetHost); },
      15min));
  checkInvariants(Fixture.Simulation);
}
