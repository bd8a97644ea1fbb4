/// \file
/// Validation of job specifications and properties derived from them.

#include "balsamlatch/Jobs/JobSpec.h"

#include <algorithm>
#include <fmt/format.h>

namespace balsamlatch::jobs {

namespace {

absl::Status stepError(std::size_t StepIndex, std::string_view Message) {
  return absl::InvalidArgumentError(
      fmt::format("step {} {}", StepIndex, Message));
}

absl::Status validateStep(std::size_t StepIndex, const StepSpec &Step) {
  if (Step.Count == 0 || Step.Count > MaxTasksPerJob) {
    return stepError(StepIndex,
                     fmt::format("has a count of {}; 1 to {} are allowed",
                                 Step.Count, MaxTasksPerJob));
  }
  const Resources &Requested = Step.RequestedResources;
  for (const std::int64_t Amount :
       {Requested.CpuMilli, Requested.MemoryMb, Requested.Gpus}) {
    if (Amount < 0 || Amount > MaxResourceAmount) {
      return stepError(
          StepIndex,
          fmt::format("requests {} of a resource; 0 to {} are allowed", Amount,
                      MaxResourceAmount));
    }
  }
  if (Step.EstimatedRunTime < Duration::zero() ||
      Step.EstimatedRunTime > MaxEstimatedRunTime) {
    return stepError(StepIndex, "has an estimate that is negative or longer "
                                "than a year");
  }
  for (const unsigned Dependency : Step.PrerequisiteSteps) {
    if (Dependency >= StepIndex) {
      return stepError(StepIndex,
                       fmt::format("depends on step {}, which is not an "
                                   "earlier step",
                                   Dependency));
    }
  }
  return absl::OkStatus();
}

absl::Status validateSchedule(const Schedule &RunSchedule) {
  if (RunSchedule.Repeats == 0) {
    return absl::OkStatus();
  }
  if (RunSchedule.Repeats > MaxOccurrencesPerJob) {
    return absl::InvalidArgumentError(
        fmt::format("the schedule repeats the job {} times; {} are allowed",
                    RunSchedule.Repeats, MaxOccurrencesPerJob));
  }
  if (RunSchedule.Interval < Duration::zero()) {
    return absl::InvalidArgumentError("the schedule's interval is negative");
  }
  if (RunSchedule.First < WallTime() || RunSchedule.First > MaxScheduledTime ||
      RunSchedule.Interval >
          (MaxScheduledTime - RunSchedule.First) / RunSchedule.Repeats) {
    return absl::InvalidArgumentError(
        "the schedule begins before 1970 or ends after 2269");
  }
  return absl::OkStatus();
}

} // namespace

bool JobSpec::hasLongRunningStep() const {
  return std::any_of(Steps.begin(), Steps.end(),
                     [](const StepSpec &Step) { return Step.LongRunning; });
}

absl::Status validate(const JobSpec &Spec) {
  if (Spec.Text.size() > MaxSpecTextBytes) {
    return absl::InvalidArgumentError(
        fmt::format("the spec has {} bytes; {} are allowed", Spec.Text.size(),
                    MaxSpecTextBytes));
  }
  if (Spec.Steps.empty() || Spec.Steps.size() > MaxStepsPerJob) {
    return absl::InvalidArgumentError(
        fmt::format("the job has {} steps; 1 to {} are allowed",
                    Spec.Steps.size(), MaxStepsPerJob));
  }
  unsigned TaskCount = 0;
  for (std::size_t StepIndex = 0; StepIndex < Spec.Steps.size(); ++StepIndex) {
    if (absl::Status StepStatus =
            validateStep(StepIndex, Spec.Steps[StepIndex]);
        !StepStatus.ok()) {
      return StepStatus;
    }
    TaskCount += Spec.Steps[StepIndex].Count;
  }
  if (TaskCount > MaxTasksPerJob) {
    return absl::InvalidArgumentError(fmt::format(
        "the job has {} tasks; {} are allowed", TaskCount, MaxTasksPerJob));
  }
  return validateSchedule(Spec.RunSchedule);
}

Duration estimatedCriticalPath(const JobSpec &Spec) {
  std::vector<Duration> StepEnds(Spec.Steps.size());
  Duration LongestPath{};
  for (std::size_t StepIndex = 0; StepIndex < Spec.Steps.size(); ++StepIndex) {
    Duration StepStart{};
    for (const unsigned Dependency : Spec.Steps[StepIndex].PrerequisiteSteps) {
      StepStart = std::max(StepStart, StepEnds[Dependency]);
    }
    StepEnds[StepIndex] = StepStart + Spec.Steps[StepIndex].EstimatedRunTime;
    LongestPath = std::max(LongestPath, StepEnds[StepIndex]);
  }
  return LongestPath;
}

} // namespace balsamlatch::jobs
