/// \file
/// Which requests are refused on arrival, so that a caller hears at once what
/// can't be served.

#ifndef BALSAMLATCH_PLACEMENT_ADMISSION_H
#define BALSAMLATCH_PLACEMENT_ADMISSION_H

#include "balsamlatch/Placement/Events.h"
#include "balsamlatch/Placement/SizeModel.h"

#include <cstdint>
#include <optional>

namespace balsamlatch::placement {

/// The load that a request of one pool meets.
struct PoolLoad {
  std::size_t Waiting = 0;
  std::size_t MaxWaiting = 0;
  /// Requests in prompt order, and the slots for them, as this entry's part.
  std::uint32_t Urgent = 0;
  double Slots = 0;
};

/// The job's rule if its pool has one too, or null.
const JobRule *ruleFor(const RuleSet *Rules, const JobName &Job);

/// Why a request of a known job is refused as not run; empty: admitted.
std::optional<Reason> refusal(const Request &Asked, const JobRule &Rule,
                              const PoolRule &Pool, const SizeModel &Sizes,
                              const PoolLoad &Load, Instant Now);

} // namespace balsamlatch::placement

#endif // BALSAMLATCH_PLACEMENT_ADMISSION_H
