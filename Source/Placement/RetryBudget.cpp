/// \file
/// A token bucket that first attempts refill, and the back-off.

#include "balsamlatch/Placement/RetryBudget.h"

#include <algorithm>

namespace balsamlatch::placement {

namespace {

constexpr Duration InitialBackOff = std::chrono::milliseconds(2);
constexpr Duration MaxBackOff = std::chrono::milliseconds(500);
constexpr unsigned MaxDoublings = 8;

} // namespace

void RetryBudget::recordFirstAttempt() {
  Tokens = std::min(MaxTokens, Tokens + TokensPerFirstAttempt);
}

bool RetryBudget::trySpend() {
  if (Tokens < 1) {
    return false;
  }
  Tokens -= 1;
  return true;
}

Duration backOffDelay(unsigned AttemptCount, RandomEngine &Rng) {
  if (AttemptCount <= 1) {
    return Duration::zero();
  }
  const unsigned Doublings = std::min(AttemptCount - 2, MaxDoublings);
  const Duration DelayBound =
      std::min(MaxBackOff, InitialBackOff * (std::int64_t(1) << Doublings));
  return Duration(
      static_cast<std::int64_t>(Rng() % std::uint64_t(DelayBound.count() + 1)));
}

} // namespace balsamlatch::placement
