/// \file
/// Tests of whole paths: owners' orders, maintenance waves, losses.

#define BOOST_TEST_MODULE FleetPaths
#include <boost/test/unit_test.hpp>

#include "World.h"
#include "balsamlatch/Fleet/Budget.h"

using namespace balsamlatch;
using namespace balsamlatch::fleet;
using namespace balsamlatch::fleet::test;
using namespace std::chrono_literals;

namespace {

const HostName First("h0000");

void checkClean(const World &Around) {
  for (const Violation &Broken : Around.audit()) {
    BOOST_ERROR("version " << Broken.Version << " " << Broken.Host.Text << ": "
                           << Broken.Text);
  }
  BOOST_TEST(Around.counts().RebootsOutOfTurn == 0u);
}

bool begun(const World &Around) { return !Around.history().empty(); }

/// A world whose ledger has been made and whose maintenance is not due.
struct Started {
  explicit Started(WorldOptions Options = {}, Duration Period = 8 * 7 * 24h)
      : Around(Options, worldRules(Options, Period)) {
    BOOST_REQUIRE(Around.runUntil([this] { return begun(Around); }, 60s));
    Around.run(10s);
  }

  HostState state(const HostName &Host) const {
    return Around.ledger().Hosts.at(Host).State;
  }
  absl::Status ask(OperatorAsked Asked, unsigned Controller = 0) {
    Asked.Question = ++Questions;
    Asked.By = OwnerName("anna");
    Around.ask(Controller, Asked);
    Around.runUntil([this] { return Around.answers().contains(Questions); },
                    20s);
    const auto Found = Around.answers().find(Questions);
    return Found == Around.answers().end() ? absl::UnknownError("no answer")
                                           : Found->second;
  }
  bool reaches(const HostName &Host, HostState State, Duration Limit) {
    return Around.runUntil([&] { return state(Host) == State; }, Limit);
  }

  World Around;
  std::uint64_t Questions = 0;
};

} // namespace

BOOST_AUTO_TEST_CASE(ADrainedHostRebootsAndComesBack) {
  Started Test;
  BOOST_TEST(Test.ask({0, OperatorVerb::Drain, First, {}, {}}).ok());
  BOOST_TEST(Test.reaches(First, HostState::InMaintenance, 30s));
  BOOST_TEST(Test.reaches(First, HostState::OnProbation, 120s));
  BOOST_TEST(Test.reaches(First, HostState::InService, 60s));
  BOOST_TEST(Test.Around.counts().Reboots == 1u);
  BOOST_TEST(Test.Around.counts().RebootsRefused == 0u);
  BOOST_TEST(Test.Around.counts().RebootsUndrained == 0u);
  BOOST_TEST(Test.Around.counts().LateTasks == 0u);
  // The first ledger, then five changes of state.
  BOOST_TEST(Test.Around.history().size() <= 7u);
  checkClean(Test.Around);
}

BOOST_AUTO_TEST_CASE(ADrainCanBeCancelledUntilTheReboot) {
  WorldOptions Options;
  Options.Entries = 3;
  Started Test(Options);
  Test.Around.deafenEntry(0, 60s);
  BOOST_TEST(Test.ask({0, OperatorVerb::Drain, First, {}, {}}).ok());
  Test.Around.run(10s);
  // An entry lacks: the reboot is delayed.
  BOOST_TEST((Test.state(First) == HostState::Leaving));
  BOOST_TEST(Test.Around.logged("waiting-entries"));
  // Any controller takes the order.
  BOOST_TEST(Test.ask({0, OperatorVerb::Return, First, {}, {}}, 1).ok());
  BOOST_TEST(Test.reaches(First, HostState::InService, 15s));
  BOOST_TEST(Test.Around.counts().Reboots == 0u);
  checkClean(Test.Around);
}

BOOST_AUTO_TEST_CASE(AHostIsHeldDrainedUntilItIsReturned) {
  Started Test;
  OperatorAsked Hold{0, OperatorVerb::Drain, First, {}, {}, true};
  BOOST_TEST(Test.ask(Hold).ok());
  BOOST_TEST(Test.reaches(First, HostState::Drained, 30s));
  Test.Around.run(5min);
  BOOST_TEST((Test.state(First) == HostState::Drained));
  // It stays held when it is lost and comes back.
  Test.Around.crash(First, 1min);
  Test.Around.run(5min);
  BOOST_TEST((Test.state(First) == HostState::Failed));
  BOOST_TEST(Test.ask({0, OperatorVerb::Return, First, {}, {}}).ok());
  BOOST_TEST(Test.reaches(First, HostState::InService, 60s));
  checkClean(Test.Around);
}

