/// \file
/// Tests of changes and of the chain of versions: versions that both owners
/// signed are accepted, all others are refused.

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
  const ChainView View = initialView(Keys);
  const std::string Text = replaceFirst(View.Latest.text(), OldQuota, NewQuota);
  using Signers = std::initializer_list<const PrivateKey *>;
  for (const Signers &SignerList :
       {Signers{}, Signers{&Keys.Anna}, Signers{&Keys.Beat},
        Signers{&Keys.Anna, &Keys.Anna}, Signers{&Keys.Anna, &Keys.Carl},
        Signers{&Keys.Beat, &Keys.Carl}}) {
    const SignedChange Proposal = signedChange(View, Text, SignerList);
    BOOST_TEST(absl::IsPermissionDenied(
        planLanding(View, Proposal, Keys.Anna).status()));
  }
  const SignedChange Proposal =
      signedChange(View, Text, {&Keys.Beat, &Keys.Anna});
  const absl::StatusOr<LandingPlan> Plan =
      planLanding(View, Proposal, Keys.Beat);
  BOOST_REQUIRE(Plan.ok());
  BOOST_TEST(Plan->View.Latest.text() == Text);
  BOOST_TEST(Plan->View.Latest.version().Value == 2U);
  BOOST_TEST(absl::IsPermissionDenied(
      planLanding(View, Proposal, Keys.Carl).status()));
}

BOOST_AUTO_TEST_CASE(ChangesDontLandTwiceNorAfterARollback) {
  const Owners Keys;
  const ChainView View = initialView(Keys);
  const std::string Text = replaceFirst(View.Latest.text(), OldQuota, NewQuota);
  const SignedChange Proposal =
      signedChange(View, Text, {&Keys.Anna, &Keys.Beat});
  const ChainView Second = planLanding(View, Proposal, Keys.Anna)->View;
  const SignedChange Revert =
      signedChange(Second, View.Latest.text(), {&Keys.Anna, &Keys.Beat});
  const ChainView Third = planLanding(Second, Revert, Keys.Beat)->View;
  BOOST_TEST(Third.Latest.text() == View.Latest.text());
  BOOST_TEST(
      absl::IsAlreadyExists(planLanding(Third, Proposal, Keys.Anna).status()));
}

BOOST_AUTO_TEST_CASE(DisjointEditsBothLandConflictingOnesNeverHalf) {
  const Owners Keys;
  const ChainView View = initialView(Keys);
  const std::string &Text = View.Latest.text();
  const SignedChange Quota =
      signedChange(View, replaceFirst(Text, OldQuota, NewQuota),
                   {&Keys.Anna, &Keys.Beat}, "a");
  const SignedChange Appended =
      signedChange(View, Text + "quota crews 5 slots in counting # Beat\n",
                   {&Keys.Anna, &Keys.Beat}, "b");
  const SignedChange Conflicting = signedChange(
      View,
      replaceFirst(replaceFirst(Text, OldQuota, "quota drivers 30 slots"),
                   "away rack 2 hosts", "away rack 1 host"),
      {&Keys.Anna, &Keys.Beat}, "c");

  ChainView Next = planLanding(View, Quota, Keys.Anna)->View;
  Next = planLanding(Next, Appended, Keys.Beat)->View;
  BOOST_TEST(Next.Latest.text() ==
             replaceFirst(Text, OldQuota, NewQuota) +
                 "quota crews 5 slots in counting # Beat\n");
  const absl::Status Conflict =
      planLanding(Next, Conflicting, Keys.Anna).status();
  BOOST_TEST(absl::IsAborted(Conflict));
  BOOST_TEST(std::string(Conflict.message()) ==
             "line 5 no longer stands: quota drivers 40 slots in counting # "
             "Beat");
}

