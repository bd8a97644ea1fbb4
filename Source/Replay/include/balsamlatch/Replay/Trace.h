/// \file
/// A recorded trace: what arrived, which workers and entries there were, and
/// what failed. One JSON object a line; Help/command/replay.md describes it.

#ifndef BALSAMLATCH_REPLAY_TRACE_H
#define BALSAMLATCH_REPLAY_TRACE_H

#include "balsamlatch/Base/Clock.h"
#include "balsamlatch/Base/Finding.h"
#include "balsamlatch/Placement/Events.h"

#include <compare>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace balsamlatch::replay {

/// A request of a caller, with what it really takes.
struct TraceArrival {
  RequestId Id;
  JobName Job;
  TeamName Team;
  /// The entry that it goes through; empty: the balancer picks a live one.
  EntryName Entry;
  /// Empty: the job's own deadline.
  std::optional<Duration> TimeLeft;
  std::string IdempotencyKey;
  std::string BodyDigest;
  /// Real run time on an idle worker.
  Duration RunTime{};
  /// Real size.
  TaskSize Size;

  auto operator<=>(const TraceArrival &) const = default;
};

struct TraceCancel {
  RequestId Id;

  auto operator<=>(const TraceCancel &) const = default;
};

/// A worker joins, or comes back, perhaps in another pool.
struct TraceWorker {
  placement::WorkerView View;

  auto operator<=>(const TraceWorker &) const = default;
};

/// A worker starts to leave.
struct TraceLeaving {
  HostName Host;

  auto operator<=>(const TraceLeaving &) const = default;
};

struct TraceEntry {
  EntryName Entry;
  DataCentreName DataCentre;

  auto operator<=>(const TraceEntry &) const = default;
};

enum class FaultKind {
  /// The worker's tasks are lost, and it can't be reached.
  WorkerCrash,
  /// The worker fails every task at once.
  WorkerFailsAll,
  /// The worker refuses every task.
  WorkerRefusesAll,
  /// The worker takes tasks and never answers.
  WorkerHangs,
  /// Tasks take Factor times as long.
  WorkerSlow,
  /// The job fails on every worker.
  JobFails,
  /// The entry's process dies and starts anew, with nothing kept.
  EntryCrash,
  /// The entry's process stands still between a decision and its sending.
  EntryPause,
  /// The entry stops gracefully, and starts anew.
  EntryStop,
  /// The entry reaches no other entry.
  EntryCut,
  /// The store doesn't answer.
  StoreDown,
  /// The store carries out calls, but its answers are lost.
  StoreLosesAnswers,
  /// The store carries out calls after their callers have given up.
  StoreSlow
};

struct TraceFault {
  FaultKind Kind = FaultKind::WorkerCrash;
  /// Host, job or entry; empty for the store.
  std::string Subject;
  Duration For{};
  std::uint32_t Factor = 1;

  auto operator<=>(const TraceFault &) const = default;
};

using TraceEvent = std::variant<TraceArrival, TraceCancel, TraceWorker,
                                TraceLeaving, TraceEntry, TraceFault>;

struct TraceLine {
  Instant At{};
  TraceEvent What;

  auto operator<=>(const TraceLine &) const = default;
};

struct Trace {
  // Invariant: sorted by time; equal times keep their order.
  std::vector<TraceLine> Lines;
  Findings Problems;
};

/// Reads a trace, collecting what is wrong with it.
Trace parseTrace(std::string_view File, std::string_view Text);

/// Text form, one line an event.
std::string printTrace(const std::vector<TraceLine> &Lines);

/// The stable code of a fault, for example "worker-crash".
std::string_view faultCode(FaultKind Kind);

} // namespace balsamlatch::replay

#endif // BALSAMLATCH_REPLAY_TRACE_H
