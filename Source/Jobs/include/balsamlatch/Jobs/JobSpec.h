/// \file
/// The specification of a job as a caller submits it: steps of identical tasks
/// and an optional schedule. JobTable.h holds the state of submitted jobs.

#ifndef BALSAMLATCH_JOBS_JOBSPEC_H
#define BALSAMLATCH_JOBS_JOBSPEC_H

#include "balsamlatch/Base/Clock.h"

#include <absl/status/status.h>
#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace balsamlatch::jobs {

/// Maximum number of tasks per job, over all its steps. Limits the memory that
/// one request can allocate.
inline constexpr unsigned MaxTasksPerJob = 20'000;
inline constexpr std::size_t MaxStepsPerJob = 256;
inline constexpr std::size_t MaxSpecTextBytes = 4'000;
inline constexpr unsigned MaxOccurrencesPerJob = 100'000;
/// Maximum amount of a resource per task, in the resource's unit. Sums over all
/// tasks of all jobs stay representable.
inline constexpr std::int64_t MaxResourceAmount = 1'000'000'000;
inline constexpr Duration MaxEstimatedRunTime = std::chrono::hours(24 * 365);
/// Schedules lie between 1970 and this time.
inline constexpr WallTime MaxScheduledTime{std::chrono::hours(24 * 365 * 300)};

/// An amount of worker resources: processor time in thousandths of a core,
/// memory in megabytes and a number of GPUs.
struct Resources {
  std::int64_t CpuMilli = 0;
  std::int64_t MemoryMb = 0;
  std::int64_t Gpus = 0;

  bool fitsInto(const Resources &Capacity) const {
    return CpuMilli <= Capacity.CpuMilli && MemoryMb <= Capacity.MemoryMb &&
           Gpus <= Capacity.Gpus;
  }
  Resources &operator+=(const Resources &Other) {
    CpuMilli += Other.CpuMilli;
    MemoryMb += Other.MemoryMb;
    Gpus += Other.Gpus;
    return *this;
  }
  Resources &operator-=(const Resources &Other) {
    CpuMilli -= Other.CpuMilli;
    MemoryMb -= Other.MemoryMb;
    Gpus -= Other.Gpus;
    return *this;
  }
  auto operator<=>(const Resources &) const = default;
};

/// A step: Count identical tasks with the same requirements.
struct StepSpec {
  unsigned Count = 1;
  /// Resources that each task reserves on its worker.
  Resources RequestedResources;
  /// The caller's estimate of a task's run time; often inaccurate.
  Duration EstimatedRunTime{};
  /// Indexes of the earlier steps that must be done before this one starts.
  std::vector<unsigned> PrerequisiteSteps;
  /// A label that the worker must have; empty for any worker.
  std::string RequiredLabel;
  /// The rack on which the tasks run fastest; empty for none.
  std::string PreferredRack;
  /// Maximum number of the step's tasks on one worker; 0 for no limit.
  unsigned MaxPerWorker = 0;
  /// Maximum number of tasks that may be unavailable at a time because of moves
  /// or maintenance; 0 for no limit.
  unsigned MaxUnavailable = 0;
  /// Upper limit for the tail latency of a long-running task's responses.
  Duration TailObjective{};
  /// The image that the tasks execute; tasks with the same image are expected
  /// to perform alike.
  std::string Image;
  /// The tasks save checkpoints, from which a later run continues.
  bool Checkpoints = false;
  /// All tasks run at the same time or not at all.
  bool Gang = false;
  /// All tasks run on workers of one rack.
  bool SameRack = false;
  /// Several copies of a task may run concurrently.
  bool Speculative = false;
  /// Runs until the job is cancelled.
  bool LongRunning = false;
  /// Uses only idle processor time; RequestedResources.CpuMilli reserves no
  /// capacity.
  bool BestEffort = false;

  auto operator<=>(const StepSpec &) const = default;
};

/// The schedule of a repeated job. Repeats is 0 for a job that runs once,
/// immediately.
struct Schedule {
  unsigned Repeats = 0;
  WallTime First{};
  Duration Interval{};

  auto operator<=>(const Schedule &) const = default;
};

/// A submitted job.
struct JobSpec {
  /// Passed to the workers unchanged.
  std::string Text;
  std::vector<StepSpec> Steps;
  Schedule RunSchedule;

  /// How many times the steps run.
  unsigned occurrenceCount() const {
    return RunSchedule.Repeats == 0 ? 1 : RunSchedule.Repeats;
  }
  /// Whether any step is long-running.
  bool hasLongRunningStep() const;

  auto operator<=>(const JobSpec &) const = default;
};

/// Checks the limits and the dependencies of the steps. The InvalidArgument
/// message names the first violation.
absl::Status validate(const JobSpec &Spec);

/// The estimated length of the critical path: the longest chain of dependent
/// steps.
Duration estimatedCriticalPath(const JobSpec &Spec);

} // namespace balsamlatch::jobs

#endif // BALSAMLATCH_JOBS_JOBSPEC_H
