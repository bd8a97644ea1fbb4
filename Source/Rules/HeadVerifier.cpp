/// \file
/// Verifies the latest version from the head and base documents alone.
///
/// An owner attests a version and all earlier ones by signing a change based on
/// it, or by landing it. The anchor is the latest version that both owners of a
/// trusted pair attest. The chain hash covers the text of each version, so
/// these signatures also authenticate the base document. Each version after the
/// anchor is verified by the signatures of its own change.

#include "ChainSignatures.h"
#include "balsamlatch/Rules/Chain.h"

#include <algorithm>
#include <fmt/format.h>

namespace balsamlatch {

namespace {

/// Verifies and applies the changes of the head that are newer than the state.
absl::StatusOr<ChainState> applyNewerChanges(const HeadDocument &Head,
                                             ChainState State) {
  for (const LandedChange &Entry : Head.Changes) {
    if (Entry.Version <= State.version()) {
      continue;
    }
    absl::StatusOr<ChainState> NextState = State.next(Entry);
    if (!NextState.ok()) {
      return NextState;
    }
    State = *std::move(NextState);
  }
  return State;
}

/// The trusted pair of keys and each later pair whose change of keys is signed
/// by the pair before it and by the new keys.
std::vector<OwnerKeys> trustedOwnerKeys(const HeadDocument &Head,
                                        const OwnerKeys &Trusted) {
  std::vector<OwnerKeys> Pairs{Trusted};
  for (const LandedChange &Entry : Head.KeyChanges) {
    const std::vector<PublicKey> &NewKeys = Entry.Subject.Content.NewOwners;
    if (NewKeys.size() != 2 || NewKeys[0] == NewKeys[1]) {
      continue;
    }
    const OwnerKeys KeyPair = sortedOwnerKeys(NewKeys[0], NewKeys[1]);
    const std::vector<PublicKey> Signers =
        requiredSigners(Pairs.back(), KeyPair);
    if (std::all_of(Signers.begin(), Signers.end(), [&](const PublicKey &Key) {
          return isApprovedBy(Entry.Subject, Key);
        })) {
      Pairs.push_back(KeyPair);
    }
  }
  return Pairs;
}

} // namespace

/// Finds the anchor among the version of the base document and the later ones,
/// and verifies the head from there.
class HeadVerifier {
public:
  HeadVerifier(const HeadDocument &Document, ChainState BaseState)
      : Head(Document), States{std::move(BaseState)} {}

  /// Applies the changes of the head without verifying their signatures.
  absl::Status applyChanges();
  /// The latest version that both owners of the pair attest; 0 if there is
  /// none.
  RulesVersion latestAttested(const OwnerKeys &Pair) const;
  /// Verifies the signatures of all changes after the anchor.
  absl::StatusOr<ChainState> verifyFrom(RulesVersion Anchor) const;

  /// Checks that the base document has the steps of the last MaxBaseAge
  /// versions, or all back to the first version.
  static absl::Status checkBaseHistory(const HeadDocument &Head,
                                       const BaseDocument &Base);

private:
  RulesVersion latestAttested(const PublicKey &Key) const;
  const ChainState &latest() const { return States.back(); }