BOOST_AUTO_TEST_CASE(AnOrderSaysWhyNotNow) {
  Started Test;
  BOOST_TEST(Test.ask({0, OperatorVerb::Drain, First, {}, {}}).ok());
  // The same pool: one in ten may be away.
  const absl::Status Second =
      Test.ask({0, OperatorVerb::Drain, HostName("h0005"), {}, {}}, 1);
  BOOST_TEST(absl::IsFailedPrecondition(Second));
  BOOST_TEST(Second.message().find("pool p0 has 1 of 10 hosts away") !=
             std::string::npos);
  BOOST_TEST(absl::IsNotFound(
      Test.ask({0, OperatorVerb::Drain, HostName("x"), {}, {}})));
  BOOST_TEST(absl::IsFailedPrecondition(
      Test.ask({0, OperatorVerb::Return, HostName("h0001"), {}, {}})));
  BOOST_TEST(Test.ask({0, OperatorVerb::Halt, {}, {}, {}}).ok());
  BOOST_TEST(absl::IsFailedPrecondition(
      Test.ask({0, OperatorVerb::Drain, HostName("h0001"), {}, {}})));
  BOOST_TEST(Test.ask({0, OperatorVerb::Resume, {}, {}, {}}).ok());
  BOOST_TEST(
      Test.ask({0, OperatorVerb::Drain, HostName("h0001"), {}, {}}).ok());
  checkClean(Test.Around);
}

BOOST_AUTO_TEST_CASE(AMoveChangesThePoolOnce) {
  RuleSet Wide = worldRules({}, 8 * 7 * 24h);
  for (auto &[Pool, Rule] : Wide.Pools) {
    Rule.Away = {AwayBudget::Kind::Hosts, 2};
  }
  World Around({}, Wide);
  BOOST_REQUIRE(Around.runUntil([&] { return begun(Around); }, 60s));
  Around.ask(0, {1, OperatorVerb::Move, First, PoolName("p2"), {}});
  BOOST_TEST(Around.runUntil(
      [&] {
        const HostRecord &Moved = Around.ledger().Hosts.at(First);
        return Moved.Pool == PoolName("p2") &&
               Moved.State == HostState::InService;
      },
      120s));
  checkClean(Around);
}

BOOST_AUTO_TEST_CASE(AWaveMaintainsEveryHost) {
  Started Test({}, 1h);
  BOOST_TEST(Test.Around.runUntil(
      [&] { return Test.Around.logged("wave-ended"); }, 70min));
  BOOST_TEST(Test.Around.counts().Reboots == 50u);
  BOOST_TEST(Test.Around.counts().RebootsRefused == 0u);
  BOOST_TEST(Test.Around.counts().RebootsUndrained == 0u);
  BOOST_TEST(Test.Around.counts().LateTasks == 0u);
  BOOST_TEST(Test.Around.counts().Swaps <= 6u * 50);
  checkClean(Test.Around);
}

BOOST_AUTO_TEST_CASE(CorrelatedLossesStopTheWave) {
  Started Test({}, 1h);
  for (const HostName &Host : Test.Around.hostNames()) {
    Test.Around.slowReboot(Host, 10h);
  }
  BOOST_TEST(Test.Around.runUntil(
      [&] { return !Test.Around.ledger().Wave.Stopped.empty(); }, 120min));
  BOOST_TEST(Test.Around.logged("wave-stopped"));
  Test.Around.run(2h);
  BOOST_TEST(Test.Around.counts().Reboots <= 5u);
  checkClean(Test.Around);
}

BOOST_AUTO_TEST_CASE(ALostHostIsReplacedFromTheSparePool) {
  RuleSet Rules = worldRules({}, 8 * 7 * 24h);
  World Around({}, Rules);
  BOOST_REQUIRE(Around.runUntil([&] { return begun(Around); }, 60s));
  Around.run(10s);
  Around.crash(First, 3h);
  BOOST_TEST(Around.runUntil(
      [&] { return Around.ledger().Hosts.at(First).Pool == PoolName("p4"); },
      30min));
  const AwayCounts Counts(Around.ledger());
  BOOST_TEST(Counts.accepting(PoolName("p0")) == 10u);
  BOOST_TEST(Around.runUntil(
      [&] {
        return Around.ledger().Hosts.at(First).State == HostState::InService;
      },
      4h));
  checkClean(Around);
}

