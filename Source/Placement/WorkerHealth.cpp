/// \file
/// Evidence against workers and jobs, ejection and probes.

#include "balsamlatch/Placement/WorkerHealth.h"

#include <algorithm>

namespace balsamlatch::placement {

namespace {

constexpr std::uint32_t FailuresToEjectWorker = 4;
constexpr std::uint32_t FailuresToEjectJob = 6;
constexpr std::uint32_t WorkersToEjectJob = 3;
constexpr std::uint32_t MostEjectedDivisor = 3;
constexpr std::size_t RememberedSuccesses = 2;
constexpr Duration EvidenceFor = std::chrono::seconds(30);
constexpr Duration FirstProbe = std::chrono::seconds(2);
constexpr Duration LastProbe = std::chrono::seconds(60);

} // namespace

void WorkerHealth::setPoolSize(const PoolName &Pool, std::uint32_t Size) {
  PoolSizes[Pool] = Size;
}

void WorkerHealth::forget(const HostName &Host) {
  Workers.erase(Host);
  WorkersOut.erase(Host);
}

std::uint32_t WorkerHealth::mostEjected(const PoolName &Pool) const {
  const auto Size = PoolSizes.find(Pool);
  const std::uint32_t Members = Size == PoolSizes.end() ? 0 : Size->second;
  return Members < 2 ? 0 : std::max(1U, Members / MostEjectedDivisor);
}

std::optional<HealthChange>
WorkerHealth::succeeded(const HostName &Host, const JobName &Job, Instant Now) {
  Workers.erase(Host);
  JobRecord &Record = Jobs[Job];
  Record.Failures.clear();
  std::erase_if(Record.Successes,
                [&](const auto &Seen) { return Seen.first == Host; });
  Record.Successes.insert(Record.Successes.begin(), {Host, Now});
  if (Record.Successes.size() > RememberedSuccesses) {
    Record.Successes.pop_back();
  }
  if (JobsOut.erase(Job) > 0) {
    return HealthChange{HealthChange::Kind::JobReadmitted, Host, Job};
  }
  if (WorkersOut.erase(Host) > 0) {
    return HealthChange{HealthChange::Kind::WorkerReadmitted, Host, Job};
  }
  return std::nullopt;
}

std::optional<HealthChange> WorkerHealth::failed(const HostName &Host,
                                                 const PoolName &Pool,
                                                 const JobName &Job, bool Ran,
                                                 Instant Now) {
  WorkerRecord &Worker = Workers[Host];
  if (Ran) {
    ++Worker.Failures[Job];
    ++Jobs[Job].Failures[Host];
  } else {
    ++Worker.Unsent;
  }
  if (const auto Out = WorkersOut.find(Host); Out != WorkersOut.end()) {
    if (Out->second.Probing) {
      extend(Out->second, Now);
    }
  }
  if (const auto Out = JobsOut.find(Job); Out != JobsOut.end()) {
    if (Out->second.Probing) {
      extend(Out->second, Now);
    }
  }
  if (auto Change = judgeWorker(Host, Pool, Now)) {
    return Change;
  }
  return Ran ? judgeJob(Job, Pool, Now) : std::nullopt;
}

void WorkerHealth::undecided(const HostName &Host, const JobName &Job) {
  if (const auto Out = WorkersOut.find(Host); Out != WorkersOut.end()) {
    Out->second.Probing = false;
  }
  if (const auto Out = JobsOut.find(Job); Out != JobsOut.end()) {
    Out->second.Probing = false;
  }
}

void WorkerHealth::extend(Probation &Out, Instant Now) {
  Out.Wait = std::min(LastProbe, Out.Wait * 2);
  Out.ProbeAt = Now + Out.Wait;
  Out.Probing = false;
}

bool WorkerHealth::succeedsElsewhere(const JobName &Job, const HostName &Host,
                                     Instant Now) const {
  const auto Found = Jobs.find(Job);
  return Found != Jobs.end() &&
         std::any_of(Found->second.Successes.begin(),
                     Found->second.Successes.end(), [&](const auto &Seen) {
                       return Seen.first != Host &&
                              Now - Seen.second < EvidenceFor;
                     });
}

std::uint32_t WorkerHealth::evidence(const HostName &Host,
                                     const WorkerRecord &Worker,
                                     Instant Now) const {
  std::uint32_t Count = Worker.Unsent;
  for (const auto &[Job, Failures] : Worker.Failures) {
    Count += succeedsElsewhere(Job, Host, Now) ? Failures : 0;
  }
  return Count;
}

std::optional<HealthChange> WorkerHealth::judgeWorker(const HostName &Host,
                                                      const PoolName &Pool,
                                                      Instant Now) {
  const auto OutOfPool =
      std::count_if(WorkersOut.begin(), WorkersOut.end(),
                    [&](const auto &Item) { return Item.second.Pool == Pool; });
  if (WorkersOut.contains(Host) || OutOfPool >= mostEjected(Pool) ||
      evidence(Host, Workers[Host], Now) < FailuresToEjectWorker) {
    return std::nullopt;
  }
  WorkersOut[Host] = {Pool, Now + FirstProbe, FirstProbe, false};
  return HealthChange{HealthChange::Kind::WorkerEjected, Host, {}};
}

std::optional<HealthChange>
WorkerHealth::judgeJob(const JobName &Job, const PoolName &Pool, Instant Now) {
  std::uint32_t Count = 0;
  std::uint32_t Hosts = 0;
  for (const auto &[Host, Failures] : Jobs[Job].Failures) {
    if (!WorkersOut.contains(Host)) {
      Count += Failures;
      ++Hosts;
    }
  }
  const auto Size = PoolSizes.find(Pool);
  const std::uint32_t Members = Size == PoolSizes.end() ? 0 : Size->second;
  if (JobsOut.contains(Job) || Count < FailuresToEjectJob ||
      Hosts < std::min(WorkersToEjectJob, Members)) {
    return std::nullopt;
  }
  JobsOut[Job] = {Pool, Now + FirstProbe, FirstProbe, false};
  return HealthChange{HealthChange::Kind::JobEjected, {}, Job};
}

bool WorkerHealth::ejected(const HostName &Host) const {
  return WorkersOut.contains(Host);
}

std::optional<HostName> WorkerHealth::dueProbe(const PoolName &Pool,
                                               Instant Now) const {
  for (const auto &[Host, Out] : WorkersOut) {
    if (Out.Pool == Pool && !Out.Probing && Out.ProbeAt <= Now) {
      return Host;
    }
  }
  return std::nullopt;
}

void WorkerHealth::probing(const HostName &Host) {
  if (const auto Out = WorkersOut.find(Host); Out != WorkersOut.end()) {
    Out->second.Probing = true;
  }
}

bool WorkerHealth::admitProbe(const JobName &Job, Instant Now) {
  const auto Out = JobsOut.find(Job);
  if (Out == JobsOut.end()) {
    return true;
  }
  if (Out->second.Probing || Out->second.ProbeAt > Now) {
    return false;
  }
  Out->second.Probing = true;
  return true;
}

} // namespace balsamlatch::placement