  const HeadDocument &Head;
  // Invariant: the state of the base document, then one state for each later
  // version of the head, without gaps.
  std::vector<ChainState> States;
};

absl::Status HeadVerifier::checkBaseHistory(const HeadDocument &Head,
                                            const BaseDocument &Base) {
  const Genesis &FirstVersion = Head.First;
  if (FirstVersion.Version == RulesVersion() ||
      Base.Version < FirstVersion.Version) {
    return absl::DataLossError(
        "the base document is older than the first version");
  }
  const std::uint64_t Age = Base.Version.Value - FirstVersion.Version.Value;
  if (Base.Steps.size() != std::min(Age, MaxBaseAge)) {
    return absl::DataLossError("the base document's steps are incomplete");
  }
  if (Age > MaxBaseAge) {
    return absl::OkStatus();
  }
  const bool FirstTextMatches =
      !Base.Steps.empty() || sha256(Base.Text) == FirstVersion.TextHash;
  if (Base.StartChain != genesisChainHash(FirstVersion) || !FirstTextMatches) {
    return absl::DataLossError(
        "the base document doesn't lead back to the first version");
  }
  return absl::OkStatus();
}

absl::Status HeadVerifier::applyChanges() {
  for (const LandedChange &Entry : Head.Changes) {
    if (Entry.Version <= latest().version()) {
      continue;
    }
    absl::StatusOr<ChainState> NextState =
        latest().applyWithoutSignatures(Entry.Subject);
    if (!NextState.ok()) {
      return NextState.status();
    }
    if (NextState->version() != Entry.Version) {
      return absl::DataLossError("the head skips versions");
    }
    States.push_back(*std::move(NextState));
  }
  return absl::OkStatus();
}

RulesVersion HeadVerifier::latestAttested(const PublicKey &Key) const {
  RulesVersion Latest;
  const ChainState &BaseState = States.front();
  if (BaseState.version() == Head.First.Version &&
      hasValidSignature(Head.First.Approvals, Key,
                        genesisMessage(Head.First))) {
    Latest = BaseState.version();
  }
  for (const LandedChange &Entry : Head.Changes) {
    const Digest *Chain = latest().chainHashAt(Entry.Version);
    if (Chain != nullptr && Entry.Landing.Key == Key &&
        verifySignature(Key, landingMessage(*Chain), Entry.Landing.Signed)) {
      Latest = std::max(Latest, Entry.Version);
    }
    const Change &Content = Entry.Subject.Content;
    const Digest *BaseChain = latest().chainHashAt(Content.Base);
    if (Content.Base > Latest && BaseChain != nullptr &&
        *BaseChain == Content.BaseChain && isApprovedBy(Entry.Subject, Key)) {
      Latest = Content.Base;
    }
  }
  return Latest;
}

RulesVersion HeadVerifier::latestAttested(const OwnerKeys &Pair) const {
  return std::min(latestAttested(Pair[0]), latestAttested(Pair[1]));
}

absl::StatusOr<ChainState> HeadVerifier::verifyFrom(RulesVersion Anchor) const {
  return applyNewerChanges(
      Head, States[Anchor.Value - States.front().version().Value]);
}

absl::StatusOr<ChainState> verifyHead(const HeadDocument &Head,
                                      const BaseDocument &Base,
                                      const OwnerKeys &Trusted) {
  if (Base.Version < Head.Base || Base.Version > Head.version()) {
    return absl::OutOfRangeError(
        fmt::format("the base document has version {}, the head goes from {} "
                    "to {}",
                    Base.Version.Value, Head.Base.Value, Head.version().Value));
  }
  absl::Status Status = HeadVerifier::checkBaseHistory(Head, Base);
  absl::StatusOr<ChainState> BaseState =
      Status.ok() ? ChainState::fromBase(Base) : Status;
  if (!BaseState.ok()) {
    return BaseState;
  }
  HeadVerifier Verifier(Head, *std::move(BaseState));
  Status = Verifier.applyChanges();
  if (!Status.ok()) {
    return Status;
  }
  RulesVersion Anchor;
  for (const OwnerKeys &Pair : trustedOwnerKeys(Head, Trusted)) {
    Anchor = std::max(Anchor, Verifier.latestAttested(Pair));
  }
  if (Anchor < Base.Version) {
    return absl::PermissionDeniedError(
        "the rules aren't signed by both trusted co-owners");
  }
  return Verifier.verifyFrom(Anchor);
}

absl::StatusOr<ChainState> followHead(const HeadDocument &Head,
                                      const ChainState &Verified) {
  if (Verified.version() < Head.Base) {
    return absl::OutOfRangeError("the head starts after the version in force");
  }
  return applyNewerChanges(Head, Verified);
}

} // namespace balsamlatch
