/// \file
/// The orders that the lease holder sends to workers, and their replies.

#ifndef BALSAMLATCH_DISPATCH_ORDERS_H
#define BALSAMLATCH_DISPATCH_ORDERS_H

#include "balsamlatch/Dispatch/Deployment.h"

#include <absl/status/statusor.h>
#include <optional>
#include <variant>

namespace balsamlatch::dispatch {

/// Identifies a term of the lease holder. It grows with each term; a worker
/// refuses orders with a lower token than the highest it has seen.
using FencingToken = Number<struct FencingTokenTag>;

/// A time on the worker's own monotonic clock, in milliseconds.
using WorkerClock = std::chrono::milliseconds;

/// Renews the leases of all runs and asks for a report of running and ended
/// tasks.
struct RenewOrder {
  WorkerAddress Worker;
  FencingToken Token;
  /// Ends up to this number are recorded, so the worker may forget them.
  std::uint64_t LastRecordedEnd = 0;
  /// New expiry of the leases; unset if they are not renewed.
  std::optional<WorkerClock> LeaseUntil;
  /// How long the worker may wait for a run to end before it replies.
  Duration Wait{};

  auto operator<=>(const RenewOrder &) const = default;
};

/// Starts a run of a task.
struct StartOrder {
  WorkerAddress Worker;
  FencingToken Token;
  TaskRef Task;
  std::uint32_t Run = 0;
  std::string SpecText;
  WorkerClock LeaseUntil{};
  std::string Checkpoint;
  /// Ticket of the placement policy's permit; empty if the queue has no policy.
  std::string Ticket;

  auto operator<=>(const StartOrder &) const = default;
};

/// Stops a run of a task.
struct StopOrder {
  WorkerAddress Worker;
  FencingToken Token;
  TaskRef Task;
  std::uint32_t Run = 0;

  auto operator<=>(const StopOrder &) const = default;
};

/// Throttles a best-effort task to a percentage of its full speed.
struct PaceOrder {
  WorkerAddress Worker;
  FencingToken Token;
  TaskRef Task;
  std::uint32_t Run = 0;
  unsigned Percent = 100;

  auto operator<=>(const PaceOrder &) const = default;
};

using WorkerOrder = std::variant<RenewOrder, StartOrder, StopOrder, PaceOrder>;

/// The worker that the order is for.
inline const WorkerAddress &workerOf(const WorkerOrder &Order) {
  return std::visit(
      [](const auto &Typed) -> const WorkerAddress & { return Typed.Worker; },
      Order);
}

/// A run that is in progress on the worker.
struct RunningTask {
  TaskRef Task;
  std::uint32_t Run = 0;
  std::string Checkpoint;
  /// Progress of a task that ends by itself; 100 for a long-running task at
  /// work.
  unsigned Percent = 0;
  /// Tail latency of a serving task in milliseconds; CPU in use otherwise.
  std::int64_t Gauge = 0;

  auto operator<=>(const RunningTask &) const = default;
};

/// A run that has ended on the worker.
struct EndedTask {
  /// Sequence number of the end within one incarnation of the worker, from 1.
  std::uint64_t Number = 0;
  TaskRef Task;
  std::uint32_t Run = 0;
  jobs::RunOutcome Outcome = jobs::RunOutcome::Lost;
  std::string Checkpoint;

  auto operator<=>(const EndedTask &) const = default;
};

/// A worker's reply to a renewal.
struct RenewReport {
  WorkerClock Clock{};
  /// Identifies the incarnation of the worker; each restart raises it.
  std::int64_t Incarnation = 0;
  std::vector<RunningTask> Running;
  /// The ends that are not acknowledged yet, from the lowest number.
  std::vector<EndedTask> Ended;
  /// The worker may have more ends than Ended lists, so a run that is neither
  /// in Running nor in Ended may have ended in any way.
  bool MayHaveMoreEnds = false;

  auto operator<=>(const RenewReport &) const = default;
};

/// The outcome of an order. All but Done and Unknown mean that it was not
/// carried out.
enum class OrderOutcome {
  Done,
  /// The worker has seen a higher fencing token.
  Fenced,
  /// The worker lacks free resources.
  InsufficientResources,
  /// The lease had expired by the worker's clock when the order arrived.
  LeaseExpired,
  /// The run number is not current for the task.
  StaleRun,
  /// The placement policy's permit is not valid.
  NoPermit,
  /// Another worker, or another incarnation of the worker, has the address.
  WrongWorker,
  /// The worker can't take orders now.
  Unhealthy,
  /// The order is malformed for the worker.
  Invalid,
  /// No reply: the order may have been carried out, or may still be.
  Unknown,
};

/// A reply to an order other than a renewal.
struct OrderReply {
  OrderOutcome Outcome = OrderOutcome::Unknown;
  /// The time on the worker's clock; unset if the reply doesn't tell it, as one
  /// by an entry of an earlier version.
  std::optional<WorkerClock> Clock;

  auto operator<=>(const OrderReply &) const = default;
};

} // namespace balsamlatch::dispatch

#endif // BALSAMLATCH_DISPATCH_ORDERS_H
