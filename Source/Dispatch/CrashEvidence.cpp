/// \file
/// The evidence of a crash: the age of the worker's process at the start, when
/// the worker fell silent, and what else it had just started.

#include "balsamlatch/Dispatch/CrashEvidence.h"

#include <algorithm>

namespace balsamlatch::dispatch {

using jobs::RunOutcome;

namespace {

/// A process younger than this may be one of a worker that crashes again and
/// again. Such workers were up for 0.1 s to 1.2 s at a time.
constexpr Duration MinStableAge = std::chrono::seconds(5);

/// Whether the incarnation had started shortly before \p At. If the host's
/// clock is far off, the age is not known and the incarnation counts as old, so
/// that a last trial doesn't wait for the clock.
bool isYoungAt(std::int64_t Incarnation, WallTime At) {
  const WallTime Born{std::chrono::milliseconds(Incarnation)};
  return Incarnation != 0 && At - Born < MinStableAge &&
         Born - At < MinStableAge;
}

/// Whether the worker was still in touch when the start could no longer be the
/// cause. A silence is noticed after the crash, so this is no proof.
bool fellSilentLater(const WorkerState &Worker, const RunState &Run) {
  return Worker.IsUnresponsive &&
         Worker.UnresponsiveSince - Run.StartedAt > Run.SettlesAfter;
}

bool hasOtherRun(const WorkerState &Worker) {
  const auto OrderedRuns = std::count_if(
      Worker.Runs.begin(), Worker.Runs.end(), [](const auto &RunEntry) {
        return RunEntry.second.Phase != RunPhase::Ending &&
               RunEntry.second.Phase != RunPhase::Proposed;
      });
  return OrderedRuns != 1;
}

/// Whether another run that had just started may have crashed the worker, as
/// its task has met crashes before. A task that ends by itself has seldom met
/// as many, if it isn't the cause.
bool hasStartingSuspect(const WorkerState &Worker, const RunState &Run) {
  const std::uint32_t MinCrashes =
      Run.LongRunning ? 1 : std::max<std::uint32_t>(1, Run.EarlierCrashes);
  return std::any_of(
      Worker.Runs.begin(), Worker.Runs.end(), [&](const auto &RunEntry) {
        const RunState &Other = RunEntry.second;
        return &Other != &Run && Other.EarlierCrashes >= MinCrashes &&
               !Other.HasSettled && Other.Phase != RunPhase::Ending &&
               Other.Phase != RunPhase::Proposed;
      });
}

} // namespace

bool isRecentlyStarted(const WorkerState &Worker, const ClockReading &At) {
  return isYoungAt(Worker.Record.Instance.Incarnation, At.WallNow) ||
         (Worker.HasRestarted &&
          At.Now - Worker.IncarnationLearntAt < MinStableAge);
}

bool hasSurvived(const WorkerState &Worker, const RunState &Run) {
  return Run.LongRunning && Run.StartedAt != Instant() &&
         Worker.LastReportAt - Run.StartedAt >= Run.SurvivesAfter;
}

std::optional<Duration> crashDelay(const WorkerState &Worker,
                                   const RunState &Run, Instant Now) {
  if (Run.StartedAt == Instant() || Run.FromEarlierTerm) {
    return std::nullopt;
  }
  const Instant CrashedAt =
      Worker.IsUnresponsive ? Worker.UnresponsiveSince : Now;
  return std::max(Duration::zero(), CrashedAt - Run.StartedAt);
}

RunOutcome judgeCrash(const WorkerState &Worker, const RunState &Run,
                      const ClockReading &At) {
  if (hasSurvived(Worker, Run) ||
      (Run.HasSettled && hasStartingSuspect(Worker, Run))) {
    return RunOutcome::Lost;
  }
  // The run may have been on the worker for long, or may not have started; or
  // the start may have met a worker that was down already.
  if (Run.FromEarlierTerm || Run.HasSettled || Run.StartedAt == Instant()) {
    return RunOutcome::WorkerCrashedUnconfirmed;
  }
  const WallTime StartedAt =
      At.WallNow -
      std::chrono::duration_cast<WallTime::duration>(At.Now - Run.StartedAt);
  // The order may have reached a later incarnation than it was meant for.
  const std::int64_t Starter =
      Run.ReportedBy == 0 ? Run.WorkerIncarnation : Run.ReportedBy;
  const bool WasSeenToRestart =
      Worker.HasRestarted &&
      Run.StartedAt - Worker.IncarnationLearntAt < MinStableAge;
  const bool IsStarterUnknown =
      Run.ReportedBy == 0 && Run.IsOnUnknownIncarnation;
  if (IsStarterUnknown || isYoungAt(Starter, StartedAt) || WasSeenToRestart ||
      fellSilentLater(Worker, Run)) {
    return RunOutcome::WorkerCrashedUnconfirmed;
  }
  return hasOtherRun(Worker) ? RunOutcome::WorkerCrashedOnStart
                             : RunOutcome::WorkerCrashedAlone;
}

} // namespace balsamlatch::dispatch
