/// \file
/// Builds the head and base documents for a new chain or a landed change.

#include "balsamlatch/Rules/Landing.h"

#include "ChainSignatures.h"
#include "balsamlatch/Platform/Store.h"
#include "balsamlatch/Rules/ChainJson.h"
#include "balsamlatch/Rules/Parser.h"

#include <algorithm>
#include <fmt/format.h>

namespace balsamlatch {

namespace {

/// A head of at least this many bytes is compacted before it has
/// HeadCompactionChanges changes.
constexpr std::size_t HeadCompactionBytes = 200'000;
constexpr std::string_view RulesFileName = "rules";

absl::Status checkText(std::string_view Text) {
  const ParsedRules Parsed = parseRules(RulesFileName, Text);
  return Parsed.Problems.hasErrors()
             ? absl::InvalidArgumentError(Parsed.Problems.render())
             : absl::OkStatus();
}

/// Moves the base to a later version and drops the changes before it from the
/// head. Fails unless both owners attest that version.
absl::StatusOr<ChainView> compactAt(const ChainView &View,
                                    RulesVersion NewBase) {
  HeadDocument BaseHead = View.Head;
  std::erase_if(BaseHead.Changes, [&](const LandedChange &Entry) {
    return Entry.Version > NewBase;
  });
  ChainView Compacted = View;
  std::erase_if(Compacted.Head.Changes, [&](const LandedChange &Entry) {
    return Entry.Version <= NewBase;
  });
  Compacted.Head.Base = NewBase;
  const absl::StatusOr<ChainState> State =
      verifyHead(BaseHead, View.Base, View.Latest.owners());
  if (!State.ok()) {
    return State.status();
  }
  Compacted.Base = State->base();
  const absl::StatusOr<ChainState> Latest =
      verifyHead(Compacted.Head, Compacted.Base, View.Latest.owners());
  return Latest.ok() ? absl::StatusOr<ChainView>(std::move(Compacted))
                     : Latest.status();
}

/// Compacts the head to HeadChangesKept changes with the next one, or to the
/// smallest number above that which the owners' signatures allow. The result
/// depends only on the documents in the store, so that concurrent landings
/// agree on the base document.
LandingPlan compactHead(const ChainView &View) {
  if (View.Head.Changes.size() + 1 >= HeadCompactionChanges ||
      printHead(View.Head).size() >= HeadCompactionBytes) {
    const std::uint64_t Latest = View.Latest.version().Value;
    for (std::uint64_t KeptCount = HeadChangesKept - 1;
         KeptCount < View.Head.Changes.size(); ++KeptCount) {
      absl::StatusOr<ChainView> Compacted =
          compactAt(View, RulesVersion(Latest - KeptCount));
      if (Compacted.ok()) {
        return {*std::move(Compacted), true, {}};
      }
    }
  }
  return {View, false, {}};
}

/// The changes that are in the head of \p OldView but not in that of
/// \p NewView, with the edits that undo them.
std::vector<RetiredChange> retiredChanges(const ChainView &OldView,
                                          const ChainView &NewView) {
  std::vector<RetiredChange> Changes;
  absl::StatusOr<ChainState> State = ChainState::fromBase(OldView.Base);
  for (const LandedChange &Entry : OldView.Head.Changes) {
    if (!State.ok() || Entry.Version > NewView.Head.Base) {
      break;
    }
    if (Entry.Version <= State->version()) {
      continue;
    }
    absl::StatusOr<ChainState> NextState = State->next(Entry);
    if (NextState.ok()) {
      Changes.push_back({Entry, diffTexts(NextState->text(), State->text())});
    }
    State = std::move(NextState);
  }
  return Changes;
}

/// ResourceExhausted if a document exceeds the maximum size of a store value.
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

absl::StatusOr<ChainView>
viewChain(std::string_view HeadText, std::string_view BaseText,
          const std::optional<OwnerKeys> &TrustedOwners) {
  absl::StatusOr<HeadDocument> Head = parseHead(HeadText);
  if (!Head.ok()) {
    return Head.status();
  }
  absl::StatusOr<BaseDocument> Base = parseBase(BaseText);
  if (!Base.ok()) {
    return Base.status();
  }
  const absl::StatusOr<OwnerKeys> Keys =
      TrustedOwners ? absl::StatusOr<OwnerKeys>(*TrustedOwners)
                    : parseOwnerKeys(Base->Text);
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
  const absl::Status TextStatus = checkText(Text);
  if (!TextStatus.ok()) {
    return TextStatus;
  }
  Genesis FirstVersion{Version, sha256(Text), std::move(Nonce), {}};
  for (const PrivateKey *Key : {&A, &B}) {
    FirstVersion.Approvals.push_back(
        {Key->publicKey(), Key->sign(genesisMessage(FirstVersion))});
  }
  absl::StatusOr<ChainState> State =
      ChainState::first(FirstVersion, std::move(Text));
  if (!State.ok()) {
    return State.status();
  }
  ChainView View{{std::move(FirstVersion), {}, Version, {}},
                 State->base(),
                 *std::move(State)};
  const absl::Status SizeStatus = checkSizes(View);
  return SizeStatus.ok() ? absl::StatusOr<ChainView>(std::move(View))
                         : SizeStatus;
}

absl::StatusOr<Change> makeChange(const ChainView &View, const EditedText &Text,
                                  ProposalNote Note) {
  const Digest *BaseChain = View.Latest.chainHashAt(Text.Base);
  if (BaseChain == nullptr) {
    return absl::FailedPreconditionError(fmt::format(
        "version {} can't be the base of a change", Text.Base.Value));
  }
  Change Proposal;
  Proposal.Base = Text.Base;
  Proposal.BaseChain = *BaseChain;
  Proposal.Proposer = std::move(Note.Proposer);
  Proposal.Reason = std::move(Note.Reason);
  Proposal.ProposedAt = Note.ProposedAt;
  Proposal.Nonce = std::move(Note.Nonce);
  Proposal.Edits = diffTexts(Text.Old, Text.New);
  if (Proposal.Edits.empty()) {
    return absl::InvalidArgumentError("the texts don't differ");
  }
  const EditResult Result = applyEdits(View.Latest.text(), Proposal.Edits);
  const absl::StatusOr<OwnerKeys> NewOwnerKeys =
      Result.Conflicts.empty() ? parseOwnerKeys(Result.Text)
                               : View.Latest.owners();
  if (!NewOwnerKeys.ok()) {
    return NewOwnerKeys.status();
  }
  if (*NewOwnerKeys != View.Latest.owners()) {
    Proposal.NewOwners.assign(NewOwnerKeys->begin(), NewOwnerKeys->end());
  }
  const absl::Status ChangeStatus = View.Latest.ownersAfter(Proposal).status();
  const absl::Status TextStatus =
      ChangeStatus.ok() ? checkText(Result.Text) : ChangeStatus;
  return TextStatus.ok() ? absl::StatusOr<Change>(std::move(Proposal))
                         : TextStatus;
}

absl::StatusOr<std::vector<PublicKey>>
missingSigners(const ChainView &View, const SignedChange &Proposal) {
  const absl::StatusOr<OwnerKeys> NewOwnerKeys =
      View.Latest.ownersAfter(Proposal.Content);
  if (!NewOwnerKeys.ok()) {
    return NewOwnerKeys.status();
  }
  std::vector<PublicKey> MissingKeys =
      requiredSigners(View.Latest.owners(), *NewOwnerKeys);
  std::erase_if(MissingKeys, [&](const PublicKey &Key) {
    return isApprovedBy(Proposal, Key);
  });
  return MissingKeys;
}

absl::StatusOr<LandingPlan> planLanding(const ChainView &View,
                                        const SignedChange &Proposal,
                                        const PrivateKey &LandingKey) {
  const absl::StatusOr<ChainState> LandedState = View.Latest.land(Proposal);
  if (!LandedState.ok()) {
    return LandedState.status();
  }
  const absl::Status TextStatus = checkText(LandedState->text());
  if (!TextStatus.ok()) {
    return TextStatus;
  }
  LandedChange Entry;
  Entry.Version = LandedState->version();
  Entry.Subject = Proposal;
  Entry.TextHash = LandedState->textHash();
  Entry.Landing = {LandingKey.publicKey(),
                   LandingKey.sign(landingMessage(LandedState->chain()))};
  absl::StatusOr<ChainState> Latest = View.Latest.next(Entry);
  if (!Latest.ok()) {
    return Latest.status();
  }
  LandingPlan Plan = compactHead(View);
  Plan.Retired = retiredChanges(View, Plan.View);
  Plan.View.Latest = *std::move(Latest);
  Plan.View.Head.Changes.push_back(Entry);
  if (!Proposal.Content.NewOwners.empty()) {
    Plan.View.Head.KeyChanges.push_back(std::move(Entry));
  }
  const absl::Status SizeStatus = checkSizes(Plan.View);
  return SizeStatus.ok() ? absl::StatusOr<LandingPlan>(std::move(Plan))
                         : SizeStatus;
}

} // namespace balsamlatch
