/// \file
/// How fast fillers may work next to serving tasks. They share more than the
/// room that is counted, by amounts that nobody states and that change within
/// seconds; what shows is the tail of the serving tasks' response times. It
/// falls quickly when fillers are slowed down, and they are let go again step
/// by step.

#ifndef BALSAMLATCH_DISPATCH_PACING_H
#define BALSAMLATCH_DISPATCH_PACING_H

#include "balsamlatch/Base/Clock.h"

#include <compare>
#include <cstdint>

namespace balsamlatch::dispatch {

/// Serving tasks' worst tail on a worker, as a part of its objective.
struct TailReport {
  double WorstShare = 0;
  Instant At{};

  auto operator<=>(const TailReport &) const = default;
};

/// The pace of all fillers of one worker.
struct FillerPace {
  unsigned Percent = 100;
  Instant ChangedAt{};

  auto operator<=>(const FillerPace &) const = default;
};

/// The pace that follows from a report.
FillerPace nextPace(const FillerPace &Now, const TailReport &Seen);

} // namespace balsamlatch::dispatch

#endif // BALSAMLATCH_DISPATCH_PACING_H
