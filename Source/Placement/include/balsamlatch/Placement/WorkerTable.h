/// \file
/// The workers that this entry may use, with its own use of each. Choices take
/// constant time, whatever the number of workers.

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
  std::uint32_t InUse = 0;
  /// In the platform's view; false while its last attempts end.
  bool Listed = true;
  bool Ejected = false;
  /// No work is sent before this instant, after a refusal.
  Instant BlockedUntil{};
  /// Refusals since the last accepted task.
  std::uint32_t Refusals = 0;
  // Invariant: position in the usable list of its pool, or NotUsable.
  std::size_t Place = NotUsable;

  static constexpr std::size_t NotUsable = ~std::size_t(0);

  bool usable(Instant Now) const {
    return Listed && View.Accepting && !Ejected && InUse < View.Slots &&
           BlockedUntil <= Now;
  }
};

/// All workers by host and by pool.
class WorkerTable {
public:
  /// Replaces the view. Hosts that left are kept until their attempts end.
  void replace(const std::vector<WorkerView> &Views, Instant Now);

  WorkerState *find(const HostName &Host);
  const WorkerState *find(const HostName &Host) const;

  void acquire(WorkerState &Worker, Instant Now);
  void release(WorkerState &Worker, Instant Now);
  void setEjected(WorkerState &Worker, bool Ejected, Instant Now);
  /// Sends nothing to the worker for a time that doubles with each refusal.
  void refused(WorkerState &Worker, Instant Now);
  void accepted(WorkerState &Worker) { Worker.Refusals = 0; }

  /// The less used of two usable workers drawn at random, or null. Avoids
  /// \p Tried while another worker is usable.
  WorkerState *twoRandomChoices(const PoolName &Pool,
                                const std::vector<HostName> &Tried, Random &Rng,
                                Instant Now);
  /// The next usable worker in turn, or null.
  WorkerState *roundRobin(const PoolName &Pool,
                          const std::vector<HostName> &Tried, Instant Now);

  /// Workers of the pool in the view that accept work.
  std::uint32_t accepting(const PoolName &Pool) const;
  std::uint32_t slots(const PoolName &Pool) const;
  std::uint32_t slotsInUse(const PoolName &Pool) const;
  std::uint32_t ejected(const PoolName &Pool) const;
  /// Workers of the pool that this entry keeps from work now.
  std::vector<HostName> avoided(const PoolName &Pool, Instant Now) const;
  /// Workers of the pool in the view.
  const std::vector<WorkerState *> &members(const PoolName &Pool) const;

private:
  struct PoolMembers {
    std::vector<WorkerState *> All;
    // Invariant: exactly the members for which usable() held when they were
    // last refreshed.
    std::vector<WorkerState *> Usable;
    // Blocked members, by the instant at which they may be used again.
    std::multimap<Instant, HostName> Blocked;
    std::set<HostName> Ejected;
    // Slots of the members that accept work.
    std::uint32_t Slots = 0;
    std::size_t Cursor = 0;
  };

  void refresh(WorkerState &Worker, Instant Now);
  void unblock(PoolMembers &Members, Instant Now);
  WorkerState *draw(PoolMembers &Members, const std::vector<HostName> &Tried,
                    Random &Rng);

  std::unordered_map<HostName, std::unique_ptr<WorkerState>> ByHost;
  std::unordered_map<PoolName, PoolMembers> ByPool;
};

} // namespace balsamlatch::placement

#endif // BALSAMLATCH_PLACEMENT_WORKERTABLE_H
