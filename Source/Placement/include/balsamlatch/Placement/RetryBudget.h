/// \file
/// Bounds on retries: a share of the load, and a jittered back-off.

#ifndef BALSAMLATCH_PLACEMENT_RETRYBUDGET_H
#define BALSAMLATCH_PLACEMENT_RETRYBUDGET_H

#include "balsamlatch/Base/Clock.h"

#include <cstdint>
#include <random>

namespace balsamlatch::placement {

using Random = std::mt19937_64;

/// Lets repeated runs and hedges be at most a tenth of the first attempts,
/// after a small start. Attempts that certainly did not run cost nothing; the
/// back-off bounds them.
class RetryBudget {
public:
  void firstAttempt();
  /// False when the budget is spent.
  bool take();

private:
  static constexpr double Share = 0.1;
  static constexpr double Most = 100;

  // Invariant: between 0 and Most.
  double Tokens = 10;
};

/// The wait before try number \p Tries + 1: zero after the first, then drawn
/// evenly between zero and a bound that doubles up to a cap.
Duration backOff(unsigned Tries, Random &Rng);

} // namespace balsamlatch::placement

#endif // BALSAMLATCH_PLACEMENT_RETRYBUDGET_H
