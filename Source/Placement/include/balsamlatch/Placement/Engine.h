/// \file
/// The placement engine of one entry: admission, queueing, scheduling, retries,
/// limits and worker health, as a state machine without I/O.

#ifndef BALSAMLATCH_PLACEMENT_ENGINE_H
#define BALSAMLATCH_PLACEMENT_ENGINE_H

#include "balsamlatch/Placement/Events.h"

#include <cstdint>
#include <memory>
#include <string_view>
#include <vector>

namespace balsamlatch::placement {

/// How workers are chosen.
enum class Policy {
  /// One entry for each pool hands out slot grants.
  SlotGrants,
  /// The less loaded of two workers chosen at random, by the view of this
  /// entry.
  TwoRandomChoices,
  RoundRobin
};

struct EngineOptions {
  EntryName Self;
  DataCentreName DataCentre;
  Policy Choice = Policy::SlotGrants;
  std::uint64_t Seed = 1;
  /// Limit on one pool's queue; further requests are refused as not run.
  std::size_t MaxQueuedPerPool = 20'000;
};

/// Period of the Tick event.
inline constexpr Duration TickPeriod = std::chrono::milliseconds(20);

/// Counts since the start, for metrics. Never decrease.
struct EngineCounters {
  std::uint64_t Answered = 0;
  std::uint64_t NotRun = 0;
  std::uint64_t Unknown = 0;
  std::uint64_t Attempts = 0;
  std::uint64_t Retries = 0;
  std::uint64_t Hedges = 0;
  std::uint64_t Spilled = 0;
  std::uint64_t LateAnswers = 0;

  bool operator==(const EngineCounters &) const = default;
};

/// Current state of one pool, for status and metrics.
struct PoolStatus {
  PoolName Pool;
  std::uint32_t QueuedPrompt = 0;
  std::uint32_t QueuedPatient = 0;
  std::uint32_t SlotsInUse = 0;
  std::uint32_t SlotsTotal = 0;
  std::uint32_t Ejected = 0;

  bool operator==(const PoolStatus &) const = default;
};

/// Not thread safe: one thread owns it. Deterministic: the same options and
/// events at the same times give the same actions.
class Engine {
public:
  explicit Engine(EngineOptions Options);
  ~Engine();
  Engine(Engine &&) noexcept;
  Engine &operator=(Engine &&) noexcept;

  /// Handles one event and returns the actions to perform, in order. \p Now
  /// never decreases from call to call.
  std::vector<Action> handle(const Event &NewEvent, Instant Now);

  const EngineCounters &counters() const;
  std::vector<PoolStatus> poolStatuses() const;

  /// Numbers of requests that have not ended, and of attempts that may still
  /// run.
  std::size_t openRequests() const;
  std::size_t openAttempts() const;

private:
  class Impl;
  std::unique_ptr<Impl> Implementation;
};

} // namespace balsamlatch::placement

#endif // BALSAMLATCH_PLACEMENT_ENGINE_H
