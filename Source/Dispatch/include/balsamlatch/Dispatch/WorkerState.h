/// \file
/// What a holder knows of one worker during its term.

#ifndef BALSAMLATCH_DISPATCH_WORKERSTATE_H
#define BALSAMLATCH_DISPATCH_WORKERSTATE_H

#include "balsamlatch/Dispatch/Orders.h"
#include "balsamlatch/Dispatch/Pacing.h"

#include <map>
#include <unordered_map>

namespace balsamlatch::dispatch {

/// Where one run stands, as far as its holder knows.
enum class RunPhase {
  /// Chosen; its record is on the way to the journal.
  Proposed,
  /// The start was sent and not answered yet.
  Ordered,
  Running,
  /// The start may or may not have been carried out.
  Uncertain,
  /// Its end is on the way to the journal.
  Ending,
};

struct RunState {
  std::uint32_t Run = 0;
  RunPhase Phase = RunPhase::Proposed;
  /// Which life of the worker it was placed on.
  std::int64_t PlacedBorn = 0;
  Resources Claim;
  bool Lasting = false;
  bool Filler = false;
  bool StopWanted = false;
  bool StopInFlight = false;
  /// Set once the worker has confirmed a stop: a start that arrives later is
  /// refused there.
  std::optional<Instant> StopConfirmedAt;
  /// A lower token than the present one ordered it, so a late start of it is
  /// refused.
  bool EarlierTerm = false;
  /// When the start was answered.
  Instant StartedAt{};
  unsigned Percent = 0;
  Instant PercentChangedAt{};
  std::int64_t Gauge = 0;
  std::string Checkpoint;
  /// Of the permit that it was placed by.
  std::string Ticket;
  /// Of a serving task; zero for others.
  Duration TailObjective{};
  /// Of a filler, as last confirmed by the worker; unset while unknown.
  std::optional<unsigned> Pace = 100;
  bool PaceInFlight = false;
};

struct WorkerState {
  WorkerRecord Record;
  /// Stands in the worker list now.
  bool Listed = false;
  /// Has answered a hold of this term.
  bool Contacted = false;
  /// The last order got no answer.
  bool Silent = false;
  /// Excluded from placement for upkeep or a move.
  bool Cordoned = false;
  /// An order that ends all its runs is on its way to its host.
  bool Leaving = false;
  bool HoldInFlight = false;
  Instant NextHoldAt{};
  Instant LastReportAt{};
  WorkerClock Clock{};
  /// Host lists in a row that no host with this worker stood in.
  unsigned UnhostedLists = 0;
  /// Local time that Clock was received at.
  Instant ClockAt{};
  /// Nothing that was ordered so far runs after this time.
  Instant LapsedAt{};
  /// Highest number of an end that was turned into events.
  std::uint64_t EndsSeen = 0;
  /// EndsSeen when the events on their way to the journal were taken.
  std::uint64_t EndsInBatch = 0;
  /// Highest number of an end that the journal holds.
  std::uint64_t EndsRecorded = 0;
  /// No new work before this time.
  Instant AvoidUntil{};
  /// Runs that failed since the last one that was done, and their jobs.
  unsigned FailuresInRow = 0;
  JobId LastFailedJob;
  unsigned Suspicions = 0;
  /// What its fillers should keep to, and when they may be told again.
  FillerPace Fillers;
  Instant NextPaceAt{};
  std::map<TaskRef, RunState> Runs;
  // Invariant: the sum of the claims of Runs that are not Ending.
  Resources Claimed;

  WorkerClock clockAt(Instant Now) const {
    return Clock + std::chrono::duration_cast<WorkerClock>(Now - ClockAt);
  }
  Resources room() const {
    Resources Room = Record.Capacity;
    Room -= Claimed;
    return Room;
  }
  bool hasLabel(const std::string &Label) const;
  /// Whether fillers run next to serving tasks, so that their tails matter.
  bool shared() const;
  /// Whether new work may be placed there.
  bool usable(Instant Now) const {
    return Listed && Contacted && !Silent && !Cordoned && !Record.Draining &&
           Now >= AvoidUntil;
  }
};

using WorkerTable = std::map<std::string, WorkerState>;

} // namespace balsamlatch::dispatch

#endif // BALSAMLATCH_DISPATCH_WORKERSTATE_H
