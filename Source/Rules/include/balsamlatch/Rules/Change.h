/// \file
/// A change of the rules: line edits with the lines that they expect, the
/// state that the proposer saw, and the signatures of the co-owners.

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

/// Replaces a run of lines. Lines are without their line ends.
struct LineEdit {
  /// Line of the base text, from 1, at which Old stands or, without Old, in
  /// front of which New goes.
  std::uint32_t Line = 0;
  /// The line above; places an insertion in a text that has moved on.
  std::string Above;
  std::vector<std::string> Old;
  std::vector<std::string> New;

  auto operator<=>(const LineEdit &) const = default;
};

/// What the co-owners sign.
struct Change {
  /// The version that the proposer saw, and the chain up to it. Who signs a
  /// change thereby attests that chain.
  RulesVersion Base;
  Digest BaseChain;
  OwnerName Proposer;
  std::string Reason;
  /// Seconds since 1970 UTC by the proposer's clock; for people only.
  std::uint64_t ProposedAt = 0;
  /// Makes equal edits different changes; random digits.
  std::string Nonce;
  std::vector<LineEdit> Edits;
  /// Public keys of both owners after the change, in the order of their lines;
  /// empty unless the change alters an owner's line.
  std::vector<PublicKey> NewOwners;

  auto operator<=>(const Change &) const = default;
};

/// Identifies the change; covers every field.
Digest changeDigest(const Change &Subject);

/// A signature and whose it is.
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
Approval approve(const Change &Subject, const PrivateKey &Key);

/// Whether the key's owner validly signed the change.
bool approvedBy(const SignedChange &Subject, const PublicKey &Key);

/// An edit whose expected lines no longer stand in the text.
struct EditConflict {
  LineEdit Edit;
  std::string Message;
};

/// The text after the edits, or all conflicts. Never half applied.
struct EditResult {
  std::string Text;
  std::vector<EditConflict> Conflicts;
};

/// Applies the edits to a text that may have moved on since they were made.
/// Each run of old lines is looked for nearest to its line.
EditResult applyEdits(std::string_view Text,
                      const std::vector<LineEdit> &Edits);

/// The edits that turn one text into another.
std::vector<LineEdit> diffTexts(std::string_view From, std::string_view To);

/// The edits as a readable listing, old lines with `-`, new ones with `+`.
std::string renderEdits(const std::vector<LineEdit> &Edits);

} // namespace balsamlatch

#endif // BALSAMLATCH_RULES_CHANGE_H
