/// \file
/// What the placement engine is told and what it decides, as values. The
/// daemon and the replay drive the same engine with these.

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
  /// The whole answer of one attempt.
  Answered,
  /// It certainly did not run.
  NotRun,
  /// It may have run.
  Unknown
};

/// Why a request ended or an attempt was placed as it was. The text form is
/// the stable code of a page in Help/reason.
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
  /// The process stood still, so that nothing is placed for a moment.
  Paused
};

/// The stable code, for example "deadline-passed".
const char *reasonCode(Reason Why);

/// "answered", "not-run" or "unknown".
const char *outcomeCode(Outcome End);

/// A caller's request. The body stays with the shell.
struct Request {
  RequestId Id;
  JobName Job;
  TeamName Team;
  /// Time left to the whole answer; empty: the job's own deadline.
  std::optional<Duration> TimeLeft;
  /// Set by the caller; repeats with the same key run at most once.
  std::string IdempotencyKey;
  /// Digest of the body: the same key with another body is refused.
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
  /// False as soon as the host is leaving: no new work goes there.
  bool Accepting = true;
  std::uint32_t Slots = 8;

  auto operator<=>(const WorkerView &) const = default;
};

/// \name Events
/// @{
struct RequestArrived {
  Request Asked;
};
/// The caller hung up or asked to cancel.
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
/// The whole view of usable workers replaces the one before.
struct WorkersChanged {
  std::vector<WorkerView> Workers;
};
struct WorkerReported {
  HostName Host;
  WorkerReport Report;
};
/// Live entries, this one included.
struct EntriesChanged {
  std::vector<EntryName> Live;
};

/// What became of a claim on an idempotency key.
enum class ClaimResult {
  /// This request may run.
  Won,
  /// Another request with the key has the claim; its answer isn't here.
  Taken,
  /// The key was used before with another body.
  OtherBody,
  /// The store can't be reached, so this request must not run.
  Unavailable
};
struct ClaimSettled {
  RequestId Id;
  ClaimResult Result = ClaimResult::Unavailable;
  /// With Won: dispatch only before this instant.
  Instant DispatchDeadline = Instant::max();
  /// With Taken: how the first request ended, if its entry recorded that.
  std::optional<Outcome> First;
};

/// A message between the engines of two entries about slots of one pool:
/// the pool's scheduler entry hands out grants.
struct SlotAsk {
  PoolName Pool;
  /// Slots wanted now beyond those held, by class.
  std::uint32_t Prompt = 0;
  std::uint32_t Patient = 0;
  /// Time until the earliest prompt deadline; zero: none waits.
  Duration EarliestDeadline{};
  /// Slots that the asker holds now on each worker, used or not, so that a
  /// scheduler that takes over learns what is granted.
  std::vector<std::pair<HostName, std::uint32_t>> InUse;
  /// The pool whose requests want the slots; differs from Pool for a spill.
  PoolName For;
  /// Rises with each ask of one asker; an older ask that arrives late is void.
  std::uint64_t Sequence = 0;
  /// Number of the last grant that arrived at the asker; later ones aren't in
  /// InUse yet.
  std::uint64_t LastGrant = 0;
  /// Slots of InUse that patient work holds.
  std::uint32_t PatientInUse = 0;
  /// Workers that the asker doesn't use now: they failed or refused.
  std::vector<HostName> Avoid;

  auto operator<=>(const SlotAsk &) const = default;
};
/// Slots granted. Each ask is answered by at least one; without slots it says
/// how many are free.
struct SlotGrant {
  PoolName Pool;
  HostName Host;
  std::uint32_t Slots = 0;
  /// The grant is void after this time from its arrival unless used.
  Duration ValidFor{};
  /// Copied from the ask.
  PoolName For;
  JobClass Class = JobClass::Prompt;
  /// Rises with each grant of one scheduler entry.
  std::uint64_t Number = 0;
  /// Slots of the pool that nobody holds.
  std::uint32_t Free = 0;

  auto operator<=>(const SlotGrant &) const = default;
};
/// Slots given back, used or unused.
struct SlotReturn {
  PoolName Pool;
  HostName Host;
  std::uint32_t Slots = 0;

  auto operator<=>(const SlotReturn &) const = default;
};
using SlotMessage = std::variant<SlotAsk, SlotGrant, SlotReturn>;

struct SlotMessageArrived {
  EntryName From;
  SlotMessage Message;
};
/// Time passed; sent every TickPeriod.
struct Tick {};
/// Refuse new requests from now on; those in the engine go on to their end.
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
  /// The worker's lease on the task, and the bound of the wait for its answer.
  Duration Lease{};
  /// The shell's clock must not have passed this when the first byte leaves;
  /// otherwise it sends nothing and reports NotSent.
  Instant NotAfter = Instant::max();
};
/// Tell the worker to stop the task; CancelConfirmed or AttemptEnded follows.
struct CancelAttempt {
  AttemptId Attempt;
  HostName Host;
  Address At;
};
/// Give the caller its end. With Answered, the answer is that of Attempt.
struct FinishRequest {
  RequestId Id;
  Outcome End = Outcome::Unknown;
  Reason Why = Reason::NoWorker;
  AttemptId Attempt;
  /// A hint when to try again; zero: none.
  Duration RetryAfter{};
  /// With ClaimTaken: how the first request with the key ended, if known.
  std::optional<Outcome> First;
};
/// Claim the key in the store before the request may run.
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
/// One line for the log and for explain.
struct LogDecision {
  /// Request or host that the line is about.
  std::string Subject;
  Reason Why = Reason::Placed;
  /// Line of the rule that drove it; 0: none.
  unsigned RuleLine = 0;
  /// Choice, standing of the alternatives, versions.
  boost::json::object Details;
};

using Action = std::variant<StartAttempt, CancelAttempt, FinishRequest,
                            ClaimKey, SendSlotMessage, LogDecision>;
/// @}

} // namespace balsamlatch::placement

#endif // BALSAMLATCH_PLACEMENT_EVENTS_H
