/// \file
/// Quantiles over the most recent observations of each job.

#include "balsamlatch/Placement/JobStatistics.h"

#include <algorithm>

namespace balsamlatch::placement {

namespace {

constexpr std::uint64_t MinObservations = 16;
constexpr Duration FreshnessPeriod = std::chrono::seconds(30);
/// Declared run times may be ten times too long.
constexpr int DeclaredRunTimeDivisor = 10;
constexpr std::uint64_t LowPercent = 10;
constexpr std::uint64_t HighPercent = 95;
constexpr std::uint64_t Percent = 100;

} // namespace

void QuantileWindow::add(std::int64_t Value) {
  Values[Count % WindowSize] = Value;
  ++Count;
  if (Count % RefreshInterval != 0) {
    return;
  }
  const std::uint64_t FilledCount = std::min<std::uint64_t>(Count, WindowSize);
  std::array<std::int64_t, WindowSize> Sorted = Values;
  std::sort(Sorted.begin(), Sorted.begin() + std::ptrdiff_t(FilledCount));
  Low = Sorted[FilledCount * LowPercent / Percent];
  High = Sorted[FilledCount * HighPercent / Percent];
}

void JobStatistics::recordRun(const JobName &Job, Duration RunTime,
                              Instant Now) {
  JobObservations &Observations = Jobs[Job];
  Observations.RunMicros.add(RunTime.count());
  Observations.LastRun = Now;
}

void JobStatistics::recordUsage(const TaskUsage &Usage) {
  JobObservations &Observations = Jobs[Usage.Job];
  Observations.MilliCores.add(Usage.MilliCores);
  Observations.MemoryMiB.add(Usage.MemoryMiB);
}

const JobStatistics::JobObservations *
JobStatistics::find(const JobName &Job) const {
  const auto It = Jobs.find(Job);
  return It == Jobs.end() ? nullptr : &It->second;
}

bool JobStatistics::hasEnoughRuns(const JobName &Job) const {
  const JobObservations *Observations = find(Job);
  return Observations != nullptr &&
         Observations->RunMicros.count() >= MinObservations;
}

Duration JobStatistics::runTime(const JobRule &Rule) const {
  return hasEnoughRuns(Rule.Job) ? Duration(find(Rule.Job)->RunMicros.high())
                                 : Rule.RunTime;
}

Duration JobStatistics::shortestRunTime(const JobRule &Rule,
                                        Instant Now) const {
  const JobObservations *Observations = find(Rule.Job);
  if (hasEnoughRuns(Rule.Job) &&
      Now - Observations->LastRun < FreshnessPeriod) {
    return Duration(Observations->RunMicros.low());
  }
  return Rule.RunTime / DeclaredRunTimeDivisor;
}

TaskSize JobStatistics::size(const JobRule &Rule) const {
  const JobObservations *Observations = find(Rule.Job);
  if (Observations == nullptr ||
      Observations->MilliCores.count() < MinObservations) {
    return Rule.Size;
  }
  return {static_cast<std::uint32_t>(Observations->MilliCores.high()),
          static_cast<std::uint32_t>(Observations->MemoryMiB.high()),
          Rule.Size.Accelerators};
}

} // namespace balsamlatch::placement
