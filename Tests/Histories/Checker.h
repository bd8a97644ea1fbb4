/// \file
/// Checks the history of a concurrent run against what must always hold.

#ifndef BALSAMLATCH_TESTS_HISTORIES_CHECKER_H
#define BALSAMLATCH_TESTS_HISTORIES_CHECKER_H

#include "History.h"

#include <compare>
#include <string>
#include <vector>

namespace balsamlatch::histories {

enum class Promise {
  /// Work that isn't idempotent runs at most once.
  AtMostOnce,
  /// A run has a call that may have caused it: one sent before it that didn't
  /// end as not run.
  NotRunNeverRan,
  /// An answer is whole and names the caller's own work.
  OwnWholeAnswer,
  /// An answer comes from a run that was done.
  AnswerFromRun,
  /// A host that has been leaving for the grace period is offered nothing.
  NoWorkForLeaving,
  /// Every call ends, and only the kill of its entry breaks one.
  EveryCallEnds
};

struct Violation {
  Promise Broken = Promise::AtMostOnce;
  std::string Text;

  auto operator<=>(const Violation &) const = default;
};

const char *promiseName(Promise Which);

/// How long a leaving host may still be offered work.
inline constexpr Duration LeavingGrace = std::chrono::seconds(3);

/// Every violation, in the order of the promises.
std::vector<Violation> check(const History &Run);

} // namespace balsamlatch::histories

#endif // BALSAMLATCH_TESTS_HISTORIES_CHECKER_H
