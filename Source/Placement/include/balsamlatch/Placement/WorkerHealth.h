/// \file
/// Which workers and jobs are kept from work because they fail. A worker is
/// judged by jobs that succeed elsewhere, a job by workers that succeed with
/// others, so that neither is blamed for the other.

#ifndef BALSAMLATCH_PLACEMENT_WORKERHEALTH_H
#define BALSAMLATCH_PLACEMENT_WORKERHEALTH_H

#include "balsamlatch/Base/Clock.h"
#include "balsamlatch/Base/Ids.h"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace balsamlatch::placement {

/// What one end of an attempt changed.
struct HealthChange {
  enum class Kind {
    WorkerEjected,
    WorkerReadmitted,
    JobEjected,
    JobReadmitted
  };
  Kind What = Kind::WorkerEjected;
  HostName Host;
  JobName Job;

  auto operator<=>(const HealthChange &) const = default;
};

/// Not thread safe.
///
/// At most a third of a pool's workers are ejected at once. An ejected worker
/// or job gets one request at a time as a probe, after a wait that doubles
/// with each probe that fails.
class WorkerHealth {
public:
  void setPoolSize(const PoolName &Pool, std::uint32_t Size);
  /// Forgets a host that was replaced or left.
  void forget(const HostName &Host);

  std::optional<HealthChange> succeeded(const HostName &Host,
                                        const JobName &Job, Instant Now);
  /// \p Ran: the task may have run, so that the job may be at fault.
  std::optional<HealthChange> failed(const HostName &Host, const PoolName &Pool,
                                     const JobName &Job, bool Ran, Instant Now);
  /// The attempt ended without saying anything about the worker.
  void undecided(const HostName &Host, const JobName &Job);

  bool ejected(const HostName &Host) const;
  bool ejected(const JobName &Job) const { return JobsOut.contains(Job); }

  /// An ejected worker of the pool whose probe is due, if any.
  std::optional<HostName> dueProbe(const PoolName &Pool, Instant Now) const;
  /// A request was sent to the ejected worker.
  void probing(const HostName &Host);

  /// Whether a request of the ejected job may go ahead as a probe; it then
  /// counts as sent.
  bool admitProbe(const JobName &Job, Instant Now);

private:
  struct Probation {
    PoolName Pool;
    Instant ProbeAt{};
    Duration Wait{};
    bool Probing = false;
  };
  struct WorkerRecord {
    // Failures by job since the last success of any job here.
    std::map<JobName, std::uint32_t> Failures;
    // Failures that no job can be blamed for.
    std::uint32_t Unsent = 0;
  };
  struct JobRecord {
    // The workers it last succeeded on, the newest first; at most two.
    std::vector<std::pair<HostName, Instant>> Successes;
    // Failures by worker since its last success anywhere.
    std::map<HostName, std::uint32_t> Failures;
  };

  std::uint32_t evidence(const HostName &Host, const WorkerRecord &Worker,
                         Instant Now) const;
  bool succeedsElsewhere(const JobName &Job, const HostName &Host,
                         Instant Now) const;
  std::optional<HealthChange> judgeWorker(const HostName &Host,
                                          const PoolName &Pool, Instant Now);
  std::optional<HealthChange> judgeJob(const JobName &Job, const PoolName &Pool,
                                       Instant Now);
  static void extend(Probation &Out, Instant Now);
  std::uint32_t mostEjected(const PoolName &Pool) const;

  std::unordered_map<HostName, WorkerRecord> Workers;
  std::unordered_map<JobName, JobRecord> Jobs;
  std::unordered_map<PoolName, std::uint32_t> PoolSizes;
  std::map<HostName, Probation> WorkersOut;
  std::map<JobName, Probation> JobsOut;
};

} // namespace balsamlatch::placement

#endif // BALSAMLATCH_PLACEMENT_WORKERHEALTH_H
