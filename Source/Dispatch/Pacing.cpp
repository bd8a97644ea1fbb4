/// \file
/// The control loop for fillers.

#include "balsamlatch/Dispatch/Pacing.h"

#include <algorithm>

namespace balsamlatch::dispatch {

namespace {

/// A tail is taken over the last half second, and a new pace applies 0.1 s
/// after its order.
constexpr Duration EffectTime = std::chrono::milliseconds(650);
/// Time between two steps up.
constexpr Duration RisePeriod = std::chrono::milliseconds(1000);
/// Parts of the objective: far over it, at risk, and with room to spare.
constexpr double FarOver = 1.5;
constexpr double AtRisk = 0.85;
constexpr double Spare = 0.6;
constexpr unsigned Whole = 100;
constexpr unsigned RiseStep = 20;
/// Below this a filler gets little done and still disturbs.
constexpr unsigned LeastPercent = 10;

unsigned lowered(unsigned Percent, double Share) {
  if (Share > FarOver) {
    return 0;
  }
  const unsigned Next = Share > 1 ? Percent / 2 : Percent * 4 / 5;
  return Next < LeastPercent ? 0 : Next;
}

} // namespace

FillerPace nextPace(const FillerPace &Now, const TailReport &Seen) {
  const bool First = Now.ChangedAt == Instant();
  const Duration Since = Seen.At - Now.ChangedAt;
  if (Seen.WorstShare > AtRisk) {
    const unsigned Next = lowered(Now.Percent, Seen.WorstShare);
    return Next != Now.Percent && (First || Since >= EffectTime)
               ? FillerPace{Next, Seen.At}
               : Now;
  }
  if (Seen.WorstShare < Spare && Now.Percent < Whole && Since >= RisePeriod) {
    return {std::min(Whole, Now.Percent + RiseStep), Seen.At};
  }
  return Now;
}

} // namespace balsamlatch::dispatch
