/// \file
/// Histories of entries that adopt rules under all pairs of faults.

#include <boost/test/unit_test.hpp>

#include "AdoptionWorld.h"

using namespace balsamlatch;
using namespace balsamlatch::test;

namespace {

constexpr int FaultKinds = 8;

/// A history that the checker accepts.
AdoptionHistory goodHistory() {
  AdoptionHistory Good;
  Good.Entries = 1;
  Good.Landed = {{RulesVersion(1), sha256("one")},
                 {RulesVersion(2), sha256("two")}};
  Good.Observed = {{0, 0, RulesVersion(1), sha256("one")},
                   {0, 0, RulesVersion(2), sha256("two")}};
  Good.Acknowledged = {{RulesVersion(2), "quota a 1 slots"}};
  Good.LastText = "quota a 1 slots\n";
  return Good;
}

} // namespace

BOOST_AUTO_TEST_CASE(HistoriesHoldUnderAllPairsOfFaults) {
  std::uint64_t Seed = 1;
  std::size_t Landed = 0;
  std::size_t Observed = 0;
  for (int A = 0; A < FaultKinds; ++A) {
    for (int B = A; B < FaultKinds; ++B, ++Seed) {
      const AdoptionHistory History =
          runWorld({WorldFault(A), WorldFault(B)}, Seed);
      const std::string Fault = checkHistory(History);
      BOOST_TEST(Fault == "", "faults " << A << " and " << B << ", seed "
                                        << Seed << ": " << Fault);
      BOOST_TEST(History.Acknowledged.size() > 1U);
      Landed += History.Landed.size();
      Observed += History.Observed.size();
    }
  }
  // The worlds did change rules, often enough to cut heads back.
  BOOST_TEST(Landed > 500U);
  BOOST_TEST(Observed > 2000U);
  BOOST_TEST_MESSAGE(Landed << " versions, " << Observed << " adoptions");
}

BOOST_AUTO_TEST_CASE(TheCheckerCatchesBadHistories) {
  BOOST_TEST(checkHistory(goodHistory()) == "");
  using Spoil = void (*)(AdoptionHistory &);
  const std::vector<Spoil> Spoils = {
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
  for (std::size_t I = 0; I < Spoils.size(); ++I) {
    AdoptionHistory Bad = goodHistory();
    Spoils[I](Bad);
    BOOST_TEST(checkHistory(Bad) != "", "spoil " << I);
  }
}

BOOST_AUTO_TEST_CASE(AFreshEntryTakesRulesFromPeersWhileTheStoreIsDown) {
  const Owners Keys;
  ChainView View = firstView(Keys);
  for (unsigned I = 0; I < 30; ++I) {
    View = withQuota(View, Keys, 20 + I, I % 2 == 0);
  }
  Adoption Fresh({Keys.keys(), RulesVersion()});
  const Instant Now{};
  const std::vector<AdoptionAction> Start = Fresh.start(Now);
  BOOST_REQUIRE(Start.size() == 1U);
  const StoreReply Down{absl::UnavailableError("down"), {}};
  Fresh.handle(StoreReplied{std::get<CallStore>(Start[0]).Request, Down}, Now);
  Fresh.handle(HeadSeen{"peer", 7, printHead(View.Head)}, Now);
  const std::vector<AdoptionAction> Failed =
      Fresh.handle(StoreReplied{StoreRead{std::string(BaseKey)}, Down}, Now);
  BOOST_REQUIRE(Failed.size() == 1U);
  BOOST_TEST(std::holds_alternative<PullBase>(Failed[0]));
  BOOST_TEST(!Fresh.rules());
  Fresh.handle(BaseSeen{"peer", printBase(View.Base)}, Now);
  BOOST_REQUIRE(Fresh.rules() != nullptr);
  BOOST_TEST(Fresh.rules()->Version.Value == 31U);
  // What it now hands on is enough for the next fresh entry.
  BOOST_TEST(
      viewChain(printHead(View.Head), Fresh.baseDocument(), Keys.keys()).ok());
}

BOOST_AUTO_TEST_CASE(VersionsBelowTheLowestAreRefused) {
  const Owners Keys;
  const ChainView View = firstView(Keys);
  Adoption Entry({Keys.keys(), RulesVersion(2)});
  Entry.handle(HeadSeen{"peer", 1, printHead(View.Head)}, Instant());
  const std::vector<AdoptionAction> Refused =
      Entry.handle(BaseSeen{"peer", printBase(View.Base)}, Instant());
  BOOST_TEST(!Entry.rules());
  const auto *Report = std::get_if<AdoptionReport>(&Refused.front());
  BOOST_REQUIRE(Report != nullptr);
  BOOST_TEST(Report->Reason == "rules-refused");
}
