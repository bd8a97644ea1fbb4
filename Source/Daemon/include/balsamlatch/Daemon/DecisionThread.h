/// \file
/// The decision thread, which runs the placement engine.

#ifndef BALSAMLATCH_DAEMON_DECISIONTHREAD_H
#define BALSAMLATCH_DAEMON_DECISIONTHREAD_H

#include "balsamlatch/Base/Clock.h"
#include "balsamlatch/Base/Log.h"
#include "balsamlatch/Base/Ring.h"
#include "balsamlatch/Daemon/DaemonStatus.h"
#include "balsamlatch/Daemon/DecisionHistory.h"
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

/// Input of the decision thread. \c ActivatedDocument, if set, is a rules or
/// ledger document that takes effect once the event is handled.
struct DecisionInput {
  std::optional<placement::Event> Event;
  DocumentPtr ActivatedDocument;
};

/// Actions that the network thread executes in order, and the documents that
/// take effect in this entry once it has done so.
struct NetworkBatch {
  std::vector<placement::Action> Actions;
  std::vector<DocumentPtr> ActivatedDocuments;
};

/// Receivers of the engine's actions. Called on the decision thread.
struct DecisionCallbacks {
  /// Blocks while the queue is full; never fails while the daemon runs.
  std::function<void(NetworkBatch)> PostToNetwork;
  /// Returns false if the queue is full; the claim then settles as unavailable.
  std::function<bool(placement::ClaimKey)> RequestClaim;
  /// A request that asked for a claim ended. The notice may be dropped; the
  /// claim is then held until it expires.
  std::function<void(RequestId, placement::Outcome)> ClaimEnded;
  /// Drops the slot message if the queue is full.
  std::function<void(placement::SendSlotMessage)> SendToPeer;
};

/// Owns the placement engine and the thread on which it runs.
class DecisionThread {
public:
  DecisionThread(placement::EngineOptions Options, const Clock &TimeSource,
                 LogSink &Sink, DecisionHistory &History, DaemonStatus &Status,
                 DecisionCallbacks Callbacks);
  ~DecisionThread();

  void start();
  /// Handles the events left in the queue, then joins the thread.
  void stop();

  /// Queues an event; returns false if the queue is full. Thread safe.
  bool tryPush(DecisionInput Input) { return Inbox.tryPush(std::move(Input)); }

  /// Queues an event; blocks while the queue is full. Thread safe, but must not
  /// be called on the network thread, which this thread may block on.
  void push(DecisionInput Input) { Inbox.push(std::move(Input)); }

  std::size_t ringFill() const { return Inbox.size(); }
  std::uint64_t ringRefusals() const { return Inbox.refusals(); }

private:
  void run();
  void handle(const DecisionInput &Input, NetworkBatch &Batch);
  void handle(const placement::Event &Event, NetworkBatch &Batch);
  void executeAction(placement::Action Action, NetworkBatch &Batch);
  void logDecision(placement::LogDecision LogEntry);
  void flush(NetworkBatch &Batch);
  void publishStatus();

  placement::Engine Engine;
  const Clock &TimeSource;
  LogSink &Sink;
  DecisionHistory &History;
  DaemonStatus &Status;
  DecisionCallbacks Callbacks;
  Ring<DecisionInput> Inbox;
  RulesVersion ActiveRules;
  std::uint64_t LedgerVersion = 0;
  // Open requests that asked for a claim.
  std::unordered_set<RequestId> ClaimedRequests;
  // Requests whose claim could not be queued; settled as unavailable after the
  // current event.
  std::vector<RequestId> FailedClaims;
  std::thread Thread;
};

} // namespace balsamlatch::daemon

#endif // BALSAMLATCH_DAEMON_DECISIONTHREAD_H
