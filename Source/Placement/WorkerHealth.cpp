/// \file
/// Failure evidence against workers and jobs, ejection and probes.

#include "balsamlatch/Placement/WorkerHealth.h"

#include <algorithm>

namespace balsamlatch::placement {

namespace {

constexpr std::uint32_t FailuresToEjectWorker = 4;
constexpr std::uint32_t FailuresToEjectJob = 6;
constexpr std::uint32_t WorkersToEjectJob = 3;
constexpr std::uint32_t MaxEjectedDivisor = 3;
constexpr std::size_t MaxSuccesses = 2;
constexpr Duration EvidenceLifetime = std::chrono::seconds(30);
constexpr Duration InitialProbeInterval = std::chrono::seconds(2);
constexpr Duration MaxProbeInterval = std::chrono::seconds(60);

} // namespace

void WorkerHealth::setPoolSize(const PoolName &Pool,
                               std::uint32_t WorkerCount) {
  PoolSizes[Pool] = WorkerCount;
}

void WorkerHealth::removeWorker(const HostName &Host) {
  Workers.erase(Host);
  EjectedWorkers.erase(Host);
}

std::uint32_t WorkerHealth::maxEjected(const PoolName &Pool) const {
  const auto SizeIt = PoolSizes.find(Pool);
  const std::uint32_t WorkerCount =
      SizeIt == PoolSizes.end() ? 0 : SizeIt->second;
  return WorkerCount < 2 ? 0 : std::max(1U, WorkerCount / MaxEjectedDivisor);
}

std::optional<HealthChange> WorkerHealth::recordSuccess(const HostName &Host,
                                                        const JobName &Job,
                                                        Instant Now) {
  Workers.erase(Host);
  JobRecord &Record = Jobs[Job];
  Record.Failures.clear();
  std::erase_if(Record.Successes,
                [&](const auto &Success) { return Success.first == Host; });
  Record.Successes.insert(Record.Successes.begin(), {Host, Now});
  if (Record.Successes.size() > MaxSuccesses) {
    Record.Successes.pop_back();
  }
  if (EjectedJobs.erase(Job) > 0) {
    return HealthChange{HealthChange::Kind::JobReadmitted, Host, Job};
  }
  if (EjectedWorkers.erase(Host) > 0) {
    return HealthChange{HealthChange::Kind::WorkerReadmitted, Host, Job};
  }
  return std::nullopt;
}

std::optional<HealthChange>
WorkerHealth::recordFailure(const HostName &Host, const PoolName &Pool,
                            const JobName &Job, bool MayHaveRun, Instant Now) {
  WorkerRecord &Worker = Workers[Host];
  if (MayHaveRun) {
    ++Worker.Failures[Job];
    ++Jobs[Job].Failures[Host];
  } else {
    ++Worker.UnsentFailures;
  }
  if (const auto It = EjectedWorkers.find(Host); It != EjectedWorkers.end()) {
    if (It->second.ProbeInFlight) {
      extendEjection(It->second, Now);
    }
  }
  if (const auto It = EjectedJobs.find(Job); It != EjectedJobs.end()) {
    if (It->second.ProbeInFlight) {
      extendEjection(It->second, Now);
    }
  }
  if (auto Change = ejectFailingWorker(Host, Pool, Now)) {
    return Change;
  }
  return MayHaveRun ? ejectFailingJob(Job, Pool, Now) : std::nullopt;
}

void WorkerHealth::clearProbe(const HostName &Host, const JobName &Job) {
  if (const auto It = EjectedWorkers.find(Host); It != EjectedWorkers.end()) {
    It->second.ProbeInFlight = false;
  }
  if (const auto It = EjectedJobs.find(Job); It != EjectedJobs.end()) {
    It->second.ProbeInFlight = false;
  }
}

void WorkerHealth::extendEjection(Ejection &Record, Instant Now) {
  Record.ProbeInterval = std::min(MaxProbeInterval, Record.ProbeInterval * 2);
  Record.NextProbe = Now + Record.ProbeInterval;
  Record.ProbeInFlight = false;
}

bool WorkerHealth::succeedsElsewhere(const JobName &Job, const HostName &Host,
                                     Instant Now) const {
  const auto It = Jobs.find(Job);
  return It != Jobs.end() &&
         std::any_of(It->second.Successes.begin(), It->second.Successes.end(),
                     [&](const auto &Success) {
                       return Success.first != Host &&
                              Now - Success.second < EvidenceLifetime;
                     });
}

std::uint32_t WorkerHealth::countEvidence(const HostName &Host,
                                          const WorkerRecord &Worker,
                                          Instant Now) const {
  std::uint32_t Count = Worker.UnsentFailures;
  for (const auto &[Job, Failures] : Worker.Failures) {
    Count += succeedsElsewhere(Job, Host, Now) ? Failures : 0;
  }
  return Count;
}

std::optional<HealthChange>
WorkerHealth::ejectFailingWorker(const HostName &Host, const PoolName &Pool,
                                 Instant Now) {
  const auto EjectedInPool =
      std::count_if(EjectedWorkers.begin(), EjectedWorkers.end(),
                    [&](const auto &Item) { return Item.second.Pool == Pool; });
  if (EjectedWorkers.contains(Host) || EjectedInPool >= maxEjected(Pool) ||
      countEvidence(Host, Workers[Host], Now) < FailuresToEjectWorker) {
    return std::nullopt;
  }
  EjectedWorkers[Host] = {Pool, Now + InitialProbeInterval,
                          InitialProbeInterval, false};
  return HealthChange{HealthChange::Kind::WorkerEjected, Host, {}};
}

std::optional<HealthChange> WorkerHealth::ejectFailingJob(const JobName &Job,
                                                          const PoolName &Pool,
                                                          Instant Now) {
  std::uint32_t Count = 0;
  std::uint32_t Hosts = 0;
  for (const auto &[Host, Failures] : Jobs[Job].Failures) {
    if (!EjectedWorkers.contains(Host)) {
      Count += Failures;
      ++Hosts;
    }
  }
  const auto SizeIt = PoolSizes.find(Pool);
  const std::uint32_t WorkerCount =
      SizeIt == PoolSizes.end() ? 0 : SizeIt->second;
  if (EjectedJobs.contains(Job) || Count < FailuresToEjectJob ||
      Hosts < std::min(WorkersToEjectJob, WorkerCount)) {
    return std::nullopt;
  }
  EjectedJobs[Job] = {Pool, Now + InitialProbeInterval, InitialProbeInterval,
                      false};
  return HealthChange{HealthChange::Kind::JobEjected, {}, Job};
}

bool WorkerHealth::isEjected(const HostName &Host) const {
  return EjectedWorkers.contains(Host);
}

std::optional<HostName> WorkerHealth::findDueProbe(const PoolName &Pool,
                                                   Instant Now) const {
  for (const auto &[Host, State] : EjectedWorkers) {
    if (State.Pool == Pool && !State.ProbeInFlight && State.NextProbe <= Now) {
      return Host;
    }
  }
  return std::nullopt;
}

void WorkerHealth::startProbe(const HostName &Host) {
  if (const auto It = EjectedWorkers.find(Host); It != EjectedWorkers.end()) {
    It->second.ProbeInFlight = true;
  }
}

bool WorkerHealth::admitJobProbe(const JobName &Job, Instant Now) {
  const auto It = EjectedJobs.find(Job);
  if (It == EjectedJobs.end()) {
    return true;
  }
  if (It->second.ProbeInFlight || It->second.NextProbe > Now) {
    return false;
  }
  It->second.ProbeInFlight = true;
  return true;
}

} // namespace balsamlatch::placement
