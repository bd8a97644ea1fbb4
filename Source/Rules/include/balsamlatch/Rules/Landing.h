/// \file
/// Builds the documents of the chain: those of the first version, and those
/// after one more change. Does no I/O; the caller writes them to the store.

#ifndef BALSAMLATCH_RULES_LANDING_H
#define BALSAMLATCH_RULES_LANDING_H

#include "balsamlatch/Rules/Chain.h"

#include <absl/status/statusor.h>
#include <optional>
#include <string>
#include <vector>

namespace balsamlatch {

/// Number of changes that a head keeps when it is compacted, and number of
/// changes that triggers the compaction.
inline constexpr std::size_t HeadChangesKept = 8;
inline constexpr std::size_t HeadCompactionChanges = 16;

/// A verified chain, as read from the store.
struct ChainView {
  HeadDocument Head;
  BaseDocument Base;
  ChainState Latest;
};

/// Parses and verifies the two documents. Without \p TrustedOwners, the owners
/// that the base document names are trusted.
absl::StatusOr<ChainView>
viewChain(std::string_view HeadText, std::string_view BaseText,
          const std::optional<OwnerKeys> &TrustedOwners);

/// The fields of Change that don't depend on the text.
struct ProposalNote {
  OwnerName Proposer;
  std::string Reason;
  std::uint64_t ProposedAt = 0;
  std::string Nonce;
};

/// Starts a chain with a checked text, signed by both owners. \p Version is
/// greater than that of any chain that the store had before.
absl::StatusOr<ChainView> startChain(std::string Text, RulesVersion Version,
                                     std::string Nonce, const PrivateKey &A,
                                     const PrivateKey &B);

/// The text that an owner edited, and its version.
struct EditedText {
  RulesVersion Base;
  std::string Old;
  std::string New;
};

/// Creates the change with the edits from the old to the new text, ready to be
/// signed. InvalidArgument if the texts don't differ or the result has
/// findings; Aborted and FailedPrecondition as for ChainState::next.
absl::StatusOr<Change> makeChange(const ChainView &View, const EditedText &Text,
                                  ProposalNote Note);

/// The keys whose signatures the change still lacks. FailedPrecondition or
/// Aborted if it can no longer land.
absl::StatusOr<std::vector<PublicKey>>
missingSigners(const ChainView &View, const SignedChange &Proposal);

/// A change that was removed from the head by compaction; kept for the log of
/// changes.
struct RetiredChange {
  LandedChange Landed;
  /// Edits from the text of this version back to that of the previous one.
  std::vector<LineEdit> Undo;

  auto operator<=>(const RetiredChange &) const = default;
};

/// The writes of a landing, in this order: Retired to the log, the base
/// document if IsBaseChanged, then the head.
struct LandingPlan {
  ChainView View;
  bool IsBaseChanged = false;
  /// Changes that compaction removes from the head.
  std::vector<RetiredChange> Retired;
};

/// Adds the change to the head. Fails with the statuses of ChainState::next;
/// InvalidArgument if the resulting text has findings;
/// ResourceExhausted if a document exceeds the maximum size of a store value.
absl::StatusOr<LandingPlan> planLanding(const ChainView &View,
                                        const SignedChange &Proposal,
                                        const PrivateKey &LandingKey);

} // namespace balsamlatch

#endif // BALSAMLATCH_RULES_LANDING_H
