/// \file
/// Feeds a trace through the placement engines of several entries, with small
/// fakes of workers and store on a virtual clock. A what-if tool, no model of
/// a whole cluster.

#ifndef BALSAMLATCH_REPLAY_REPLAY_H
#define BALSAMLATCH_REPLAY_REPLAY_H

#include "balsamlatch/Placement/Engine.h"
#include "balsamlatch/Replay/History.h"
#include "balsamlatch/Replay/Trace.h"

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace balsamlatch::replay {

struct ReplayOptions {
  placement::Policy Choice = placement::Policy::SlotGrants;
  std::uint64_t Seed = 1;
  /// Measure the processor time of the decisions. It differs from run to run.
  bool TimeDecisions = false;
};

/// What became of the requests of one class.
struct ClassResult {
  std::uint64_t Arrived = 0;
  std::uint64_t Answered = 0;
  /// Not answered within the deadline: refused for it, or ended by it.
  std::uint64_t Late = 0;
  /// Refused as not run for another reason.
  std::uint64_t RefusedNotRun = 0;
  std::uint64_t Unknown = 0;
  std::uint64_t Cancelled = 0;
  /// Ended in no way at all.
  std::uint64_t Lost = 0;
  /// Of the answered, in microseconds.
  std::int64_t MedianWaitMicros = 0;
  std::int64_t SlowestPercentMicros = 0;

  auto operator<=>(const ClassResult &) const = default;
};

struct PoolResult {
  std::uint64_t Orders = 0;
  /// Orders that a worker refused.
  std::uint64_t Refused = 0;
  std::uint64_t Spilled = 0;
  /// Share of slot time that was idle, in thousandths.
  std::uint64_t IdlePerMille = 0;
  std::uint32_t MaxAway = 0;
  std::uint32_t AwayBudget = 0;

  auto operator<=>(const PoolResult &) const = default;
};

struct Report {
  ClassResult Prompt;
  ClassResult Patient;
  std::map<std::string, std::uint64_t> EndsByReason;
  std::map<JobName, std::uint64_t> LateByJob;
  std::map<PoolName, PoolResult> Pools;
  /// Orders by host, and those that came after its tenth failure.
  std::map<HostName, std::uint64_t> Orders;
  std::map<HostName, std::uint64_t> OrdersAfterTenFailures;
  std::uint64_t Repeated = 0;
  std::uint64_t Crossed = 0;
  std::uint64_t Moves = 0;
  std::uint64_t SlotMessages = 0;
  std::uint64_t ClaimCalls = 0;
  /// Idle slot time, in thousandths of a host hour.
  std::uint64_t BufferMilliHostHours = 0;
  std::vector<Breach> Breaches;
  /// With TimeDecisions: engine steps and their processor time.
  std::uint64_t Steps = 0;
  std::uint64_t StepNanos = 0;
};

Report replay(const std::vector<TraceLine> &Lines, RuleSetPtr Rules,
              const ReplayOptions &Options);

/// \name Text forms; the same report gives the same bytes.
/// @{
std::string printReport(const Report &R);
std::string printReportJson(const Report &R);
/// @}

} // namespace balsamlatch::replay

#endif // BALSAMLATCH_REPLAY_REPLAY_H
