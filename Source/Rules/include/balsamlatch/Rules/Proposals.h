/// \file
/// Changes that wait for signatures. Nothing here is trusted: a change counts
/// by its signatures alone.

#ifndef BALSAMLATCH_RULES_PROPOSALS_H
#define BALSAMLATCH_RULES_PROPOSALS_H

#include "balsamlatch/Rules/Change.h"

#include <compare>
#include <string>
#include <vector>

namespace balsamlatch {

/// A proposal that was taken off the list.
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
  /// The last ones, oldest first; at most MaxClosedProposals.
  std::vector<ClosedProposal> Closed;

  auto operator<=>(const Proposals &) const = default;
};

inline constexpr std::size_t MaxOpenProposals = 200;
inline constexpr std::size_t MaxClosedProposals = 50;

/// Name of a change: the first digits of its digest.
inline std::string proposalId(const Change &Subject) {
  constexpr std::size_t Bytes = 6;
  return toHex(changeDigest(Subject).Bytes.data(), Bytes);
}

} // namespace balsamlatch

#endif // BALSAMLATCH_RULES_PROPOSALS_H
