/// \file
/// Order of the waiting requests of one pool.

#include "balsamlatch/Placement/PoolQueue.h"

#include <algorithm>

namespace balsamlatch::placement {

namespace {

/// After this many prompt starts in a row, one patient request starts, so
/// that patient work moves on under a lasting prompt load.
constexpr std::uint32_t PromptStartsPerPatient = 15;

} // namespace

bool PoolQueue::Team::active() const {
  return InUse > 0 || !Waits[Spill].empty() || !Waits[Fixed].empty() ||
         !Waits[Patient].empty();
}

PoolQueue::Lane PoolQueue::laneOf(const Waiting &What) {
  if (What.Class == JobClass::Patient) {
    return Patient;
  }
  return What.MaySpill ? Spill : Fixed;
}

void PoolQueue::setQuota(const TeamName &Name,
                         std::optional<std::uint32_t> Slots) {
  Team &T = teamFor(Name);
  T.Quota = Slots;
  rank(Name, T);
  forgetIfIdle(Name);
}

PoolQueue::Team &PoolQueue::teamFor(const TeamName &Name) {
  return Teams[Name];
}

void PoolQueue::forgetIfIdle(const TeamName &Name) {
  const auto Found = Teams.find(Name);
  if (Found != Teams.end() && !Found->second.active() && !Found->second.Quota) {
    Teams.erase(Found);
  }
}

void PoolQueue::push(const Waiting &What) {
  const Lane In = laneOf(What);
  Prompt += What.Class == JobClass::Prompt ? 1 : 0;
  Team &T = teamFor(What.Team);
  ActiveTeams += T.active() ? 0 : 1;
  T.Waits[In].emplace(What.LatestStart, What.Key);
  if (In == Patient) {
    Ageing.emplace(What.AgesAt, What.Key);
  }
  Spillable += In == Spill ? 1 : 0;
  Items.insert_or_assign(What.Key, Item{What, In});
  rank(What.Team, T);
}

bool PoolQueue::remove(RequestKey Key) {
  const auto Found = Items.find(Key);
  if (Found == Items.end()) {
    return false;
  }
  const Item Gone = Found->second;
  Items.erase(Found);
  Team &T = teamFor(Gone.What.Team);
  T.Waits[Gone.In].erase({Gone.What.LatestStart, Key});
  if (Gone.In == Patient) {
    Ageing.erase({Gone.What.AgesAt, Key});
  }
  Spillable -= Gone.In == Spill ? 1 : 0;
  Prompt -= Gone.What.Class == JobClass::Prompt ? 1 : 0;
  rank(Gone.What.Team, T);
  ActiveTeams -= T.active() ? 0 : 1;
  forgetIfIdle(Gone.What.Team);
  return true;
}

void PoolQueue::rank(const TeamName &Name, Team &T) {
  for (int In = 0; In < LaneCount; ++In) {
    if (T.Ranked[In]) {
      Ranks[In].erase(*T.Ranked[In]);
      T.Ranked[In].reset();
    }
    if (!T.Waits[In].empty()) {
      T.Ranked[In] = Rank{beyondQuota(T), *T.Waits[In].begin(), Name};
      Ranks[In].insert(*T.Ranked[In]);
    }
  }
}

bool PoolQueue::beyondQuota(const Team &T) const {
  const std::uint32_t EqualShare =
      std::max(1U, PoolSlots / std::max(1U, ActiveTeams));
  return T.InUse >= T.Quota.value_or(EqualShare);
}

void PoolQueue::age(Instant Now) {
  while (!Ageing.empty() && Ageing.begin()->first <= Now) {
    const RequestKey Key = Ageing.begin()->second;
    const Waiting What = Items.at(Key).What;
    Team &T = teamFor(What.Team);
    T.Waits[Patient].erase({What.LatestStart, Key});
    T.Waits[Fixed].emplace(What.LatestStart, Key);
    Items.at(Key).In = Fixed;
    Ageing.erase(Ageing.begin());
    rank(What.Team, T);
  }
}

const Waiting *PoolQueue::head(Lane In) const {
  if (Ranks[In].empty()) {
    return nullptr;
  }
  return &Items.at(Ranks[In].begin()->Head.second).What;
}

const Waiting *PoolQueue::nextUrgent(Instant Now) {
  age(Now);
  const bool AnySpill = !Ranks[Spill].empty();
  const bool AnyFixed = !Ranks[Fixed].empty();
  if (AnySpill && AnyFixed) {
    return *Ranks[Spill].begin() < *Ranks[Fixed].begin() ? head(Spill)
                                                         : head(Fixed);
  }
  return head(AnySpill ? Spill : Fixed);
}

const Waiting *PoolQueue::nextPatient(Instant Now) {
  age(Now);
  return head(Patient);
}

const Waiting *PoolQueue::next(Instant Now) {
  const Waiting *Urgent = nextUrgent(Now);
  const bool PatientTurn = PromptInRow >= PromptStartsPerPatient;
  if (Urgent == nullptr || (PatientTurn && !Ranks[Patient].empty())) {
    return head(Patient);
  }
  return Urgent;
}

bool PoolQueue::waitsUnaged(RequestKey Key) const {
  const auto Found = Items.find(Key);
  return Found != Items.end() && Found->second.In == Patient;
}

void PoolQueue::started(const TeamName &Name, JobClass Class) {
  PromptInRow = Class == JobClass::Prompt ? PromptInRow + 1 : 0;
  Team &T = teamFor(Name);
  ActiveTeams += T.active() ? 0 : 1;
  ++T.InUse;
  rank(Name, T);
}

void PoolQueue::ended(const TeamName &Name) {
  Team &T = teamFor(Name);
  --T.InUse;
  rank(Name, T);
  ActiveTeams -= T.active() ? 0 : 1;
  forgetIfIdle(Name);
}

std::optional<Instant> PoolQueue::earliestLatestStart() const {
  std::optional<Instant> Earliest;
  for (const Lane In : {Spill, Fixed}) {
    for (const Rank &R : Ranks[In]) {
      if (!Earliest || R.Head.first < *Earliest) {
        Earliest = R.Head.first;
      }
      break;
    }
  }
  return Earliest;
}

} // namespace balsamlatch::placement
