/// \file
/// Membership records: the state of an entry as known to another one.

#ifndef BALSAMLATCH_MEMBERSHIP_MEMBER_H
#define BALSAMLATCH_MEMBERSHIP_MEMBER_H

#include "balsamlatch/Base/Ids.h"
#include "balsamlatch/Platform/HostList.h"

#include <compare>
#include <cstdint>

namespace balsamlatch::membership {

enum class MemberState {
  Alive,
  /// A probe got no answer. The member can refute this until the suspicion
  /// timeout.
  Suspect,
  /// The suspicion timeout passed without a refutation.
  Dead,
  /// The member announced that it stops.
  Left
};

/// "alive", "suspect", "dead" or "left".
const char *memberStateName(MemberState State);

/// Membership record of one entry. Of two records of the same entry the higher
/// incarnation wins; at equal incarnations the later MemberState wins.
struct Member {
  EntryName Entry;
  Address At;
  DataCentreName DataCentre;
  /// Raised by the entry itself, when it starts and when it refutes a
  /// report that it is suspect, dead or left.
  std::uint64_t Incarnation = 0;
  MemberState State = MemberState::Alive;

  auto operator<=>(const Member &) const = default;
};

/// Returns whether \p New replaces \p Known, a record of the same entry.
bool supersedes(const Member &New, const Member &Known);

} // namespace balsamlatch::membership

#endif // BALSAMLATCH_MEMBERSHIP_MEMBER_H
