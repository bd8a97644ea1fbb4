/// \file
/// The callers' side of the daemon: takes requests over HTTP, carries the
/// engine's actions out on workers, and gives each caller its own answer.
/// Everything here runs on the network thread.

#ifndef BALSAMLATCH_DAEMON_CALLERFRONT_H
#define BALSAMLATCH_DAEMON_CALLERFRONT_H

#include "balsamlatch/Base/Clock.h"
#include "balsamlatch/Base/EventLoop.h"
#include "balsamlatch/Base/Log.h"
#include "balsamlatch/Daemon/Board.h"
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

class CallerFront {
public:
  struct Options {
    EntryName Entry;
    /// Differs at each start of the entry, so that request names never repeat.
    std::uint64_t Incarnation = 0;
    Address At;
    TlsSettings Tls;
    Limits Bounds;
  };

  CallerFront(EventLoop &Network, Options Wanted, WorkerClient &Workers,
              const Clock &TimeSource, Board &Shown, LogSink &Sink);

  /// Where events for the engine go; false: its ring is full. Set before
  /// start().
  void connect(std::function<bool(DecisionInput)> Decide,
               std::function<void(DocumentPtr)> InForce);

  /// Binds and starts to accept.
  absl::Status start();

  std::uint16_t port() const { return Listener.port(); }

  /// Carries out the engine's actions. Network thread only.
  void apply(NetworkBatch Batch);

  /// Accepts no further connections; those open end with their request.
  void stopAccepting() { Listener.stopAccepting(); }

  /// Requests without an answer. Thread safe.
  std::size_t openRequests() const { return OpenCount; }
  /// Connections of callers. Thread safe.
  std::size_t connections() const { return Listener.connections(); }

private:
  static constexpr std::size_t MaxOrphans = 16;

  struct Pending {
    http::Responder Respond;
    JobName Job;
    std::string Body;
    // Invariant: only attempts that ended with a body to hand on.
    std::map<AttemptId, std::string> Answers;
  };

  void take(http::Exchange Call);
  void admit(http::Exchange Call, placement::Request Asked);
  void start(const placement::StartAttempt &Wanted);
  void cancel(const placement::CancelAttempt &Wanted);
  void finish(const placement::FinishRequest &Wanted);
  void attemptEnded(const RequestId &Id, AttemptId Attempt, TaskResult Result);
  /// Notes which answers of the batch go to several callers.
  void shareAnswers(const NetworkBatch &Batch);
  void keepOrphan(AttemptId Attempt, std::string Body);
  std::optional<std::string> answerOf(AttemptId Attempt, Pending &Ended);
  void deliver(placement::Event Happened);
  void flushOverflow();

  EventLoop &Network;
  const Options Wanted;
  WorkerClient &Workers;
  const Clock &TimeSource;
  Board &Shown;
  LogSink &Sink;
  std::function<bool(DecisionInput)> Decide;
  std::function<void(DocumentPtr)> InForce;
  http::Server Listener;
  std::unordered_map<RequestId, Pending> Open;
  std::unordered_map<AttemptId, RequestId> Attempts;
  // Answers of the batch at hand that repeats of a request get too. Empty text:
  // the first request's end, which brings the answer, is still to come.
  std::map<AttemptId, std::string> Shared;
  // Answers whose own caller has gone; a repeat may wait for one. Invariant: at
  // most MaxOrphans, the latest attempts.
  std::map<AttemptId, std::string> Orphans;
  std::atomic<std::size_t> OpenCount = 0;
  std::uint64_t NextRequest = 1;
  // Events that found the engine's ring full and must not be lost. Invariant:
  // bounded by the open requests and their attempts.
  std::deque<placement::Event> Overflow;
};

} // namespace balsamlatch::daemon

#endif // BALSAMLATCH_DAEMON_CALLERFRONT_H
