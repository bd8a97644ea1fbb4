/// \file
/// Outlier ejection of workers and jobs. Failures count against a worker only
/// for jobs that succeed on other workers, and against a job only on workers
/// that aren't ejected, so that neither is ejected for the other's fault.

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

/// A change of state that the end of one attempt caused.
struct HealthChange {
  enum class Kind {
    WorkerEjected,
    WorkerReadmitted,
    JobEjected,
    JobReadmitted
  };
  Kind ChangeKind = Kind::WorkerEjected;
  HostName Host;
  JobName Job;

  auto operator<=>(const HealthChange &) const = default;
};

/// Not thread safe.
///
/// At most a third of a pool's workers are ejected at once. An ejected worker
/// or job gets one request at a time as a probe; the interval between probes
/// doubles with each failed probe.
class WorkerHealth {
public:
  void setPoolSize(const PoolName &Pool, std::uint32_t WorkerCount);
  /// Removes a host that was replaced or left.
  void removeWorker(const HostName &Host);

  std::optional<HealthChange> recordSuccess(const HostName &Host,
                                            const JobName &Job, Instant Now);
  /// With \p MayHaveRun, the task may have run, so that the job may be at
  /// fault.
  std::optional<HealthChange> recordFailure(const HostName &Host,
                                            const PoolName &Pool,
                                            const JobName &Job, bool MayHaveRun,
                                            Instant Now);
  /// The attempt ended without evidence for or against the worker or the job;
  /// another probe may be sent.
  void clearProbe(const HostName &Host, const JobName &Job);

  bool isEjected(const HostName &Host) const;
  bool isEjected(const JobName &Job) const { return EjectedJobs.contains(Job); }

  /// An ejected worker of the pool whose probe is due, if any.
  std::optional<HostName> findDueProbe(const PoolName &Pool, Instant Now) const;
  /// A probe was sent to the ejected worker.
  void startProbe(const HostName &Host);

  /// Whether a request of the ejected job may be admitted as a probe. If so,
  /// the probe counts as sent.
  bool admitJobProbe(const JobName &Job, Instant Now);

private:
  struct Ejection {
    PoolName Pool;
    Instant NextProbe{};
    Duration ProbeInterval{};
    bool ProbeInFlight = false;
  };
  struct WorkerRecord {
    // Failures by job since the last success of any job on this worker.
    std::map<JobName, std::uint32_t> Failures;
    // Failures to send a task, which no job can have caused.
    std::uint32_t UnsentFailures = 0;
  };
  struct JobRecord {
    // The workers that the job last succeeded on, the newest first; at most
    // two.
    std::vector<std::pair<HostName, Instant>> Successes;
    // Failures by worker since the last success of the job on any worker.
    std::map<HostName, std::uint32_t> Failures;
  };

  std::uint32_t countEvidence(const HostName &Host, const WorkerRecord &Worker,
                              Instant Now) const;
  bool succeedsElsewhere(const JobName &Job, const HostName &Host,
                         Instant Now) const;
  std::optional<HealthChange>
  ejectFailingWorker(const HostName &Host, const PoolName &Pool, Instant Now);
  std::optional<HealthChange>
  ejectFailingJob(const JobName &Job, const PoolName &Pool, Instant Now);
  static void extendEjection(Ejection &Record, Instant Now);
  std::uint32_t maxEjected(const PoolName &Pool) const;

  std::unordered_map<HostName, WorkerRecord> Workers;
  std::unordered_map<JobName, JobRecord> Jobs;
  std::unordered_map<PoolName, std::uint32_t> PoolSizes;
  std::map<HostName, Ejection> EjectedWorkers;
  std::map<JobName, Ejection> EjectedJobs;
};

} // namespace balsamlatch::placement

#endif // BALSAMLATCH_PLACEMENT_WORKERHEALTH_H
