/// \file
/// The slots of one pool that this entry holds for one queue: unused grants and
/// slots in use. Decides when to request slots from the pool's scheduler, and
/// detects that no scheduler answers.

#ifndef BALSAMLATCH_PLACEMENT_SLOTHOLDER_H
#define BALSAMLATCH_PLACEMENT_SLOTHOLDER_H

#include "balsamlatch/Placement/Events.h"

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace balsamlatch::placement {

/// The slots that a queue needs from a pool now, beyond those it holds.
struct SlotDemand {
  std::uint32_t PromptCount = 0;
  std::uint32_t PatientCount = 0;
  std::optional<Instant> EarliestDeadline;

  auto operator<=>(const SlotDemand &) const = default;
};

/// Not thread safe.
class SlotHolder {
public:
  SlotHolder(PoolName SlotPool, PoolName QueueName)
      : Pool(std::move(SlotPool)), QueuePool(std::move(QueueName)) {}

  /// Sets the entry that schedules the pool. A new scheduler is sent a request
  /// at once.
  void setScheduler(const EntryName &Entry);
  const EntryName &scheduler() const { return Scheduler; }

  /// Adds the slots of a grant. A grant from any entry but the scheduler is
  /// ignored.
  void addGrant(const EntryName &SenderEntry, const SlotGrant &Grant,
                Instant Now);

  /// Takes an unused grant of the class on a host that satisfies \p IsSuitable;
  /// empty if there is none. Expired grants are never used.
  std::optional<HostName>
  takeGrant(JobClass Class, Instant Now,
            const std::function<bool(const HostName &)> &IsSuitable);

  /// Counts the slots in use on each host.
  void acquireSlot(const HostName &Host, JobClass Class);
  void releaseSlot(const HostName &Host, JobClass Class);

  /// The slot request to send now, if one is due. \p AvoidedWorkers is called
  /// only then. With \p AllowDelta, for a scheduler in this entry, the request
  /// leaves out hosts whose slot count is unchanged since the last request,
  /// unless that was long ago.
  std::optional<SlotRequest>
  requestIfDue(const SlotDemand &Demand, Instant Now, bool AllowDelta,
               const std::function<std::vector<HostName>()> &AvoidedWorkers);

  /// Whether the last request named only the hosts whose slot count changed.
  bool isLastRequestDelta() const { return LastRequestWasDelta; }
  /// Whether the scheduler fails to answer, so that workers are chosen without
  /// grants.
  bool isUnanswered(Instant Now) const;
  /// Whether the scheduler reported that the pool has no free slot.
  bool isPoolFull() const { return SchedulerAnswered && PoolFreeSlots == 0; }
  bool isIdle() const { return UnusedGrants.empty() && UsedSlots.empty(); }
  std::uint32_t unusedCount() const {
    return static_cast<std::uint32_t>(UnusedGrants.size());
  }

private:
  struct UnusedGrant {
    HostName Host;
    JobClass Class = JobClass::Prompt;
    Instant Expiry{};
  };

  void dropExpiredGrants(Instant Now);
  SlotRequest buildRequest(const SlotDemand &Demand, Instant Now,
                           bool AllowDelta);
  std::uint32_t countHeld(const HostName &Host) const;

  PoolName Pool;
  PoolName QueuePool;
  EntryName Scheduler;
  std::list<UnusedGrant> UnusedGrants;
  std::map<HostName, std::uint32_t> UsedSlots;
  std::uint32_t PatientUsedSlots = 0;
  bool LastRequestWasDelta = false;
  // Hosts whose slot count may differ from the last request.
  std::set<HostName> ChangedHosts;
  SlotDemand LastDemand;
  // Slots were released or grants expired since the last request.
  bool HoldingsShrank = false;
  bool SchedulerAnswered = false;
  std::uint32_t PoolFreeSlots = 0;
  std::uint64_t Sequence = 0;
  std::uint64_t LastGrantNumber = 0;
  std::optional<Instant> LastRequestTime;
  // Time of the first request since the scheduler last answered.
  std::optional<Instant> UnansweredSince;
};

} // namespace balsamlatch::placement

#endif // BALSAMLATCH_PLACEMENT_SLOTHOLDER_H
