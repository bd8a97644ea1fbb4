/// \file
/// Adds refused requests and forgets old ones.

#include "balsamlatch/Control/RefusedRequests.h"

namespace balsamlatch::control {

namespace {

/// A connection that makes no progress for longer is reset by the system.
constexpr Duration RetentionTime = std::chrono::minutes(2);
constexpr std::size_t MaxRefusals = 50'000;

} // namespace

void RefusedRequests::add(const std::string &RequestId, Instant Now) {
  if (RequestId.empty() || !Ids.insert(RequestId).second) {
    return;
  }
  ByTime.push_back({Now, RequestId});
  while (ByTime.front().RefusedAt + RetentionTime < Now ||
         ByTime.size() > MaxRefusals) {
    Ids.erase(ByTime.front().RequestId);
    ByTime.pop_front();
  }
}

} // namespace balsamlatch::control
