/// \file
/// One version follows from another: bases, edits and signatures.

#include "balsamlatch/Rules/Chain.h"

#include "Canonical.h"
#include "ChainSignatures.h"
#include "LineReader.h"
#include "TextLines.h"

#include <algorithm>
#include <fmt/format.h>
#include <fmt/ranges.h>

namespace balsamlatch {

namespace {

constexpr std::string_view OwnerWord = "owner";
constexpr std::size_t OwnerLineWords = 4;
constexpr std::size_t OwnerKeyWord = 3;

bool onlyWholeLines(const std::vector<LineEdit> &Edits) {
  const auto Whole = [](const std::string &Line) {
    return Line.find('\n') == std::string::npos;
  };
  return std::all_of(Edits.begin(), Edits.end(), [&](const LineEdit &Edit) {
    return std::all_of(Edit.Old.begin(), Edit.Old.end(), Whole) &&
           std::all_of(Edit.New.begin(), Edit.New.end(), Whole);
  });
}

absl::Status conflictStatus(const std::vector<EditConflict> &Conflicts) {
  std::vector<std::string> Messages;
  Messages.reserve(Conflicts.size());
  for (const EditConflict &Conflict : Conflicts) {
    Messages.push_back(Conflict.Message);
  }
  return absl::AbortedError(fmt::format("{}", fmt::join(Messages, "\n")));
}

} // namespace

Digest genesisChain(const Genesis &First) {
  Canonical Fields("balsamlatch genesis 1");
  Fields.add(First.Version.Value);
  Fields.add(First.TextHash);
  Fields.add(First.Nonce);
  return Fields.digest();
}

Digest nextChain(const Digest &Previous, RulesVersion Version,
                 const ChainStep &Step) {
  Canonical Fields("balsamlatch version 1");
  Fields.add(Previous);
  Fields.add(Version.Value);
  Fields.add(Step.Change);
  Fields.add(Step.TextHash);
  return Fields.digest();
}

std::string genesisMessage(const Genesis &First) {
  Canonical Message("balsamlatch genesis approval 1");
  Message.add(genesisChain(First));
  return Message.text();
}

std::string landingMessage(const Digest &Chain) {
  Canonical Message("balsamlatch landing 1");
  Message.add(Chain);
  return Message.text();
}

OwnerKeys ownerKeys(const PublicKey &A, const PublicKey &B) {
  return A < B ? OwnerKeys{A, B} : OwnerKeys{B, A};
}

absl::StatusOr<OwnerKeys> ownersOf(std::string_view Text) {
  std::vector<PublicKey> Keys;
  for (const std::string_view Line : splitLines(Text)) {
    // Cheap test first: texts are long, owner lines are two.
    if (Line.find(OwnerWord) == std::string_view::npos) {
      continue;
    }
    const RuleLine Split = splitRuleLine(Line, 0);
    if (Split.Words.empty() || Split.Words.front().Text != OwnerWord) {
      continue;
    }
    const absl::StatusOr<PublicKey> Key =
        Split.Words.size() == OwnerLineWords
            ? parseHex<PublicKey>(Split.Words[OwnerKeyWord].Text)
            : absl::InvalidArgumentError("");
    if (!Key.ok()) {
      return absl::FailedPreconditionError(
          fmt::format("a faulty owner line: {}", Line));
    }
    Keys.push_back(*Key);
  }
  if (Keys.size() != 2 || Keys[0] == Keys[1]) {
    return absl::FailedPreconditionError(
        "the text doesn't name two co-owners with different keys");
  }
  return ownerKeys(Keys[0], Keys[1]);
}

absl::StatusOr<ChainState> ChainState::first(const Genesis &First,
                                             std::string Text) {
  const absl::StatusOr<OwnerKeys> Owners = ownersOf(Text);
  if (!Owners.ok()) {
    return Owners.status();
  }
  if (sha256(Text) != First.TextHash || First.Version == RulesVersion()) {
    return absl::DataLossError("the first version's text isn't its own");
  }
  for (const PublicKey &Key : *Owners) {
    if (!signedBy(First.Approvals, Key, genesisMessage(First))) {
      return absl::PermissionDeniedError(fmt::format(
          "the first version lacks the signature of {}", shortKey(Key)));
    }
  }
  ChainState State;
  State.Version = First.Version;
  State.Chain = genesisChain(First);
  State.StartChain = State.Chain;
  State.Text = std::move(Text);
  State.Owners = *Owners;
  return State;
}

Digest ChainState::textHash() const {
  return Window.empty() ? sha256(Text) : Window.back().Step.TextHash;
}

std::optional<Digest> ChainState::textHashAt(RulesVersion At) const {
  if (At > Version || Version.Value - At.Value >= Window.size()) {
    return std::nullopt;
  }
  return Window[Window.size() - 1 - (Version.Value - At.Value)].Step.TextHash;
}

bool ChainState::contains(const Digest &Change) const {
  return std::any_of(Window.begin(), Window.end(),
                     [&](const Past &P) { return P.Step.Change == Change; });
}

const Digest *ChainState::chainAt(RulesVersion At) const {
  if (At > Version || Version.Value - At.Value > Window.size()) {
    return nullptr;
  }
  const std::size_t Index = Window.size() - (Version.Value - At.Value);
  return Index == 0 ? &StartChain : &Window[Index - 1].Chain;
}

absl::Status ChainState::checkBase(const Change &Subject) const {
  if (Subject.Edits.empty() || !onlyWholeLines(Subject.Edits)) {
    return absl::InvalidArgumentError("the change has no usable edits");
  }
  if (contains(changeDigest(Subject))) {
    return absl::AlreadyExistsError("the change has landed before");
  }
  if (Subject.Base > Version) {
    return absl::FailedPreconditionError(
        fmt::format("the change is based on version {}, after version {}",
                    Subject.Base.Value, Version.Value));
  }
  const Digest *Base = chainAt(Subject.Base);
  if (Base == nullptr || Version.Value - Subject.Base.Value >= MaxBaseAge) {
    return absl::FailedPreconditionError(
        fmt::format("the change is based on version {}, more than {} versions "
                    "ago; propose it again",
                    Subject.Base.Value, MaxBaseAge));
  }
  if (*Base != Subject.BaseChain) {
    return absl::FailedPreconditionError(
        fmt::format("the change is based on another history of version {}",
                    Subject.Base.Value));
  }
  return absl::OkStatus();
}

absl::Status ChainState::checkApprovals(const SignedChange &Subject,
                                        const OwnerKeys &After) const {
  for (const PublicKey &Key : requiredKeys(Owners, After)) {
    if (!approvedBy(Subject, Key)) {
      return absl::PermissionDeniedError(fmt::format(
          "the change lacks a valid signature of {}", shortKey(Key)));
    }
  }
  return absl::OkStatus();
}

absl::StatusOr<ChainState>
ChainState::follow(const SignedChange &Subject) const {
  const absl::Status Base = checkBase(Subject.Content);
  if (!Base.ok()) {
    return Base;
  }
  EditResult Edited = applyEdits(Text, Subject.Content.Edits);
  if (!Edited.Conflicts.empty()) {
    return conflictStatus(Edited.Conflicts);
  }
  const absl::StatusOr<OwnerKeys> After = ownersOf(Edited.Text);
  if (!After.ok()) {
    return After.status();
  }
  const std::vector<PublicKey> &Named = Subject.Content.NewOwners;
  const bool KeysChange = *After != Owners;
  if (KeysChange && Subject.Content.Base != Version) {
    return absl::FailedPreconditionError(
        "a change of keys must be based on the latest version");
  }
  if (KeysChange ? Named.size() != 2 || ownerKeys(Named[0], Named[1]) != *After
                 : !Named.empty()) {
    return absl::FailedPreconditionError(
        "the change doesn't name the owners' keys that it leads to");
  }
  ChainState Next = *this;
  Next.Version = RulesVersion(Version.Value + 1);
  Next.Text = std::move(Edited.Text);
  Next.Owners = *After;
  const ChainStep Step{changeDigest(Subject.Content), sha256(Next.Text)};
  Next.Chain = nextChain(Chain, Next.Version, Step);
  Next.Window.push_back({Step, Next.Chain});
  if (Next.Window.size() > MaxBaseAge) {
    Next.StartChain = Next.Window.front().Chain;
    Next.Window.pop_front();
  }
  return Next;
}

absl::StatusOr<OwnerKeys> ChainState::ownersAfter(const Change &Subject) const {
  const absl::StatusOr<ChainState> Next = follow({Subject, {}});
  return Next.ok() ? absl::StatusOr<OwnerKeys>(Next->owners()) : Next.status();
}

absl::StatusOr<ChainState> ChainState::land(const SignedChange &Subject) const {
  absl::StatusOr<ChainState> Next = follow(Subject);
  if (Next.ok()) {
    const absl::Status Approved = checkApprovals(Subject, Next->Owners);
    if (!Approved.ok()) {
      return Approved;
    }
  }
  return Next;
}

absl::StatusOr<ChainState> ChainState::next(const LandedChange &Landed) const {
  if (Landed.Version.Value != Version.Value + 1) {
    return absl::FailedPreconditionError(
        fmt::format("version {} doesn't follow version {}",
                    Landed.Version.Value, Version.Value));
  }
  absl::StatusOr<ChainState> Next = land(Landed.Subject);
  if (!Next.ok()) {
    return Next;
  }
  if (Next->textHash() != Landed.TextHash) {
    return absl::DataLossError(fmt::format(
        "version {} has another text than was signed", Landed.Version.Value));
  }
  const std::vector<PublicKey> Keys = requiredKeys(Owners, Next->Owners);
  if (std::find(Keys.begin(), Keys.end(), Landed.Landing.Key) == Keys.end() ||
      !verifySignature(Landed.Landing.Key, landingMessage(Next->Chain),
                       Landed.Landing.Signed)) {
    return absl::PermissionDeniedError(
        fmt::format("version {} was landed without an owner's valid signature",
                    Landed.Version.Value));
  }
  return Next;
}

BaseDocument ChainState::base() const {
  BaseDocument Base{Version, Text, StartChain, {}};
  for (const Past &P : Window) {
    Base.Steps.push_back(P.Step);
  }
  return Base;
}

absl::StatusOr<ChainState> ChainState::fromBase(const BaseDocument &Base) {
  const absl::StatusOr<OwnerKeys> Owners = ownersOf(Base.Text);
  if (!Owners.ok()) {
    return Owners.status();
  }
  if (Base.Steps.size() > MaxBaseAge ||
      Base.Steps.size() >= Base.Version.Value ||
      (!Base.Steps.empty() &&
       Base.Steps.back().TextHash != sha256(Base.Text))) {
    return absl::DataLossError("the base document's text isn't its own");
  }
  ChainState State;
  State.StartChain = Base.StartChain;
  State.Chain = Base.StartChain;
  State.Version = RulesVersion(Base.Version.Value - Base.Steps.size());
  for (const ChainStep &Step : Base.Steps) {
    ++State.Version.Value;
    State.Chain = nextChain(State.Chain, State.Version, Step);
    State.Window.push_back({Step, State.Chain});
  }
  State.Text = Base.Text;
  State.Owners = *Owners;
  return State;
}

} // namespace balsamlatch
