/// \file
/// Keeps each pool's list of usable workers up to date, so that a choice never
/// iterates over all workers.

#include "balsamlatch/Placement/WorkerTable.h"

#include <algorithm>

namespace balsamlatch::placement {

namespace {

constexpr Duration InitialBlock = std::chrono::milliseconds(4);
/// A worker that refuses is usually full, and soon has a free slot again.
constexpr Duration MaxBlock = std::chrono::milliseconds(64);
/// After this many consecutive refusals, a worker is more likely broken than
/// full.
constexpr std::uint32_t MaxRefusalsWhenFull = 16;
constexpr Duration MaxBlockWhenBroken = std::chrono::seconds(8);
constexpr std::uint32_t MaxDoublings = 20;
constexpr int MaxDraws = 3;

bool contains(const std::vector<HostName> &Hosts, const HostName &Host) {
  return std::find(Hosts.begin(), Hosts.end(), Host) != Hosts.end();
}

} // namespace

void WorkerTable::replace(const std::vector<WorkerView> &Views, Instant Now) {
  PoolsByName.clear();
  for (auto &[Host, Worker] : WorkersByHost) {
    Worker->IsListed = false;
    Worker->UsableIndex = WorkerState::NotUsable;
  }
  for (const WorkerView &View : Views) {
    std::unique_ptr<WorkerState> &Worker = WorkersByHost[View.Host];
    if (Worker == nullptr) {
      Worker = std::make_unique<WorkerState>();
    }
    Worker->View = View;
    Worker->IsListed = true;
    PoolMembers &Members = PoolsByName[View.Pool];
    Members.AllWorkers.push_back(Worker.get());
    Members.Slots += View.Accepting ? View.Slots : 0;
    if (Worker->BlockedUntil > Now) {
      Members.BlockedHosts.emplace(Worker->BlockedUntil, View.Host);
    }
    if (Worker->IsEjected) {
      Members.EjectedHosts.insert(View.Host);
    }
    updateUsable(*Worker, Now);
  }
  for (auto &[Host, Worker] : WorkersByHost) {
    Worker->IsEjected = Worker->IsEjected && Worker->IsListed;
  }
  std::erase_if(WorkersByHost, [](const auto &Item) {
    return !Item.second->IsListed && Item.second->SlotsInUse == 0;
  });
}

WorkerState *WorkerTable::find(const HostName &Host) {
  const auto It = WorkersByHost.find(Host);
  return It == WorkersByHost.end() ? nullptr : It->second.get();
}

const WorkerState *WorkerTable::find(const HostName &Host) const {
  const auto It = WorkersByHost.find(Host);
  return It == WorkersByHost.end() ? nullptr : It->second.get();
}

void WorkerTable::acquire(WorkerState &Worker, Instant Now) {
  ++Worker.SlotsInUse;
  updateUsable(Worker, Now);
}

void WorkerTable::release(WorkerState &Worker, Instant Now) {
  --Worker.SlotsInUse;
  if (!Worker.IsListed && Worker.SlotsInUse == 0) {
    const HostName Host = Worker.View.Host;
    WorkersByHost.erase(Host);
    return;
  }
  updateUsable(Worker, Now);
}

void WorkerTable::setEjected(WorkerState &Worker, bool Eject, Instant Now) {
  Worker.IsEjected = Eject;
  std::set<HostName> &Hosts = PoolsByName[Worker.View.Pool].EjectedHosts;
  if (Eject) {
    Hosts.insert(Worker.View.Host);
  } else {
    Hosts.erase(Worker.View.Host);
  }
  updateUsable(Worker, Now);
}

void WorkerTable::recordRefusal(WorkerState &Worker, Instant Now) {
  const std::uint32_t PriorRefusals = Worker.RefusalCount++;
  const bool IsBroken = PriorRefusals >= MaxRefusalsWhenFull;
  const std::uint32_t Doublings =
      std::min(IsBroken ? PriorRefusals - MaxRefusalsWhenFull : PriorRefusals,
               MaxDoublings);
  const Duration Block = std::min(IsBroken ? MaxBlockWhenBroken : MaxBlock,
                                  (IsBroken ? MaxBlock : InitialBlock) *
                                      (std::int64_t(1) << Doublings));
  Worker.BlockedUntil = Now + Block;
  const auto It = PoolsByName.find(Worker.View.Pool);
  if (Worker.IsListed && It != PoolsByName.end()) {
    It->second.BlockedHosts.emplace(Worker.BlockedUntil, Worker.View.Host);
  }
  updateUsable(Worker, Now);
}

WorkerState *
WorkerTable::chooseOfTwoRandom(const PoolName &Pool,
                               const std::vector<HostName> &TriedHosts,
                               RandomEngine &Rng, Instant Now) {
  const auto It = PoolsByName.find(Pool);
  if (It == PoolsByName.end()) {
    return nullptr;
  }
  unblockExpired(It->second, Now);
  WorkerState *First = drawWorker(It->second, TriedHosts, Rng);
  WorkerState *Second = drawWorker(It->second, TriedHosts, Rng);
  if (First == nullptr || Second == nullptr) {
    return First;
  }
  return Second->SlotsInUse < First->SlotsInUse ? Second : First;
}

WorkerState *
WorkerTable::chooseRoundRobin(const PoolName &Pool,
                              const std::vector<HostName> &TriedHosts,
                              Instant Now) {
  const auto It = PoolsByName.find(Pool);
  if (It == PoolsByName.end()) {
    return nullptr;
  }
  PoolMembers &Members = It->second;
  unblockExpired(Members, Now);
  const std::size_t Count = Members.UsableWorkers.size();
  WorkerState *Candidate = nullptr;
  for (std::size_t I = 0; I < std::min<std::size_t>(Count, MaxDraws); ++I) {
    Candidate = Members.UsableWorkers[Members.Cursor++ % Count];
    if (!contains(TriedHosts, Candidate->View.Host)) {
      break;
    }
  }
  return Candidate;
}

std::uint32_t WorkerTable::acceptingCount(const PoolName &Pool) const {
  const std::vector<WorkerState *> &Members = members(Pool);
  return static_cast<std::uint32_t>(
      std::count_if(Members.begin(), Members.end(),
                    [](const WorkerState *W) { return W->View.Accepting; }));
}

std::uint32_t WorkerTable::slots(const PoolName &Pool) const {
  const auto It = PoolsByName.find(Pool);
  return It == PoolsByName.end() ? 0 : It->second.Slots;
}

std::uint32_t WorkerTable::slotsInUse(const PoolName &Pool) const {
  std::uint32_t Total = 0;
  for (const WorkerState *Worker : members(Pool)) {
    Total += Worker->SlotsInUse;
  }
  return Total;
}

std::uint32_t WorkerTable::ejectedCount(const PoolName &Pool) const {
  const auto It = PoolsByName.find(Pool);
  return It == PoolsByName.end()
             ? 0
             : static_cast<std::uint32_t>(It->second.EjectedHosts.size());
}

std::vector<HostName> WorkerTable::avoidedHosts(const PoolName &Pool,
                                                Instant Now) const {
  std::vector<HostName> Hosts;
  const auto It = PoolsByName.find(Pool);
  if (It == PoolsByName.end()) {
    return Hosts;
  }
  const PoolMembers &Members = It->second;
  Hosts.assign(Members.EjectedHosts.begin(), Members.EjectedHosts.end());
  for (auto Item = Members.BlockedHosts.upper_bound(Now);
       Item != Members.BlockedHosts.end(); ++Item) {
    Hosts.push_back(Item->second);
  }
  return Hosts;
}

const std::vector<WorkerState *> &
WorkerTable::members(const PoolName &Pool) const {
  static const std::vector<WorkerState *> NoWorkers;
  const auto It = PoolsByName.find(Pool);
  return It == PoolsByName.end() ? NoWorkers : It->second.AllWorkers;
}

void WorkerTable::updateUsable(WorkerState &Worker, Instant Now) {
  const auto It = PoolsByName.find(Worker.View.Pool);
  if (It == PoolsByName.end()) {
    return;
  }
  std::vector<WorkerState *> &UsableWorkers = It->second.UsableWorkers;
  const bool IsUsable = Worker.isUsable(Now);
  const bool IsInList = Worker.UsableIndex != WorkerState::NotUsable;
  if (IsUsable && !IsInList) {
    Worker.UsableIndex = UsableWorkers.size();
    UsableWorkers.push_back(&Worker);
  } else if (!IsUsable && IsInList) {
    UsableWorkers[Worker.UsableIndex] = UsableWorkers.back();
    UsableWorkers[Worker.UsableIndex]->UsableIndex = Worker.UsableIndex;
    UsableWorkers.pop_back();
    Worker.UsableIndex = WorkerState::NotUsable;
  }
}

void WorkerTable::unblockExpired(PoolMembers &Members, Instant Now) {
  while (!Members.BlockedHosts.empty() &&
         Members.BlockedHosts.begin()->first <= Now) {
    const HostName Host = Members.BlockedHosts.begin()->second;
    Members.BlockedHosts.erase(Members.BlockedHosts.begin());
    if (WorkerState *Worker = find(Host); Worker != nullptr) {
      updateUsable(*Worker, Now);
    }
  }
}

WorkerState *WorkerTable::drawWorker(PoolMembers &Members,
                                     const std::vector<HostName> &TriedHosts,
                                     RandomEngine &Rng) {
  const std::size_t Count = Members.UsableWorkers.size();
  WorkerState *Candidate = nullptr;
  for (int I = 0; Count > 0 && I < MaxDraws; ++I) {
    Candidate = Members.UsableWorkers[Rng() % Count];
    if (!contains(TriedHosts, Candidate->View.Host)) {
      break;
    }
  }
  return Candidate;
}

} // namespace balsamlatch::placement