BOOST_AUTO_TEST_CASE(KeysChangeOnlyWithTheOldOwnersAndTheNewKey) {
  const Owners Keys;
  const ChainView View = initialView(Keys);
  const std::string Text =
      replaceFirst(View.Latest.text(), ownerLine("beat", Keys.Beat),
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
  const OwnerKeys NewKeys =
      sortedOwnerKeys(Keys.Anna.publicKey(), Keys.Carl.publicKey());
  BOOST_TEST((Next.Latest.owners() == NewKeys));
  Owners NewOwners;
  NewOwners.Beat = Keys.Carl;
  for (unsigned I = 0; I < 40; ++I) {
    Next = landQuotaChange(Next, NewOwners, 30 + I % 2, I % 3 == 0);
  }
  // Both the old and the new keys verify the head as trusted keys.
  const std::string Head = printHead(Next.Head);
  const std::string Base = printBase(Next.Base);
  BOOST_TEST(verifyPrinted(Head, Base, Keys.keys()).ok());
  BOOST_TEST(verifyPrinted(Head, Base, NewKeys).ok());
  // Without the change of keys, the old keys don't verify the head.
  HeadDocument HeadWithoutKeyChanges = Next.Head;
  HeadWithoutKeyChanges.KeyChanges.clear();
  BOOST_TEST(absl::IsPermissionDenied(
      verifyPrinted(printHead(HeadWithoutKeyChanges), Base, Keys.keys())));
}

BOOST_AUTO_TEST_CASE(AFreshEntryVerifiesFromAFewDocuments) {
  const Owners Keys;
  ChainView View = initialView(Keys);
  for (unsigned I = 0; I < 100; ++I) {
    View = landQuotaChange(View, Keys, 20 + I % 7, I % 5 != 0);
    BOOST_TEST(View.Head.Changes.size() <= HeadCompactionChanges);
    const absl::StatusOr<ChainView> Reread =
        viewChain(printHead(View.Head), printBase(View.Base), Keys.keys());
    BOOST_REQUIRE(Reread.ok());
    BOOST_TEST((Reread->Latest.chain() == View.Latest.chain()));
    BOOST_TEST((Reread->Head == View.Head));
  }
  BOOST_TEST(View.Latest.version().Value == 101U);
  BOOST_TEST(absl::IsPermissionDenied(verifyPrinted(
      printHead(View.Head), printBase(View.Base),
      sortedOwnerKeys(Keys.Anna.publicKey(), Keys.Carl.publicKey()))));
}

BOOST_AUTO_TEST_CASE(TamperedDocumentsAreRefused) {
  const Owners Keys;
  ChainView View = initialView(Keys);
  for (unsigned I = 0; I < 30; ++I) {
    View = landQuotaChange(View, Keys, 20 + I, I % 2 == 0);
  }
  using Tampering = std::function<void(HeadDocument &, BaseDocument &)>;
  const std::vector<Tampering> Tamperings = {
      [](HeadDocument &, BaseDocument &B) {
        B.Text = replaceFirst(B.Text, "away rack 2", "away rack 9");
      },
      [](HeadDocument &, BaseDocument &B) {
        B.Text = replaceFirst(B.Text, "away rack 2", "away rack 9");
        B.Steps.back().TextHash = sha256(B.Text);
      },
      [](HeadDocument &, BaseDocument &B) { B.Steps.pop_back(); },
      [](HeadDocument &, BaseDocument &B) {
        // Would let a change land twice.
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
        LandedChange Duplicate = H.Changes.front();
        Duplicate.Version = RulesVersion(H.version().Value + 1);
        H.Changes.push_back(Duplicate);
      },
      [](HeadDocument &H, BaseDocument &) { H.First.Nonce += "x"; },
  };
  for (std::size_t I = 0; I < Tamperings.size(); ++I) {
    HeadDocument Head = View.Head;
    BaseDocument Base = View.Base;
    Tamperings[I](Head, Base);
    BOOST_TEST(
        !verifyPrinted(printHead(Head), printBase(Base), Keys.keys()).ok(),
        "tamper " << I);
  }
}

BOOST_AUTO_TEST_CASE(HeadsWithGapsAreNoHeads) {
  const Owners Keys;
  ChainView View = initialView(Keys);
  for (unsigned I = 0; I < 4; ++I) {
    View = landQuotaChange(View, Keys, 20 + I);
  }
  HeadDocument HeadWithGap = View.Head;
  HeadWithGap.Changes.erase(HeadWithGap.Changes.begin());
  BOOST_TEST(absl::IsDataLoss(parseHead(printHead(HeadWithGap)).status()));
  HeadDocument HeadWithDuplicate = View.Head;
  HeadWithDuplicate.Changes.push_back(HeadWithDuplicate.Changes.front());
  BOOST_TEST(
      absl::IsDataLoss(parseHead(printHead(HeadWithDuplicate)).status()));
}

BOOST_AUTO_TEST_CASE(MutatedDocumentsAreRefusedOrMeanTheSame) {
  const Owners Keys;
  ChainView View = initialView(Keys);
  for (unsigned I = 0; I < 20; ++I) {
    View = landQuotaChange(View, Keys, 20 + I, I % 2 == 0);
  }
  std::mt19937 Random(11);
  const std::string Bytes = "0189af\"{}[],:\\u \n#";
  for (int Round = 0; Round < 600; ++Round) {
    std::string Head = printHead(View.Head);
    std::string Base = printBase(View.Base);
    std::string &Text = Round % 2 == 0 ? Head : Base;
    const std::size_t Position = Random() % Text.size();
    if (Random() % 3 == 0) {
      Text.erase(Position, Random() % 5 + 1);
    } else {
      Text[Position] = Bytes[Random() % Bytes.size()];
    }
    const absl::StatusOr<ChainView> Verified =
        viewChain(Head, Base, Keys.keys());
    BOOST_TEST(
        (!Verified.ok() || Verified->Latest.chain() == View.Latest.chain()),
        "round " << Round);
    BOOST_TEST(
        (!Verified.ok() || Verified->Latest.text() == View.Latest.text()),
        "round " << Round);
  }
}

BOOST_AUTO_TEST_CASE(OneOwnerAloneCantReplaceTheBase) {
  // Beat controls the store. He builds a base document with a text that Anna
  // never signed, on top of the genuine first version.
  const Owners Keys;
  const ChainView Genuine = landQuotaChange(initialView(Keys), Keys, 33);
  BaseDocument Base = Genuine.Latest.base();
  Base.Text = replaceFirst(Base.Text, "away rack 2", "away rack 9");
  Base.Steps.back().TextHash = sha256(Base.Text);
  const ChainState Forged = *ChainState::fromBase(Base);
  ChainView View{{Genuine.Head.First, {}, Forged.version(), {}}, Base, Forged};
  SignedChange Proposal = signedChange(
      View, replaceFirst(Forged.text(), "drivers 33", "drivers 34"),
      {&Keys.Beat, &Keys.Carl});
  LandedChange Entry{
      RulesVersion(Forged.version().Value + 1),
      Proposal,
      sha256(replaceFirst(Forged.text(), "drivers 33", "drivers 34")),
      {}};
  View.Head.Changes.push_back(Entry);
  const absl::Status Result =
      verifyPrinted(printHead(View.Head), printBase(Base), Keys.keys());
  BOOST_TEST(absl::IsPermissionDenied(Result));
}

BOOST_AUTO_TEST_CASE(OldAndForeignBasesAreRefused) {
  const Owners Keys;
  const ChainView First = initialView(Keys);
  const std::string Text =
      replaceFirst(First.Latest.text(), "away rack 2", "away rack 1");
  const SignedChange OldChange =
      signedChange(First, Text, {&Keys.Anna, &Keys.Beat}, "old");
  // A chain of another deployment with the same owners and text.
  const ChainView OtherChain = *startChain(initialText(Keys), RulesVersion(1),
                                           "n1", Keys.Anna, Keys.Beat);
  BOOST_TEST(absl::IsFailedPrecondition(
      planLanding(OtherChain, OldChange, Keys.Anna).status()));

  BaseDocument Base = First.Latest.base();
  std::string Latest = Base.Text;
  for (std::uint64_t I = 0; I < MaxBaseAge; ++I) {
    Base.Steps.push_back({sha256(std::to_string(I)), sha256(Latest)});
  }
  Base.Version = RulesVersion(1 + MaxBaseAge);
  const ChainState LateState = *ChainState::fromBase(Base);
  BOOST_TEST(absl::IsFailedPrecondition(LateState.land(OldChange).status()));
}
