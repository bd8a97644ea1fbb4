/// \file
/// HTTP server for callers: accepts requests, executes the engine's actions on
/// workers, and returns to each caller the answer to its own request. Runs on
/// the network thread.

#ifndef BALSAMLATCH_DAEMON_CALLERSERVER_H
#define BALSAMLATCH_DAEMON_CALLERSERVER_H

#include "balsamlatch/Base/Clock.h"
#include "balsamlatch/Base/EventLoop.h"
#include "balsamlatch/Base/Log.h"
#include "balsamlatch/Daemon/DaemonStatus.h"
#include "balsamlatch/Daemon/DecisionThread.h"
#include "balsamlatch/Daemon/Settings.h"
#include "balsamlatch/Http/Server.h"
#include "balsamlatch/Platform/Worker.h"

#include <absl/status/status.h>
#include <atomic>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace balsamlatch::daemon {

/// HTTP server for callers and executor of placement actions on workers.
class CallerServer {
public:
  struct Options {
    EntryName Entry;
    /// Differs at each start of the entry, so that request identifiers are
    /// unique.
    std::uint64_t Incarnation = 0;
    Address ListenAddress;
    TlsSettings Tls;
    Limits ResourceLimits;
  };

  CallerServer(EventLoop &NetworkLoop, Options Config, WorkerClient &Workers,
               const Clock &TimeSource, DaemonStatus &Status, LogSink &Sink);

  /// Sets the callbacks, before start(). \p PushToEngine queues an event for
  /// the engine and returns false if the queue is full. \p DocumentActivated is
  /// called for each document that took effect.
  void connect(std::function<bool(DecisionInput)> PushToEngine,
               std::function<void(DocumentPtr)> DocumentActivated);

  /// Binds the address and starts to accept connections.
  absl::Status start();

  std::uint16_t port() const { return Listener.port(); }

  /// Executes the engine's actions. Network thread only.
  void executeActions(NetworkBatch Batch);

  /// Accepts no further connections; open ones close after their current
  /// request.
  void stopAccepting() { Listener.stopAccepting(); }

  /// Number of requests without an answer. Thread safe.
  std::size_t openRequests() const { return OpenRequestCount; }
  /// Number of open connections. Thread safe.
  std::size_t connections() const { return Listener.connections(); }

private:
  static constexpr std::size_t MaxOrphanAnswers = 16;

  struct PendingRequest {
    http::Responder Respond;
    JobName Job;
    std::string Body;
    // Invariant: only attempts that ended with a response body.
    std::map<AttemptId, std::string> Answers;
  };

  void handleRequest(http::Exchange Call);
  void admitRequest(http::Exchange Call, placement::Request Request);
  void start(const placement::StartAttempt &Attempt);
  void cancel(const placement::CancelAttempt &Attempt);
  void finish(const placement::FinishRequest &Completion);
  void attemptEnded(const RequestId &Id, AttemptId Attempt, TaskResult Result);
  /// Finds the answers of the batch that go to several callers.
  void findSharedAnswers(const NetworkBatch &Batch);
  void storeOrphanAnswer(AttemptId Attempt, std::string Body);
  std::optional<std::string> takeAnswer(AttemptId Attempt,
                                        PendingRequest &Request);
  void pushEvent(placement::Event Event);
  void flushOverflow();

  EventLoop &NetworkLoop;
  const Options Config;
  WorkerClient &Workers;
  const Clock &TimeSource;
  DaemonStatus &Status;
  LogSink &Sink;
  std::function<bool(DecisionInput)> PushToEngine;
  std::function<void(DocumentPtr)> DocumentActivated;
  http::Server Listener;
  std::unordered_map<RequestId, PendingRequest> OpenRequests;
  std::unordered_map<AttemptId, RequestId> Attempts;
  // Answers of the current batch that repeated requests share. The text is
  // empty until the first of these requests is finished.
  std::map<AttemptId, std::string> SharedAnswers;
  // Answers whose caller disconnected; a repeated request may still need one.
  // Invariant: at most MaxOrphanAnswers, those of the latest attempts.
  std::map<AttemptId, std::string> OrphanAnswers;
  std::atomic<std::size_t> OpenRequestCount = 0;
  std::uint64_t NextRequest = 1;
  // Events that found the engine's queue full and must not be lost. Invariant:
  // bounded by the number of open requests and their attempts.
  std::deque<placement::Event> OverflowEvents;
};

} // namespace balsamlatch::daemon

#endif // BALSAMLATCH_DAEMON_CALLERSERVER_H
