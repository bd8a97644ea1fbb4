/// \file
/// The input events and output actions of the placement engine, as values. The
/// daemon and the replay drive the same engine with them.

#ifndef BALSAMLATCH_PLACEMENT_EVENTS_H
#define BALSAMLATCH_PLACEMENT_EVENTS_H

#include "balsamlatch/Base/Clock.h"
#include "balsamlatch/Base/Ids.h"
#include "balsamlatch/Platform/HostList.h"
#include "balsamlatch/Platform/Worker.h"
#include "balsamlatch/Rules/RuleSet.h"

#include <boost/json/object.hpp>
#include <compare>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace balsamlatch::placement {

/// How a request ended for its caller.
enum class Outcome {
  /// One attempt returned a complete answer.
  Answered,
  /// It certainly did not run.
  NotRun,
  /// It may have run.
  Unknown
};

/// Why a request ended, or why an attempt was placed as it was. The text form
/// is a stable code with its own page in Help/reason.
enum class Reason {
  Placed,
  PlacedOnSpare,
  Hedged,
  Retried,
  AnswerWhole,
  AnswerRepeated,
  TaskFailed,
  UnknownJob,
  NeverFits,
  DeadlineUnreachable,
  DeadlinePassed,
  QueueFull,
  Cancelled,
  Stopping,
  NoWorker,
  RetryBudgetSpent,
  JobEjected,
  ClaimTaken,
  ClaimUnavailable,
  /// The idempotency key was used before with another body.
  KeyReused,
  AttemptLost,
  LateAnswerDropped,
  WorkerEjected,
  WorkerReadmitted,
  JobReadmitted,
  /// The process was paused, so nothing is placed for a moment.
  Paused
};

/// The stable code, for example "deadline-passed".
const char *reasonCode(Reason Value);

/// "answered", "not-run" or "unknown".
const char *outcomeCode(Outcome Value);

/// A caller's request. The embedding program keeps the body.
struct Request {
  RequestId Id;
  JobName Job;
  TeamName Team;
  /// Time left for the complete answer; empty: the deadline of the job.
  std::optional<Duration> TimeLeft;
  /// Set by the caller; repeats with the same key run at most once.
  std::string IdempotencyKey;
  /// Digest of the body: a repeat of the key with another body is refused.
  std::string BodyDigest;

  auto operator<=>(const Request &) const = default;
};

/// A worker that this entry may use.
struct WorkerView {
  HostName Host;
  Address At;
  PoolName Pool;
  RackName Rack;
  DataCentreName DataCentre;
  /// False as soon as the host is leaving: it gets no new work.
  bool Accepting = true;
  std::uint32_t Slots = 8;

  auto operator<=>(const WorkerView &) const = default;
};

/// \name Events
/// @{
struct RequestArrived {
  Request CallerRequest;
};
/// The caller disconnected or asked to cancel.
struct RequestCancelled {
  RequestId Id;
};
struct AttemptEnded {
  AttemptId Attempt;
  TaskEnd End = TaskEnd::Lost;
};
/// The worker confirmed that a cancelled attempt no longer runs.
struct CancelConfirmed {
  AttemptId Attempt;
};
struct RulesChanged {
  RuleSetPtr Rules;
};
/// The complete list of usable workers, which replaces the previous one.
struct WorkersChanged {
  std::vector<WorkerView> Workers;
};
struct WorkerReported {
  HostName Host;
  WorkerReport Report;
};
/// The live entries, this one included.
struct EntriesChanged {
  std::vector<EntryName> LiveEntries;
};

/// Result of a claim on an idempotency key.
enum class ClaimResult {
  /// This request may run.
  Won,
  /// Another request with the key holds the claim; its answer is not available
  /// here.
  Taken,
  /// The key was used before with another body.
  BodyMismatch,
  /// The store can't be reached, so this request must not run.
  Unavailable
};
struct ClaimSettled {
  RequestId Id;
  ClaimResult Result = ClaimResult::Unavailable;
  /// With Won: no attempt may start from this instant on.
  Instant DispatchDeadline = Instant::max();
  /// With Taken: the outcome of the first request, if its entry recorded it.
  std::optional<Outcome> PriorOutcome;
};

