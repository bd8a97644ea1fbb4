/// \file
/// In which order work waits for room. The load that it answers: a queue asks
/// for more than its pool holds, so that some jobs must be late; those that
/// can still be on time and gain most for the room that they take come first.

#ifndef BALSAMLATCH_DISPATCH_ORDERING_H
#define BALSAMLATCH_DISPATCH_ORDERING_H

#include "balsamlatch/Dispatch/Deployment.h"
#include "balsamlatch/Jobs/JobBook.h"

namespace balsamlatch::dispatch {

/// Compares smaller for what comes first.
struct Rank {
  /// Lasting work, work that can be on time, work that can be of some use
  /// later, and the rest.
  enum Class { Lasting, OnTime, Late, Overdue };

  Class Group = Overdue;
  /// Cost for each unit of worth: processor seconds that are still to be
  /// spent, relative to the worth of the whole job.
  double Cost = 0;
  WallTime Since{};

  auto operator<=>(const Rank &) const = default;
};

/// \p MeanWork is the mean of the processor milliseconds of the queue's jobs.
Rank rankOf(const jobs::Job &Owner, unsigned Occurrence, const Queue &From,
            double MeanWork, WallTime Now);

/// Processor milliseconds that the estimates give for one occurrence.
double workOf(const jobs::JobSpec &Spec);

} // namespace balsamlatch::dispatch

#endif // BALSAMLATCH_DISPATCH_ORDERING_H
