/// \file
/// Checks of submitted jobs.

#include "balsamlatch/Jobs/JobSpec.h"

#include <algorithm>
#include <fmt/format.h>

namespace balsamlatch::jobs {

namespace {

absl::Status invalid(std::size_t Step, std::string_view What) {
  return absl::InvalidArgumentError(fmt::format("step {} {}", Step, What));
}

absl::Status validateStep(std::size_t Number, const StepSpec &Step) {
  if (Step.Count == 0 || Step.Count > MaxTasksPerJob) {
    return invalid(Number, fmt::format("has a count of {}; 1 to {} are allowed",
                                       Step.Count, MaxTasksPerJob));
  }
  const Resources &Need = Step.Need;
  if (Need.CpuMilli < 0 || Need.MemoryMb < 0 || Need.Gpus < 0) {
    return invalid(Number, "asks for a negative amount");
  }
  if (Step.Estimate < Duration::zero()) {
    return invalid(Number, "has a negative estimate");
  }
  for (const unsigned Earlier : Step.After) {
    if (Earlier >= Number) {
      return invalid(Number, fmt::format("waits for step {}, which isn't an "
                                         "earlier one",
                                         Earlier));
    }
  }
  return absl::OkStatus();
}

} // namespace

bool JobSpec::lasting() const {
  return std::any_of(Steps.begin(), Steps.end(),
                     [](const StepSpec &Step) { return Step.Lasting; });
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
  unsigned Tasks = 0;
  for (std::size_t Number = 0; Number < Spec.Steps.size(); ++Number) {
    if (absl::Status Checked = validateStep(Number, Spec.Steps[Number]);
        !Checked.ok()) {
      return Checked;
    }
    Tasks += Spec.Steps[Number].Count;
  }
  if (Tasks > MaxTasksPerJob) {
    return absl::InvalidArgumentError(fmt::format(
        "the job has {} tasks; {} are allowed", Tasks, MaxTasksPerJob));
  }
  if (Spec.Times.Repeats > 0 && Spec.Times.Interval < Duration::zero()) {
    return absl::InvalidArgumentError("the schedule's interval is negative");
  }
  return absl::OkStatus();
}

Duration estimatedChain(const JobSpec &Spec) {
  std::vector<Duration> EndOf(Spec.Steps.size());
  Duration Longest{};
  for (std::size_t Number = 0; Number < Spec.Steps.size(); ++Number) {
    Duration Begin{};
    for (const unsigned Earlier : Spec.Steps[Number].After) {
      Begin = std::max(Begin, EndOf[Earlier]);
    }
    EndOf[Number] = Begin + Spec.Steps[Number].Estimate;
    Longest = std::max(Longest, EndOf[Number]);
  }
  return Longest;
}

} // namespace balsamlatch::jobs
