/// \file
/// Shows the history checker bad histories: it must name each broken rule.

#include <boost/test/unit_test.hpp>

#include "balsamlatch/Fleet/Audit.h"

#include <algorithm>

using namespace balsamlatch;
using namespace balsamlatch::fleet;

namespace {

const HostName A("a");
const HostName B("b");

RuleSet twoPools() {
  RuleSet Rules;
  for (const char *Name : {"p", "q"}) {
    PoolRule Pool;
    Pool.Pool = PoolName(Name);
    Pool.Away = {AwayBudget::Kind::Hosts, 1};
    Rules.Pools.emplace(Pool.Pool, Pool);
  }
  Rules.Domains.push_back(
      {DomainKind::DataCentre, {AwayBudget::Kind::Hosts, 1}, {}});
  return Rules;
}

HostRecord record(const char *Pool, HostState State, std::uint64_t Version,
                  const char *Operation = "") {
  HostRecord Record;
  Record.Pool = PoolName(Pool);
  Record.State = State;
  Record.Rack = RackName("r");
  Record.DataCentre = DataCentreName("d");
  Record.StateVersion = Version;
  Record.InHand.Id = Operation;
  return Record;
}

LedgerVersion version(std::uint64_t Number, HostRecord One, HostRecord Other) {
  Ledger Value;
  Value.Hosts = {{A, std::move(One)}, {B, std::move(Other)}};
  return {Number, std::move(Value)};
}

LedgerVersion allInService(std::uint64_t Number) {
  return version(Number, record("p", HostState::InService, 1),
                 record("p", HostState::InService, 1));
}

bool breaks(const std::vector<LedgerVersion> &History, AuditRule Rule) {
  const std::vector<Violation> Found = auditHistory(History, twoPools());
  return std::any_of(Found.begin(), Found.end(),
                     [&](const Violation &One) { return One.Broken == Rule; });
}

} // namespace

BOOST_AUTO_TEST_CASE(AGoodHistoryIsClean) {
  const std::vector<LedgerVersion> History = {
      allInService(1),
      version(2, record("p", HostState::Leaving, 2, "x"),
              record("p", HostState::InService, 1)),
      version(4, record("p", HostState::Drained, 3, "x"),
              record("p", HostState::Failed, 4, "lost")),
      version(5, record("p", HostState::InMaintenance, 5, "x"),
              record("p", HostState::Failed, 4, "lost"))};
  BOOST_TEST(auditHistory(History, twoPools()).empty());
}

BOOST_AUTO_TEST_CASE(VersionsMustRise) {
  BOOST_TEST(breaks({allInService(2), allInService(2)}, AuditRule::Versions));
  // A state that changed without its version, and the other way round.
  BOOST_TEST(
      breaks({allInService(1), version(2, record("p", HostState::Leaving, 1),
                                       record("p", HostState::InService, 1))},
             AuditRule::Versions));
  BOOST_TEST(
      breaks({allInService(1), version(2, record("p", HostState::InService, 2),
                                       record("p", HostState::InService, 1))},
             AuditRule::Versions));
}

BOOST_AUTO_TEST_CASE(IllegalTransitionsAreFound) {
  BOOST_TEST(breaks(
      {allInService(1), version(2, record("p", HostState::InMaintenance, 2),
                                record("p", HostState::InService, 1))},
      AuditRule::Transitions));
  BOOST_TEST(breaks({version(1, record("p", HostState::Failed, 1),
                             record("p", HostState::InService, 1)),
                     version(2, record("p", HostState::InService, 2),
                             record("p", HostState::InService, 1))},
                    AuditRule::Transitions));
}

BOOST_AUTO_TEST_CASE(APoolChangesOnlyByAMove) {
  BOOST_TEST(
      breaks({allInService(1), version(2, record("q", HostState::InService, 1),
                                       record("p", HostState::InService, 1))},
             AuditRule::OnePool));
  HostRecord Moving = record("p", HostState::Drained, 1, "m");
  Moving.InHand.Kind = OperationKind::Move;
  Moving.InHand.Target = PoolName("q");
  HostRecord Moved = Moving;
  Moved.Pool = PoolName("q");
  Moved.State = HostState::OnProbation;
  Moved.StateVersion = 2;
  const HostRecord Other = record("p", HostState::InService, 1);
  BOOST_TEST(!breaks({version(1, Moving, Other), version(2, Moved, Other)},
                     AuditRule::OnePool));
  Moved.Pool = PoolName("other");
  BOOST_TEST(breaks({version(1, Moving, Other), version(2, Moved, Other)},
                    AuditRule::OnePool));
}

BOOST_AUTO_TEST_CASE(BudgetsAreCheckedAtEachVersion) {
  // Two of one pool at once.
  BOOST_TEST(
      breaks({allInService(1), version(2, record("p", HostState::Leaving, 2),
                                       record("p", HostState::Leaving, 2))},
             AuditRule::Budgets));
  // Planned on top of a loss.
  BOOST_TEST(breaks({version(1, record("p", HostState::Failed, 1),
                             record("p", HostState::InService, 1)),
                     version(2, record("p", HostState::Failed, 1),
                             record("p", HostState::Leaving, 2))},
                    AuditRule::Budgets));
  // Different pools, the same data centre.
  BOOST_TEST(breaks({version(1, record("p", HostState::InService, 1),
                             record("q", HostState::InService, 1)),
                     version(2, record("p", HostState::Leaving, 2),
                             record("q", HostState::Leaving, 2))},
                    AuditRule::Budgets));
}

BOOST_AUTO_TEST_CASE(NothingThatEndedComesBack) {
  const HostRecord Other = record("p", HostState::InService, 1);
  BOOST_TEST(
      breaks({allInService(1),
              version(2, record("p", HostState::Leaving, 2, "x"), Other),
              version(3, record("p", HostState::InService, 3), Other),
              version(4, record("p", HostState::Leaving, 4, "x"), Other)},
             AuditRule::Resurrection));
  LedgerVersion Left = allInService(2);
  Left.Value.Hosts.erase(B);
  BOOST_TEST(breaks({allInService(1), Left}, AuditRule::Resurrection));
  BOOST_TEST(breaks({Left, allInService(3)}, AuditRule::Resurrection));
}

BOOST_AUTO_TEST_CASE(NothingBeginsDuringAHalt) {
  LedgerVersion Before = allInService(1);
  LedgerVersion After = version(2, record("p", HostState::Leaving, 2, "x"),
                                record("p", HostState::InService, 1));
  Before.Value.HaltedBy = "anna";
  After.Value.HaltedBy = "anna";
  BOOST_TEST(breaks({Before, After}, AuditRule::Halt));
}
