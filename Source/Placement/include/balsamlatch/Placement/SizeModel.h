/// \file
/// Run times and sizes of jobs as observed. Declared figures stand until
/// enough has been seen, since they may be far off.

#ifndef BALSAMLATCH_PLACEMENT_SIZEMODEL_H
#define BALSAMLATCH_PLACEMENT_SIZEMODEL_H

#include "balsamlatch/Base/Clock.h"
#include "balsamlatch/Platform/Worker.h"
#include "balsamlatch/Rules/RuleSet.h"

#include <array>
#include <cstdint>
#include <unordered_map>

namespace balsamlatch::placement {

/// The last observations of one quantity, and two of its quantiles.
class QuantileWindow {
public:
  void add(std::int64_t Value);

  std::uint64_t count() const { return Count; }
  /// The 10th and the 95th percentile of the last observations.
  std::int64_t low() const { return Low; }
  std::int64_t high() const { return High; }

private:
  static constexpr std::size_t Size = 64;
  static constexpr std::uint64_t Refresh = 8;

  std::array<std::int64_t, Size> Last{};
  std::uint64_t Count = 0;
  // Invariant: the quantiles as of the last refresh.
  std::int64_t Low = 0;
  std::int64_t High = 0;
};

/// Not thread safe.
class SizeModel {
public:
  /// A whole answer came after this time.
  void ran(const JobName &Job, Duration RunTime, Instant Now);
  /// A worker reported a running task.
  void used(const TaskUsage &Usage);

  /// High quantile of the run time; the declared one until enough was seen.
  Duration runTime(const JobRule &Rule) const;
  /// A run time below which the job hardly ever ends. Declared figures count
  /// a tenth, and observations only while they are fresh.
  Duration shortestRunTime(const JobRule &Rule, Instant Now) const;
  /// High quantile of the size; the declared one until enough was seen.
  TaskSize size(const JobRule &Rule) const;
  /// Enough runs were seen to judge a run as long.
  bool knowsRunTime(const JobName &Job) const;

private:
  struct Observed {
    QuantileWindow RunMicros;
    QuantileWindow MilliCores;
    QuantileWindow MemoryMiB;
    Instant LastRun{};
  };

  const Observed *find(const JobName &Job) const;

  std::unordered_map<JobName, Observed> Jobs;
};

} // namespace balsamlatch::placement

#endif // BALSAMLATCH_PLACEMENT_SIZEMODEL_H
