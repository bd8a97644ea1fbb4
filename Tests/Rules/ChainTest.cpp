/// \file
/// Tests of changes and of the chain of versions: what both owners signed is
/// followed, and all else is refused.

#include <boost/test/unit_test.hpp>

#include "ChainFixture.h"

#include <functional>
#include <random>

using namespace balsamlatch;
using namespace balsamlatch::test;

namespace {

const std::string OldQuota = "quota drivers 40 slots";
const std::string NewQuota = "quota drivers 50 slots";

absl::Status verifyPrinted(const std::string &Head, const std::string &Base,
                           const OwnerKeys &Trusted) {
  return viewChain(Head, Base, Trusted).status();
}

} // namespace

BOOST_AUTO_TEST_CASE(BothSignaturesAreNeeded) {
  const Owners Keys;
  const ChainView View = firstView(Keys);
  const std::string Text = replaced(View.Latest.text(), OldQuota, NewQuota);
  using Signers = std::initializer_list<const PrivateKey *>;
  for (const Signers &Some :
       {Signers{}, Signers{&Keys.Anna}, Signers{&Keys.Beat},
        Signers{&Keys.Anna, &Keys.Anna}, Signers{&Keys.Anna, &Keys.Carl},
        Signers{&Keys.Beat, &Keys.Carl}}) {
    const SignedChange Subject = signedChange(View, Text, Some);
    BOOST_TEST(absl::IsPermissionDenied(
        planLanding(View, Subject, Keys.Anna).status()));
  }
  const SignedChange Subject =
      signedChange(View, Text, {&Keys.Beat, &Keys.Anna});
  const absl::StatusOr<LandingPlan> Plan =
      planLanding(View, Subject, Keys.Beat);
  BOOST_REQUIRE(Plan.ok());
  BOOST_TEST(Plan->View.Latest.text() == Text);
  BOOST_TEST(Plan->View.Latest.version().Value == 2U);
  BOOST_TEST(
      absl::IsPermissionDenied(planLanding(View, Subject, Keys.Carl).status()));
}

BOOST_AUTO_TEST_CASE(ChangesDontLandTwiceNorAfterARollback) {
  const Owners Keys;
  const ChainView View = firstView(Keys);
  const std::string Text = replaced(View.Latest.text(), OldQuota, NewQuota);
  const SignedChange Subject =
      signedChange(View, Text, {&Keys.Anna, &Keys.Beat});
  const ChainView Second = planLanding(View, Subject, Keys.Anna)->View;
  const SignedChange Back =
      signedChange(Second, View.Latest.text(), {&Keys.Anna, &Keys.Beat});
  const ChainView Third = planLanding(Second, Back, Keys.Beat)->View;
  BOOST_TEST(Third.Latest.text() == View.Latest.text());
  BOOST_TEST(
      absl::IsAlreadyExists(planLanding(Third, Subject, Keys.Anna).status()));
}

BOOST_AUTO_TEST_CASE(DisjointEditsBothLandConflictingOnesNeverHalf) {
  const Owners Keys;
  const ChainView View = firstView(Keys);
  const std::string &Text = View.Latest.text();
  const SignedChange Quota = signedChange(
      View, replaced(Text, OldQuota, NewQuota), {&Keys.Anna, &Keys.Beat}, "a");
  const SignedChange Appended =
      signedChange(View, Text + "quota crews 5 slots in counting # Beat\n",
                   {&Keys.Anna, &Keys.Beat}, "b");
  const SignedChange Both =
      signedChange(View,
                   replaced(replaced(Text, OldQuota, "quota drivers 30 slots"),
                            "away rack 2 hosts", "away rack 1 host"),
                   {&Keys.Anna, &Keys.Beat}, "c");

  ChainView Next = planLanding(View, Quota, Keys.Anna)->View;
  Next = planLanding(Next, Appended, Keys.Beat)->View;
  BOOST_TEST(Next.Latest.text() ==
             replaced(Text, OldQuota, NewQuota) +
                 "quota crews 5 slots in counting # Beat\n");
  const absl::Status Loser = planLanding(Next, Both, Keys.Anna).status();
  BOOST_TEST(absl::IsAborted(Loser));
  BOOST_TEST(std::string(Loser.message()) ==
             "line 5 no longer stands: quota drivers 40 slots in counting # "
             "Beat");
}

