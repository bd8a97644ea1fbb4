/// \file
/// Run times and resource use of jobs as observed. Declared values, which may
/// be far off, apply until there are enough observations.

#ifndef BALSAMLATCH_PLACEMENT_JOBSTATISTICS_H
#define BALSAMLATCH_PLACEMENT_JOBSTATISTICS_H

#include "balsamlatch/Base/Clock.h"
#include "balsamlatch/Platform/Worker.h"
#include "balsamlatch/Rules/RuleSet.h"

#include <array>
#include <cstdint>
#include <unordered_map>

namespace balsamlatch::placement {

/// A sliding window of observations of one quantity, with two quantiles.
class QuantileWindow {
public:
  void add(std::int64_t Value);

  std::uint64_t count() const { return Count; }
  /// The 10th and the 95th percentile of the window.
  std::int64_t low() const { return Low; }
  std::int64_t high() const { return High; }

private:
  static constexpr std::size_t WindowSize = 64;
  static constexpr std::uint64_t RefreshInterval = 8;

  std::array<std::int64_t, WindowSize> Values{};
  std::uint64_t Count = 0;
  // Invariant: the quantiles as of the last refresh; they are refreshed after
  // every RefreshInterval observations.
  std::int64_t Low = 0;
  std::int64_t High = 0;
};

/// Not thread safe.
class JobStatistics {
public:
  /// An attempt returned a complete answer after this run time.
  void recordRun(const JobName &Job, Duration RunTime, Instant Now);
  /// A worker reported the resource use of a running task.
  void recordUsage(const TaskUsage &Usage);

  /// 95th percentile of the run time, or the declared one until there are
  /// enough observations.
  Duration runTime(const JobRule &Rule) const;
  /// A run time that the job rarely undercuts: the 10th percentile while
  /// observations are fresh, otherwise a tenth of the declared run time.
  Duration shortestRunTime(const JobRule &Rule, Instant Now) const;
  /// 95th percentile of the resource use, or the declared one until there are
  /// enough observations.
  TaskSize size(const JobRule &Rule) const;
  /// Whether there are enough observed runs to call a run long.
  bool hasEnoughRuns(const JobName &Job) const;

private:
  struct JobObservations {
    QuantileWindow RunMicros;
    QuantileWindow MilliCores;
    QuantileWindow MemoryMiB;
    Instant LastRun{};
  };

  const JobObservations *find(const JobName &Job) const;

  std::unordered_map<JobName, JobObservations> Jobs;
};

} // namespace balsamlatch::placement

#endif // BALSAMLATCH_PLACEMENT_SIZEMODEL_H
