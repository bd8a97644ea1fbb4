/// \file
/// Grants the slots of one pool to the entries that request them. Runs in the
/// entry that rendezvous hashing selects for the pool. Keeps no persistent
/// state: the grants in effect are learned from the requests, and a worker that
/// is full nevertheless refuses the task.

#ifndef BALSAMLATCH_PLACEMENT_SLOTSCHEDULER_H
#define BALSAMLATCH_PLACEMENT_SLOTSCHEDULER_H

#include "balsamlatch/Placement/Events.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace balsamlatch::placement {

/// The entry that schedules the pool: the same for every entry with the same
/// set of live entries. Empty if no entry is live.
EntryName electScheduler(const PoolName &Pool,
                         const std::vector<EntryName> &LiveEntries);

/// The number of slots of a worker.
struct WorkerSlots {
  HostName Host;
  std::uint32_t Slots = 0;

  auto operator<=>(const WorkerSlots &) const = default;
};

struct SchedulerLimits {
  /// Bounds of the part of the pool's slots that patient work may hold, in
  /// percent. Between them, it is the part that the recent peak of prompt work
  /// leaves free.
  std::uint32_t MaxPatientPercent = 75;
  std::uint32_t MinPatientPercent = 75;
  /// Part of the spare pool's slots reserved for each other pool that may
  /// spill, in percent.
  std::uint32_t ReservePercent = 5;
  /// Number of other pools whose work may be placed on this one.
  std::uint32_t SpillingPoolCount = 0;

  auto operator<=>(const SchedulerLimits &) const = default;
};

/// Not thread safe.
class SlotScheduler {
public:
  using Grants = std::vector<std::pair<EntryName, SlotGrant>>;

  explicit SlotScheduler(PoolName ServedPool) : Pool(std::move(ServedPool)) {}

  void setLimits(SchedulerLimits NewLimits) { Limits = NewLimits; }
  /// Sets the workers that accept work. A host that is missing gets no further
  /// grant.
  void setWorkers(const std::vector<WorkerSlots> &NewWorkers);
  /// Drops the holdings of entries that aren't live.
  void setEntries(const std::vector<EntryName> &LiveEntries);

  /// Returns the grants to send: at least one to the sender, and possibly some
  /// to others; none for a request that a later one of the sender overtook.
  /// With \p IsDelta, InUse names only the hosts whose slot count changed. Only
  /// the entry that runs the scheduler may use it, since no message between the
  /// two is lost.
  Grants handleRequest(const EntryName &SenderEntry, const SlotRequest &Message,
                       Instant Now, bool IsDelta = false);
  /// Expires grants that no request confirmed, and drops silent entries. Call
  /// every TickPeriod.
  Grants tick(Instant Now);

  std::uint32_t totalSlots() const { return TotalSlots; }
  /// Slots that no entry holds.
  std::uint32_t freeSlots() const {
    return TotalSlots - std::min(TotalSlots, TotalHeld);
  }

private:
  // An entry, and the pool whose queue requests the slots.
  using RequesterId = std::pair<EntryName, PoolName>;

  struct PendingGrant {
    std::uint64_t Number = 0;
    HostName Host;
    std::uint32_t Slots = 0;
    JobClass Class = JobClass::Prompt;
    Instant Expiry{};
  };
  struct Requester {
    std::uint64_t Sequence = 0;
    // Slots held on each host as of the last request, and their sum.
    std::unordered_map<HostName, std::uint32_t> HeldByHost;
    std::uint32_t HeldTotal = 0;
    std::vector<HostName> AvoidList;
    Instant LastRequestTime{};
    Instant Deadline = Instant::max();
    // Grants that HeldByHost doesn't include yet.
    std::vector<PendingGrant> PendingGrants;
    // Slots wanted by the last request and not granted since.
    std::uint32_t PromptWanted = 0;
    std::uint32_t PatientWanted = 0;
    std::uint32_t PromptHeld = 0;
    std::uint32_t PatientHeld = 0;
  };
  struct Worker {
    std::uint32_t Slots = 0;
    std::uint32_t Held = 0;
    std::uint64_t LastGrantRound = 0;
    bool IsListed = false;
  };
  // Fewest held slots first, then the least recently granted.
  using WorkerRank = std::tuple<std::uint32_t, std::uint64_t, HostName>;

  void addHeld(const HostName &Host, std::uint32_t Slots);
  void removeHeld(const HostName &Host, std::uint32_t Slots);
  void updateOpenWorkers(const HostName &Host, Worker &W, bool IsInsert);
  void releaseRequester(const RequesterId &Id, const Requester &R);
  void setHeld(Requester &R, const HostName &Host, std::uint32_t Slots);
  void subtractTotals(const RequesterId &Id, const Requester &R);
  static void updateDemand(Requester &R, const SlotRequest &Message);
  std::map<RequesterId, Requester>::iterator nextPromptRequester();
  std::map<RequesterId, Requester>::iterator nextPatientRequester();
  bool mayGrantPatient() const;
  void updatePromptPeak(Instant Now);
  bool mayGrantTo(const PoolName &QueuePool) const;
  const HostName *pickWorker(const Requester &R) const;
  void updateAvoiders(const Requester &R,
                      const std::vector<HostName> &AvoidList);
  bool isExcluded(const HostName &Host) const;
  void distributeSlots(Instant Now, Grants &NewGrants);
  void grantSlot(const RequesterId &Id, Requester &R, JobClass Class,
                 const HostName &Host, Instant Now, Grants &NewGrants);

  PoolName Pool;
  SchedulerLimits Limits;
  std::map<RequesterId, Requester> Requesters;
  std::unordered_map<HostName, Worker> Workers;
  // Invariant: exactly the listed workers with a free slot.
  std::set<WorkerRank> OpenWorkers;
  // Number of requesters that avoid each host.
  std::map<HostName, std::uint32_t> AvoiderCounts;
  // Slots held for each pool's queue.
  std::map<PoolName, std::uint32_t> HeldByPool;
  std::uint32_t PatientHeld = 0;
  // Decaying peak of the slots that the pool's own prompt work held or wanted.
  double PromptPeak = 0;
  Instant PeakTime{};
  std::uint32_t TotalSlots = 0;
  // Slots of listed workers that are held.
  std::uint32_t TotalHeld = 0;
  std::uint64_t LastGrantNumber = 0;
  std::uint64_t LastGrantRound = 0;
  std::uint32_t PromptGrantsInRow = 0;
};

} // namespace balsamlatch::placement

#endif // BALSAMLATCH_PLACEMENT_SLOTSCHEDULER_H
