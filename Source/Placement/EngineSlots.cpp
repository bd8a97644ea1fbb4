/// \file
/// Slot messages between entries, and the slot schedulers of this entry.

#include "EngineImpl.h"

#include <algorithm>

namespace balsamlatch::placement {

PoolName Engine::Impl::findSparePool(const RuleSet &Rules) {
  for (const auto &[Name, Rule] : Rules.Pools) {
    if (Rule.Spare) {
      return Name;
    }
  }
  return {};
}

std::uint32_t Engine::Impl::countSpillingPools() const {
  std::set<PoolName> SpillPools;
  for (const auto &[Name, Rule] : Rules->Jobs) {
    if (Rule.MaySpill) {
      SpillPools.insert(Rule.Pool);
    }
  }
  return static_cast<std::uint32_t>(SpillPools.size());
}

/// Whether all prompt jobs of the pool may spill to the spare pool.
bool Engine::Impl::canAllPromptSpill(const PoolName &Name) const {
  return std::all_of(Rules->Jobs.begin(), Rules->Jobs.end(),
                     [&](const auto &Item) {
                       const JobRule &Rule = Item.second;
                       return Rule.Pool != Name ||
                              Rule.Class == JobClass::Patient || Rule.MaySpill;
                     });
}

/// Determines the scheduler of each pool, and starts or stops the schedulers
/// that run in this entry.
void Engine::Impl::electSchedulers() {
  if (Options.Choice != Policy::SlotGrants || Rules == nullptr) {
    return;
  }
  for (auto &[Name, Pool] : Pools) {
    const EntryName Scheduler = electScheduler(Name, LiveEntries);
    Pool.OwnSlots.setScheduler(Scheduler);
    if (Pool.SpareSlots) {
      Pool.SpareSlots->setScheduler(electScheduler(SparePool, LiveEntries));
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
    std::vector<WorkerSlots> AcceptingWorkers;
    for (const WorkerState *Worker : Workers.members(Name)) {
      if (Worker->View.Accepting) {
        AcceptingWorkers.push_back({Worker->View.Host, Worker->View.Slots});
      }
    }
    SchedulerLimits Limits;
    Limits.MaxPatientPercent = MaxPatientPercent;
    Limits.MinPatientPercent = canAllPromptSpill(Name)
                                   ? MinPatientPercentWithSpill
                                   : MinPatientPercent;
    Limits.SpillingPoolCount = Name == SparePool ? countSpillingPools() : 0;
    Scheduler.setLimits(Limits);
    Scheduler.setWorkers(AcceptingWorkers);
    Scheduler.setEntries(LiveEntries);
  }
}

void Engine::Impl::handleEvent(const SlotMessageArrived &E) {
  if (const auto *Message = std::get_if<SlotRequest>(&E.Message)) {
    const auto It = Schedulers.find(Message->Pool);
    if (It != Schedulers.end()) {
      deliverGrants(It->second.handleRequest(E.SenderEntry, *Message, Now));
    }
  } else if (const auto *Grant = std::get_if<SlotGrant>(&E.Message)) {
    receiveGrant(E.SenderEntry, *Grant);
  }
}

void Engine::Impl::receiveGrant(const EntryName &SenderEntry,
                                const SlotGrant &Grant) {
  PoolState &Pool = poolState(Grant.For.empty() ? Grant.Pool : Grant.For);
  const bool OnSpare = !Grant.For.empty() && Grant.For != Grant.Pool;
  if (OnSpare && !Pool.SpareSlots) {
    return;
  }
  (OnSpare ? *Pool.SpareSlots : Pool.OwnSlots)
      .addGrant(SenderEntry, Grant, Now);
  PoolsToSchedule.insert(Grant.For.empty() ? Grant.Pool : Grant.For);
}

void Engine::Impl::deliverGrants(const SlotScheduler::Grants &Grants) {
  for (const auto &[RecipientEntry, Grant] : Grants) {
    if (RecipientEntry == Options.Self) {
      receiveGrant(RecipientEntry, Grant);
    } else {
      Actions.push_back(SendSlotMessage{RecipientEntry, Grant});
    }
  }
}

/// Sends the slot requests that are due. Returns whether grants of schedulers
/// in this entry may allow more work to start.
bool Engine::Impl::exchangeSlots() {
  if (Options.Choice != Policy::SlotGrants || Rules == nullptr) {
    return false;
  }
  for (const PoolName &Name : std::exchange(PoolsWithSlotChanges, {})) {
    PoolState &Pool = poolState(Name);
    const std::uint32_t UnusedCount = Pool.OwnSlots.unusedCount();
    const std::uint32_t UrgentCount = Pool.Queue.urgentCount();
    SlotDemand Demand;
    Demand.PromptCount = UrgentCount - std::min(UrgentCount, UnusedCount);
    Demand.PatientCount = Pool.Queue.unagedCount();
    Demand.EarliestDeadline = Pool.Queue.earliestLatestStart();
    requestSlots(Pool.OwnSlots, Name, Demand);
    if (Pool.SpareSlots) {
      const bool ShouldSpill =
          Pool.OwnSlots.isPoolFull() && Demand.PromptCount > 0;
      const std::uint32_t SpillDemand =
          std::min(Demand.PromptCount, Pool.Queue.spillableCount());
      Demand.PromptCount =
          ShouldSpill ? SpillDemand - std::min(SpillDemand,
                                               Pool.SpareSlots->unusedCount())
                      : 0;
      Demand.PatientCount = 0;
      requestSlots(*Pool.SpareSlots, SparePool, Demand);
    }
  }
  return !PoolsToSchedule.empty();
}

void Engine::Impl::requestSlots(SlotHolder &Holder, const PoolName &TargetPool,
                                const SlotDemand &Demand) {
  const bool IsLocal = Holder.scheduler() == Options.Self;
  const std::optional<SlotRequest> Message =
      Holder.requestIfDue(Demand, Now, IsLocal, [&] {
        return Workers.avoidedHosts(TargetPool, Now);
      });
  if (!Message) {
    return;
  }
  if (!IsLocal) {
    Actions.push_back(SendSlotMessage{Holder.scheduler(), *Message});
    return;
  }
  const auto It = Schedulers.find(TargetPool);
  if (It != Schedulers.end()) {
    deliverGrants(It->second.handleRequest(Options.Self, *Message, Now,
                                           Holder.isLastRequestDelta()));
  }
}

} // namespace balsamlatch::placement