/// A request for slots of one pool, sent to the engine of the entry that
/// schedules the pool.
struct SlotRequest {
  PoolName Pool;
  /// Slots wanted now beyond those held, by class. Patient requests that have
  /// aged count as prompt.
  std::uint32_t Prompt = 0;
  std::uint32_t Patient = 0;
  /// Time until the earliest latest start of a prompt request; zero if none is
  /// queued.
  Duration EarliestDeadline{};
  /// Slots that the sender holds on each worker, used or not, from which a new
  /// scheduler learns the grants in effect.
  std::vector<std::pair<HostName, std::uint32_t>> InUse;
  /// The pool whose queue needs the slots; differs from Pool for a spill.
  PoolName For;
  /// Increases with each request of one sender; an older one that arrives late
  /// is ignored.
  std::uint64_t Sequence = 0;
  /// Number of the last grant that the sender received; InUse does not include
  /// later ones yet.
  std::uint64_t LastGrant = 0;
  /// Part of the slots of InUse that patient work holds.
  std::uint32_t PatientHeldSlots = 0;
  /// Workers that the sender doesn't use now because they failed or refused.
  std::vector<HostName> AvoidedHosts;

  auto operator<=>(const SlotRequest &) const = default;
};
/// Slots granted. Each request is answered by at least one grant; a grant
/// without slots only reports the number of free ones.
struct SlotGrant {
  PoolName Pool;
  HostName Host;
  std::uint32_t Slots = 0;
  /// The grant expires this long after its arrival unless it is used.
  Duration ValidFor{};
  /// Copied from the request.
  PoolName For;
  JobClass Class = JobClass::Prompt;
  /// Increases with each grant of one scheduler.
  std::uint64_t Number = 0;
  /// Slots of the pool that no entry holds.
  std::uint32_t Free = 0;

  auto operator<=>(const SlotGrant &) const = default;
};
/// Slots returned, used or unused.
struct SlotReturn {
  PoolName Pool;
  HostName Host;
  std::uint32_t Slots = 0;

  auto operator<=>(const SlotReturn &) const = default;
};
using SlotMessage = std::variant<SlotRequest, SlotGrant, SlotReturn>;

struct SlotMessageArrived {
  EntryName SenderEntry;
  SlotMessage Message;
};
/// The current time advanced; sent every TickPeriod.
struct Tick {};
/// Refuse new requests from now on; open requests continue to their end.
struct StopRequested {};

using Event = std::variant<RequestArrived, RequestCancelled, AttemptEnded,
                           CancelConfirmed, RulesChanged, WorkersChanged,
                           WorkerReported, EntriesChanged, ClaimSettled,
                           SlotMessageArrived, Tick, StopRequested>;
/// @}

/// \name Actions
/// @{
/// Send the request's body to the worker.
struct StartAttempt {
  AttemptId Attempt;
  RequestId Id;
  JobName Job;
  HostName Host;
  Address At;
  /// The worker's lease on the task, which also limits the wait for the answer.
  Duration Lease{};
  /// The first byte must leave by this instant; otherwise the embedding program
  /// sends nothing and reports NotSent.
  Instant SendDeadline = Instant::max();
};
/// Tell the worker to stop the task; CancelConfirmed or AttemptEnded follows.
struct CancelAttempt {
  AttemptId Attempt;
  HostName Host;
  Address At;
};
/// Report the end to the caller. With Answered, the answer is that of Attempt.
struct FinishRequest {
  RequestId Id;
  Outcome End = Outcome::Unknown;
  Reason Why = Reason::NoWorker;
  AttemptId Attempt;
  /// Hint when to try again; zero if there is none.
  Duration RetryAfter{};
  /// With ClaimTaken: the outcome of the first request with the key, if known.
  std::optional<Outcome> First;
};
/// Claim the key in the store; the request runs only once the claim is won.
struct ClaimKey {
  RequestId Id;
  std::string Key;
  std::string BodyDigest;
  /// Give up after this time and settle as Unavailable.
  Duration Wait{};
};
struct SendSlotMessage {
  EntryName To;
  SlotMessage Message;
};
/// One decision, for the log and for `explain`.
struct LogDecision {
  /// The request, attempt, job, host or entry that the decision is about.
  std::string Subject;
  Reason Why = Reason::Placed;
  /// Line of the rule that determined the decision; 0 if there is none.
  unsigned RuleLine = 0;
  /// Facts behind the decision: the choice and the state that it was based on.
  boost::json::object Details;
};

using Action = std::variant<StartAttempt, CancelAttempt, FinishRequest,
                            ClaimKey, SendSlotMessage, LogDecision>;
/// @}

} // namespace balsamlatch::placement

#endif // BALSAMLATCH_PLACEMENT_EVENTS_H
