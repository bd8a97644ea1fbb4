/// \file
/// The order in which waiting work is placed. It matters when a queue demands
/// more than its pool can run, so that some jobs are late: jobs that can still
/// be on time, and give the most value for their remaining work, come first.

#ifndef BALSAMLATCH_DISPATCH_JOBRANK_H
#define BALSAMLATCH_DISPATCH_JOBRANK_H

#include "balsamlatch/Dispatch/Deployment.h"
#include "balsamlatch/Jobs/JobTable.h"

namespace balsamlatch::dispatch {

/// Sort key of waiting work; a smaller rank is placed first.
struct Rank {
  /// Long-running jobs, jobs that can meet their objective, jobs that are late
  /// but still of some value, and all others.
  enum Class { LongRunning, OnTime, Late, Overdue };

  Class JobClass = Overdue;
  /// Remaining work in CPU milliseconds, divided by the value of the whole job.
  double Cost = 0;
  WallTime DueAt{};

  auto operator<=>(const Rank &) const = default;
};

/// \p MeanWork is the mean work of the queue's jobs in CPU milliseconds.
Rank computeRank(const jobs::Job &Job, unsigned Occurrence,
                 const SchedulingTerms &Terms, double MeanWork, WallTime Now);

/// Estimated work of one occurrence in CPU milliseconds.
double estimatedWork(const jobs::JobSpec &Spec);

} // namespace balsamlatch::dispatch

#endif // BALSAMLATCH_DISPATCH_JOBRANK_H
