/// \file
/// Making the next documents of the chain.

#include "balsamlatch/Rules/Landing.h"

#include "ChainSignatures.h"
#include "balsamlatch/Platform/Store.h"
#include "balsamlatch/Rules/ChainJson.h"
#include "balsamlatch/Rules/Parser.h"

#include <algorithm>
#include <fmt/format.h>

namespace balsamlatch {

namespace {

/// Beyond so many bytes a head is cut back early.
constexpr std::size_t HeadBytesWanted = 200'000;
constexpr std::string_view CheckedName = "rules";

absl::Status checkText(std::string_view Text) {
  const ParsedRules Parsed = parseRules(CheckedName, Text);
  return Parsed.Problems.hasErrors()
             ? absl::InvalidArgumentError(Parsed.Problems.render())
             : absl::OkStatus();
}

/// The head and base document that start from a later version, if both owners
/// attest it.
absl::StatusOr<ChainView> cutAt(const ChainView &View, RulesVersion NewBase) {
  HeadDocument Older = View.Head;
  std::erase_if(Older.Changes, [&](const LandedChange &Landed) {
    return Landed.Version > NewBase;
  });
  ChainView Cut = View;
  std::erase_if(Cut.Head.Changes, [&](const LandedChange &Landed) {
    return Landed.Version <= NewBase;
  });
  Cut.Head.Base = NewBase;
  const absl::StatusOr<ChainState> State =
      verifyHead(Older, View.Base, View.Latest.owners());
  if (!State.ok()) {
    return State.status();
  }
  Cut.Base = State->base();
  const absl::StatusOr<ChainState> Latest =
      verifyHead(Cut.Head, Cut.Base, View.Latest.owners());
  return Latest.ok() ? absl::StatusOr<ChainView>(std::move(Cut))
                     : Latest.status();
}

/// Cuts the head back to the changes that it should keep, or as near to that
/// as the owners' signatures allow. What is cut depends only on what is in the
/// store already, so that racing landings agree on the base document.
LandingPlan cutBack(const ChainView &View) {
  if (View.Head.Changes.size() + 1 >= HeadChangesMost ||
      printHead(View.Head).size() >= HeadBytesWanted) {
    const std::uint64_t Latest = View.Latest.version().Value;
    for (std::uint64_t Kept = HeadChangesKept - 1;
         Kept < View.Head.Changes.size(); ++Kept) {
      absl::StatusOr<ChainView> Cut = cutAt(View, RulesVersion(Latest - Kept));
      if (Cut.ok()) {
        return {*std::move(Cut), true, {}};
      }
    }
  }
  return {View, false, {}};
}

/// The changes that \p After no longer has, with the edits that undo them.
std::vector<RetiredChange> retired(const ChainView &Before,
                                   const ChainView &After) {
  std::vector<RetiredChange> Gone;
  absl::StatusOr<ChainState> State = ChainState::fromBase(Before.Base);
  for (const LandedChange &Landed : Before.Head.Changes) {
    if (!State.ok() || Landed.Version > After.Head.Base) {
      break;
    }
    if (Landed.Version <= State->version()) {
      continue;
    }
    absl::StatusOr<ChainState> Next = State->next(Landed);
    if (Next.ok()) {
      Gone.push_back({Landed, diffTexts(Next->text(), State->text())});
    }
    State = std::move(Next);
  }
  return Gone;
}

absl::Status checkSizes(const ChainView &View) {
  const std::size_t Head = printHead(View.Head).size();
  const std::size_t Base = printBase(View.Base).size();
  if (Head > MaxStoreValueBytes || Base > MaxStoreValueBytes) {
    return absl::ResourceExhaustedError(
        fmt::format("the rules would take {} and {} bytes in the store, whose "
                    "values hold {}",
                    Head, Base, MaxStoreValueBytes));
  }
  return absl::OkStatus();
}

} // namespace

absl::StatusOr<ChainView> viewChain(std::string_view HeadText,
                                    std::string_view BaseText,
                                    const std::optional<OwnerKeys> &Trusted) {
  absl::StatusOr<HeadDocument> Head = parseHead(HeadText);
  if (!Head.ok()) {
    return Head.status();
  }
  absl::StatusOr<BaseDocument> Base = parseBase(BaseText);
  if (!Base.ok()) {
    return Base.status();
  }
  const absl::StatusOr<OwnerKeys> Keys =
      Trusted ? absl::StatusOr<OwnerKeys>(*Trusted) : ownersOf(Base->Text);
  if (!Keys.ok()) {
    return Keys.status();
  }
  absl::StatusOr<ChainState> Latest = verifyHead(*Head, *Base, *Keys);
  if (!Latest.ok()) {
    return Latest.status();
  }
  return ChainView{*std::move(Head), *std::move(Base), *std::move(Latest)};
}

absl::StatusOr<ChainView> startChain(std::string Text, RulesVersion Version,
                                     std::string Nonce, const PrivateKey &A,
                                     const PrivateKey &B) {
  const absl::Status Checked = checkText(Text);
  if (!Checked.ok()) {
    return Checked;
  }
  Genesis First{Version, sha256(Text), std::move(Nonce), {}};
  for (const PrivateKey *Key : {&A, &B}) {
    First.Approvals.push_back(
        {Key->publicKey(), Key->sign(genesisMessage(First))});
  }
  absl::StatusOr<ChainState> State = ChainState::first(First, std::move(Text));
  if (!State.ok()) {
    return State.status();
  }
  ChainView View{
      {std::move(First), {}, Version, {}}, State->base(), *std::move(State)};
  const absl::Status Sizes = checkSizes(View);
  return Sizes.ok() ? absl::StatusOr<ChainView>(std::move(View)) : Sizes;
}

absl::StatusOr<Change> makeChange(const ChainView &View, const EditedText &Text,
                                  ProposalNote Note) {
  const Digest *BaseChain = View.Latest.chainAt(Text.Base);
  if (BaseChain == nullptr) {
    return absl::FailedPreconditionError(
        fmt::format("version {} is no base for a change", Text.Base.Value));
  }
  Change Subject;
  Subject.Base = Text.Base;
  Subject.BaseChain = *BaseChain;
  Subject.Proposer = std::move(Note.Proposer);
  Subject.Reason = std::move(Note.Reason);
  Subject.ProposedAt = Note.ProposedAt;
  Subject.Nonce = std::move(Note.Nonce);
  Subject.Edits = diffTexts(Text.Old, Text.New);
  if (Subject.Edits.empty()) {
    return absl::InvalidArgumentError("the texts don't differ");
  }
  const EditResult Result = applyEdits(View.Latest.text(), Subject.Edits);
  const absl::StatusOr<OwnerKeys> After =
      Result.Conflicts.empty() ? ownersOf(Result.Text) : View.Latest.owners();
  if (!After.ok()) {
    return After.status();
  }
  if (*After != View.Latest.owners()) {
    Subject.NewOwners.assign(After->begin(), After->end());
  }
  const absl::Status Fits = View.Latest.ownersAfter(Subject).status();
  const absl::Status Checked = Fits.ok() ? checkText(Result.Text) : Fits;
  return Checked.ok() ? absl::StatusOr<Change>(std::move(Subject)) : Checked;
}

absl::StatusOr<std::vector<PublicKey>>
missingSigners(const ChainView &View, const SignedChange &Subject) {
  const absl::StatusOr<OwnerKeys> After =
      View.Latest.ownersAfter(Subject.Content);
  if (!After.ok()) {
    return After.status();
  }
  std::vector<PublicKey> Missing = requiredKeys(View.Latest.owners(), *After);
  std::erase_if(Missing,
                [&](const PublicKey &Key) { return approvedBy(Subject, Key); });
  return Missing;
}

absl::StatusOr<LandingPlan> planLanding(const ChainView &View,
                                        const SignedChange &Subject,
                                        const PrivateKey &Lander) {
  const absl::StatusOr<ChainState> Landed = View.Latest.land(Subject);
  if (!Landed.ok()) {
    return Landed.status();
  }
  const absl::Status Checked = checkText(Landed->text());
  if (!Checked.ok()) {
    return Checked;
  }
  LandedChange Entry;
  Entry.Version = Landed->version();
  Entry.Subject = Subject;
  Entry.TextHash = Landed->textHash();
  Entry.Landing = {Lander.publicKey(),
                   Lander.sign(landingMessage(Landed->chain()))};
  absl::StatusOr<ChainState> Latest = View.Latest.next(Entry);
  if (!Latest.ok()) {
    return Latest.status();
  }
  LandingPlan Plan = cutBack(View);
  Plan.Retired = retired(View, Plan.View);
  Plan.View.Latest = *std::move(Latest);
  Plan.View.Head.Changes.push_back(Entry);
  if (!Subject.Content.NewOwners.empty()) {
    Plan.View.Head.KeyChanges.push_back(std::move(Entry));
  }
  const absl::Status Sizes = checkSizes(Plan.View);
  return Sizes.ok() ? absl::StatusOr<LandingPlan>(std::move(Plan)) : Sizes;
}

} // namespace balsamlatch
