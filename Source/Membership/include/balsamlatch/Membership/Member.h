/// \file
/// What one entry knows of another.

#ifndef BALSAMLATCH_MEMBERSHIP_MEMBER_H
#define BALSAMLATCH_MEMBERSHIP_MEMBER_H

#include "balsamlatch/Base/Ids.h"
#include "balsamlatch/Platform/HostList.h"

#include <compare>
#include <cstdint>

namespace balsamlatch::membership {

enum class MemberState {
  Alive,
  /// A probe went unanswered; the member has time to refute it.
  Suspect,
  /// Taken as failed: no answer within the suspicion time.
  Dead,
  /// Said itself that it stops.
  Left
};

/// "alive", "suspect", "dead" or "left".
const char *memberStateCode(MemberState State);

/// An entry as it is known here. Of two records of one entry the one with the
/// higher incarnation wins; with equal incarnations the worse state wins.
struct Member {
  EntryName Entry;
  Address At;
  DataCentreName DataCentre;
  /// Rises when the entry starts, and when it refutes a suspicion.
  std::uint64_t Incarnation = 0;
  MemberState State = MemberState::Alive;

  auto operator<=>(const Member &) const = default;
};

/// Whether \p New replaces \p Known about the same entry.
bool supersedes(const Member &New, const Member &Known);

} // namespace balsamlatch::membership

#endif // BALSAMLATCH_MEMBERSHIP_MEMBER_H
