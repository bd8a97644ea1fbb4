/// \file
/// The entries, workers, store and network of one replay.

#ifndef BALSAMLATCH_REPLAY_WORLD_H
#define BALSAMLATCH_REPLAY_WORLD_H

#include "FakeStore.h"
#include "FakeWorker.h"
#include "Timeline.h"

#include "balsamlatch/Placement/ClaimManager.h"
#include "balsamlatch/Placement/Engine.h"
#include "balsamlatch/Replay/Replay.h"

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <unordered_map>
#include <vector>

namespace balsamlatch::replay {

/// A request of the trace while it is open, and how it ended.
struct CallerRecord {
  TraceArrival What;
  const JobRule *Rule = nullptr;
  Instant At{};
  bool Ended = false;
  EntryName Entry;
  bool CancelAsked = false;
};

/// The process of one entry. A new one takes its place after a crash.
struct EntryProcess {
  EntryName Name;
  std::uint64_t Incarnation = 0;
  std::unique_ptr<placement::Engine> Core;
  std::unique_ptr<placement::ClaimManager> Claims;
  bool Alive = false;
  bool Stopping = false;
  bool Cut = false;
  /// The process is to stand still for this long, between its next decision
  /// and the sending of it.
  std::optional<Duration> PauseNext;
  /// The process stands still until then.
  Instant PausedUntil{};
  /// Requests that it holds, for the callers that see its connection break.
  std::set<RequestId> Open;
  /// The tasks of its attempts, and what they run for.
  std::unordered_map<AttemptId, RequestId> AttemptOf;
};

class World {
public:
  World(const std::vector<TraceLine> &Lines, RuleSetPtr Rules,
        const ReplayOptions &Options);

  Report run();

private:
  using Actions = std::vector<placement::Action>;

  // World.cpp: entries and what they send.
  void deliver(const EntryName &To, std::uint64_t Incarnation,
               const placement::Event &Happened);
  void broadcast(const placement::Event &Happened, Duration Lag);
  void perform(EntryProcess &E, const Actions &Wanted, bool AfterPause);
  void performOne(EntryProcess &E, const placement::Action &A);
  void startAttempt(EntryProcess &E, const placement::StartAttempt &A);
  void cancelAttempt(EntryProcess &E, const placement::CancelAttempt &A);
  void finishRequest(EntryProcess &E, const placement::FinishRequest &A);
  void sendSlots(EntryProcess &E, const placement::SendSlotMessage &A);
  void performClaims(EntryProcess &E,
                     const std::vector<placement::ClaimAction> &Wanted);
  void startEntry(const EntryName &Name);
  void crashEntry(const EntryName &Name, Duration For);
  void stopEntry(const EntryName &Name, Duration For);
  void endIfStopped(const EntryName &Name, std::uint64_t Incarnation,
                    Duration For);
  void tick(const EntryName &Name, std::uint64_t Incarnation);
  std::vector<EntryName> live() const;
  std::vector<placement::WorkerView> views() const;
  void publishEntries();
  void publishWorkers();
  placement::ClaimTime claimTime() const;

  // WorldEvents.cpp: the trace, and what is counted.
  void happen(const TraceArrival &What);
  void happen(const TraceCancel &What);
  void happen(const TraceWorker &What);
  void happen(const TraceLeaving &What);
  void happen(const TraceEntry &What);
  void happen(const TraceFault &What);
  void workerFault(const TraceFault &What, WorkerMode Mode);
  void storeFault(const TraceFault &What, StoreMode Mode);
  void reportWorkers();
  EntryName balance();
  void note(HistoryEvent What) {
    Past.push_back({Time.now(), std::move(What)});
  }
  void endCaller(const RequestId &Id, placement::Outcome End,
                 placement::Reason Why, const RequestId &AnswerOf);
  void countEnd(CallerRecord &Caller, placement::Outcome End,
                placement::Reason Why);
  void countIdle();
  void countAway();
  bool over() const;
  ClassResult &resultOf(const CallerRecord &Caller);
  void summarize();

  const std::vector<TraceLine> &Lines;
  RuleSetPtr Rules;
  ReplayOptions Options;
  std::mt19937_64 Rng;
  Timeline Time;
  FakeStore Store;
  std::map<EntryName, EntryProcess> Entries;
  std::map<HostName, std::unique_ptr<FakeWorker>> Workers;
  std::set<HostName> LeavingHosts;
  std::set<JobName> FailingJobs;
  std::map<RequestId, CallerRecord> Callers;
  std::size_t OpenCallers = 0;
  std::size_t LinesLeft = 0;
  std::uint64_t LastTask = 0;
  std::uint64_t LastIncarnation = 0;
  std::map<HostName, std::uint64_t> Failures;
  // Slot time by pool since the start, in microseconds.
  std::map<PoolName, std::int64_t> IdleMicros;
  std::map<PoolName, std::int64_t> SlotMicros;
  Instant IdleCountedAt{};
  std::vector<std::int64_t> Waits[2];
  History Past;
  Report Result;
};

} // namespace balsamlatch::replay

#endif // BALSAMLATCH_REPLAY_WORLD_H