BOOST_AUTO_TEST_CASE(KeysChangeOnlyWithTheOldOwnersAndTheNewKey) {
  const Owners Keys;
  const ChainView View = firstView(Keys);
  const std::string Text =
      replaced(View.Latest.text(), ownerLine("beat", Keys.Beat),
               ownerLine("beat", Keys.Carl));
  for (const auto &Signers :
       {std::initializer_list<const PrivateKey *>{&Keys.Anna, &Keys.Carl},
        {&Keys.Anna, &Keys.Beat}}) {
    BOOST_TEST(absl::IsPermissionDenied(
        planLanding(View, signedChange(View, Text, Signers), Keys.Anna)
            .status()));
  }
  ChainView Next =
      planLanding(
          View, signedChange(View, Text, {&Keys.Anna, &Keys.Beat, &Keys.Carl}),
          Keys.Anna)
          ->View;
  const OwnerKeys After =
      ownerKeys(Keys.Anna.publicKey(), Keys.Carl.publicKey());
  BOOST_TEST((Next.Latest.owners() == After));
  Owners Later;
  Later.Beat = Keys.Carl;
  for (unsigned I = 0; I < 40; ++I) {
    Next = withQuota(Next, Later, 30 + I % 2, I % 3 == 0);
  }
  // An entry that knows the old keys, and one that knows the new ones.
  const std::string Head = printHead(Next.Head);
  const std::string Base = printBase(Next.Base);
  BOOST_TEST(verifyPrinted(Head, Base, Keys.keys()).ok());
  BOOST_TEST(verifyPrinted(Head, Base, After).ok());
  // Without the change of keys, the old ones lead nowhere.
  HeadDocument Cut = Next.Head;
  Cut.KeyChanges.clear();
  BOOST_TEST(absl::IsPermissionDenied(
      verifyPrinted(printHead(Cut), Base, Keys.keys())));
}

BOOST_AUTO_TEST_CASE(AFreshEntryVerifiesFromAFewDocuments) {
  const Owners Keys;
  ChainView View = firstView(Keys);
  for (unsigned I = 0; I < 100; ++I) {
    View = withQuota(View, Keys, 20 + I % 7, I % 5 != 0);
    BOOST_TEST(View.Head.Changes.size() <= HeadCompactionChanges);
    const absl::StatusOr<ChainView> Fresh =
        viewChain(printHead(View.Head), printBase(View.Base), Keys.keys());
    BOOST_REQUIRE(Fresh.ok());
    BOOST_TEST((Fresh->Latest.chain() == View.Latest.chain()));
    BOOST_TEST((Fresh->Head == View.Head));
  }
  BOOST_TEST(View.Latest.version().Value == 101U);
  BOOST_TEST(absl::IsPermissionDenied(
      verifyPrinted(printHead(View.Head), printBase(View.Base),
                    ownerKeys(Keys.Anna.publicKey(), Keys.Carl.publicKey()))));
}

BOOST_AUTO_TEST_CASE(TamperedDocumentsAreRefused) {
  const Owners Keys;
  ChainView View = firstView(Keys);
  for (unsigned I = 0; I < 30; ++I) {
    View = withQuota(View, Keys, 20 + I, I % 2 == 0);
  }
  using Tamper = std::function<void(HeadDocument &, BaseDocument &)>;
  const std::vector<Tamper> Tampers = {
      [](HeadDocument &, BaseDocument &B) {
        B.Text = replaced(B.Text, "away rack 2", "away rack 9");
      },
      [](HeadDocument &, BaseDocument &B) {
        B.Text = replaced(B.Text, "away rack 2", "away rack 9");
        B.Steps.back().TextHash = sha256(B.Text);
      },
      [](HeadDocument &, BaseDocument &B) { B.Steps.pop_back(); },
      [](HeadDocument &, BaseDocument &B) {
        // Forgets which changes have landed.
        B.Steps.erase(B.Steps.begin());
      },
      [](HeadDocument &H, BaseDocument &) {
        H.Changes.erase(H.Changes.begin() + 1);
      },
      [](HeadDocument &H, BaseDocument &) {
        H.Changes.back().Subject.Content.Edits[0].New[0] += "!";
      },
      [](HeadDocument &H, BaseDocument &) {
        H.Changes.back().Subject.Approvals.pop_back();
      },
      [](HeadDocument &H, BaseDocument &) {
        H.Changes.back().Landing.Signed.Bytes[0] ^= 1U;
      },
      [](HeadDocument &H, BaseDocument &) {
        std::swap(H.Changes[H.Changes.size() - 1].Subject,
                  H.Changes[H.Changes.size() - 2].Subject);
      },
      [](HeadDocument &H, BaseDocument &) {
        LandedChange Again = H.Changes.front();
        Again.Version = RulesVersion(H.version().Value + 1);
        H.Changes.push_back(Again);
      },
      [](HeadDocument &H, BaseDocument &) { H.First.Nonce += "x"; },
  };
  for (std::size_t I = 0; I < Tampers.size(); ++I) {
    HeadDocument Head = View.Head;
    BaseDocument Base = View.Base;
    Tampers[I](Head, Base);
    BOOST_TEST(
        !verifyPrinted(printHead(Head), printBase(Base), Keys.keys()).ok(),
        "tamper " << I);
  }
}

