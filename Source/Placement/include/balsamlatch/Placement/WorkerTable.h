/// \file
/// The workers that this entry may use, and this entry's use of each. A choice
/// takes constant time, whatever the number of workers.

#ifndef BALSAMLATCH_PLACEMENT_WORKERTABLE_H
#define BALSAMLATCH_PLACEMENT_WORKERTABLE_H

#include "balsamlatch/Placement/Events.h"
#include "balsamlatch/Placement/RetryBudget.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <unordered_map>
#include <vector>

namespace balsamlatch::placement {

/// One worker as this entry sees it.
struct WorkerState {
  WorkerView View;
  /// Attempts of this entry that hold a slot.
  std::uint32_t SlotsInUse = 0;
  /// Part of the platform's list of workers; false for a worker that left the
  /// list while its last attempts end.
  bool IsListed = true;
  bool IsEjected = false;
  /// No work is sent before this instant; set after a refusal.
  Instant BlockedUntil{};
  /// Refusals since the last accepted task.
  std::uint32_t RefusalCount = 0;
  // Invariant: index in the list of usable workers of its pool, or NotUsable.
  std::size_t UsableIndex = NotUsable;

  static constexpr std::size_t NotUsable = ~std::size_t(0);

  bool isUsable(Instant Now) const {
    return IsListed && View.Accepting && !IsEjected &&
           SlotsInUse < View.Slots && BlockedUntil <= Now;
  }
};

/// All workers by host and by pool.
class WorkerTable {
public:
  /// Replaces the list of workers. Workers that left it are kept until their
  /// attempts end.
  void replace(const std::vector<WorkerView> &Views, Instant Now);

  WorkerState *find(const HostName &Host);
  const WorkerState *find(const HostName &Host) const;

  void acquire(WorkerState &Worker, Instant Now);
  void release(WorkerState &Worker, Instant Now);
  void setEjected(WorkerState &Worker, bool Eject, Instant Now);
  /// Blocks the worker for a time that doubles with each refusal.
  void recordRefusal(WorkerState &Worker, Instant Now);
  void recordAcceptance(WorkerState &Worker) { Worker.RefusalCount = 0; }

  /// The less used of two usable workers drawn at random, or null. Avoids \p
  /// TriedHosts while another worker is usable, with a limited number of draws.
  WorkerState *chooseOfTwoRandom(const PoolName &Pool,
                                 const std::vector<HostName> &TriedHosts,
                                 RandomEngine &Rng, Instant Now);
  /// The next usable worker in round-robin order, or null.
  WorkerState *chooseRoundRobin(const PoolName &Pool,
                                const std::vector<HostName> &TriedHosts,
                                Instant Now);

  /// Listed workers of the pool that accept work.
  std::uint32_t acceptingCount(const PoolName &Pool) const;
  std::uint32_t slots(const PoolName &Pool) const;
  std::uint32_t slotsInUse(const PoolName &Pool) const;
  std::uint32_t ejectedCount(const PoolName &Pool) const;
  /// Ejected and blocked workers of the pool.
  std::vector<HostName> avoidedHosts(const PoolName &Pool, Instant Now) const;
  /// All listed workers of the pool.
  const std::vector<WorkerState *> &members(const PoolName &Pool) const;

private:
  struct PoolMembers {
    std::vector<WorkerState *> AllWorkers;
    // Invariant: exactly the members for which isUsable() held when they were
    // last updated.
    std::vector<WorkerState *> UsableWorkers;
    // Blocked members, by the instant at which the block ends.
    std::multimap<Instant, HostName> BlockedHosts;
    std::set<HostName> EjectedHosts;
    // Slots of the members that accept work.
    std::uint32_t Slots = 0;
    std::size_t Cursor = 0;
  };

  void updateUsable(WorkerState &Worker, Instant Now);
  void unblockExpired(PoolMembers &Members, Instant Now);
  WorkerState *drawWorker(PoolMembers &Members,
                          const std::vector<HostName> &TriedHosts,
                          RandomEngine &Rng);

  std::unordered_map<HostName, std::unique_ptr<WorkerState>> WorkersByHost;
  std::unordered_map<PoolName, PoolMembers> PoolsByName;
};

} // namespace balsamlatch::placement

#endif // BALSAMLATCH_PLACEMENT_WORKERTABLE_H
