/// \file
/// Implements ChainState: verifies a change against a version of the rules and
/// derives the next version.

#include "balsamlatch/Rules/Chain.h"

#include "CanonicalEncoder.h"
#include "ChainSignatures.h"
#include "LineReader.h"
#include "TextLines.h"

#include <algorithm>
#include <fmt/format.h>
#include <fmt/ranges.h>

namespace balsamlatch {

namespace {

constexpr std::string_view OwnerKeyword = "owner";
constexpr std::size_t OwnerLineWordCount = 4;
constexpr std::size_t OwnerKeyWordIndex = 3;

/// Whether no line of the edits contains a line break.
bool haveSingleLines(const std::vector<LineEdit> &Edits) {
  const auto IsSingleLine = [](const std::string &Line) {
    return Line.find('\n') == std::string::npos;
  };
  return std::all_of(Edits.begin(), Edits.end(), [&](const LineEdit &Edit) {
    return std::all_of(Edit.Old.begin(), Edit.Old.end(), IsSingleLine) &&
           std::all_of(Edit.New.begin(), Edit.New.end(), IsSingleLine);
  });
}

absl::Status makeConflictError(const std::vector<EditConflict> &Conflicts) {
  std::vector<std::string> Messages;
  Messages.reserve(Conflicts.size());
  for (const EditConflict &Conflict : Conflicts) {
    Messages.push_back(Conflict.Message);
  }
  return absl::AbortedError(fmt::format("{}", fmt::join(Messages, "\n")));
}

} // namespace

Digest genesisChainHash(const Genesis &FirstVersion) {
  CanonicalEncoder Encoder("balsamlatch genesis 1");
  Encoder.add(FirstVersion.Version.Value);
  Encoder.add(FirstVersion.TextHash);
  Encoder.add(FirstVersion.Nonce);
  return Encoder.digest();
}

Digest nextChainHash(const Digest &Previous, RulesVersion Version,
                     const ChainStep &Step) {
  CanonicalEncoder Encoder("balsamlatch version 1");
  Encoder.add(Previous);
  Encoder.add(Version.Value);
  Encoder.add(Step.Change);
  Encoder.add(Step.TextHash);
  return Encoder.digest();
}

std::string genesisMessage(const Genesis &FirstVersion) {
  CanonicalEncoder Encoder("balsamlatch genesis approval 1");
  Encoder.add(genesisChainHash(FirstVersion));
  return Encoder.bytes();
}

std::string landingMessage(const Digest &Chain) {
  CanonicalEncoder Encoder("balsamlatch landing 1");
  Encoder.add(Chain);
  return Encoder.bytes();
}

OwnerKeys sortedOwnerKeys(const PublicKey &A, const PublicKey &B) {
  return A < B ? OwnerKeys{A, B} : OwnerKeys{B, A};
}

absl::StatusOr<OwnerKeys> parseOwnerKeys(std::string_view Text) {
  std::vector<PublicKey> OwnerLineKeys;
  for (const std::string_view Line : splitLines(Text)) {
    // Skips most lines without tokenizing them: only two are owner lines.
    if (Line.find(OwnerKeyword) == std::string_view::npos) {
      continue;
    }
    const RuleLine Tokens = tokenizeRuleLine(Line, 0);
    if (Tokens.Words.empty() || Tokens.Words.front().Text != OwnerKeyword) {
      continue;
    }
    const absl::StatusOr<PublicKey> Key =
        Tokens.Words.size() == OwnerLineWordCount
            ? parseHex<PublicKey>(Tokens.Words[OwnerKeyWordIndex].Text)
            : absl::InvalidArgumentError("");
    if (!Key.ok()) {
      return absl::FailedPreconditionError(
          fmt::format("malformed owner line: {}", Line));
    }
    OwnerLineKeys.push_back(*Key);
  }
  if (OwnerLineKeys.size() != 2 || OwnerLineKeys[0] == OwnerLineKeys[1]) {
    return absl::FailedPreconditionError(
        "the text doesn't name two co-owners with different keys");
  }
  return sortedOwnerKeys(OwnerLineKeys[0], OwnerLineKeys[1]);
}

absl::StatusOr<ChainState> ChainState::first(const Genesis &FirstVersion,
                                             std::string Text) {
  const absl::StatusOr<OwnerKeys> Owners = parseOwnerKeys(Text);
  if (!Owners.ok()) {
    return Owners.status();
  }
  if (sha256(Text) != FirstVersion.TextHash ||
      FirstVersion.Version == RulesVersion()) {
    return absl::DataLossError(
        "the first version's number or text hash is wrong");
  }
  for (const PublicKey &Key : *Owners) {
    if (!hasValidSignature(FirstVersion.Approvals, Key,
                           genesisMessage(FirstVersion))) {
      return absl::PermissionDeniedError(fmt::format(
          "the first version lacks the signature of {}", abbreviateKey(Key)));
    }
  }
  ChainState State;
  State.Version = FirstVersion.Version;
  State.Chain = genesisChainHash(FirstVersion);
  State.StartChain = State.Chain;
  State.Text = std::move(Text);
  State.Owners = *Owners;
  return State;
}

Digest ChainState::textHash() const {
  return Window.empty() ? sha256(Text) : Window.back().Step.TextHash;
}

std::optional<Digest>
ChainState::textHashAt(RulesVersion QueriedVersion) const {
  if (QueriedVersion > Version ||
      Version.Value - QueriedVersion.Value >= Window.size()) {
    return std::nullopt;
  }
  return Window[Window.size() - 1 - (Version.Value - QueriedVersion.Value)]
      .Step.TextHash;
}

bool ChainState::contains(const Digest &Change) const {
  return std::any_of(Window.begin(), Window.end(), [&](const WindowEntry &P) {
    return P.Step.Change == Change;
  });
}

const Digest *ChainState::chainHashAt(RulesVersion QueriedVersion) const {
  if (QueriedVersion > Version ||
      Version.Value - QueriedVersion.Value > Window.size()) {
    return nullptr;
  }
  const std::size_t Index =
      Window.size() - (Version.Value - QueriedVersion.Value);
  return Index == 0 ? &StartChain : &Window[Index - 1].Chain;
}

absl::Status ChainState::checkBase(const Change &Proposal) const {
  if (Proposal.Edits.empty() || !haveSingleLines(Proposal.Edits)) {
    return absl::InvalidArgumentError(
        "the change has no edits, or an edited line contains a line break");
  }
  if (contains(changeDigest(Proposal))) {
    return absl::AlreadyExistsError("the change has landed before");
  }
  if (Proposal.Base > Version) {
    return absl::FailedPreconditionError(
        fmt::format("the change is based on version {}, after version {}",
                    Proposal.Base.Value, Version.Value));
  }
  const Digest *BaseChain = chainHashAt(Proposal.Base);
  if (BaseChain == nullptr ||
      Version.Value - Proposal.Base.Value >= MaxBaseAge) {
    return absl::FailedPreconditionError(
        fmt::format("the change is based on version {}, more than {} versions "
                    "ago; propose it again",
                    Proposal.Base.Value, MaxBaseAge));
  }
  if (*BaseChain != Proposal.BaseChain) {
    return absl::FailedPreconditionError(
        fmt::format("the change is based on another history of version {}",
                    Proposal.Base.Value));
  }
  return absl::OkStatus();
}

absl::Status ChainState::checkApprovals(const SignedChange &Proposal,
                                        const OwnerKeys &NewOwners) const {
  for (const PublicKey &Key : requiredSigners(Owners, NewOwners)) {
    if (!isApprovedBy(Proposal, Key)) {
      return absl::PermissionDeniedError(fmt::format(
          "the change lacks a valid signature of {}", abbreviateKey(Key)));
    }
  }
  return absl::OkStatus();
}

absl::StatusOr<ChainState>
ChainState::applyWithoutSignatures(const SignedChange &Proposal) const {
  const absl::Status BaseStatus = checkBase(Proposal.Content);
  if (!BaseStatus.ok()) {
    return BaseStatus;
  }
  EditResult Result = applyEdits(Text, Proposal.Content.Edits);
  if (!Result.Conflicts.empty()) {
    return makeConflictError(Result.Conflicts);
  }
  const absl::StatusOr<OwnerKeys> NewOwners = parseOwnerKeys(Result.Text);
  if (!NewOwners.ok()) {
    return NewOwners.status();
  }
  const std::vector<PublicKey> &DeclaredOwners = Proposal.Content.NewOwners;
  const bool KeysChange = *NewOwners != Owners;
  if (KeysChange && Proposal.Content.Base != Version) {
    return absl::FailedPreconditionError(
        "a change of keys must be based on the latest version");
  }
  if (KeysChange ? DeclaredOwners.size() != 2 ||
                       sortedOwnerKeys(DeclaredOwners[0], DeclaredOwners[1]) !=
                           *NewOwners
                 : !DeclaredOwners.empty()) {
    return absl::FailedPreconditionError(
        "the owner keys that the change declares don't match its text");
  }
  ChainState NextState = *this;
  NextState.Version = RulesVersion(Version.Value + 1);
  NextState.Text = std::move(Result.Text);
  NextState.Owners = *NewOwners;
  const ChainStep Step{changeDigest(Proposal.Content), sha256(NextState.Text)};
  NextState.Chain = nextChainHash(Chain, NextState.Version, Step);
  NextState.Window.push_back({Step, NextState.Chain});
  if (NextState.Window.size() > MaxBaseAge) {
    NextState.StartChain = NextState.Window.front().Chain;
    NextState.Window.pop_front();
  }
  return NextState;
}

absl::StatusOr<OwnerKeys>
ChainState::ownersAfter(const Change &Proposal) const {
  const absl::StatusOr<ChainState> NextState =
      applyWithoutSignatures({Proposal, {}});
  return NextState.ok() ? absl::StatusOr<OwnerKeys>(NextState->owners())
                        : NextState.status();
}

absl::StatusOr<ChainState>
ChainState::land(const SignedChange &Proposal) const {
  absl::StatusOr<ChainState> NextState = applyWithoutSignatures(Proposal);
  if (NextState.ok()) {
    const absl::Status ApprovalStatus =
        checkApprovals(Proposal, NextState->Owners);
    if (!ApprovalStatus.ok()) {
      return ApprovalStatus;
    }
  }
  return NextState;
}

absl::StatusOr<ChainState> ChainState::next(const LandedChange &Entry) const {
  if (Entry.Version.Value != Version.Value + 1) {
    return absl::FailedPreconditionError(
        fmt::format("version {} doesn't follow version {}", Entry.Version.Value,
                    Version.Value));
  }
  absl::StatusOr<ChainState> NextState = land(Entry.Subject);
  if (!NextState.ok()) {
    return NextState;
  }
  if (NextState->textHash() != Entry.TextHash) {
    return absl::DataLossError(
        fmt::format("the text of version {} doesn't match its signed hash",
                    Entry.Version.Value));
  }
  const std::vector<PublicKey> RequiredKeys =
      requiredSigners(Owners, NextState->Owners);
  if (std::find(RequiredKeys.begin(), RequiredKeys.end(), Entry.Landing.Key) ==
          RequiredKeys.end() ||
      !verifySignature(Entry.Landing.Key, landingMessage(NextState->Chain),
                       Entry.Landing.Signed)) {
    return absl::PermissionDeniedError(
        fmt::format("version {} was landed without an owner's valid signature",
                    Entry.Version.Value));
  }
  return NextState;
}

BaseDocument ChainState::base() const {
  BaseDocument Base{Version, Text, StartChain, {}};
  for (const WindowEntry &P : Window) {
    Base.Steps.push_back(P.Step);
  }
  return Base;
}

absl::StatusOr<ChainState> ChainState::fromBase(const BaseDocument &Base) {
  const absl::StatusOr<OwnerKeys> Owners = parseOwnerKeys(Base.Text);
  if (!Owners.ok()) {
    return Owners.status();
  }
  if (Base.Steps.size() > MaxBaseAge ||
      Base.Steps.size() >= Base.Version.Value ||
      (!Base.Steps.empty() &&
       Base.Steps.back().TextHash != sha256(Base.Text))) {
    return absl::DataLossError(
        "the base document's steps or text hash are wrong");
  }
  ChainState State;
  State.StartChain = Base.StartChain;
  State.Chain = Base.StartChain;
  State.Version = RulesVersion(Base.Version.Value - Base.Steps.size());
  for (const ChainStep &Step : Base.Steps) {
    ++State.Version.Value;
    State.Chain = nextChainHash(State.Chain, State.Version, Step);
    State.Window.push_back({Step, State.Chain});
  }
  State.Text = Base.Text;
  State.Owners = *Owners;
  return State;
}

} // namespace balsamlatch
