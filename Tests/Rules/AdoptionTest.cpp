/// \file
/// Tests of Adoption: simulated histories under all pairs of faults, and single
/// cases.

#include <boost/test/unit_test.hpp>

#include "AdoptionSimulation.h"

using namespace balsamlatch;
using namespace balsamlatch::test;

namespace {

constexpr int FaultKinds = 8;

/// A history without violations.
AdoptionHistory validHistory() {
  AdoptionHistory History;
  History.Entries = 1;
  History.Landed = {{RulesVersion(1), sha256("one")},
                    {RulesVersion(2), sha256("two")}};
  History.Observed = {{0, 0, RulesVersion(1), sha256("one")},
                      {0, 0, RulesVersion(2), sha256("two")}};
  History.Acknowledged = {{RulesVersion(2), "quota a 1 slots"}};
  History.LastText = "quota a 1 slots\n";
  return History;
}

} // namespace

BOOST_AUTO_TEST_CASE(HistoriesHoldUnderAllPairsOfFaults) {
  std::uint64_t Seed = 1;
  std::size_t LandedCount = 0;
  std::size_t ObservedCount = 0;
  for (int A = 0; A < FaultKinds; ++A) {
    for (int B = A; B < FaultKinds; ++B, ++Seed) {
      const AdoptionHistory History =
          runSimulation({SimulatedFault(A), SimulatedFault(B)}, Seed);
      const std::string Violation = checkHistory(History);
      BOOST_TEST(Violation == "", "faults " << A << " and " << B << ", seed "
                                            << Seed << ": " << Violation);
      BOOST_TEST(History.Acknowledged.size() > 1U);
      LandedCount += History.Landed.size();
      ObservedCount += History.Observed.size();
    }
  }
  // The simulations must land enough changes for heads to be compacted.
  BOOST_TEST(LandedCount > 500U);
  BOOST_TEST(ObservedCount > 2000U);
  BOOST_TEST_MESSAGE(LandedCount << " versions, " << ObservedCount
                                 << " adoptions");
}

BOOST_AUTO_TEST_CASE(TheCheckerCatchesBadHistories) {
  BOOST_TEST(checkHistory(validHistory()) == "");
  using Corruption = void (*)(AdoptionHistory &);
  const std::vector<Corruption> Corruptions = {
      [](AdoptionHistory &H) { H.Observed[0].Version = RulesVersion(3); },
      [](AdoptionHistory &H) { H.Observed[0].Text = sha256("forged"); },
      [](AdoptionHistory &H) { std::swap(H.Observed[0], H.Observed[1]); },
      [](AdoptionHistory &H) { H.Observed.push_back(H.Observed[1]); },
      [](AdoptionHistory &H) { H.Observed.pop_back(); },
      [](AdoptionHistory &H) { H.Entries = 2; },
      [](AdoptionHistory &H) { H.LastText = ""; },
      [](AdoptionHistory &H) {
        H.Acknowledged.push_back(H.Acknowledged.front());
      },
  };
  for (std::size_t I = 0; I < Corruptions.size(); ++I) {
    AdoptionHistory Corrupted = validHistory();
    Corruptions[I](Corrupted);
    BOOST_TEST(checkHistory(Corrupted) != "", "spoil " << I);
  }
}

BOOST_AUTO_TEST_CASE(AFreshEntryTakesRulesFromPeersWhileTheStoreIsDown) {
  const Owners Keys;
  ChainView View = initialView(Keys);
  for (unsigned I = 0; I < 30; ++I) {
    View = landQuotaChange(View, Keys, 20 + I, I % 2 == 0);
  }
  Adoption NewEntry({Keys.keys(), RulesVersion()});
  const Instant Now{};
  const std::vector<AdoptionAction> StartActions = NewEntry.start(Now);
  BOOST_REQUIRE(StartActions.size() == 1U);
  const StoreReply Unavailable{absl::UnavailableError("down"), {}};
  NewEntry.handle(
      StoreReplied{std::get<CallStore>(StartActions[0]).Request, Unavailable},
      Now);
  NewEntry.handle(HeadReceived{"peer", 7, printHead(View.Head)}, Now);
  const std::vector<AdoptionAction> NewActions = NewEntry.handle(
      StoreReplied{StoreRead{std::string(BaseKey)}, Unavailable}, Now);
  BOOST_REQUIRE(NewActions.size() == 1U);
  BOOST_TEST(std::holds_alternative<RequestBase>(NewActions[0]));
  BOOST_TEST(!NewEntry.rules());
  NewEntry.handle(BaseReceived{"peer", printBase(View.Base)}, Now);
  BOOST_REQUIRE(NewEntry.rules() != nullptr);
  BOOST_TEST(NewEntry.rules()->Version.Value == 31U);
  // Its base document lets the next new entry verify the head.
  BOOST_TEST(
      viewChain(printHead(View.Head), NewEntry.baseDocument(), Keys.keys())
          .ok());
}

BOOST_AUTO_TEST_CASE(VersionsBelowTheLowestAreRefused) {
  const Owners Keys;
  const ChainView View = initialView(Keys);
  Adoption Entry({Keys.keys(), RulesVersion(2)});
  Entry.handle(HeadReceived{"peer", 1, printHead(View.Head)}, Instant());
  const std::vector<AdoptionAction> NewActions =
      Entry.handle(BaseReceived{"peer", printBase(View.Base)}, Instant());
  BOOST_TEST(!Entry.rules());
  const auto *Report = std::get_if<AdoptionReport>(&NewActions.front());
  BOOST_REQUIRE(Report != nullptr);
  BOOST_TEST(Report->Reason == "rules-refused");
}
