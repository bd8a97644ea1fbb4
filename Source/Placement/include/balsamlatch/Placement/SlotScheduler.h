/// \file
/// Hands out the slots of one pool to the entries that ask, in the entry that
/// rendezvous hashing picks for the pool. It keeps nothing: what is granted is
/// learned from the asks, and a worker that is full after all refuses.

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

/// The entry that schedules the pool: the same in every entry that has the
/// same live entries. Empty without live entries.
EntryName schedulerOf(const PoolName &Pool, const std::vector<EntryName> &Live);

/// A worker's slots, for the scheduler.
struct WorkerSlots {
  HostName Host;
  std::uint32_t Slots = 0;

  auto operator<=>(const WorkerSlots &) const = default;
};

struct SchedulerLimits {
  /// Part of the pool's slots that patient work may hold, in percent. Between
  /// the two it is what the recent peak of prompt work leaves.
  std::uint32_t PatientPercent = 75;
  std::uint32_t PatientFloorPercent = 75;
  /// Part of the spare pool's slots kept for each other pool that may spill.
  std::uint32_t ReservePercent = 5;
  /// Pools whose work may be placed here, this one not counted.
  std::uint32_t SpillingPools = 0;

  auto operator<=>(const SchedulerLimits &) const = default;
};

/// Not thread safe.
class SlotScheduler {
public:
  using Grants = std::vector<std::pair<EntryName, SlotGrant>>;

  explicit SlotScheduler(PoolName Of) : Pool(std::move(Of)) {}

  void setLimits(SchedulerLimits Given) { Limits = Given; }
  /// Workers that accept work; a host that is missing gets no further grant.
  void setWorkers(const std::vector<WorkerSlots> &Given);
  /// Forgets what entries that aren't live held.
  void setEntries(const std::vector<EntryName> &Live);

  /// Grants to send: at least one to the asker, perhaps some to others.
  /// \p OnlyChanges: InUse names only the hosts whose number changed, as the
  /// scheduler's own entry may say it, since nothing between them is lost.
  Grants asked(const EntryName &From, const SlotAsk &Ask, Instant Now,
               bool OnlyChanges = false);
  /// Voids grants that were never confirmed. Call every TickPeriod.
  Grants tick(Instant Now);

  std::uint32_t slots() const { return TotalSlots; }
  /// Slots that nobody holds.
  std::uint32_t free() const { return TotalSlots - std::min(TotalSlots, Held); }

private:
  // An entry, and the pool for which it asks.
  using AskerId = std::pair<EntryName, PoolName>;

  struct Pending {
    std::uint64_t Number = 0;
    HostName Host;
    std::uint32_t Slots = 0;
    JobClass Class = JobClass::Prompt;
    Instant VoidAt{};
  };
  struct Asker {
    std::uint64_t Sequence = 0;
    // Slots held by host as of the last ask, and their sum.
    std::unordered_map<HostName, std::uint32_t> Holds;
    std::uint32_t HoldsTotal = 0;
    std::vector<HostName> Avoid;
    Instant At{};
    Instant Deadline = Instant::max();
    // Grants that Holds doesn't show yet.
    std::vector<Pending> Sent;
    // Wanted by the last ask and not granted since.
    std::uint32_t Prompt = 0;
    std::uint32_t Patient = 0;
    std::uint32_t PromptHeld = 0;
    std::uint32_t PatientHeld = 0;
  };
  struct Worker {
    std::uint32_t Slots = 0;
    std::uint32_t Held = 0;
    std::uint64_t LastGrant = 0;
    bool Known = false;
  };
  // Least held first, then the one granted longest ago.
  using Rank = std::tuple<std::uint32_t, std::uint64_t, HostName>;

  void hold(const HostName &Host, std::uint32_t Slots);
  void drop(const HostName &Host, std::uint32_t Slots);
  void rank(const HostName &Host, Worker &W, bool Insert);
  void forget(const AskerId &Who, const Asker &Gone);
  void setHold(Asker &A, const HostName &Host, std::uint32_t Slots);
  void uncount(const AskerId &Who, const Asker &A);
  static void count(Asker &A, const SlotAsk &Ask);
  std::map<AskerId, Asker>::iterator nextPrompt();
  std::map<AskerId, Asker>::iterator nextPatient();
  bool patientAllowed() const;
  void notePeak(Instant Now);
  bool spillAllowed(const PoolName &For) const;
  const HostName *pick(const Asker &A) const;
  void noteAvoided(const Asker &A, const std::vector<HostName> &Avoid);
  bool avoidedByAll(const HostName &Host) const;
  void distribute(Instant Now, Grants &Out);
  void grant(const AskerId &Who, Asker &A, JobClass Class, const HostName &Host,
             Instant Now, Grants &Out);

  PoolName Pool;
  SchedulerLimits Limits;
  std::map<AskerId, Asker> Askers;
  std::unordered_map<HostName, Worker> Workers;
  // Invariant: exactly the known workers with a free slot.
  std::set<Rank> Open;
  // How many askers avoid each host.
  std::map<HostName, std::uint32_t> Avoiders;
  // Slots held for each pool.
  std::map<PoolName, std::uint32_t> HeldFor;
  std::uint32_t PatientHeld = 0;
  // Recent peak of the slots that the pool's own prompt work held or wanted.
  double PromptPeak = 0;
  Instant PeakAt{};
  std::uint32_t TotalSlots = 0;
  // Slots of known workers that are held.
  std::uint32_t Held = 0;
  std::uint64_t LastNumber = 0;
  std::uint64_t LastRound = 0;
  std::uint32_t PromptInRow = 0;
};

} // namespace balsamlatch::placement

#endif // BALSAMLATCH_PLACEMENT_SLOTSCHEDULER_H
