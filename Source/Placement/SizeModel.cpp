/// \file
/// Quantiles of the last observations of each job.

#include "balsamlatch/Placement/SizeModel.h"

#include <algorithm>

namespace balsamlatch::placement {

namespace {

constexpr std::uint64_t EnoughObservations = 16;
constexpr Duration FreshFor = std::chrono::seconds(30);
/// Declared run times may be ten times too long.
constexpr int DeclaredError = 10;
constexpr std::uint64_t LowPercent = 10;
constexpr std::uint64_t HighPercent = 95;
constexpr std::uint64_t Percent = 100;

} // namespace

void QuantileWindow::add(std::int64_t Value) {
  Last[Count % Size] = Value;
  ++Count;
  if (Count % Refresh != 0) {
    return;
  }
  const std::uint64_t Filled = std::min<std::uint64_t>(Count, Size);
  std::array<std::int64_t, Size> Sorted = Last;
  std::sort(Sorted.begin(), Sorted.begin() + std::ptrdiff_t(Filled));
  Low = Sorted[Filled * LowPercent / Percent];
  High = Sorted[Filled * HighPercent / Percent];
}

void SizeModel::ran(const JobName &Job, Duration RunTime, Instant Now) {
  Observed &Seen = Jobs[Job];
  Seen.RunMicros.add(RunTime.count());
  Seen.LastRun = Now;
}

void SizeModel::used(const TaskUsage &Usage) {
  Observed &Seen = Jobs[Usage.Job];
  Seen.MilliCores.add(Usage.MilliCores);
  Seen.MemoryMiB.add(Usage.MemoryMiB);
}

const SizeModel::Observed *SizeModel::find(const JobName &Job) const {
  const auto Found = Jobs.find(Job);
  return Found == Jobs.end() ? nullptr : &Found->second;
}

bool SizeModel::knowsRunTime(const JobName &Job) const {
  const Observed *Seen = find(Job);
  return Seen != nullptr && Seen->RunMicros.count() >= EnoughObservations;
}

Duration SizeModel::runTime(const JobRule &Rule) const {
  return knowsRunTime(Rule.Job) ? Duration(find(Rule.Job)->RunMicros.high())
                                : Rule.RunTime;
}

Duration SizeModel::shortestRunTime(const JobRule &Rule, Instant Now) const {
  const Observed *Seen = find(Rule.Job);
  if (knowsRunTime(Rule.Job) && Now - Seen->LastRun < FreshFor) {
    return Duration(Seen->RunMicros.low());
  }
  return Rule.RunTime / DeclaredError;
}

TaskSize SizeModel::size(const JobRule &Rule) const {
  const Observed *Seen = find(Rule.Job);
  if (Seen == nullptr || Seen->MilliCores.count() < EnoughObservations) {
    return Rule.Size;
  }
  return {static_cast<std::uint32_t>(Seen->MilliCores.high()),
          static_cast<std::uint32_t>(Seen->MemoryMiB.high()),
          Rule.Size.Accelerators};
}

} // namespace balsamlatch::placement
