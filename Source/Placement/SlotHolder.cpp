/// \file
/// Slot requests and grants of one entry for one pool.

#include "balsamlatch/Placement/SlotHolder.h"

#include <algorithm>

namespace balsamlatch::placement {

namespace {

/// Unmet demand is requested again after this time.
constexpr Duration RepeatInterval = std::chrono::milliseconds(20);
/// Held slots are reported again after this time.
constexpr Duration RefreshInterval = std::chrono::milliseconds(500);
/// Without an answer for this long, workers are chosen without grants.
constexpr Duration AnswerTimeout = std::chrono::milliseconds(60);

} // namespace

void SlotHolder::setScheduler(const EntryName &Entry) {
  if (Entry == Scheduler) {
    return;
  }
  Scheduler = Entry;
  SchedulerAnswered = false;
  LastGrantNumber = 0;
  LastRequestTime.reset();
  UnansweredSince.reset();
  HoldingsShrank = true;
  for (const auto &[Host, Slots] : UsedSlots) {
    ChangedHosts.insert(Host);
  }
  for (const UnusedGrant &Grant : UnusedGrants) {
    ChangedHosts.insert(Grant.Host);
  }
}

void SlotHolder::addGrant(const EntryName &SenderEntry, const SlotGrant &Grant,
                          Instant Now) {
  if (SenderEntry != Scheduler) {
    return;
  }
  SchedulerAnswered = true;
  UnansweredSince.reset();
  PoolFreeSlots = Grant.Free;
  LastGrantNumber = std::max(LastGrantNumber, Grant.Number);
  if (Grant.Slots > 0) {
    ChangedHosts.insert(Grant.Host);
  }
  for (std::uint32_t I = 0; I < Grant.Slots; ++I) {
    UnusedGrants.push_back({Grant.Host, Grant.Class, Now + Grant.ValidFor});
  }
}

void SlotHolder::dropExpiredGrants(Instant Now) {
  UnusedGrants.remove_if([&](const UnusedGrant &Grant) {
    const bool IsExpired = Grant.Expiry <= Now;
    if (IsExpired) {
      ChangedHosts.insert(Grant.Host);
      HoldingsShrank = true;
    }
    return IsExpired;
  });
}

std::optional<HostName>
SlotHolder::takeGrant(JobClass Class, Instant Now,
                      const std::function<bool(const HostName &)> &IsSuitable) {
  dropExpiredGrants(Now);
  const auto It = std::find_if(
      UnusedGrants.begin(), UnusedGrants.end(), [&](const UnusedGrant &Grant) {
        return Grant.Class == Class && IsSuitable(Grant.Host);
      });
  if (It == UnusedGrants.end()) {
    return std::nullopt;
  }
  HostName Host = std::move(It->Host);
  UnusedGrants.erase(It);
  return Host;
}

void SlotHolder::acquireSlot(const HostName &Host, JobClass Class) {
  ++UsedSlots[Host];
  ChangedHosts.insert(Host);
  PatientUsedSlots += Class == JobClass::Patient ? 1 : 0;
}

void SlotHolder::releaseSlot(const HostName &Host, JobClass Class) {
  ChangedHosts.insert(Host);
  const auto It = UsedSlots.find(Host);
  if (--It->second == 0) {
    UsedSlots.erase(It);
  }
  PatientUsedSlots -= Class == JobClass::Patient ? 1 : 0;
  HoldingsShrank = true;
}

std::optional<SlotRequest> SlotHolder::requestIfDue(
    const SlotDemand &Demand, Instant Now, bool AllowDelta,
    const std::function<std::vector<HostName>()> &AvoidedWorkers) {
  dropExpiredGrants(Now);
  const bool HasDemand = Demand.PromptCount > 0 || Demand.PatientCount > 0;
  const bool HasSlots = !isIdle();
  const bool DemandGrew = Demand.PromptCount > LastDemand.PromptCount ||
                          Demand.PatientCount > LastDemand.PatientCount;
  const Duration SinceLastRequest =
      LastRequestTime ? Now - *LastRequestTime : Duration::max();
  const bool IsDue = HoldingsShrank || DemandGrew ||
                     (HasDemand && SinceLastRequest >= RepeatInterval) ||
                     (HasSlots && SinceLastRequest >= RefreshInterval);
  // One request at a time; its answer triggers the next one.
  const bool IsOutstanding =
      UnansweredSince && SinceLastRequest < RepeatInterval;
  if (Scheduler.empty() || !IsDue || IsOutstanding ||
      (!HasDemand && !HasSlots && !LastRequestTime)) {
    return std::nullopt;
  }
  SlotRequest Message = buildRequest(Demand, Now, AllowDelta);
  Message.AvoidedHosts = AvoidedWorkers();
  return Message;
}

std::uint32_t SlotHolder::countHeld(const HostName &Host) const {
  const auto UsedIt = UsedSlots.find(Host);
  const auto UnusedCount = std::count_if(
      UnusedGrants.begin(), UnusedGrants.end(),
      [&](const UnusedGrant &Grant) { return Grant.Host == Host; });
  return (UsedIt == UsedSlots.end() ? 0 : UsedIt->second) +
         static_cast<std::uint32_t>(UnusedCount);
}

SlotRequest SlotHolder::buildRequest(const SlotDemand &Demand, Instant Now,
                                     bool AllowDelta) {
  LastRequestWasDelta =
      AllowDelta && LastRequestTime && Now - *LastRequestTime < RefreshInterval;
  LastRequestTime = Now;
  LastDemand = Demand;
  HoldingsShrank = false;
  UnansweredSince = UnansweredSince.value_or(Now);
  SlotRequest Message;
  Message.PatientHeldSlots = PatientUsedSlots;
  for (const UnusedGrant &Grant : UnusedGrants) {
    Message.PatientHeldSlots += Grant.Class == JobClass::Patient ? 1 : 0;
  }
  Message.Pool = Pool;
  Message.For = QueuePool;
  Message.Prompt = Demand.PromptCount;
  Message.Patient = Demand.PatientCount;
  if (Demand.EarliestDeadline) {
    Message.EarliestDeadline =
        std::max(Duration(1), *Demand.EarliestDeadline - Now);
  }
  if (!LastRequestWasDelta) {
    ChangedHosts.clear();
    for (const auto &[Host, Slots] : UsedSlots) {
      ChangedHosts.insert(Host);
    }
    for (const UnusedGrant &Grant : UnusedGrants) {
      ChangedHosts.insert(Grant.Host);
    }
  }
  for (const HostName &Host : ChangedHosts) {
    Message.InUse.emplace_back(Host, countHeld(Host));
  }
  ChangedHosts.clear();
  Message.Sequence = ++Sequence;
  Message.LastGrant = LastGrantNumber;
  return Message;
}

bool SlotHolder::isUnanswered(Instant Now) const {
  return Scheduler.empty() ||
         (UnansweredSince && Now - *UnansweredSince >= AnswerTimeout);
}

} // namespace balsamlatch::placement
