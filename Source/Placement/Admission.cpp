/// \file
/// Checks a request against its rule, its pool and the current load.

#include "balsamlatch/Placement/Admission.h"

namespace balsamlatch::placement {

namespace {

/// The expected wait is a rough estimate, so a request is refused only when it
/// exceeds the time left by this factor.
constexpr double WaitMargin = 3;

bool fits(const TaskSize &Size, const TaskSize &Capacity) {
  return Size.MilliCores <= Capacity.MilliCores &&
         Size.MemoryMiB <= Capacity.MemoryMiB &&
         Size.Accelerators <= Capacity.Accelerators;
}

bool exceedsExpectedWait(const JobRule &Rule, const JobStatistics &Statistics,
                         const PoolLoad &Load, Duration TimeLeft) {
  if (Rule.Class != JobClass::Prompt || Load.SlotShare <= 0 ||
      !Statistics.hasEnoughRuns(Rule.Job)) {
    return false;
  }
  const double ExpectedWait = Load.UrgentRequests / Load.SlotShare *
                              double(Statistics.runTime(Rule).count());
  return ExpectedWait > WaitMargin * double(TimeLeft.count());
}

} // namespace

const JobRule *findJobRule(const RuleSet *Rules, const JobName &Job) {
  const JobRule *Rule = Rules == nullptr ? nullptr : Rules->job(Job);
  return Rule != nullptr && Rules->pool(Rule->Pool) != nullptr ? Rule : nullptr;
}

std::optional<Reason> refusalReason(const Request &CallerRequest,
                                    const JobRule &Rule, const PoolRule &Pool,
                                    const JobStatistics &Statistics,
                                    const PoolLoad &Load, Instant Now) {
  if (!fits(Rule.Size, Pool.WorkerSize)) {
    return Reason::NeverFits;
  }
  const Duration TimeLeft = CallerRequest.TimeLeft.value_or(Rule.Deadline);
  if (TimeLeft <= Statistics.shortestRunTime(Rule, Now)) {
    return Reason::DeadlineUnreachable;
  }
  if (Load.QueuedRequests >= Load.MaxQueuedRequests) {
    return Reason::QueueFull;
  }
  if (exceedsExpectedWait(Rule, Statistics, Load, TimeLeft)) {
    return Reason::DeadlineUnreachable;
  }
  return std::nullopt;
}

} // namespace balsamlatch::placement
