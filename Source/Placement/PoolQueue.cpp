/// \file
/// Order of the waiting requests of one pool: lanes, team quotas and aging.

#include "balsamlatch/Placement/PoolQueue.h"

#include <algorithm>

namespace balsamlatch::placement {

namespace {

/// One patient request starts after this many prompt starts in a row, so that
/// sustained prompt load never starves patient work.
constexpr std::uint32_t PromptStartsPerPatient = 15;

} // namespace

bool PoolQueue::TeamState::isActive() const {
  return SlotsInUse > 0 || !Requests[Spill].empty() ||
         !Requests[NoSpill].empty() || !Requests[Patient].empty();
}

PoolQueue::Lane PoolQueue::laneOf(const QueuedRequest &Waiter) {
  if (Waiter.Class == JobClass::Patient) {
    return Patient;
  }
  return Waiter.MaySpill ? Spill : NoSpill;
}

void PoolQueue::setQuota(const TeamName &Name,
                         std::optional<std::uint32_t> Slots) {
  TeamState &State = teamState(Name);
  State.Quota = Slots;
  updateRanks(Name, State);
  eraseIfIdle(Name);
}

PoolQueue::TeamState &PoolQueue::teamState(const TeamName &Name) {
  return Teams[Name];
}

void PoolQueue::eraseIfIdle(const TeamName &Name) {
  const auto It = Teams.find(Name);
  if (It != Teams.end() && !It->second.isActive() && !It->second.Quota) {
    Teams.erase(It);
  }
}

void PoolQueue::push(const QueuedRequest &Waiter) {
  const Lane LaneIndex = laneOf(Waiter);
  PromptCount += Waiter.Class == JobClass::Prompt ? 1 : 0;
  TeamState &State = teamState(Waiter.Team);
  ActiveTeamCount += State.isActive() ? 0 : 1;
  State.Requests[LaneIndex].emplace(Waiter.LatestStart, Waiter.Key);
  if (LaneIndex == Patient) {
    AgingQueue.emplace(Waiter.AgingTime, Waiter.Key);
  }
  SpillableCount += LaneIndex == Spill ? 1 : 0;
  Items.insert_or_assign(Waiter.Key, Item{Waiter, LaneIndex});
  updateRanks(Waiter.Team, State);
}

bool PoolQueue::remove(RequestKey Key) {
  const auto It = Items.find(Key);
  if (It == Items.end()) {
    return false;
  }
  const Item RemovedItem = It->second;
  Items.erase(It);
  TeamState &State = teamState(RemovedItem.Waiter.Team);
  State.Requests[RemovedItem.CurrentLane].erase(
      {RemovedItem.Waiter.LatestStart, Key});
  if (RemovedItem.CurrentLane == Patient) {
    AgingQueue.erase({RemovedItem.Waiter.AgingTime, Key});
  }
  SpillableCount -= RemovedItem.CurrentLane == Spill ? 1 : 0;
  PromptCount -= RemovedItem.Waiter.Class == JobClass::Prompt ? 1 : 0;
  updateRanks(RemovedItem.Waiter.Team, State);
  ActiveTeamCount -= State.isActive() ? 0 : 1;
  eraseIfIdle(RemovedItem.Waiter.Team);
  return true;
}

void PoolQueue::updateRanks(const TeamName &Name, TeamState &State) {
  for (int LaneIndex = 0; LaneIndex < LaneCount; ++LaneIndex) {
    if (State.LaneRank[LaneIndex]) {
      Ranks[LaneIndex].erase(*State.LaneRank[LaneIndex]);
      State.LaneRank[LaneIndex].reset();
    }
    if (!State.Requests[LaneIndex].empty()) {
      State.LaneRank[LaneIndex] =
          Rank{isOverQuota(State), *State.Requests[LaneIndex].begin(), Name};
      Ranks[LaneIndex].insert(*State.LaneRank[LaneIndex]);
    }
  }
}

bool PoolQueue::isOverQuota(const TeamState &State) const {
  const std::uint32_t EqualShare =
      std::max(1U, PoolSlots / std::max(1U, ActiveTeamCount));
  return State.SlotsInUse >= State.Quota.value_or(EqualShare);
}

void PoolQueue::ageRequests(Instant Now) {
  while (!AgingQueue.empty() && AgingQueue.begin()->first <= Now) {
    const RequestKey Key = AgingQueue.begin()->second;
    const QueuedRequest Waiter = Items.at(Key).Waiter;
    TeamState &State = teamState(Waiter.Team);
    State.Requests[Patient].erase({Waiter.LatestStart, Key});
    State.Requests[NoSpill].emplace(Waiter.LatestStart, Key);
    Items.at(Key).CurrentLane = NoSpill;
    AgingQueue.erase(AgingQueue.begin());
    updateRanks(Waiter.Team, State);
  }
}

const QueuedRequest *PoolQueue::head(Lane LaneIndex) const {
  if (Ranks[LaneIndex].empty()) {
    return nullptr;
  }
  return &Items.at(Ranks[LaneIndex].begin()->Head.second).Waiter;
}

const QueuedRequest *PoolQueue::nextUrgent(Instant Now) {
  ageRequests(Now);
  const bool HasSpill = !Ranks[Spill].empty();
  const bool HasNoSpill = !Ranks[NoSpill].empty();
  if (HasSpill && HasNoSpill) {
    return *Ranks[Spill].begin() < *Ranks[NoSpill].begin() ? head(Spill)
                                                           : head(NoSpill);
  }
  return head(HasSpill ? Spill : NoSpill);
}

const QueuedRequest *PoolQueue::nextPatient(Instant Now) {
  ageRequests(Now);
  return head(Patient);
}

const QueuedRequest *PoolQueue::next(Instant Now) {
  const QueuedRequest *Urgent = nextUrgent(Now);
  const bool IsPatientTurn = PromptStartsInRow >= PromptStartsPerPatient;
  if (Urgent == nullptr || (IsPatientTurn && !Ranks[Patient].empty())) {
    return head(Patient);
  }
  return Urgent;
}

bool PoolQueue::isUnaged(RequestKey Key) const {
  const auto It = Items.find(Key);
  return It != Items.end() && It->second.CurrentLane == Patient;
}

void PoolQueue::acquireSlot(const TeamName &Name, JobClass Class) {
  PromptStartsInRow = Class == JobClass::Prompt ? PromptStartsInRow + 1 : 0;
  TeamState &State = teamState(Name);
  ActiveTeamCount += State.isActive() ? 0 : 1;
  ++State.SlotsInUse;
  updateRanks(Name, State);
}

void PoolQueue::releaseSlot(const TeamName &Name) {
  TeamState &State = teamState(Name);
  --State.SlotsInUse;
  updateRanks(Name, State);
  ActiveTeamCount -= State.isActive() ? 0 : 1;
  eraseIfIdle(Name);
}

std::optional<Instant> PoolQueue::earliestLatestStart() const {
  std::optional<Instant> EarliestStart;
  for (const Lane LaneIndex : {Spill, NoSpill}) {
    for (const Rank &R : Ranks[LaneIndex]) {
      if (!EarliestStart || R.Head.first < *EarliestStart) {
        EarliestStart = R.Head.first;
      }
      break;
    }
  }
  return EarliestStart;
}

} // namespace balsamlatch::placement
