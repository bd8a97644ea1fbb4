/// \file
/// Interface for callers' requests about jobs, served by the leader or
/// forwarded to it.

#ifndef BALSAMLATCH_CONTROL_JOBSERVICE_H
#define BALSAMLATCH_CONTROL_JOBSERVICE_H

#include "balsamlatch/Jobs/JobEvents.h"

#include <functional>
#include <variant>

namespace balsamlatch::control {

struct SubmitJob {
  jobs::JobId Job;
  jobs::QueueName Queue;
  jobs::JobSpec Spec;
  /// Identifies the caller's request over all attempts to deliver it; empty if
  /// unknown.
  std::string RequestId;
  /// Fencing token of the leader that the attempt is addressed to, which a
  /// leader with another token ignores; 0 for any leader.
  std::uint64_t LeaderToken = 0;

  auto operator<=>(const SubmitJob &) const = default;
};

struct CancelJob {
  jobs::JobId Job;

  auto operator<=>(const CancelJob &) const = default;
};

struct QueryJob {
  jobs::JobId Job;

  auto operator<=>(const QueryJob &) const = default;
};

struct QueryQueue {
  jobs::QueueName Queue;

  auto operator<=>(const QueryQueue &) const = default;
};

using JobRequest = std::variant<SubmitJob, CancelJob, QueryJob, QueryQueue>;

/// Outcome of a job request.
struct JobReply {
  enum OutcomeKind {
    /// The submitted job is stored, the job is closed, or the query is
    /// answered.
    Done,
    /// The job is unknown.
    NoSuchJob,
    /// The job was not accepted and will never run; RetryAfter says when to
    /// submit again.
    Refused,
    /// This process doesn't lead; the request had no effect.
    NotLeader,
    /// No reply; the request may have taken effect.
    Unknown,
  };

  OutcomeKind Outcome = Unknown;
  /// State of the job, in replies to QueryJob.
  jobs::JobState State = jobs::JobState::Queued;
  /// Number of pending jobs, in replies to QueryQueue.
  unsigned Pending = 0;
  Duration RetryAfter{};

  auto operator<=>(const JobReply &) const = default;
};

class JobService {
public:
  using ReplyCallback = std::function<void(JobReply)>;

  virtual ~JobService() = default;
  /// Calls \p Callback exactly once.
  virtual void request(JobRequest Request, ReplyCallback Callback) = 0;
};

} // namespace balsamlatch::control

#endif // BALSAMLATCH_CONTROL_JOBSERVICE_H
