/// \file
/// Keeps each pool's list of usable workers up to date, so that a choice
/// never walks over all workers.

#include "balsamlatch/Placement/WorkerTable.h"

#include <algorithm>

namespace balsamlatch::placement {

namespace {

constexpr Duration FirstBlock = std::chrono::milliseconds(4);
/// A worker that refuses is mostly full, and soon free again.
constexpr Duration LongestBlock = std::chrono::milliseconds(64);
/// After this many refusals in a row it is more likely broken.
constexpr std::uint32_t RefusalsOfFullWorker = 16;
constexpr Duration LongestBlockOfBroken = std::chrono::seconds(8);
constexpr std::uint32_t MostDoublings = 20;
constexpr int Draws = 3;

bool contains(const std::vector<HostName> &Hosts, const HostName &Host) {
  return std::find(Hosts.begin(), Hosts.end(), Host) != Hosts.end();
}

} // namespace

void WorkerTable::replace(const std::vector<WorkerView> &Views, Instant Now) {
  ByPool.clear();
  for (auto &[Host, Worker] : ByHost) {
    Worker->Listed = false;
    Worker->Place = WorkerState::NotUsable;
  }
  for (const WorkerView &View : Views) {
    std::unique_ptr<WorkerState> &Worker = ByHost[View.Host];
    if (Worker == nullptr) {
      Worker = std::make_unique<WorkerState>();
    }
    Worker->View = View;
    Worker->Listed = true;
    PoolMembers &Members = ByPool[View.Pool];
    Members.All.push_back(Worker.get());
    Members.Slots += View.Accepting ? View.Slots : 0;
    if (Worker->BlockedUntil > Now) {
      Members.Blocked.emplace(Worker->BlockedUntil, View.Host);
    }
    if (Worker->Ejected) {
      Members.Ejected.insert(View.Host);
    }
    refresh(*Worker, Now);
  }
  for (auto &[Host, Worker] : ByHost) {
    Worker->Ejected = Worker->Ejected && Worker->Listed;
  }
  std::erase_if(ByHost, [](const auto &Item) {
    return !Item.second->Listed && Item.second->InUse == 0;
  });
}

WorkerState *WorkerTable::find(const HostName &Host) {
  const auto Found = ByHost.find(Host);
  return Found == ByHost.end() ? nullptr : Found->second.get();
}

const WorkerState *WorkerTable::find(const HostName &Host) const {
  const auto Found = ByHost.find(Host);
  return Found == ByHost.end() ? nullptr : Found->second.get();
}

void WorkerTable::acquire(WorkerState &Worker, Instant Now) {
  ++Worker.InUse;
  refresh(Worker, Now);
}

void WorkerTable::release(WorkerState &Worker, Instant Now) {
  --Worker.InUse;
  if (!Worker.Listed && Worker.InUse == 0) {
    const HostName Host = Worker.View.Host;
    ByHost.erase(Host);
    return;
  }
  refresh(Worker, Now);
}

void WorkerTable::setEjected(WorkerState &Worker, bool Ejected, Instant Now) {
  Worker.Ejected = Ejected;
  std::set<HostName> &Out = ByPool[Worker.View.Pool].Ejected;
  if (Ejected) {
    Out.insert(Worker.View.Host);
  } else {
    Out.erase(Worker.View.Host);
  }
  refresh(Worker, Now);
}

void WorkerTable::refused(WorkerState &Worker, Instant Now) {
  const std::uint32_t Refusals = Worker.Refusals++;
  const bool Broken = Refusals >= RefusalsOfFullWorker;
  const std::uint32_t Doublings = std::min(
      Broken ? Refusals - RefusalsOfFullWorker : Refusals, MostDoublings);
  const Duration Block = std::min(Broken ? LongestBlockOfBroken : LongestBlock,
                                  (Broken ? LongestBlock : FirstBlock) *
                                      (std::int64_t(1) << Doublings));
  Worker.BlockedUntil = Now + Block;
  const auto Members = ByPool.find(Worker.View.Pool);
  if (Worker.Listed && Members != ByPool.end()) {
    Members->second.Blocked.emplace(Worker.BlockedUntil, Worker.View.Host);
  }
  refresh(Worker, Now);
}

WorkerState *WorkerTable::twoRandomChoices(const PoolName &Pool,
                                           const std::vector<HostName> &Tried,
                                           Random &Rng, Instant Now) {
  const auto Found = ByPool.find(Pool);
  if (Found == ByPool.end()) {
    return nullptr;
  }
  unblock(Found->second, Now);
  WorkerState *First = draw(Found->second, Tried, Rng);
  WorkerState *Second = draw(Found->second, Tried, Rng);
  if (First == nullptr || Second == nullptr) {
    return First;
  }
  return Second->InUse < First->InUse ? Second : First;
}

WorkerState *WorkerTable::roundRobin(const PoolName &Pool,
                                     const std::vector<HostName> &Tried,
                                     Instant Now) {
  const auto Found = ByPool.find(Pool);
  if (Found == ByPool.end()) {
    return nullptr;
  }
  PoolMembers &Members = Found->second;
  unblock(Members, Now);
  const std::size_t Count = Members.Usable.size();
  WorkerState *Chosen = nullptr;
  for (std::size_t I = 0; I < std::min<std::size_t>(Count, Draws); ++I) {
    Chosen = Members.Usable[Members.Cursor++ % Count];
    if (!contains(Tried, Chosen->View.Host)) {
      break;
    }
  }
  return Chosen;
}

std::uint32_t WorkerTable::accepting(const PoolName &Pool) const {
  const std::vector<WorkerState *> &All = members(Pool);
  return static_cast<std::uint32_t>(
      std::count_if(All.begin(), All.end(),
                    [](const WorkerState *W) { return W->View.Accepting; }));
}

std::uint32_t WorkerTable::slots(const PoolName &Pool) const {
  const auto Found = ByPool.find(Pool);
  return Found == ByPool.end() ? 0 : Found->second.Slots;
}

std::uint32_t WorkerTable::slotsInUse(const PoolName &Pool) const {
  std::uint32_t Total = 0;
  for (const WorkerState *Worker : members(Pool)) {
    Total += Worker->InUse;
  }
  return Total;
}

std::uint32_t WorkerTable::ejected(const PoolName &Pool) const {
  const auto Found = ByPool.find(Pool);
  return Found == ByPool.end()
             ? 0
             : static_cast<std::uint32_t>(Found->second.Ejected.size());
}

std::vector<HostName> WorkerTable::avoided(const PoolName &Pool,
                                           Instant Now) const {
  std::vector<HostName> Out;
  const auto Found = ByPool.find(Pool);
  if (Found == ByPool.end()) {
    return Out;
  }
  const PoolMembers &Members = Found->second;
  Out.assign(Members.Ejected.begin(), Members.Ejected.end());
  for (auto Item = Members.Blocked.upper_bound(Now);
       Item != Members.Blocked.end(); ++Item) {
    Out.push_back(Item->second);
  }
  return Out;
}

const std::vector<WorkerState *> &
WorkerTable::members(const PoolName &Pool) const {
  static const std::vector<WorkerState *> None;
  const auto Found = ByPool.find(Pool);
  return Found == ByPool.end() ? None : Found->second.All;
}

void WorkerTable::refresh(WorkerState &Worker, Instant Now) {
  const auto Found = ByPool.find(Worker.View.Pool);
  if (Found == ByPool.end()) {
    return;
  }
  std::vector<WorkerState *> &Usable = Found->second.Usable;
  const bool Wanted = Worker.usable(Now);
  const bool Present = Worker.Place != WorkerState::NotUsable;
  if (Wanted && !Present) {
    Worker.Place = Usable.size();
    Usable.push_back(&Worker);
  } else if (!Wanted && Present) {
    Usable[Worker.Place] = Usable.back();
    Usable[Worker.Place]->Place = Worker.Place;
    Usable.pop_back();
    Worker.Place = WorkerState::NotUsable;
  }
}

void WorkerTable::unblock(PoolMembers &Members, Instant Now) {
  while (!Members.Blocked.empty() && Members.Blocked.begin()->first <= Now) {
    const HostName Host = Members.Blocked.begin()->second;
    Members.Blocked.erase(Members.Blocked.begin());
    if (WorkerState *Worker = find(Host); Worker != nullptr) {
      refresh(*Worker, Now);
    }
  }
}

WorkerState *WorkerTable::draw(PoolMembers &Members,
                               const std::vector<HostName> &Tried,
                               Random &Rng) {
  const std::size_t Count = Members.Usable.size();
  WorkerState *Chosen = nullptr;
  for (int I = 0; Count > 0 && I < Draws; ++I) {
    Chosen = Members.Usable[Rng() % Count];
    if (!contains(Tried, Chosen->View.Host)) {
      break;
    }
  }
  return Chosen;
}

} // namespace balsamlatch::placement
