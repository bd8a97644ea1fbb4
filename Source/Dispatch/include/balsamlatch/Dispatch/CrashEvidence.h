/// \file
/// Judges whether the crash of a worker is evidence against the start of a run.
///
/// A worker that crashes soon after a start may have crashed by itself. Only a
/// crash that nothing else explains points to the start; any other is in doubt,
/// also one that comes later while the run goes on. Only a long-running task is
/// cleared by a run that has gone on for long.
/// The rule has no state, so each lease holder judges alike.

#ifndef BALSAMLATCH_DISPATCH_CRASHEVIDENCE_H
#define BALSAMLATCH_DISPATCH_CRASHEVIDENCE_H

#include "balsamlatch/Dispatch/WorkerState.h"

namespace balsamlatch::dispatch {

/// The present on both clocks. Incarnations are on the wall clock.
struct ClockReading {
  Instant Now{};
  WallTime WallNow{};
};

/// Whether the worker has been up for so short a time that it may be one that
/// crashes again and again.
bool isRecentlyStarted(const WorkerState &Worker, const ClockReading &At);

/// Whether the run has gone on for so long that earlier crashes don't count
/// against its task any more.
bool hasSurvived(const WorkerState &Worker, const RunState &Run);

/// Time from the start of the run to the crash of its worker; unset if the
/// start wasn't seen.
std::optional<Duration> crashDelay(const WorkerState &Worker,
                                   const RunState &Run, Instant Now);

/// How the run ends if its worker has crashed.
jobs::RunOutcome judgeCrash(const WorkerState &Worker, const RunState &Run,
                            const ClockReading &At);

} // namespace balsamlatch::dispatch

#endif // BALSAMLATCH_DISPATCH_CRASHEVIDENCE_H
