/// \file
/// Verifying the latest version from the head and base documents alone.
///
/// Both owners attest every version up to some anchor: by signing a change
/// based on it, or by landing it. The chain hash covers the text of each
/// version, so what both attest binds the base document too. The versions
/// after the anchor carry both signatures themselves.

#include "ChainSignatures.h"
#include "balsamlatch/Rules/Chain.h"

#include <algorithm>
#include <fmt/format.h>

namespace balsamlatch {

namespace {

/// Verifies and applies the head's changes that are later than the state.
absl::StatusOr<ChainState> applyLater(const HeadDocument &Head,
                                      ChainState State) {
  for (const LandedChange &Landed : Head.Changes) {
    if (Landed.Version <= State.version()) {
      continue;
    }
    absl::StatusOr<ChainState> Next = State.next(Landed);
    if (!Next.ok()) {
      return Next;
    }
    State = *std::move(Next);
  }
  return State;
}

/// The pairs of keys that can be trusted on the word of the pair before.
std::vector<OwnerKeys> trustedPairs(const HeadDocument &Head,
                                    const OwnerKeys &Trusted) {
  std::vector<OwnerKeys> Pairs{Trusted};
  for (const LandedChange &Landed : Head.KeyChanges) {
    const std::vector<PublicKey> &New = Landed.Subject.Content.NewOwners;
    if (New.size() != 2 || New[0] == New[1]) {
      continue;
    }
    const OwnerKeys After = ownerKeys(New[0], New[1]);
    const std::vector<PublicKey> Signers = requiredKeys(Pairs.back(), After);
    if (std::all_of(Signers.begin(), Signers.end(), [&](const PublicKey &Key) {
          return approvedBy(Landed.Subject, Key);
        })) {
      Pairs.push_back(After);
    }
  }
  return Pairs;
}

} // namespace

/// Looks for the anchor among the versions that follow from a base document.
class HeadVerifier {
public:
  HeadVerifier(const HeadDocument &Document, ChainState Start)
      : Head(Document), States{std::move(Start)} {}

  absl::Status followAll();
  /// Latest version that both owners of the pair attest; 0 without.
  RulesVersion attestedBy(const OwnerKeys &Pair) const;
  absl::StatusOr<ChainState> verifyFrom(RulesVersion Anchor) const;

  /// Whether the base document's steps reach as far back as they must.
  static absl::Status checkReach(const HeadDocument &Head,
                                 const BaseDocument &Base);

private:
  RulesVersion attestedBy(const PublicKey &Key) const;
  const ChainState &latest() const { return States.back(); }

  const HeadDocument &Head;
  // Invariant: the base's state, then one state for each later version of the
  // head, without gaps.
  std::vector<ChainState> States;
};

absl::Status HeadVerifier::checkReach(const HeadDocument &Head,
                                      const BaseDocument &Base) {
  const Genesis &First = Head.First;
  if (First.Version == RulesVersion() || Base.Version < First.Version) {
    return absl::DataLossError("the base document is before the first version");
  }
  const std::uint64_t Age = Base.Version.Value - First.Version.Value;
  if (Base.Steps.size() != std::min(Age, MaxBaseAge)) {
    return absl::DataLossError("the base document's steps are incomplete");
  }
  if (Age > MaxBaseAge) {
    return absl::OkStatus();
  }
  const bool TextOfFirst =
      !Base.Steps.empty() || sha256(Base.Text) == First.TextHash;
  if (Base.StartChain != genesisChain(First) || !TextOfFirst) {
    return absl::DataLossError(
        "the base document doesn't lead back to the first version");
  }
  return absl::OkStatus();
}

absl::Status HeadVerifier::followAll() {
  for (const LandedChange &Landed : Head.Changes) {
    if (Landed.Version <= latest().version()) {
      continue;
    }
    absl::StatusOr<ChainState> Next = latest().follow(Landed.Subject);
    if (!Next.ok()) {
      return Next.status();
    }
    if (Next->version() != Landed.Version) {
      return absl::DataLossError("the head leaves out versions");
    }
    States.push_back(*std::move(Next));
  }
  return absl::OkStatus();
}

RulesVersion HeadVerifier::attestedBy(const PublicKey &Key) const {
  RulesVersion Best;
  const ChainState &Start = States.front();
  if (Start.version() == Head.First.Version &&
      signedBy(Head.First.Approvals, Key, genesisMessage(Head.First))) {
    Best = Start.version();
  }
  for (const LandedChange &Landed : Head.Changes) {
    const Digest *Chain = latest().chainAt(Landed.Version);
    if (Chain != nullptr && Landed.Landing.Key == Key &&
        verifySignature(Key, landingMessage(*Chain), Landed.Landing.Signed)) {
      Best = std::max(Best, Landed.Version);
    }
    const Change &Content = Landed.Subject.Content;
    const Digest *BaseChain = latest().chainAt(Content.Base);
    if (Content.Base > Best && BaseChain != nullptr &&
        *BaseChain == Content.BaseChain && approvedBy(Landed.Subject, Key)) {
      Best = Content.Base;
    }
  }
  return Best;
}

RulesVersion HeadVerifier::attestedBy(const OwnerKeys &Pair) const {
  return std::min(attestedBy(Pair[0]), attestedBy(Pair[1]));
}

absl::StatusOr<ChainState> HeadVerifier::verifyFrom(RulesVersion Anchor) const {
  return applyLater(Head,
                    States[Anchor.Value - States.front().version().Value]);
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
  absl::Status Reach = HeadVerifier::checkReach(Head, Base);
  absl::StatusOr<ChainState> Start =
      Reach.ok() ? ChainState::fromBase(Base) : Reach;
  if (!Start.ok()) {
    return Start;
  }
  HeadVerifier Verifier(Head, *std::move(Start));
  Reach = Verifier.followAll();
  if (!Reach.ok()) {
    return Reach;
  }
  RulesVersion Anchor;
  for (const OwnerKeys &Pair : trustedPairs(Head, Trusted)) {
    Anchor = std::max(Anchor, Verifier.attestedBy(Pair));
  }
  if (Anchor < Base.Version) {
    return absl::PermissionDeniedError(
        "the rules aren't signed by both trusted co-owners");
  }
  return Verifier.verifyFrom(Anchor);
}

absl::StatusOr<ChainState> followHead(const HeadDocument &Head,
                                      const ChainState &From) {
  if (From.version() < Head.Base) {
    return absl::OutOfRangeError("the head starts after the version in force");
  }
  return applyLater(Head, From);
}

} // namespace balsamlatch