BOOST_AUTO_TEST_CASE(HeadsWithGapsAreNoHeads) {
  const Owners Keys;
  ChainView View = firstView(Keys);
  for (unsigned I = 0; I < 4; ++I) {
    View = withQuota(View, Keys, 20 + I);
  }
  HeadDocument Gap = View.Head;
  Gap.Changes.erase(Gap.Changes.begin());
  BOOST_TEST(absl::IsDataLoss(parseHead(printHead(Gap)).status()));
  HeadDocument Twice = View.Head;
  Twice.Changes.push_back(Twice.Changes.front());
  BOOST_TEST(absl::IsDataLoss(parseHead(printHead(Twice)).status()));
}

BOOST_AUTO_TEST_CASE(MutatedDocumentsAreRefusedOrMeanTheSame) {
  const Owners Keys;
  ChainView View = firstView(Keys);
  for (unsigned I = 0; I < 20; ++I) {
    View = withQuota(View, Keys, 20 + I, I % 2 == 0);
  }
  std::mt19937 Random(11);
  const std::string Bytes = "0189af\"{}[],:\\u \n#";
  for (int Round = 0; Round < 600; ++Round) {
    std::string Head = printHead(View.Head);
    std::string Base = printBase(View.Base);
    std::string &Text = Round % 2 == 0 ? Head : Base;
    const std::size_t At = Random() % Text.size();
    if (Random() % 3 == 0) {
      Text.erase(At, Random() % 5 + 1);
    } else {
      Text[At] = Bytes[Random() % Bytes.size()];
    }
    const absl::StatusOr<ChainView> Read = viewChain(Head, Base, Keys.keys());
    BOOST_TEST((!Read.ok() || Read->Latest.chain() == View.Latest.chain()),
               "round " << Round);
    BOOST_TEST((!Read.ok() || Read->Latest.text() == View.Latest.text()),
               "round " << Round);
  }
}

BOOST_AUTO_TEST_CASE(OneOwnerAloneCantReplaceTheBase) {
  // Beat has the store: he makes a chain of his own text that Anna signed
  // nothing of, on top of the true first version.
  const Owners Keys;
  const ChainView True = withQuota(firstView(Keys), Keys, 33);
  BaseDocument Base = True.Latest.base();
  Base.Text = replaced(Base.Text, "away rack 2", "away rack 9");
  Base.Steps.back().TextHash = sha256(Base.Text);
  const ChainState Forged = *ChainState::fromBase(Base);
  ChainView View{{True.Head.First, {}, Forged.version(), {}}, Base, Forged};
  SignedChange Subject =
      signedChange(View, replaced(Forged.text(), "drivers 33", "drivers 34"),
                   {&Keys.Beat, &Keys.Carl});
  LandedChange Landed{
      RulesVersion(Forged.version().Value + 1),
      Subject,
      sha256(replaced(Forged.text(), "drivers 33", "drivers 34")),
      {}};
  View.Head.Changes.push_back(Landed);
  const absl::Status Refused =
      verifyPrinted(printHead(View.Head), printBase(Base), Keys.keys());
  BOOST_TEST(absl::IsPermissionDenied(Refused));
}

BOOST_AUTO_TEST_CASE(OldAndForeignBasesAreRefused) {
  const Owners Keys;
  const ChainView First = firstView(Keys);
  const std::string Text =
      replaced(First.Latest.text(), "away rack 2", "away rack 1");
  const SignedChange Old =
      signedChange(First, Text, {&Keys.Anna, &Keys.Beat}, "old");
  // A chain of the same owners and text, for another deployment.
  const ChainView Other =
      *startChain(firstText(Keys), RulesVersion(1), "n1", Keys.Anna, Keys.Beat);
  BOOST_TEST(
      absl::IsFailedPrecondition(planLanding(Other, Old, Keys.Anna).status()));

  BaseDocument Base = First.Latest.base();
  std::string Latest = Base.Text;
  for (std::uint64_t I = 0; I < MaxBaseAge; ++I) {
    Base.Steps.push_back({sha256(std::to_string(I)), sha256(Latest)});
  }
  Base.Version = RulesVersion(1 + MaxBaseAge);
  const ChainState Far = *ChainState::fromBase(Base);
  BOOST_TEST(absl::IsFailedPrecondition(Far.land(Old).status()));
}
