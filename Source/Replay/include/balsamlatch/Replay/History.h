/// \file
/// What really happened in a run, as the callers and workers saw it, and the
/// check of the promises that must hold over it.

#ifndef BALSAMLATCH_REPLAY_HISTORY_H
#define BALSAMLATCH_REPLAY_HISTORY_H

#include "balsamlatch/Base/Clock.h"
#include "balsamlatch/Base/Ids.h"
#include "balsamlatch/Placement/Events.h"

#include <compare>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace balsamlatch::replay {

/// A caller sent a request.
struct Asked {
  RequestId Id;
  /// Requests that stand for the same work have the same identity; others
  /// have their own identifier.
  std::string Identity;
  bool Idempotent = false;
  Duration Deadline{};

  auto operator<=>(const Asked &) const = default;
};

/// A worker received an order, and started the task or not.
struct Ordered {
  RequestId Id;
  HostName Host;
  bool Started = false;

  auto operator<=>(const Ordered &) const = default;
};

/// The caller got its end.
struct Ended {
  RequestId Id;
  placement::Outcome End = placement::Outcome::Unknown;
  /// With Answered: the request that the worker ran for this answer.
  RequestId AnswerOf;
  /// With Answered: the answer has its full length.
  bool Whole = true;

  auto operator<=>(const Ended &) const = default;
};

/// The host is leaving from now on, or no longer.
struct Leaving {
  HostName Host;
  bool Now = true;

  auto operator<=>(const Leaving &) const = default;
};

using HistoryEvent = std::variant<Asked, Ordered, Ended, Leaving>;

struct HistoryLine {
  Instant At{};
  HistoryEvent What;

  auto operator<=>(const HistoryLine &) const = default;
};

using History = std::vector<HistoryLine>;

/// A leaving host receives no new order after this time.
inline constexpr Duration LeavingNotice = std::chrono::seconds(3);

enum class Promise {
  /// A request that isn't idempotent runs at most once.
  AtMostOnce,
  /// What ended as not run did not run, and never will.
  TruthOfNotRun,
  /// Each answer is whole and reaches the caller who asked.
  OwnAnswer,
  /// Work goes on no leaving host after the notice.
  LeavingHost,
  /// Each request has exactly one end.
  OneEnd
};

/// A promise that a history breaks, and where.
struct Breach {
  Promise Which = Promise::AtMostOnce;
  Instant At{};
  std::string Subject;

  auto operator<=>(const Breach &) const = default;
};

const char *promiseCode(Promise Which);

/// All breaches of the history, in the order of its lines; requests without an
/// end come last.
std::vector<Breach> checkPromises(const History &Lines);

} // namespace balsamlatch::replay

#endif // BALSAMLATCH_REPLAY_HISTORY_H