// Found by FleetFaults, seeds 9, 35 and 69.
BOOST_AUTO_TEST_CASE(AReplacedHostComesBackWhereTheLedgerHasIt) {
  Started Test;
  Test.Around.crash(First, 30min);
  BOOST_TEST(Test.reaches(First, HostState::Failed, 60s));
  Test.Around.run(29min);
  BOOST_TEST(Test.reaches(First, HostState::InService, 10min));
  BOOST_TEST((Test.Around.ledger().Hosts.at(First).Pool == PoolName("p4")));
  BOOST_TEST(Test.Around.strayWorkers().empty());
  checkClean(Test.Around);
}

// Found by FleetFaults, seeds 143 and 151.
BOOST_AUTO_TEST_CASE(AWorkerThatForgotItsDrainIsNotRebootedWhileItTakesTasks) {
  Started Test;
  Test.Around.deafenEntry(0, 30s);
  BOOST_TEST(Test.ask({0, OperatorVerb::Drain, First, {}, {}}).ok());
  Test.Around.run(10s);
  BOOST_TEST((Test.state(First) == HostState::Leaving));
  Test.Around.forgetDrain(First);
  BOOST_TEST(Test.reaches(First, HostState::InService, 180s));
  BOOST_TEST(Test.Around.counts().Reboots == 1u);
  BOOST_TEST(Test.Around.counts().RebootsUndrained == 0u);
  BOOST_TEST(Test.Around.strayWorkers().empty());
  checkClean(Test.Around);
}

BOOST_AUTO_TEST_CASE(NoHostIsLostWhenTheControllerIsCutOff) {
  Started Test;
  for (const HostName &Host : Test.Around.hostNames()) {
    Test.Around.muteWorker(Host, 5min);
  }
  Test.Around.run(4min);
  BOOST_TEST(Test.Around.logged("reports-missing"));
  BOOST_TEST(!Test.Around.logged("host-lost"));
}

BOOST_AUTO_TEST_CASE(AWaveWaitsForItsWindowAndForDemand) {
  WorldOptions Options;
  Options.MaintainedAgo = 1000h;
  RuleSet Rules = worldRules(Options, 1000h);
  // The world begins at 01:00.
  Rules.Maintenance.Windows = {{1h + 10min, 2h}};
  World Around(Options, Rules);
  DemandSeen Busy;
  Busy.Pools.push_back({PoolName("p0"), 70, 30});
  Around.demand(Busy);
  Around.run(9min);
  BOOST_TEST(Around.counts().Reboots == 0u);
  Around.run(30min);
  BOOST_TEST(Around.counts().Reboots >= 30u);
  for (const auto &[Host, Record] : Around.ledger().Hosts) {
    // The busy pool keeps its hosts.
    BOOST_TEST((Record.Pool != PoolName("p0") || Record.accepting()));
  }
  checkClean(Around);
}

BOOST_AUTO_TEST_CASE(LastingDemandMovesASpareHost) {
  WorldOptions Options;
  RuleSet Rules = worldRules(Options, 1000h);
  for (auto &[Pool, Rule] : Rules.Pools) {
    Rule.Away = {AwayBudget::Kind::Hosts, 1};
  }
  World Around(Options, Rules);
  DemandSeen Busy;
  Busy.Pools.push_back({PoolName("p0"), 70, 0});
  Around.demand(Busy);
  const auto Members = [&](const char *Pool) {
    return AwayCounts(Around.ledger()).pool(PoolName(Pool)).Members;
  };
  BOOST_TEST(Around.runUntil(
      [&] { return begun(Around) && Members("p0") == 11u; }, 40min));
  // When it ends, the spare pool returns to its size.
  Busy.Pools.front().SlotsInUse = 5;
  Around.demand(Busy);
  BOOST_TEST(Around.runUntil([&] { return Members("p4") == 10u; }, 60min));
  checkClean(Around);
}

BOOST_AUTO_TEST_CASE(ARemovedHostIsForgotten) {
  Started Test;
  Test.Around.remove(First);
  BOOST_TEST(Test.reaches(First, HostState::Failed, 60s));
  BOOST_TEST(Test.Around.runUntil(
      [&] { return !Test.Around.ledger().Hosts.contains(First); }, 15min));
  checkClean(Test.Around);
}
