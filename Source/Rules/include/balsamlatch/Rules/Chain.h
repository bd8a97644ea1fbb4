/// \file
/// The chain of versions: how each version follows from the one before by a
/// change that both co-owners signed, and how someone who knows only the first
/// owners' keys verifies the latest version from a few documents.

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

/// Store keys of the documents.
inline constexpr std::string_view HeadKey = "rules/head";
inline constexpr std::string_view BaseKey = "rules/base";
inline constexpr std::string_view ProposalsKey = "rules/proposals";

/// A change may land as long as its base is at most so many versions old.
inline constexpr std::uint64_t MaxBaseAge = 1024;

/// The two owners' keys, smaller first.
using OwnerKeys = std::array<PublicKey, 2>;

/// The first version of a chain, signed by both first owners.
struct Genesis {
  RulesVersion Version;
  Digest TextHash;
  /// Tells chains with the same text apart; random digits.
  std::string Nonce;
  std::vector<Approval> Approvals;

  auto operator<=>(const Genesis &) const = default;
};

/// A change that made a version.
struct LandedChange {
  RulesVersion Version;
  SignedChange Subject;
  /// Hash of the text of this version.
  Digest TextHash;
  /// Signature of one owner on the chain up to and with this version.
  Approval Landing;

  auto operator<=>(const LandedChange &) const = default;
};

/// What one version adds to the chain.
struct ChainStep {
  Digest Change;
  Digest TextHash;

  auto operator<=>(const ChainStep &) const = default;
};

/// The small document that is watched: the latest version and the last changes.
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

/// The whole text of an earlier version, with the chain that led to it.
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

Digest genesisChain(const Genesis &First);
Digest nextChain(const Digest &Previous, RulesVersion Version,
                 const ChainStep &Step);

/// Keys of the two owner lines of a text. FailedPrecondition if there are not
/// exactly two with different keys.
absl::StatusOr<OwnerKeys> ownersOf(std::string_view Text);

/// Sorts the two keys.
OwnerKeys ownerKeys(const PublicKey &A, const PublicKey &B);

/// One verified version with what is needed to verify the next. Immutable.
class ChainState {
public:
  /// The first version. Verifies both owners' signatures.
  static absl::StatusOr<ChainState> first(const Genesis &First,
                                          std::string Text);

  /// The state that a base document describes, whoever made it. DataLoss if
  /// the document contradicts itself.
  static absl::StatusOr<ChainState> fromBase(const BaseDocument &Base);

  /// The next version: verifies all signatures, base, chain and edits.
  /// - Aborted: the expected lines no longer stand; the message names them;
  /// - FailedPrecondition: the base is too old or from another chain;
  /// - AlreadyExists: the change has landed before;
  /// - PermissionDenied: a signature is missing or wrong.
  absl::StatusOr<ChainState> next(const LandedChange &Landed) const;

  /// The step and text that the change would make; the checks of next() but
  /// for the landing signature.
  absl::StatusOr<ChainState> land(const SignedChange &Subject) const;

  /// The owners' keys once the change has landed; the checks of land() but for
  /// the approvals.
  absl::StatusOr<OwnerKeys> ownersAfter(const Change &Subject) const;

  RulesVersion version() const { return Version; }
  const Digest &chain() const { return Chain; }
  const std::string &text() const { return Text; }
  Digest textHash() const;
  /// Hash of the text of one of the last MaxBaseAge versions; empty if it isn't
  /// known any more.
  std::optional<Digest> textHashAt(RulesVersion At) const;
  const OwnerKeys &owners() const { return Owners; }
  /// Whether the change made one of the last MaxBaseAge versions.
  bool contains(const Digest &Change) const;
  /// Chain hash of an earlier version, or null if it isn't known any more.
  const Digest *chainAt(RulesVersion At) const;
  /// The document from which this state can be made again.
  BaseDocument base() const;

private:
  friend class HeadVerifier;

  struct Past {
    ChainStep Step;
    Digest Chain;
  };

  absl::Status checkBase(const Change &Subject) const;
  absl::Status checkApprovals(const SignedChange &Subject,
                              const OwnerKeys &After) const;
  /// Follows without looking at signatures.
  absl::StatusOr<ChainState> follow(const SignedChange &Subject) const;

  RulesVersion Version;
  Digest Chain;
  std::string Text;
  OwnerKeys Owners;
  // Invariant: Window[I] made version Version - (Window.size() - 1 - I).
  std::deque<Past> Window;
  Digest StartChain;
};

/// Verifies a head from its base document, knowing only a pair of owners' keys
/// that was once in force. No owner alone, and not the store, can make a head
/// that passes.
absl::StatusOr<ChainState> verifyHead(const HeadDocument &Head,
                                      const BaseDocument &Base,
                                      const OwnerKeys &Trusted);

/// Verifies a head from an earlier verified state, which is returned when the
/// head has nothing new. OutOfRange if the state is older than the head's base.
absl::StatusOr<ChainState> followHead(const HeadDocument &Head,
                                      const ChainState &From);

} // namespace balsamlatch

#endif // BALSAMLATCH_RULES_CHAIN_H
