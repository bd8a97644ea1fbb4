/// \file
/// Remembers the requests that were refused as not run. An attempt to deliver
/// such a request may still be under way, on a connection that was cut off for
/// a while; the job must not be accepted when it arrives.

#ifndef BALSAMLATCH_CONTROL_REFUSEDREQUESTS_H
#define BALSAMLATCH_CONTROL_REFUSEDREQUESTS_H

#include "balsamlatch/Base/Clock.h"

#include <deque>
#include <string>
#include <unordered_set>

namespace balsamlatch::control {

class RefusedRequests {
public:
  /// Requests without an ID are not remembered.
  void add(const std::string &RequestId, Instant Now);
  bool contains(const std::string &RequestId) const {
    return Ids.contains(RequestId);
  }

private:
  struct Refusal {
    Instant RefusedAt{};
    std::string RequestId;
  };

  // Invariant: the same IDs, in both.
  std::deque<Refusal> ByTime;
  std::unordered_set<std::string> Ids;
};

} // namespace balsamlatch::control

#endif // BALSAMLATCH_CONTROL_REFUSEDREQUESTS_H
