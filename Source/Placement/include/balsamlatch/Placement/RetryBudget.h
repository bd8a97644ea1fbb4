/// \file
/// Limits on retries: a budget in proportion to the load, and a jittered
/// exponential back-off.

#ifndef BALSAMLATCH_PLACEMENT_RETRYBUDGET_H
#define BALSAMLATCH_PLACEMENT_RETRYBUDGET_H

#include "balsamlatch/Base/Clock.h"

#include <cstdint>
#include <random>

namespace balsamlatch::placement {

using RandomEngine = std::mt19937_64;

/// Limits retries and hedges of requests that may have run to a tenth of the
/// first attempts, plus an initial allowance. A retry of an attempt that
/// certainly did not run takes no token; the back-off alone limits it.
class RetryBudget {
public:
  void recordFirstAttempt();
  /// Takes a token; returns false if none is left.
  bool trySpend();

private:
  static constexpr double TokensPerFirstAttempt = 0.1;
  static constexpr double MaxTokens = 100;

  // Invariant: between 0 and MaxTokens. Starts with a small allowance.
  double Tokens = 10;
};

/// The delay before the next attempt after \p AttemptCount attempts: zero after
/// the first, then uniformly distributed between zero and a bound that doubles
/// with each attempt up to a cap.
Duration backOffDelay(unsigned AttemptCount, RandomEngine &Rng);

} // namespace balsamlatch::placement

#endif // BALSAMLATCH_PLACEMENT_RETRYBUDGET_H
