/// \file
/// Names of member states and precedence of membership records.

#include "balsamlatch/Membership/Member.h"

namespace balsamlatch::membership {

const char *memberStateName(MemberState State) {
  switch (State) {
  case MemberState::Alive:
    return "alive";
  case MemberState::Suspect:
    return "suspect";
  case MemberState::Dead:
    return "dead";
  case MemberState::Left:
    return "left";
  }
  return "alive";
}

bool supersedes(const Member &New, const Member &Known) {
  if (New.Incarnation != Known.Incarnation) {
    return New.Incarnation > Known.Incarnation;
  }
  return New.State > Known.State;
}

} // namespace balsamlatch::membership
