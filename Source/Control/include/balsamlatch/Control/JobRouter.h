/// \file
/// Routes job requests to the current leader, and retries while the leader
/// changes. Requests are idempotent, so an attempt without a reply can be
/// repeated.

#ifndef BALSAMLATCH_CONTROL_JOBROUTER_H
#define BALSAMLATCH_CONTROL_JOBROUTER_H

#include "balsamlatch/Control/LeaderFinder.h"

namespace balsamlatch::control {

/// Deadlines of a request, after which it isn't retried.
struct RequestDeadlines {
  /// Applies while the request certainly had no effect, so that the caller can
  /// try another entry.
  Instant NoEffectDeadline{};
  /// Applies once the request may have taken effect.
  Instant Deadline{};
};

class JobRouter {
public:
  JobRouter(EventLoop &CallbackLoop, const Clock &TimeSource, LogSink &Sink,
            JobController &Controller, http::Client &Client);

  /// Starts to offer leadership periodically to an entry with more processor
  /// time, while this one leads.
  void start();

  /// Retries until a final reply or the deadline that applies, then calls
  /// \p Callback. The outcome is NotLeader if the request certainly had no
  /// effect because no leader was reached, and Unknown if it may have taken
  /// effect.
  void request(JobRequest Request, RequestDeadlines Deadlines,
               JobService::ReplyCallback Callback);

  /// Whether requests have failed to reach a leader for \p Length or longer.
  /// Callers should use another entry then.
  bool hasFailedFor(Duration Length) const;

  /// Sends the leader a request without effect to see whether it replies again.
  void probe();

private:
  struct PendingRequest;

  void sendAttempt(const std::shared_ptr<PendingRequest> &Pending);
  void handleReply(const std::shared_ptr<PendingRequest> &Pending,
                   const JobReply &Reply);

  EventLoop &Loop;
  const Clock &Time;
  LogSink &Log;
  JobController &LocalController;
  http::Client &PeerClient;
  LeaderFinder Finder;
  // When the first request since the leader's last reply failed.
  std::optional<Instant> FailingSince;
  bool ProbeInFlight = false;
  // Distinguishes the requests of this process from those of all others.
  const std::string RequestIdPrefix;
  std::uint64_t LastRequest = 0;
};

} // namespace balsamlatch::control

#endif // BALSAMLATCH_CONTROL_JOBROUTER_H
