/// \file
/// Lookups of queues and pools in the configuration.

#include "balsamlatch/Dispatch/Deployment.h"

#include <algorithm>

namespace balsamlatch::dispatch {

namespace {

/// \p JobQueue is null for a removed queue.
JobPlacement makePlacement(const Queue *JobQueue,
                           const jobs::JobAccepted &Job) {
  return JobQueue == nullptr ? JobPlacement{Job.Pool, Job.Terms}
                             : JobPlacement{JobQueue->Pool, JobQueue->Terms};
}

} // namespace

const Queue *Deployment::match(std::string_view Host,
                               std::string_view Path) const {
  const Queue *BestMatch = nullptr;
  for (const Queue &QueueEntry : Queues) {
    if (QueueEntry.Host == Host && Path.starts_with(QueueEntry.Prefix) &&
        (BestMatch == nullptr ||
         QueueEntry.Prefix.size() > BestMatch->Prefix.size())) {
      BestMatch = &QueueEntry;
    }
  }
  return BestMatch;
}

const Queue *Deployment::find(const QueueName &Name) const {
  const auto QueueIt =
      std::find_if(Queues.begin(), Queues.end(), [&](const Queue &QueueEntry) {
        return QueueEntry.Name == Name;
      });
  return QueueIt == Queues.end() ? nullptr : &*QueueIt;
}

const Pool *Deployment::find(const PoolName &Name) const {
  const auto PoolIt =
      std::find_if(Pools.begin(), Pools.end(), [&](const Pool &PoolEntry) {
        return PoolEntry.Name == Name;
      });
  return PoolIt == Pools.end() ? nullptr : &*PoolIt;
}

JobPlacement PlacementLookup::placementOf(const jobs::JobAccepted &Job) {
  const auto [QueueIt, IsNew] = QueuesByName.try_emplace(Job.Queue);
  if (IsNew) {
    QueueIt->second = Config.find(Job.Queue);
  }
  return makePlacement(QueueIt->second, Job);
}

JobPlacement Deployment::placementOf(const jobs::JobAccepted &Job) const {
  return makePlacement(find(Job.Queue), Job);
}

} // namespace balsamlatch::dispatch
