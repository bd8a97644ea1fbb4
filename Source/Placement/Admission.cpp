/// \file
/// Checks of a request against its rule, its pool and the load.

#include "balsamlatch/Placement/Admission.h"

namespace balsamlatch::placement {

namespace {

/// The expected wait is rough; a request is refused for it only when it is
/// this many times the time left.
constexpr double WaitMargin = 3;

bool fits(const TaskSize &Size, const TaskSize &Worker) {
  return Size.MilliCores <= Worker.MilliCores &&
         Size.MemoryMiB <= Worker.MemoryMiB &&
         Size.Accelerators <= Worker.Accelerators;
}

bool waitsTooLong(const JobRule &Rule, const SizeModel &Sizes,
                  const PoolLoad &Load, Duration TimeLeft) {
  if (Rule.Class != JobClass::Prompt || Load.Slots <= 0 ||
      !Sizes.knowsRunTime(Rule.Job)) {
    return false;
  }
  const double Wait =
      Load.Urgent / Load.Slots * double(Sizes.runTime(Rule).count());
  return Wait > WaitMargin * double(TimeLeft.count());
}

} // namespace

const JobRule *ruleFor(const RuleSet *Rules, const JobName &Job) {
  const JobRule *Rule = Rules == nullptr ? nullptr : Rules->job(Job);
  return Rule != nullptr && Rules->pool(Rule->Pool) != nullptr ? Rule : nullptr;
}

std::optional<Reason> refusal(const Request &Asked, const JobRule &Rule,
                              const PoolRule &Pool, const SizeModel &Sizes,
                              const PoolLoad &Load, Instant Now) {
  if (!fits(Rule.Size, Pool.WorkerSize)) {
    return Reason::NeverFits;
  }
  const Duration TimeLeft = Asked.TimeLeft.value_or(Rule.Deadline);
  if (TimeLeft <= Sizes.shortestRunTime(Rule, Now)) {
    return Reason::DeadlineUnreachable;
  }
  if (Load.Waiting >= Load.MaxWaiting) {
    return Reason::QueueFull;
  }
  if (waitsTooLong(Rule, Sizes, Load, TimeLeft)) {
    return Reason::DeadlineUnreachable;
  }
  return std::nullopt;
}

} // namespace balsamlatch::placement
