/// \file
/// Tests of the ledger's text form, of the host lifecycle and of the plan.

#define BOOST_TEST_MODULE FleetUnits
#include <boost/test/unit_test.hpp>

#include "HostLifecycle.h"
#include "balsamlatch/Fleet/Ledger.h"
#include "balsamlatch/Fleet/Plan.h"

#include <array>
#include <boost/json.hpp>
#include <fmt/format.h>

using namespace balsamlatch;
using namespace balsamlatch::fleet;
using namespace std::chrono_literals;

namespace {

constexpr std::array AllStates = {
    HostState::InService,     HostState::Leaving,     HostState::Drained,
    HostState::InMaintenance, HostState::OnProbation, HostState::Failed};

Ledger largeLedger(int Hosts, int Pools) {
  Ledger Value;
  Value.WriterToken = "entry-ch-1-01-5f2e8b1c90d3a477-123456";
  for (int I = 0; I < Hosts; ++I) {
    HostRecord Record;
    Record.Pool = PoolName(fmt::format("pool-{:02}", I % Pools));
    Record.Rack = RackName(fmt::format("rack-{:03}", I / 4));
    Record.DataCentre = DataCentreName(fmt::format("ch-{}", I % 9));
    Record.StateVersion = 1'000'000 + static_cast<unsigned>(I);
    Record.LastMaintained = WallTime(1'800'000'000s);
    if (I % 10 == 0) {
      Record.State = HostState::Leaving;
      Record.CurrentOperation = {
          OperationKind::Maintain,
          fmt::format("entry-ch-1-01-5f2e8b1c90d3a477-w{}", I),
          {},
          "rule line 17",
          WallTime(1'800'000'001s),
          12,
          false,
          {}};
    }
    Value.Hosts.emplace(HostName(fmt::format("worker-{:04}", I)), Record);
  }
  return Value;
}

} // namespace

BOOST_AUTO_TEST_CASE(LedgerRoundTrips) {
  Ledger Value = largeLedger(30, 5);
  Value.HaltedBy = "anna";
  Value.Wave = {30, 3, 1, "more lost than 10 percent"};
  const absl::StatusOr<Ledger> Decoded = decodeLedger(encodeLedger(Value));
  BOOST_REQUIRE(Decoded.ok());
  BOOST_TEST((*Decoded == Value));
}

BOOST_AUTO_TEST_CASE(EncodedLedgersFitTheStore) {
  BOOST_TEST(encodeLedger(largeLedger(500, 30)).size() < 60'000u);
  BOOST_TEST(encodeLedger(largeLedger(1500, 88)).size() < 200'000u);
}

BOOST_AUTO_TEST_CASE(InvalidTextsAreRejected) {
  const std::string ValidText = encodeLedger(largeLedger(1, 1));
  for (const std::string &Text :
       {std::string(), std::string("[]"), std::string("{}"),
        ValidText.substr(0, ValidText.size() - 2),
        std::string(R"({"writer":"","halt":"","wave":[0,0,0,""],)"
                    R"("hosts":{"a":["p",9,"r","d",1,0]}})")}) {
    BOOST_TEST(!decodeLedger(Text).ok(), Text);
  }
}

BOOST_AUTO_TEST_CASE(OnlyLegalTransitionsExist) {
  const auto TargetStates = [](HostState Source) {
    std::string Row;
    for (const HostState Target : AllStates) {
      Row += legalTransition(Source, Target)
                 ? std::string(" ") + stateCode(Target)
                 : "";
    }
    return Row;
  };
  BOOST_TEST(TargetStates(HostState::InService) == " leaving failed");
  BOOST_TEST(TargetStates(HostState::Leaving) == " in-service drained failed");
  BOOST_TEST(TargetStates(HostState::Drained) ==
             " in-service in-maintenance on-probation failed");
  BOOST_TEST(TargetStates(HostState::InMaintenance) == " on-probation failed");
  BOOST_TEST(TargetStates(HostState::OnProbation) ==
             " in-service leaving failed");
  BOOST_TEST(TargetStates(HostState::Failed) == " on-probation");
}

BOOST_AUTO_TEST_CASE(IllegalChangeIsRejected) {
  const absl::StatusOr<HostState> Result =
      nextState(HostState::InMaintenance, HostChange::Leave);
  BOOST_TEST(absl::IsFailedPrecondition(Result.status()));
}

BOOST_AUTO_TEST_CASE(PlanListsRoundsAndBlockers) {
  Ledger Value = largeLedger(4, 2);
  RuleSet Rules;
  for (const char *Name : {"pool-00", "pool-01"}) {
    PoolRule Pool;
    Pool.Pool = PoolName(Name);
    Pool.Away = {AwayBudget::Kind::Hosts, 1};
    Pool.Origin.Line = 3;
    Rules.Pools.emplace(Pool.Pool, Pool);
  }
  Rules.Maintenance.Period = 8 * 7 * 24h;
  const WallTime Now = WallTime(1'800'000'000s) + 7 * 7 * 24h;
  // worker-0000 is leaving, which uses up the budget of its pool.
  const HostBlockers OperationBlockers = {
      {HostName("worker-0000"), {"waiting-worker", 0, "2 slots in use"}}};
  BOOST_TEST(
      planText(Value, Rules, {}, Now, 1, OperationBlockers) ==
      "away      worker-0000          pool-00          leaving         "
      "maintain rule line 17; waiting-worker: 2 slots in use\n"
      "round 1   worker-0001          pool-01\n"
      "waits     worker-0003          pool-01          budget-pool: pool "
      "pool-01 has 1 of 2 hosts away and may have 1\n"
      "waits     worker-0002          pool-00          budget-pool: pool "
      "pool-00 has 1 of 2 hosts away and may have 1\n");
  Value.HaltedBy = "anna";
  const boost::json::object Json =
      planJson(Value, Rules, {}, Now, 1, OperationBlockers);
  BOOST_TEST(Json.at("blocked").at(0).at("reason") == "fleet-halted");
  BOOST_TEST(Json.at("away").at(0).at("why").at(0).at("reason") ==
             "waiting-worker");
}
