/// \file
/// The feedback control of the pace of best-effort tasks.

#include "balsamlatch/Dispatch/Pacing.h"

#include <algorithm>

namespace balsamlatch::dispatch {

namespace {

/// Time until a report shows the effect of a new pace: the tail covers the last
/// 0.5 s, and a pace applies 0.1 s after its order.
constexpr Duration PaceEffectTime = std::chrono::milliseconds(650);
/// Minimum time between two increases.
constexpr Duration IncreasePeriod = std::chrono::milliseconds(1000);
/// Tails as fractions of the objective: above CriticalRatio best-effort tasks
/// stop, above ReduceRatio they slow down, below IncreaseRatio they speed up.
constexpr double CriticalRatio = 1.5;
constexpr double ReduceRatio = 0.85;
constexpr double IncreaseRatio = 0.6;
constexpr unsigned FullPercent = 100;
constexpr unsigned IncreasePercent = 20;
/// Below this a best-effort task makes little progress but still causes
/// interference.
constexpr unsigned MinPercent = 10;

unsigned reducedPercent(unsigned Percent, double TailRatio) {
  if (TailRatio > CriticalRatio) {
    return 0;
  }
  const unsigned NewPercent = TailRatio > 1 ? Percent / 2 : Percent * 4 / 5;
  return NewPercent < MinPercent ? 0 : NewPercent;
}

} // namespace

BestEffortPace nextPace(const BestEffortPace &CurrentPace,
                        const TailReport &Tails) {
  const bool IsFirstChange = CurrentPace.ChangedAt == Instant();
  const Duration SinceChange = Tails.MeasuredAt - CurrentPace.ChangedAt;
  if (Tails.WorstTailRatio > ReduceRatio) {
    const unsigned NewPercent =
        reducedPercent(CurrentPace.Percent, Tails.WorstTailRatio);
    return NewPercent != CurrentPace.Percent &&
                   (IsFirstChange || SinceChange >= PaceEffectTime)
               ? BestEffortPace{NewPercent, Tails.MeasuredAt}
               : CurrentPace;
  }
  if (Tails.WorstTailRatio < IncreaseRatio &&
      CurrentPace.Percent < FullPercent && SinceChange >= IncreasePeriod) {
    return {std::min(FullPercent, CurrentPace.Percent + IncreasePercent),
            Tails.MeasuredAt};
  }
  return CurrentPace;
}

} // namespace balsamlatch::dispatch
