/// \file
/// The order of waiting work.

#include "balsamlatch/Dispatch/Ordering.h"

#include <algorithm>

namespace balsamlatch::dispatch {

namespace {

/// A job is worth something until this many times its objective.
constexpr int UsefulObjectives = 3;
/// Part of a job's worth that doesn't depend on its size, and the largest
/// worth, relative to a mean job.
constexpr double FixedWorth = 0.3;
constexpr double MaxWorth = 4;

double taskWork(const jobs::StepSpec &Step) {
  const double Seconds = std::chrono::duration<double>(Step.Estimate).count();
  return static_cast<double>(std::max<std::int64_t>(1, Step.Need.CpuMilli)) *
         std::max(Seconds, 0.001);
}

struct Remaining {
  double Work = 0;
  Duration Chain{};
};

Remaining remainingOf(const jobs::Job &Owner, unsigned Occurrence) {
  const jobs::JobSpec &Spec = Owner.spec();
  const auto Found = Owner.Record.Occurrences.find(Occurrence);
  std::vector<Duration> EndOf(Spec.Steps.size());
  Remaining Rest;
  for (std::size_t Number = 0; Number < Spec.Steps.size(); ++Number) {
    const jobs::StepSpec &Step = Spec.Steps[Number];
    std::size_t Open = Step.Count;
    if (Found != Owner.Record.Occurrences.end()) {
      const jobs::StepRecord &Tasks = Found->second[Number];
      Open = std::count_if(Tasks.begin(), Tasks.end(),
                           [](const jobs::TaskRecord &Task) {
                             return Task.Phase != jobs::TaskPhase::Done;
                           });
    }
    Duration Begin{};
    for (const unsigned Earlier : Step.After) {
      Begin = std::max(Begin, EndOf[Earlier]);
    }
    EndOf[Number] = Begin + (Open > 0 ? Step.Estimate : Duration::zero());
    Rest.Chain = std::max(Rest.Chain, EndOf[Number]);
    Rest.Work += taskWork(Step) * static_cast<double>(Open);
  }
  return Rest;
}

} // namespace

double workOf(const jobs::JobSpec &Spec) {
  double Work = 0;
  for (const jobs::StepSpec &Step : Spec.Steps) {
    Work += taskWork(Step) * Step.Count;
  }
  return Work;
}

Rank rankOf(const jobs::Job &Owner, unsigned Occurrence, const Queue &From,
            double MeanWork, WallTime Now) {
  Rank Result;
  Result.Since = Owner.dueAt(Occurrence);
  const Remaining Rest = remainingOf(Owner, Occurrence);
  const double Whole = workOf(Owner.spec());
  const double Worth =
      std::min(MaxWorth,
               FixedWorth + (1 - FixedWorth) * Whole / std::max(MeanWork, 1.0));
  Result.Cost = Rest.Work / Worth;
  if (Owner.spec().lasting()) {
    Result.Group = Rank::Lasting;
    return Result;
  }
  const Duration Age = Now - Result.Since;
  const auto Objective = std::chrono::duration_cast<Duration>(
      estimatedChain(Owner.spec()) * From.Stretch + From.LatencyObjective);
  if (Age + Rest.Chain <= Objective) {
    Result.Group = Rank::OnTime;
  } else if (Age + Rest.Chain <= Objective * UsefulObjectives) {
    Result.Group = Rank::Late;
  }
  return Result;
}

} // namespace balsamlatch::dispatch
