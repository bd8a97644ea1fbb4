/// \file
/// The list of proposed changes that wait for signatures. The list itself is
/// not trusted: only the signatures of a change are.

#ifndef BALSAMLATCH_RULES_PROPOSALS_H
#define BALSAMLATCH_RULES_PROPOSALS_H

#include "balsamlatch/Rules/Change.h"

#include <compare>
#include <string>
#include <vector>

namespace balsamlatch {

/// A proposal that is no longer open.
struct ClosedProposal {
  std::string Id;
  OwnerName By;
  /// "landed", "rejected" or "withdrawn".
  std::string How;

  auto operator<=>(const ClosedProposal &) const = default;
};

/// The document under ProposalsKey.
struct Proposals {
  std::vector<SignedChange> Open;
  /// The most recently closed ones, oldest first; at most MaxClosedProposals.
  std::vector<ClosedProposal> Closed;

  auto operator<=>(const Proposals &) const = default;
};

inline constexpr std::size_t MaxOpenProposals = 200;
inline constexpr std::size_t MaxClosedProposals = 50;

/// Id of a proposal: the first 12 hexadecimal digits of its digest.
inline std::string proposalId(const Change &Proposal) {
  constexpr std::size_t Bytes = 6;
  return toHex(changeDigest(Proposal).Bytes.data(), Bytes);
}

} // namespace balsamlatch

#endif // BALSAMLATCH_RULES_PROPOSALS_H
