/// \file
/// A change of the rules: line edits with the lines that they replace, the
/// version they are based on, and the signatures of the co-owners.

#ifndef BALSAMLATCH_RULES_CHANGE_H
#define BALSAMLATCH_RULES_CHANGE_H

#include "balsamlatch/Base/Ids.h"
#include "balsamlatch/Rules/Keys.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace balsamlatch {

/// Replaces consecutive lines. Lines are stored without their line ends.
struct LineEdit {
  /// Line of the base text, from 1, at which Old begins; if Old is empty, the
  /// line before which New is inserted.
  std::uint32_t Line = 0;
  /// The line above; locates an insertion in a text that has changed since.
  std::string Above;
  std::vector<std::string> Old;
  std::vector<std::string> New;

  auto operator<=>(const LineEdit &) const = default;
};

/// The content of a change; its digest is what the co-owners sign.
struct Change {
  /// The version that the change is based on, and its chain hash. A signature
  /// of the change also attests that chain.
  RulesVersion Base;
  Digest BaseChain;
  OwnerName Proposer;
  std::string Reason;
  /// Seconds since 1970 UTC by the proposer's clock; for display only.
  std::uint64_t ProposedAt = 0;
  /// Random digits that give two changes with equal edits different digests.
  std::string Nonce;
  std::vector<LineEdit> Edits;
  /// Public keys of both owners after the change, in the order of their lines;
  /// empty unless the change alters an owner's line.
  std::vector<PublicKey> NewOwners;

  auto operator<=>(const Change &) const = default;
};

/// Hash of all fields; identifies the change.
Digest changeDigest(const Change &Proposal);

/// A signature and the key that made it.
struct Approval {
  PublicKey Key;
  Signature Signed;

  auto operator<=>(const Approval &) const = default;
};

/// A change with the signatures that it has so far.
struct SignedChange {
  Change Content;
  // Invariant of a verified change: at most one for each key.
  std::vector<Approval> Approvals;

  auto operator<=>(const SignedChange &) const = default;
};

/// Signs the change with the key.
Approval approve(const Change &Proposal, const PrivateKey &Key);

/// Whether the change has a valid signature by the key.
bool isApprovedBy(const SignedChange &Proposal, const PublicKey &Key);

/// An edit whose expected lines are no longer in the text.
struct EditConflict {
  LineEdit Edit;
  std::string Message;
};

/// The text after all edits, or all conflicts. Edits are never applied in part.
struct EditResult {
  std::string Text;
  std::vector<EditConflict> Conflicts;
};

/// Applies the edits to a text that may have changed since they were made. If
/// the old lines of an edit occur several times, the place nearest to its line
/// number is used.
EditResult applyEdits(std::string_view Text,
                      const std::vector<LineEdit> &Edits);

/// The edits that turn one text into another.
std::vector<LineEdit> diffTexts(std::string_view OldText,
                                std::string_view NewText);

/// The edits as a readable listing, old lines with `-`, new ones with `+`.
std::string renderEdits(const std::vector<LineEdit> &Edits);

} // namespace balsamlatch

#endif // BALSAMLATCH_RULES_CHANGE_H
