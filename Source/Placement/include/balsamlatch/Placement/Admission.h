/// \file
/// Admission control: requests that can't be served are refused on arrival, so
/// that the caller learns it at once.

#ifndef BALSAMLATCH_PLACEMENT_ADMISSION_H
#define BALSAMLATCH_PLACEMENT_ADMISSION_H

#include "balsamlatch/Placement/Events.h"
#include "balsamlatch/Placement/JobStatistics.h"

#include <cstdint>
#include <optional>

namespace balsamlatch::placement {

/// The load of one pool when a request arrives.
struct PoolLoad {
  std::size_t QueuedRequests = 0;
  std::size_t MaxQueuedRequests = 0;
  /// Queued requests in prompt order, and this entry's share of the slots for
  /// them.
  std::uint32_t UrgentRequests = 0;
  double SlotShare = 0;
};

/// The job's rule, or null if the job or its pool has no rule.
const JobRule *findJobRule(const RuleSet *Rules, const JobName &Job);

/// Why a request of a known job is refused as not run; empty if it is admitted.
std::optional<Reason> refusalReason(const Request &CallerRequest,
                                    const JobRule &Rule, const PoolRule &Pool,
                                    const JobStatistics &Statistics,
                                    const PoolLoad &Load, Instant Now);

} // namespace balsamlatch::placement

#endif // BALSAMLATCH_PLACEMENT_ADMISSION_H
