/// \file
/// Helpers that the wave and the move decisions share: the worker of a host and
/// its load.

#ifndef BALSAMLATCH_DISPATCH_HOSTWORKERS_H
#define BALSAMLATCH_DISPATCH_HOSTWORKERS_H

#include "balsamlatch/Dispatch/Dispatcher.h"
#include "balsamlatch/Dispatch/Hosts.h"

namespace balsamlatch::dispatch {

/// Added to the time of a maintenance or move for which a host counts as away
/// after its order.
inline constexpr Duration ReturnMargin = std::chrono::milliseconds(700);

/// The worker on the host, or null.
inline const WorkerState *findHostWorker(const HostRecord &Host,
                                         const Dispatcher &JobDispatcher) {
  const auto WorkerIt = JobDispatcher.workers().find(Host.WorkerId);
  return WorkerIt == JobDispatcher.workers().end() ? nullptr
                                                   : &WorkerIt->second;
}

/// CPU that the runs on the host claim, in thousandths of a core.
inline std::int64_t claimedCpuMilli(const HostRecord &Host,
                                    const Dispatcher &JobDispatcher) {
  const WorkerState *Worker = findHostWorker(Host, JobDispatcher);
  return Worker == nullptr ? 0 : Worker->ClaimedResources.CpuMilli;
}

} // namespace balsamlatch::dispatch

#endif // BALSAMLATCH_DISPATCH_HOSTWORKERS_H
