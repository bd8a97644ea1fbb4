/// \file
/// The hash chain of rules versions. Each version results from the previous one
/// by a change that both co-owners signed. The latest version can be verified
/// from the head and base documents and a pair of trusted owner keys.

#ifndef BALSAMLATCH_RULES_CHAIN_H
#define BALSAMLATCH_RULES_CHAIN_H

#include "balsamlatch/Rules/Change.h"
#include "balsamlatch/Rules/RuleSet.h"

#include <absl/status/statusor.h>
#include <array>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace balsamlatch {

/// Keys of the documents in the store.
inline constexpr std::string_view HeadKey = "rules/head";
inline constexpr std::string_view BaseKey = "rules/base";
inline constexpr std::string_view ProposalsKey = "rules/proposals";

/// A change may land only while its base is fewer than this many versions old.
inline constexpr std::uint64_t MaxBaseAge = 1024;

/// The public keys of the two owners, in ascending order.
using OwnerKeys = std::array<PublicKey, 2>;

/// The first version of a chain, signed by both first owners.
struct Genesis {
  RulesVersion Version;
  Digest TextHash;
  /// Random digits that distinguish chains with the same first text.
  std::string Nonce;
  std::vector<Approval> Approvals;

  auto operator<=>(const Genesis &) const = default;
};

/// An approved change and the version that it created.
struct LandedChange {
  RulesVersion Version;
  SignedChange Subject;
  /// Hash of the text of this version.
  Digest TextHash;
  /// Signature of the owner who landed the change, on the chain hash of this
  /// version.
  Approval Landing;

  auto operator<=>(const LandedChange &) const = default;
};

/// The input that one version adds to the hash chain: the digests of its change
/// and of its text.
struct ChainStep {
  Digest Change;
  Digest TextHash;

  auto operator<=>(const ChainStep &) const = default;
};

/// The small document that entries watch: the latest version and the most
/// recent changes.
struct HeadDocument {
  Genesis First;
  /// All changes of owners' keys, oldest first.
  std::vector<LandedChange> KeyChanges;
  /// Version of the base document that the changes start from.
  RulesVersion Base;
  /// Without gaps, from Base + 1 to the latest version.
  std::vector<LandedChange> Changes;

  RulesVersion version() const {
    return Changes.empty() ? Base : Changes.back().Version;
  }
  auto operator<=>(const HeadDocument &) const = default;
};

/// A snapshot: the whole text of an earlier version and the recent steps of the
/// chain that led to it.
struct BaseDocument {
  RulesVersion Version;
  std::string Text;
  /// Chain hash of the version before the first step, or of Version itself
  /// without steps.
  Digest StartChain;
  /// Steps of the last versions up to Version; at most MaxBaseAge.
  std::vector<ChainStep> Steps;

  auto operator<=>(const BaseDocument &) const = default;
};

/// Chain hash of the first version.
Digest genesisChainHash(const Genesis &FirstVersion);
/// Chain hash of a version, from that of the previous one and the version's
/// step.
Digest nextChainHash(const Digest &Previous, RulesVersion Version,
                     const ChainStep &Step);

/// Reads the keys of the two owner lines of a text. FailedPrecondition unless
/// there are exactly two with different keys.
absl::StatusOr<OwnerKeys> parseOwnerKeys(std::string_view Text);

/// Sorts the two keys.
OwnerKeys sortedOwnerKeys(const PublicKey &A, const PublicKey &B);

/// One version of the rules with all that is needed to verify the next.
/// Immutable.
class ChainState {
public:
  /// The first version. Verifies both owners' signatures.
  static absl::StatusOr<ChainState> first(const Genesis &FirstVersion,
                                          std::string Text);

  /// The state that a base document describes, without verifying any signature.
  /// DataLoss if the document is inconsistent.
  static absl::StatusOr<ChainState> fromBase(const BaseDocument &Base);

  /// The next version. Verifies all signatures, the base, the chain and the
  /// edits.
  /// - Aborted: the text no longer has the expected lines; the message lists
  ///   them;
  /// - FailedPrecondition: the base is too old or from another chain;
  /// - AlreadyExists: the change has landed before;
  /// - PermissionDenied: a signature is missing or wrong.
  absl::StatusOr<ChainState> next(const LandedChange &Entry) const;

  /// The state after the change. Makes the checks of next() except for the
  /// landing signature.
  absl::StatusOr<ChainState> land(const SignedChange &Proposal) const;

  /// The owners' keys after the change. Makes the checks of land() except for
  /// the approvals.
  absl::StatusOr<OwnerKeys> ownersAfter(const Change &Proposal) const;

  RulesVersion version() const { return Version; }
  const Digest &chain() const { return Chain; }
  const std::string &text() const { return Text; }
  Digest textHash() const;
  /// Hash of the text of one of the last MaxBaseAge versions; empty for any
  /// other version.
  std::optional<Digest> textHashAt(RulesVersion QueriedVersion) const;
  const OwnerKeys &owners() const { return Owners; }
  /// Whether the change created one of the last MaxBaseAge versions.
  bool contains(const Digest &Change) const;
  /// Chain hash of this or one of the last MaxBaseAge versions; null for any
  /// other version.
  const Digest *chainHashAt(RulesVersion QueriedVersion) const;
  /// The base document of this state; the inverse of fromBase().
  BaseDocument base() const;

private:
  friend class HeadVerifier;

  /// The step of one recent version and the chain hash after it.
  struct WindowEntry {
    ChainStep Step;
    Digest Chain;
  };

  absl::Status checkBase(const Change &Proposal) const;
  absl::Status checkApprovals(const SignedChange &Proposal,
                              const OwnerKeys &NewOwners) const;
  /// The state after the change, without verifying signatures.
  absl::StatusOr<ChainState>
  applyWithoutSignatures(const SignedChange &Proposal) const;

  RulesVersion Version;
  Digest Chain;
  std::string Text;
  OwnerKeys Owners;
  // The last versions, at most MaxBaseAge. Invariant: Window[I] belongs to
  // version Version - (Window.size() - 1 - I).
  std::deque<WindowEntry> Window;
  // Chain hash of the version before Window.
  Digest StartChain;
};

/// Verifies a head against its base document, trusting only a pair of owners'
/// keys that was once in force. Neither a single owner nor the store can forge
/// a head that passes.
absl::StatusOr<ChainState> verifyHead(const HeadDocument &Head,
                                      const BaseDocument &Base,
                                      const OwnerKeys &Trusted);

/// Verifies a head against an earlier verified state, which is returned if the
/// head has no newer version. OutOfRange if the state is older than the head's
/// base.
absl::StatusOr<ChainState> followHead(const HeadDocument &Head,
                                      const ChainState &Verified);

} // namespace balsamlatch

#endif // BALSAMLATCH_RULES_CHAIN_H
