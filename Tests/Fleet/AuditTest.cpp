/// \file
/// Tests that the history checker reports each violated invariant.

#include <boost/test/unit_test.hpp>

#include "balsamlatch/Fleet/Audit.h"

#include <algorithm>

using namespace balsamlatch;
using namespace balsamlatch::fleet;

namespace {

const HostName HostA("a");
const HostName HostB("b");

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
  Record.CurrentOperation.Id = Operation;
  return Record;
}

LedgerVersion version(std::uint64_t Number, HostRecord FirstRecord,
                      HostRecord SecondRecord) {
  Ledger Value;
  Value.Hosts = {{HostA, std::move(FirstRecord)},
                 {HostB, std::move(SecondRecord)}};
  return {Number, std::move(Value)};
}

LedgerVersion allInService(std::uint64_t Number) {
  return version(Number, record("p", HostState::InService, 1),
                 record("p", HostState::InService, 1));
}

bool violates(const std::vector<LedgerVersion> &History,
              HistoryInvariant Rule) {
  const std::vector<Violation> Violations = auditHistory(History, twoPools());
  return std::any_of(
      Violations.begin(), Violations.end(),
      [&](const Violation &Entry) { return Entry.Invariant == Rule; });
}

} // namespace

BOOST_AUTO_TEST_CASE(ValidHistoryHasNoViolations) {
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

BOOST_AUTO_TEST_CASE(VersionsMustIncrease) {
  BOOST_TEST(violates({allInService(2), allInService(2)},
                      HistoryInvariant::MonotonicVersions));
  // A state change without a new version, and a new version without a state
  // change.
  BOOST_TEST(
      violates({allInService(1), version(2, record("p", HostState::Leaving, 1),
                                         record("p", HostState::InService, 1))},
               HistoryInvariant::MonotonicVersions));
  BOOST_TEST(violates(
      {allInService(1), version(2, record("p", HostState::InService, 2),
                                record("p", HostState::InService, 1))},
      HistoryInvariant::MonotonicVersions));
}

BOOST_AUTO_TEST_CASE(IllegalTransitionsAreReported) {
  BOOST_TEST(violates(
      {allInService(1), version(2, record("p", HostState::InMaintenance, 2),
                                record("p", HostState::InService, 1))},
      HistoryInvariant::LegalTransitions));
  BOOST_TEST(violates({version(1, record("p", HostState::Failed, 1),
                               record("p", HostState::InService, 1)),
                       version(2, record("p", HostState::InService, 2),
                               record("p", HostState::InService, 1))},
                      HistoryInvariant::LegalTransitions));
}

BOOST_AUTO_TEST_CASE(PoolChangesOnlyByAMove) {
  BOOST_TEST(violates(
      {allInService(1), version(2, record("q", HostState::InService, 1),
                                record("p", HostState::InService, 1))},
      HistoryInvariant::SinglePool));
  HostRecord Moving = record("p", HostState::Drained, 1, "m");
  Moving.CurrentOperation.Kind = OperationKind::Move;
  Moving.CurrentOperation.Target = PoolName("q");
  HostRecord Moved = Moving;
  Moved.Pool = PoolName("q");
  Moved.State = HostState::OnProbation;
  Moved.StateVersion = 2;
  const HostRecord OtherRecord = record("p", HostState::InService, 1);
  BOOST_TEST(!violates(
      {version(1, Moving, OtherRecord), version(2, Moved, OtherRecord)},
      HistoryInvariant::SinglePool));
  Moved.Pool = PoolName("other");
  BOOST_TEST(violates(
      {version(1, Moving, OtherRecord), version(2, Moved, OtherRecord)},
      HistoryInvariant::SinglePool));
}

BOOST_AUTO_TEST_CASE(BudgetsAreCheckedInEachVersion) {
  // Two hosts of one pool at once.
  BOOST_TEST(
      violates({allInService(1), version(2, record("p", HostState::Leaving, 2),
                                         record("p", HostState::Leaving, 2))},
               HistoryInvariant::DisruptionBudgets));
  // A planned absence in addition to a failed host.
  BOOST_TEST(violates({version(1, record("p", HostState::Failed, 1),
                               record("p", HostState::InService, 1)),
                       version(2, record("p", HostState::Failed, 1),
                               record("p", HostState::Leaving, 2))},
                      HistoryInvariant::DisruptionBudgets));
  // Different pools in one data centre.
  BOOST_TEST(violates({version(1, record("p", HostState::InService, 1),
                               record("q", HostState::InService, 1)),
                       version(2, record("p", HostState::Leaving, 2),
                               record("q", HostState::Leaving, 2))},
                      HistoryInvariant::DisruptionBudgets));
}

BOOST_AUTO_TEST_CASE(EndedOperationsAndRemovedHostsStayGone) {
  const HostRecord OtherRecord = record("p", HostState::InService, 1);
  BOOST_TEST(violates(
      {allInService(1),
       version(2, record("p", HostState::Leaving, 2, "x"), OtherRecord),
       version(3, record("p", HostState::InService, 3), OtherRecord),
       version(4, record("p", HostState::Leaving, 4, "x"), OtherRecord)},
      HistoryInvariant::RecordLifetime));
  LedgerVersion HostRemoved = allInService(2);
  HostRemoved.Value.Hosts.erase(HostB);
  BOOST_TEST(violates({allInService(1), HostRemoved},
                      HistoryInvariant::RecordLifetime));
  BOOST_TEST(violates({HostRemoved, allInService(3)},
                      HistoryInvariant::RecordLifetime));
}

BOOST_AUTO_TEST_CASE(NoOperationStartsDuringAHalt) {
  LedgerVersion Before = allInService(1);
  LedgerVersion After = version(2, record("p", HostState::Leaving, 2, "x"),
                                record("p", HostState::InService, 1));
  Before.Value.HaltedBy = "anna";
  After.Value.HaltedBy = "anna";
  BOOST_TEST(violates({Before, After}, HistoryInvariant::FleetHalt));
}
