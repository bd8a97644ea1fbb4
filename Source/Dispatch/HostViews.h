/// \file
/// What the parts of the host keeper share: a host's worker, and times.

#ifndef BALSAMLATCH_DISPATCH_HOSTVIEWS_H
#define BALSAMLATCH_DISPATCH_HOSTVIEWS_H

#include "balsamlatch/Dispatch/Dispatcher.h"
#include "balsamlatch/Dispatch/Hosts.h"

namespace balsamlatch::dispatch {

/// After an order a host counts as away for its maintenance and this.
inline constexpr Duration ReturnMargin = std::chrono::milliseconds(700);

/// The worker on the host, or null.
inline const WorkerState *workerOf(const HostRecord &Host,
                                   const Dispatcher &Workers) {
  const auto Found = Workers.workers().find(Host.WorkerId);
  return Found == Workers.workers().end() ? nullptr : &Found->second;
}

/// Processor time that is claimed there, in thousandths of a core.
inline std::int64_t usedOf(const HostRecord &Host, const Dispatcher &Workers) {
  const WorkerState *Worker = workerOf(Host, Workers);
  return Worker == nullptr ? 0 : Worker->Claimed.CpuMilli;
}

} // namespace balsamlatch::dispatch

#endif // BALSAMLATCH_DISPATCH_HOSTVIEWS_H
