/// \file
/// Token bucket that is filled by first attempts, and the back-off.

#include "balsamlatch/Placement/RetryBudget.h"

#include <algorithm>

namespace balsamlatch::placement {

namespace {

constexpr Duration FirstBackOff = std::chrono::milliseconds(2);
constexpr Duration LongestBackOff = std::chrono::milliseconds(500);
constexpr unsigned MostDoublings = 8;

} // namespace

void RetryBudget::firstAttempt() { Tokens = std::min(Most, Tokens + Share); }

bool RetryBudget::take() {
  if (Tokens < 1) {
    return false;
  }
  Tokens -= 1;
  return true;
}

Duration backOff(unsigned Tries, Random &Rng) {
  if (Tries <= 1) {
    return Duration::zero();
  }
  const unsigned Doublings = std::min(Tries - 2, MostDoublings);
  const Duration Bound =
      std::min(LongestBackOff, FirstBackOff * (std::int64_t(1) << Doublings));
  return Duration(
      static_cast<std::int64_t>(Rng() % std::uint64_t(Bound.count() + 1)));
}

} // namespace balsamlatch::placement
