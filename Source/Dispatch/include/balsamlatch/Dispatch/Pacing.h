/// \file
/// Controls how fast best-effort tasks run next to serving tasks. Both compete
/// for more than the resources that are accounted for, by amounts that are not
/// known and change within seconds. The observable effect is the tail latency
/// of the serving tasks, so best-effort tasks slow down sharply when it rises
/// and speed up again in small steps.

#ifndef BALSAMLATCH_DISPATCH_PACING_H
#define BALSAMLATCH_DISPATCH_PACING_H

#include "balsamlatch/Base/Clock.h"

#include <compare>
#include <cstdint>

namespace balsamlatch::dispatch {

/// The worst tail latency of the serving tasks on a worker, as a fraction of
/// the objective of the task.
struct TailReport {
  double WorstTailRatio = 0;
  Instant MeasuredAt{};

  auto operator<=>(const TailReport &) const = default;
};

/// The pace that applies to all best-effort tasks of a worker.
struct BestEffortPace {
  unsigned Percent = 100;
  Instant ChangedAt{};

  auto operator<=>(const BestEffortPace &) const = default;
};

/// Returns the pace after a tail report.
BestEffortPace nextPace(const BestEffortPace &CurrentPace,
                        const TailReport &Tails);

} // namespace balsamlatch::dispatch

#endif // BALSAMLATCH_DISPATCH_PACING_H
