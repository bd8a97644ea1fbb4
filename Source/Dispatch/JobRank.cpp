/// \file
/// Computes the ranks of waiting work from estimates, objectives and arrival.

#include "balsamlatch/Dispatch/JobRank.h"

#include <algorithm>

namespace balsamlatch::dispatch {

namespace {

/// A late job still has some value until this many times its objective.
constexpr int LateObjectiveFactor = 3;
/// Value of a job relative to one of mean size: the part that doesn't depend on
/// its size, and the maximum.
constexpr double BaseValue = 0.3;
constexpr double MaxValue = 4;

/// Keeps multiples of an objective representable.
constexpr Duration MaxObjective = std::chrono::hours(24 * 365 * 300);

double taskWork(const jobs::StepSpec &Step) {
  const double Seconds =
      std::chrono::duration<double>(Step.EstimatedRunTime).count();
  return static_cast<double>(
             std::max<std::int64_t>(1, Step.RequestedResources.CpuMilli)) *
         std::max(Seconds, 0.001);
}

struct RemainingWork {
  double Work = 0;
  Duration CriticalPath{};
};

RemainingWork remainingWork(const jobs::Job &Job, unsigned Occurrence) {
  const jobs::JobSpec &Spec = Job.spec();
  const auto OccurrenceIt = Job.Record.Occurrences.find(Occurrence);
  std::vector<Duration> StepEnds(Spec.Steps.size());
  RemainingWork WorkLeft;
  for (std::size_t Index = 0; Index < Spec.Steps.size(); ++Index) {
    const jobs::StepSpec &Step = Spec.Steps[Index];
    std::size_t OpenTasks = Step.Count;
    if (OccurrenceIt != Job.Record.Occurrences.end()) {
      const jobs::StepRecord &Tasks = OccurrenceIt->second[Index];
      OpenTasks = std::count_if(Tasks.begin(), Tasks.end(),
                                [](const jobs::TaskRecord &Task) {
                                  return Task.Phase != jobs::TaskPhase::Done;
                                });
    }
    Duration StepBegin{};
    for (const unsigned Predecessor : Step.PrerequisiteSteps) {
      StepBegin = std::max(StepBegin, StepEnds[Predecessor]);
    }
    StepEnds[Index] =
        StepBegin + (OpenTasks > 0 ? Step.EstimatedRunTime : Duration::zero());
    WorkLeft.CriticalPath = std::max(WorkLeft.CriticalPath, StepEnds[Index]);
    WorkLeft.Work += taskWork(Step) * static_cast<double>(OpenTasks);
  }
  return WorkLeft;
}

} // namespace

double estimatedWork(const jobs::JobSpec &Spec) {
  double Work = 0;
  for (const jobs::StepSpec &Step : Spec.Steps) {
    Work += taskWork(Step) * Step.Count;
  }
  return Work;
}

Rank computeRank(const jobs::Job &Job, unsigned Occurrence,
                 const SchedulingTerms &Terms, double MeanWork, WallTime Now) {
  Rank Result;
  Result.DueAt = Job.dueTime(Occurrence);
  const RemainingWork WorkLeft = remainingWork(Job, Occurrence);
  const double TotalWork = estimatedWork(Job.spec());
  const double JobValue =
      std::min(MaxValue, BaseValue + (1 - BaseValue) * TotalWork /
                                         std::max(MeanWork, 1.0));
  Result.Cost = WorkLeft.Work / JobValue;
  if (Job.spec().hasLongRunningStep()) {
    Result.JobClass = Rank::LongRunning;
    return Result;
  }
  const Duration Age = Now - Result.DueAt;
  const auto Objective = std::chrono::duration_cast<Duration>(
      std::min<std::chrono::duration<double, Duration::period>>(
          estimatedCriticalPath(Job.spec()) * Terms.Stretch +
              Terms.LatencyObjective,
          MaxObjective));
  if (Age + WorkLeft.CriticalPath <= Objective) {
    Result.JobClass = Rank::OnTime;
  } else if (Age + WorkLeft.CriticalPath <= Objective * LateObjectiveFactor) {
    Result.JobClass = Rank::Late;
  }
  return Result;
}

} // namespace balsamlatch::dispatch
