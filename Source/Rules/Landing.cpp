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
/// as the owners' signatures allow.
void cutBack(LandingPlan &Plan) {
  const ChainView Whole = Plan.View;
  if (Whole.Head.Changes.size() < HeadChangesMost &&
      printHead(Whole.Head).size() < HeadBytesWanted) {
    return;
  }
  const std::uint64_t Latest = Whole.Latest.version().Value;
  for (std::uint64_t Kept = HeadChangesKept; Kept < Whole.Head.Changes.size();
       ++Kept) {
    absl::StatusOr<ChainView> Cut = cutAt(Whole, RulesVersion(Latest - Kept));
    if (!Cut.ok()) {
      continue;
    }
    Plan.View = *std::move(Cut);
    Plan.BaseChanges = true;
    for (const LandedChange &Landed : Whole.Head.Changes) {
      if (Landed.Version <= Plan.View.Head.Base) {
        Plan.Retired.push_back(Landed);
      }
    }
    return;
  }
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

absl::StatusOr<Change> makeChange(const ChainView &View,
                                  std::string_view NewText, OwnerName Proposer,
                                  std::string Reason, std::string Nonce) {
  Change Subject;
  Subject.Base = View.Latest.version();
  Subject.BaseChain = View.Latest.chain();
  Subject.Proposer = std::move(Proposer);
  Subject.Reason = std::move(Reason);
  Subject.Nonce = std::move(Nonce);
  Subject.Edits = diffTexts(View.Latest.text(), NewText);
  if (Subject.Edits.empty()) {
    return absl::InvalidArgumentError("the text is the one in force");
  }
  const absl::Status Checked = checkText(NewText);
  if (!Checked.ok()) {
    return Checked;
  }
  const absl::StatusOr<OwnerKeys> After = ownersOf(NewText);
  if (!After.ok()) {
    return After.status();
  }
  if (*After != View.Latest.owners()) {
    Subject.NewOwners.assign(After->begin(), After->end());
  }
  return Subject;
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
  LandingPlan Plan{{View.Head, View.Base, *std::move(Latest)}, false, {}};
  Plan.View.Head.Changes.push_back(Entry);
  if (!Subject.Content.NewOwners.empty()) {
    Plan.View.Head.KeyChanges.push_back(std::move(Entry));
  }
  cutBack(Plan);
  const absl::Status Sizes = checkSizes(Plan.View);
  return Sizes.ok() ? absl::StatusOr<LandingPlan>(std::move(Plan)) : Sizes;
}

} // namespace balsamlatch
