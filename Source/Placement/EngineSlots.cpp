/// \file
/// Slots exchanged between entries: asks, grants, and the scheduler's part.

#include "EngineImpl.h"

#include <algorithm>

namespace balsamlatch::placement {

PoolName Engine::Impl::sparePoolOf(const RuleSet &Rules) {
  for (const auto &[Name, Rule] : Rules.Pools) {
    if (Rule.Spare) {
      return Name;
    }
  }
  return {};
}

std::uint32_t Engine::Impl::spillingPools() const {
  std::set<PoolName> Spilling;
  for (const auto &[Name, Rule] : Rules->Jobs) {
    if (Rule.MaySpill) {
      Spilling.insert(Rule.Pool);
    }
  }
  return static_cast<std::uint32_t>(Spilling.size());
}

/// Whether the spare pool can take every burst of the pool's prompt jobs.
bool Engine::Impl::allPromptSpills(const PoolName &Name) const {
  return std::all_of(Rules->Jobs.begin(), Rules->Jobs.end(),
                     [&](const auto &Item) {
                       const JobRule &Rule = Item.second;
                       return Rule.Pool != Name ||
                              Rule.Class == JobClass::Patient || Rule.MaySpill;
                     });
}

/// Finds the scheduler of each pool, and takes up or lays down this entry's
/// own part.
void Engine::Impl::electSchedulers() {
  if (Options.Choice != Policy::SlotGrants || Rules == nullptr) {
    return;
  }
  for (auto &[Name, P] : Pools) {
    const EntryName Scheduler = electScheduler(Name, Live);
    P.Own.setScheduler(Scheduler);
    if (P.Spare) {
      P.Spare->setScheduler(electScheduler(SparePool, Live));
    }
    if (Scheduler == Options.Self) {
      Schedulers.try_emplace(Name, Name);
    } else {
      Schedulers.erase(Name);
    }
  }
  updateSchedulers();
}

void Engine::Impl::updateSchedulers() {
  for (auto &[Name, Scheduler] : Schedulers) {
    std::vector<WorkerSlots> Open;
    for (const WorkerState *Worker : Workers.members(Name)) {
      if (Worker->View.Accepting) {
        Open.push_back({Worker->View.Host, Worker->View.Slots});
      }
    }
    SchedulerLimits Limits;
    Limits.MaxPatientPercent = MaxPatientPercent;
    Limits.MinPatientPercent =
        allPromptSpills(Name) ? MinPatientPercentWithSpill : MinPatientPercent;
    Limits.SpillingPoolCount = Name == SparePool ? spillingPools() : 0;
    Scheduler.setLimits(Limits);
    Scheduler.setWorkers(Open);
    Scheduler.setEntries(Live);
  }
}

void Engine::Impl::on(const SlotMessageArrived &E) {
  if (const auto *Ask = std::get_if<SlotAsk>(&E.Message)) {
    const auto Found = Schedulers.find(Ask->Pool);
    if (Found != Schedulers.end()) {
      deliver(Found->second.handleRequest(E.From, *Ask, Now));
    }
  } else if (const auto *Grant = std::get_if<SlotGrant>(&E.Message)) {
    take(E.From, *Grant);
  }
}

void Engine::Impl::take(const EntryName &From, const SlotGrant &Grant) {
  PoolState &P = pool(Grant.For.empty() ? Grant.Pool : Grant.For);
  const bool OnSpare = !Grant.For.empty() && Grant.For != Grant.Pool;
  if (OnSpare && !P.Spare) {
    return;
  }
  (OnSpare ? *P.Spare : P.Own).addGrant(From, Grant, Now);
  Dirty.insert(Grant.For.empty() ? Grant.Pool : Grant.For);
}

void Engine::Impl::deliver(const SlotScheduler::Grants &Grants) {
  for (const auto &[To, Grant] : Grants) {
    if (To == Options.Self) {
      take(To, Grant);
    } else {
      Out.push_back(SendSlotMessage{To, Grant});
    }
  }
}

/// Sends what asks are due. True if an answer from this entry's own schedulers
/// may let more work start.
bool Engine::Impl::exchangeSlots() {
  if (Options.Choice != Policy::SlotGrants || Rules == nullptr) {
    return false;
  }
  for (const PoolName &Name : std::exchange(Touched, {})) {
    PoolState &P = pool(Name);
    const std::uint32_t Unused = P.Own.unusedCount();
    const std::uint32_t Urgent = P.Queue.urgentCount();
    SlotDemand Wanted;
    Wanted.PromptCount = Urgent - std::min(Urgent, Unused);
    Wanted.PatientCount = P.Queue.unagedCount();
    Wanted.EarliestDeadline = P.Queue.earliestLatestStart();
    askFor(P.Own, Name, Wanted);
    if (P.Spare) {
      const bool Spilling = P.Own.isPoolFull() && Wanted.PromptCount > 0;
      const std::uint32_t Most =
          std::min(Wanted.PromptCount, P.Queue.spillableCount());
      Wanted.PromptCount =
          Spilling ? Most - std::min(Most, P.Spare->unusedCount()) : 0;
      Wanted.PatientCount = 0;
      askFor(*P.Spare, SparePool, Wanted);
    }
  }
  return !Dirty.empty();
}

void Engine::Impl::askFor(SlotHolder &Holder, const PoolName &Target,
                          const SlotDemand &Wanted) {
  const bool Local = Holder.scheduler() == Options.Self;
  const std::optional<SlotAsk> Ask = Holder.requestIfDue(
      Wanted, Now, Local, [&] { return Workers.avoidedHosts(Target, Now); });
  if (!Ask) {
    return;
  }
  if (!Local) {
    Out.push_back(SendSlotMessage{Holder.scheduler(), *Ask});
    return;
  }
  const auto Found = Schedulers.find(Target);
  if (Found != Schedulers.end()) {
    deliver(Found->second.handleRequest(Options.Self, *Ask, Now,
                                        Holder.isLastRequestDelta()));
  }
}

} // namespace balsamlatch::placement
