/// \file
/// What must hold of a soak, judged by what workers recorded and callers got.

#ifndef BALSAMLATCH_TESTS_SOAK_CHECKER_H
#define BALSAMLATCH_TESTS_SOAK_CHECKER_H

#include <compare>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace balsamlatch::soak {

/// Microseconds on CLOCK_MONOTONIC.
using Stamp = std::int64_t;
inline constexpr Stamp Never = std::numeric_limits<Stamp>::max();

/// One run of a task as the process that had it recorded it.
struct RunRecord {
  std::string Task;
  std::uint64_t Run = 0;
  std::string Worker;
  /// Number of the worker's process, in the order of their starts.
  unsigned Life = 0;
  Stamp Start = 0;
  /// Of its end, or of the kill of its process at the latest.
  Stamp End = Never;
  std::string How;
  /// When the end was taken note of.
  std::optional<Stamp> Noted;
  /// The worker's lease lapsed between the end and Noted.
  bool LapsedBeforeNoted = false;

  auto operator<=>(const RunRecord &) const = default;
};

/// A job as its caller knows it.
struct JobRecord {
  std::string Id;
  std::string Pool;
  std::vector<std::string> Tasks;
  bool Accepted = false;
  bool LongRunning = false;
  bool CancelSent = false;
  /// The last state shown, and when a state that is final was shown first.
  std::string State;
  Stamp FinalAt = Never;

  auto operator<=>(const JobRecord &) const = default;
};

struct SoakRecord {
  std::vector<RunRecord> Runs;
  std::vector<JobRecord> Jobs;
  /// Entries that ended by themselves, each with its way of ending.
  std::vector<std::string> EntryEnds;
  /// Failed ends after which a job may be shown as failed.
  unsigned MaxAttempts = 3;
};

enum class Rule {
  TwiceAtOnce,
  StartAfterDone,
  LowerAfterHigher,
  CompletedNotDone,
  FailedWithoutCause,
  NeverEnded,
  EntryEnded,
};

const char *ruleName(Rule Broken);

struct Violation {
  Rule Broken = Rule::TwiceAtOnce;
  std::string Task; // or the job's ID
  std::string Text;

  auto operator<=>(const Violation &) const = default;
};

/// All violations, by task.
std::vector<Violation> check(const SoakRecord &Record);

} // namespace balsamlatch::soak

#endif // BALSAMLATCH_TESTS_SOAK_CHECKER_H
