/// \file
/// Traces from a seed: the load of a deployment with a burst of each queue in
/// turn, and pairs of faults.

#ifndef BALSAMLATCH_REPLAY_GENERATOR_H
#define BALSAMLATCH_REPLAY_GENERATOR_H

#include "balsamlatch/Replay/Trace.h"
#include "balsamlatch/Rules/RuleSet.h"

#include <cstdint>
#include <vector>

namespace balsamlatch::replay {

struct LoadShape {
  std::uint64_t Seed = 1;
  unsigned Entries = 8;
  /// Workers of each pool; 0: as many as its rule names.
  unsigned WorkersPerPool = 0;
  std::uint32_t SlotsPerWorker = 8;
  unsigned HostsPerRack = 4;
  Duration Length = std::chrono::seconds(60);
  /// The queues burst in turn, each for this long.
  Duration Burst = std::chrono::seconds(5);
  /// Mean demand for slots, in percent of a pool's slots, by class.
  unsigned PromptPercent = 20;
  unsigned PatientPercent = 12;
  /// Demand in a burst and between bursts, in percent of the mean.
  unsigned BurstPercent = 500;
  unsigned BetweenPercent = 5;
  /// Longest patient run; longer declared ones are cut, so that a short trace
  /// sees many.
  Duration LongestRun = std::chrono::seconds(4);
  /// Requests of non-idempotent jobs with a key, and of those repeated.
  unsigned KeyedPercent = 50;
  unsigned RepeatedPercent = 10;
  unsigned CancelledPercent = 1;
  /// Pairs of faults at random times.
  unsigned FaultPairs = 0;
};

/// Entries, workers and arrivals for the rules, with faults if wanted. The
/// same shape and rules give the same lines.
std::vector<TraceLine> generate(const RuleSet &Rules, const LoadShape &Shape);

} // namespace balsamlatch::replay

#endif // BALSAMLATCH_REPLAY_GENERATOR_H
