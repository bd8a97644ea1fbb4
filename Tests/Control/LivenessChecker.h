/// \file
/// Checks during a calm time, with no fault left, that what should run does and
/// that the leader waits for nothing that doesn't come.

#ifndef BALSAMLATCH_TESTS_CONTROL_LIVENESSCHECKER_H
#define BALSAMLATCH_TESTS_CONTROL_LIVENESSCHECKER_H

#include "CarrierSimulation.h"

namespace balsamlatch::control::test {

/// The claimed resources of the leader's workers must at all times be the sums
/// over the runs. Returns the violations.
std::vector<std::string> checkClaims(const CarrierSimulation &Sim);

/// Construct when the last fault has ended, and call check() often.
class LivenessChecker {
public:
  explicit LivenessChecker(CarrierSimulation &Simulation);

  void check();
  /// Orders to workers that are up must be carried from the one call to the
  /// other.
  void watchCarriers();
  void checkCarriers();
  /// One of each kind at most, so that a history yields a short list.
  std::vector<std::string> violations() const;

private:
  void report(const std::string &Kind, const std::string &Details);
  /// Reports what has been so for longer than \p Limit at each check.
  void expectSoon(const std::string &Kind, const std::string &Key, bool Holds,
                  Duration Limit);
  void checkRuns();
  void checkRenewals();
  void checkLongRunningTasks();
  std::vector<const dispatch::test::RunTrace *> activeRuns() const;
  /// Workers with room for the claim by the model's account.
  std::size_t
  workersWithRoom(const jobs::Resources &Claim,
                  const std::map<std::string, jobs::Resources> &Used) const;

  CarrierSimulation &Sim;
  const Instant CalmSince;
  std::map<std::string, std::string> Found;
  // When each condition began to hold, and the last check that it held at.
  std::map<std::string, std::pair<Instant, std::uint64_t>> Since;
  std::uint64_t Checks = 0;
  std::size_t DirectOrdersBefore = 0;
};

} // namespace balsamlatch::control::test

#endif // BALSAMLATCH_TESTS_CONTROL_LIVENESSCHECKER_H
