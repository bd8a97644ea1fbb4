/// \file
/// What a holder tells workers and what they answer, as values.

#ifndef BALSAMLATCH_DISPATCH_ORDERS_H
#define BALSAMLATCH_DISPATCH_ORDERS_H

#include "balsamlatch/Dispatch/Deployment.h"

#include <absl/status/statusor.h>
#include <optional>
#include <variant>

namespace balsamlatch::dispatch {

/// Orders the holders of a pool: a worker ignores orders with a lower token
/// than it has seen.
using FencingToken = Number<struct FencingTokenTag>;

/// Milliseconds on a worker's own steady clock.
using WorkerClock = std::chrono::milliseconds;

/// Renews the lease of all runs, and asks what runs and what has ended.
struct HoldOrder {
  WorkerAddress To;
  FencingToken Token;
  /// Ends up to this number are recorded; the worker may forget them.
  std::uint64_t EndsRecorded = 0;
  /// Unset before the worker's clock is known.
  std::optional<WorkerClock> LeaseUntil;
  /// How long the worker may wait for an end before it answers.
  Duration Wait{};

  auto operator<=>(const HoldOrder &) const = default;
};

struct StartOrder {
  WorkerAddress To;
  FencingToken Token;
  TaskRef Task;
  std::uint32_t Run = 0;
  std::string SpecText;
  WorkerClock LeaseUntil{};
  std::string Checkpoint;
  /// Of the placement policy's permit; empty where there is no policy.
  std::string Ticket;

  auto operator<=>(const StartOrder &) const = default;
};

struct StopOrder {
  WorkerAddress To;
  FencingToken Token;
  TaskRef Task;
  std::uint32_t Run = 0;

  auto operator<=>(const StopOrder &) const = default;
};

/// Lets a filler use only a share of what it would.
struct PaceOrder {
  WorkerAddress To;
  FencingToken Token;
  TaskRef Task;
  std::uint32_t Run = 0;
  unsigned Percent = 100;

  auto operator<=>(const PaceOrder &) const = default;
};

using WorkerOrder = std::variant<HoldOrder, StartOrder, StopOrder, PaceOrder>;

struct RunningTask {
  TaskRef Task;
  std::uint32_t Run = 0;
  std::string Checkpoint;
  /// How far a task that ends has come; 100 for a lasting task at work.
  unsigned Percent = 0;
  /// Tail of a serving task in milliseconds, otherwise the CPU in use.
  std::int64_t Gauge = 0;

  auto operator<=>(const RunningTask &) const = default;
};

struct EndedTask {
  /// Numbers the ends of one life of the worker from 1.
  std::uint64_t Number = 0;
  TaskRef Task;
  std::uint32_t Run = 0;
  jobs::RunEnd How = jobs::RunEnd::Lost;
  std::string Checkpoint;

  auto operator<=>(const EndedTask &) const = default;
};

struct HoldReport {
  WorkerClock Clock{};
  std::int64_t Born = 0;
  std::vector<RunningTask> Running;
  std::vector<EndedTask> Ended;

  auto operator<=>(const HoldReport &) const = default;
};

/// What came of an order.
enum class OrderOutcome {
  Done,
  /// A higher fencing token is in force there.
  Fenced,
  /// Refused for the worker's room, its clock or the run's number; the order
  /// was not carried out.
  NoRoom,
  TooLate,
  OldRun,
  /// The placement policy's permit isn't good; not carried out.
  NoPermit,
  /// Another worker, or another life of it, is at the address; not carried
  /// out.
  OtherWorker,
  /// The worker can't take orders now; not carried out.
  Unhealthy,
  /// The order makes no sense to the worker; not carried out.
  Invalid,
  /// No answer: it may have been, or may yet be, carried out.
  Unknown,
};

} // namespace balsamlatch::dispatch

#endif // BALSAMLATCH_DISPATCH_ORDERS_H
