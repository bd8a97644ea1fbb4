/// \file
/// Making the next documents of the chain: the first version, and a head with
/// one more change. Pure; the tool carries the documents to the store.

#ifndef BALSAMLATCH_RULES_LANDING_H
#define BALSAMLATCH_RULES_LANDING_H

#include "balsamlatch/Rules/Chain.h"

#include <absl/status/statusor.h>
#include <optional>
#include <string>
#include <vector>

namespace balsamlatch {

/// Changes that a head keeps at least, and at which it is cut back.
inline constexpr std::size_t HeadChangesKept = 8;
inline constexpr std::size_t HeadChangesMost = 16;

/// A verified chain, as read from the store.
struct ChainView {
  HeadDocument Head;
  BaseDocument Base;
  ChainState Latest;
};

/// Verifies the two documents. Without \p Trusted, the owners that the base
/// document names are taken at their word.
absl::StatusOr<ChainView> viewChain(std::string_view HeadText,
                                    std::string_view BaseText,
                                    const std::optional<OwnerKeys> &Trusted);

/// What a proposer says besides the text; the fields of Change.
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

/// A change that makes the same edits to the view's latest text, ready to be
/// signed. InvalidArgument if the texts don't differ or the result has
/// findings; Aborted and FailedPrecondition as for ChainState::next.
absl::StatusOr<Change> makeChange(const ChainView &View, const EditedText &Text,
                                  ProposalNote Note);

/// Keys that must sign the change and haven't. FailedPrecondition or Aborted
/// if it can't land any more.
absl::StatusOr<std::vector<PublicKey>>
missingSigners(const ChainView &View, const SignedChange &Subject);

/// A change that left the head, for the log.
struct RetiredChange {
  LandedChange Landed;
  /// Turn the text of this version into that of the one before.
  std::vector<LineEdit> Undo;

  auto operator<=>(const RetiredChange &) const = default;
};

/// What a landing writes, in this order: Retired to the log, the base document
/// if it changes, then the head.
struct LandingPlan {
  ChainView View;
  bool BaseChanges = false;
  /// Changes that leave the head.
  std::vector<RetiredChange> Retired;
};

/// Adds the change to the head. Statuses of ChainState::next;
/// InvalidArgument if the resulting text has findings;
/// ResourceExhausted if the documents would grow beyond the store's values.
absl::StatusOr<LandingPlan> planLanding(const ChainView &View,
                                        const SignedChange &Subject,
                                        const PrivateKey &Lander);

} // namespace balsamlatch

#endif // BALSAMLATCH_RULES_LANDING_H
