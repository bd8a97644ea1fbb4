/// \file
/// The disruptions of a soak, drawn from its seed.

#ifndef BALSAMLATCH_TESTS_SOAK_DISRUPTIONS_H
#define BALSAMLATCH_TESTS_SOAK_DISRUPTIONS_H

#include <chrono>
#include <compare>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace balsamlatch::soak {

using std::chrono::milliseconds;

enum class DisruptionKind {
  /// SIGKILL of the worker, and its start after Length.
  RestartWorker,
  CutWorker,
  CutAnswers,
  LoseAnswers,
  HoldCalls,
  ResetWorker,
  KillLeader,
  PauseLeader,
  SlowStore,
  SilentStore,
};

const char *disruptionName(DisruptionKind Kind);

struct Disruption {
  DisruptionKind Kind = DisruptionKind::RestartWorker;
  /// From the start of the traffic.
  milliseconds Start{0};
  milliseconds Length{0};
  /// Index of the worker, for those of workers.
  unsigned Worker = 0;
  /// Set of the wall clock of the next process (RestartWorker), or time of an
  /// answer (SlowStore).
  milliseconds Amount{0};

  auto operator<=>(const Disruption &) const = default;
};

/// Uniform numbers that are the same with every standard library.
class Draw {
public:
  explicit Draw(std::uint64_t Seed) : Engine(Seed) {}
  /// Both bounds included.
  int between(int Low, int High);
  bool chance(int Percent) { return between(0, 99) < Percent; }

private:
  std::mt19937_64 Engine;
};

struct PlanOptions {
  std::uint64_t Seed = 1;
  milliseconds Length{30'000};
  /// The zone of each worker.
  std::vector<unsigned> Zones;
  bool HoldsCalls = true;
};

/// By rising start.
std::vector<Disruption> drawDisruptions(const PlanOptions &Options);

} // namespace balsamlatch::soak

#endif // BALSAMLATCH_TESTS_SOAK_DISRUPTIONS_H
