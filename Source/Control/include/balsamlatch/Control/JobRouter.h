/// \file
/// Brings a request about jobs to whoever holds them now, and tries again
/// while the holder changes. Requests are idempotent, so a try without answer
/// may be repeated.

#ifndef BALSAMLATCH_CONTROL_JOBROUTER_H
#define BALSAMLATCH_CONTROL_JOBROUTER_H

#include "balsamlatch/Control/LeadFinder.h"

namespace balsamlatch::control {

/// Until when a request is tried.
struct RequestTimes {
  /// While it is certain that nothing was done: the caller is better off
  /// elsewhere then.
  Instant Patience{};
  /// Once it may have been done.
  Instant Deadline{};
};

class JobRouter {
public:
  JobRouter(EventLoop &Runner, const Clock &TimeSource, LogSink &Sink,
            Holder &Here, http::Client &Peers);

  /// Begins to look for a stronger entry whenever this one leads.
  void start();

  /// Answers in time. Unknown: it may have been done; NotHolder: it certainly
  /// was not, since no holder could be reached.
  void request(JobRequest What, RequestTimes Times, JobService::Answer Done);

  /// Whether no holder has answered for \p Length, though requests asked for
  /// one. Callers are served better by another entry then.
  bool failingFor(Duration Length) const;

  /// Asks the holder for nothing, to see whether it answers again.
  void probe();

private:
  struct Try;

  void attempt(const std::shared_ptr<Try> &What);
  void answered(const std::shared_ptr<Try> &What, const JobReply &Reply);

  EventLoop &Loop;
  const Clock &Time;
  LogSink &Log;
  Holder &Local;
  http::Client &Remote;
  LeadFinder Finder;
  // When the first of the requests since the last answer failed.
  std::optional<Instant> FailingSince;
  bool Probing = false;
};

} // namespace balsamlatch::control

#endif // BALSAMLATCH_CONTROL_JOBROUTER_H
