/// \file
/// What a caller submits: a job of steps, each a number of like tasks. Values
/// only; what has become of a job is in JobBook.h.

#ifndef BALSAMLATCH_JOBS_JOBSPEC_H
#define BALSAMLATCH_JOBS_JOBSPEC_H

#include "balsamlatch/Base/Clock.h"

#include <absl/status/status.h>
#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace balsamlatch::jobs {

/// Most tasks of one job, over all its steps. Bounds the memory that one
/// request can claim.
inline constexpr unsigned MaxTasksPerJob = 20'000;
inline constexpr std::size_t MaxStepsPerJob = 256;
inline constexpr std::size_t MaxSpecTextBytes = 4'000;

/// An amount of what a worker has to give.
struct Resources {
  std::int64_t CpuMilli = 0;
  std::int64_t MemoryMb = 0;
  std::int64_t Gpus = 0;

  bool fitsInto(const Resources &Room) const {
    return CpuMilli <= Room.CpuMilli && MemoryMb <= Room.MemoryMb &&
           Gpus <= Room.Gpus;
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

struct StepSpec {
  unsigned Count = 1;
  /// What each task claims on its worker.
  Resources Need;
  /// The caller's guess of a task's run time; often far off.
  Duration Estimate{};
  /// Earlier steps whose tasks must all be done first.
  std::vector<unsigned> After;
  /// The worker must carry this label; empty for any.
  std::string RequiredLabel;
  /// Rack on which the task runs fastest; empty for none.
  std::string PreferredRack;
  /// Most tasks of the step on one worker; 0 for no bound.
  unsigned MaxPerWorker = 0;
  /// Tasks must be unavailable by our doing at most this many at a time;
  /// 0 for no bound.
  unsigned MaxUnavailable = 0;
  /// Largest tail of the response times of a lasting task.
  Duration TailObjective{};
  /// What the tasks execute; tasks of one image behave alike.
  std::string Image;
  bool Checkpoints = false;
  /// All tasks run together or not at all.
  bool Gang = false;
  bool SameRack = false;
  /// Copies of a task may run side by side.
  bool Speculative = false;
  /// Runs until the job is cancelled.
  bool Lasting = false;
  /// Uses processor time that others leave; its CPU claims no room.
  bool Filler = false;

  auto operator<=>(const StepSpec &) const = default;
};

/// Repetitions of a job; Repeats is 0 for a job that runs once, at once.
struct Schedule {
  unsigned Repeats = 0;
  WallTime First{};
  Duration Interval{};

  auto operator<=>(const Schedule &) const = default;
};

struct JobSpec {
  /// Handed to the workers as it is.
  std::string Text;
  std::vector<StepSpec> Steps;
  Schedule Times;

  /// How often the steps run.
  unsigned occurrences() const {
    return Times.Repeats == 0 ? 1 : Times.Repeats;
  }
  bool lasting() const;

  auto operator<=>(const JobSpec &) const = default;
};

/// InvalidArgument names the first step that can't be carried out.
absl::Status validate(const JobSpec &Spec);

/// The estimate of the longest chain of steps.
Duration estimatedChain(const JobSpec &Spec);

} // namespace balsamlatch::jobs

#endif // BALSAMLATCH_JOBS_JOBSPEC_H
