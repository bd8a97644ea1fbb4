/// \file
/// The thread that owns the placement engine.

#ifndef BALSAMLATCH_DAEMON_DECISIONTHREAD_H
#define BALSAMLATCH_DAEMON_DECISIONTHREAD_H

#include "balsamlatch/Base/Clock.h"
#include "balsamlatch/Base/Log.h"
#include "balsamlatch/Base/Ring.h"
#include "balsamlatch/Daemon/Board.h"
#include "balsamlatch/Daemon/DecisionMemory.h"
#include "balsamlatch/Membership/Documents.h"
#include "balsamlatch/Placement/Engine.h"

#include <functional>
#include <memory>
#include <optional>
#include <thread>
#include <unordered_set>
#include <vector>

namespace balsamlatch::daemon {

using DocumentPtr = std::shared_ptr<const membership::Document>;

/// An event for the engine. InForce, if set, is a document of rules or ledger
/// that is in force once the event is handled.
struct DecisionInput {
  std::optional<placement::Event> Happened;
  DocumentPtr InForce;
};

/// What the network thread has to carry out, in order, and the documents that
/// are in force for this entry once that is done.
struct NetworkBatch {
  std::vector<placement::Action> Actions;
  std::vector<DocumentPtr> InForce;
};

/// Where the engine's actions go. Called on the decisions thread.
struct DecisionOutlets {
  /// May wait for room; never refuses while the daemon runs.
  std::function<void(NetworkBatch)> Network;
  /// False: the claim could not be handed over; it settles as unavailable.
  std::function<bool(placement::ClaimKey)> Claim;
  /// A request that asked for a claim ended. Lossy: the claim then lasts to its
  /// end.
  std::function<void(RequestId, placement::Outcome)> ClaimEnded;
  /// Lossy: a slot message that can't be handed over is dropped.
  std::function<void(placement::SendSlotMessage)> Peer;
};

class DecisionThread {
public:
  DecisionThread(placement::EngineOptions Options, const Clock &TimeSource,
                 LogSink &Sink, DecisionMemory &Memory, Board &Shown,
                 DecisionOutlets Outlets);
  ~DecisionThread();

  void start();
  /// Handles what is in the ring, then ends the thread.
  void stop();

  /// Hands an event over unless the ring is full. Thread safe.
  bool tryPush(DecisionInput Input) { return Inbox.tryPush(std::move(Input)); }

  /// Hands an event over, waiting for room. Not for the network thread, for
  /// which this thread waits. Thread safe.
  void push(DecisionInput Input) { Inbox.push(std::move(Input)); }

  std::size_t ringFill() const { return Inbox.size(); }
  std::uint64_t ringRefusals() const { return Inbox.refusals(); }

private:
  void run();
  void handle(const DecisionInput &Input, NetworkBatch &Batch);
  void handle(const placement::Event &Happened, NetworkBatch &Batch);
  void dispatch(placement::Action Wanted, NetworkBatch &Batch);
  void record(placement::LogDecision Line);
  void flush(NetworkBatch &Batch);
  void publish();

  placement::Engine Engine;
  const Clock &TimeSource;
  LogSink &Sink;
  DecisionMemory &Memory;
  Board &Shown;
  DecisionOutlets Outlets;
  Ring<DecisionInput> Inbox;
  RulesVersion Rules;
  std::uint64_t LedgerVersion = 0;
  // Open requests that asked for a claim.
  std::unordered_set<RequestId> Claimed;
  // Claims that could not be handed over, settled after the batch at hand.
  std::vector<RequestId> FailedClaims;
  std::thread Runner;
};

} // namespace balsamlatch::daemon

#endif // BALSAMLATCH_DAEMON_DECISIONTHREAD_H
