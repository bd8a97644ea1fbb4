/// \file
/// The host keeper's moves between pools.

#include "balsamlatch/Dispatch/HostKeeper.h"

#include "HostViews.h"

#include <algorithm>

namespace balsamlatch::dispatch {

namespace {

/// Until a host that is moved now can run work, as many jobs come again, so
/// often, as came in the last moments. Answers demand that rises at once.
constexpr Duration ArrivalWindow = std::chrono::milliseconds(500);
constexpr std::int64_t FollowersExpected = 3;

/// Occurrences that are due by then need their hosts now: what a move takes.
constexpr Duration DueSoon = std::chrono::milliseconds(1700);

/// Adds the tasks of a step that run or could run now.
void addDemand(const jobs::Job &Owner, unsigned Occurrence, unsigned Step,
               std::int64_t Weight, PoolDemand &Into) {
  const jobs::StepSpec &Spec = Owner.spec().Steps[Step];
  if (Spec.Lasting) {
    const unsigned Apart =
        Spec.MaxPerWorker > 0 ? Spec.MaxPerWorker : Spec.Count;
    Into.LastingHosts =
        std::max(Into.LastingHosts, (Spec.Count + Apart - 1) / Apart);
    return;
  }
  if (!Owner.ready(Occurrence, Step)) {
    return;
  }
  const auto Found = Owner.Record.Occurrences.find(Occurrence);
  std::int64_t Open = Spec.Count;
  if (Found != Owner.Record.Occurrences.end()) {
    const jobs::StepRecord &Tasks = Found->second[Step];
    Open = std::count_if(Tasks.begin(), Tasks.end(),
                         [](const jobs::TaskRecord &Task) {
                           return Task.Phase != jobs::TaskPhase::Done;
                         });
  }
  Into.Ending.CpuMilli += Spec.Need.CpuMilli * Open * Weight;
  Into.Ending.MemoryMb += Spec.Need.MemoryMb * Open * Weight;
  Into.Ending.Gpus += Spec.Need.Gpus * Open * Weight;
}

std::map<PoolName, PoolDemand>
demandOf(const jobs::JobBook &Jobs, const Deployment &Config, WallTime Now) {
  std::map<PoolName, PoolDemand> Demand;
  for (const auto &[Id, Owner] : Jobs.jobs()) {
    if (!Owner.open()) {
      continue;
    }
    const Queue *From = Config.find(Owner.Record.Accepted.Queue);
    PoolDemand &Into =
        Demand[From == nullptr ? Owner.Record.Accepted.Pool : From->Pool];
    const bool New = Now - Owner.Record.Accepted.At < ArrivalWindow;
    const std::int64_t Weight = New ? 1 + FollowersExpected : 1;
    for (unsigned Occurrence = 0; Occurrence < Owner.spec().occurrences() &&
                                  Owner.dueAt(Occurrence) <= Now + DueSoon;
         ++Occurrence) {
      for (unsigned Step = 0; Step < Owner.spec().Steps.size(); ++Step) {
        addDemand(Owner, Occurrence, Step, Weight, Into);
      }
    }
  }
  return Demand;
}

} // namespace

std::vector<PoolHost> HostKeeper::poolHosts(const Dispatcher &Workers) const {
  std::vector<PoolHost> All;
  for (const auto &[Name, Host] : Hosts) {
    const bool ForWave = std::any_of(
        Waves.begin(), Waves.end(), [&, Key = Name](const auto &Each) {
          return Each.second.Draining.contains(Key);
        });
    if (Host.Status == HostStatus::Down ||
        Host.Status == HostStatus::Maintenance || ForWave) {
      continue; // gives its pool nothing now
    }
    PoolHost View;
    View.Name = Name;
    View.Pool = Host.Pool;
    View.Capacity = Host.Capacity;
    const auto Way = Moving.find(Name);
    if (Way != Moving.end()) {
      View.Pool = Way->second.To;
    }
    const WorkerState *Worker = workerOf(Host, Workers);
    View.Movable = Host.Status == HostStatus::Up && Way == Moving.end() &&
                   !Ordered.contains(Name) && !Unsettled.contains(Name) &&
                   !settling(Name) &&
                   (Worker == nullptr || !Worker->Record.Draining);
    View.Vacant = Worker == nullptr || Worker->Runs.empty();
    View.Lasting =
        Worker != nullptr &&
        std::any_of(Worker->Runs.begin(), Worker->Runs.end(),
                    [](const auto &Run) { return Run.second.Lasting; });
    View.Draining = DrainingForMove.contains(Name);
    View.UsedCpuMilli = usedOf(Host, Workers);
    All.push_back(std::move(View));
  }
  return All;
}

void HostKeeper::decideMoves(Dispatcher &Workers, const jobs::JobBook &Jobs,
                             const Deployment &Config,
                             std::vector<HostDecision> &Into) {
  const Instant Now = Time.now();
  std::erase_if(Moving, [&](const auto &Each) {
    return Now - Each.second.Since > Settings.MoveTime + ReturnMargin;
  });
  std::map<PoolName, PoolDemand> Demand =
      demandOf(Jobs, Config, Time.wallNow());
  for (const auto &[Pool, Lacking] : Workers.hostsLacking()) {
    Demand[Pool].HostsLacking = Lacking;
  }
  const PoolPlan Plan =
      Pools.plan(Now, Config.Pools, Demand, poolHosts(Workers));
  for (const PoolPlan::Step &Step : Plan.Moves) {
    const HostRecord *Host = find(Step.Host);
    Moving[Step.Host] = {Step.To, Now};
    DrainingForMove.erase(Step.Host);
    give({Step.Host, Host->WorkerId, 0, Step.To}, Workers, Into);
  }
  const std::set<HostName> Wanted(Plan.Drains.begin(), Plan.Drains.end());
  for (const HostName &Name : Wanted) {
    if (DrainingForMove.insert(Name).second) {
      Workers.setCordoned(find(Name)->WorkerId, true);
    }
  }
  std::erase_if(DrainingForMove, [&](const HostName &Name) {
    const HostRecord *Host = find(Name);
    if (Wanted.contains(Name)) {
      return false;
    }
    if (Host != nullptr) {
      Workers.setCordoned(Host->WorkerId, false);
    }
    return true;
  });
}

} // namespace balsamlatch::dispatch
