/// \file
/// The slots of one pool that this entry holds for one queue: grants not yet
/// used, and slots in use. It decides when to ask the pool's scheduler, and
/// notices when no scheduler answers.

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

/// What a queue wants of a pool now.
struct SlotDemand {
  std::uint32_t Prompt = 0;
  std::uint32_t Patient = 0;
  std::optional<Instant> EarliestDeadline;

  auto operator<=>(const SlotDemand &) const = default;
};

/// Not thread safe.
class SlotHolder {
public:
  SlotHolder(PoolName Of, PoolName Queue)
      : Pool(std::move(Of)), For(std::move(Queue)) {}

  /// Another entry schedules the pool from now on: ask it at once.
  void setScheduler(const EntryName &Entry);
  const EntryName &scheduler() const { return Scheduler; }

  /// Takes over a grant. One from another entry than the scheduler is void.
  void granted(const EntryName &From, const SlotGrant &Grant, Instant Now);

  /// Uses a grant of the class on a host that \p Suits. Lapsed grants are
  /// never used. Empty: none.
  std::optional<HostName>
  take(JobClass Class, Instant Now,
       const std::function<bool(const HostName &)> &Suits);

  /// A slot came into use, or is free again.
  void started(const HostName &Host, JobClass Class);
  void ended(const HostName &Host, JobClass Class);

  /// The message to send now, if one is due. \p Avoid is called only then. To
  /// a scheduler in this entry, \p OnlyChanges leaves out the hosts whose
  /// number of slots is as in the last ask, unless that was long ago.
  std::optional<SlotAsk>
  ask(const SlotDemand &Wanted, Instant Now, bool OnlyChanges,
      const std::function<std::vector<HostName>()> &Avoid);

  /// Whether the last ask named only the hosts whose number changed.
  bool lastAskWasChanges() const { return AskedChanges; }
  /// No scheduler answers: choose without grants.
  bool unanswered(Instant Now) const;
  /// The scheduler said that the pool has no free slot.
  bool poolFull() const { return Heard && Free == 0; }
  bool idle() const { return Unused.empty() && InUse.empty(); }
  std::uint32_t unused() const {
    return static_cast<std::uint32_t>(Unused.size());
  }

private:
  struct Unspent {
    HostName Host;
    JobClass Class = JobClass::Prompt;
    Instant VoidAt{};
  };

  void lapse(Instant Now);
  SlotAsk compose(const SlotDemand &Wanted, Instant Now, bool OnlyChanges);
  std::uint32_t held(const HostName &Host) const;

  PoolName Pool;
  PoolName For;
  EntryName Scheduler;
  std::list<Unspent> Unused;
  std::map<HostName, std::uint32_t> InUse;
  std::uint32_t PatientInUse = 0;
  bool AskedChanges = false;
  // Hosts whose number of held slots may differ from the last ask.
  std::set<HostName> Changed;
  SlotDemand LastDemand;
  // Holdings shrank since the last ask.
  bool Shrunk = false;
  bool Heard = false;
  std::uint32_t Free = 0;
  std::uint64_t Sequence = 0;
  std::uint64_t LastGrant = 0;
  std::optional<Instant> LastAsk;
  // The first ask since the scheduler was last heard.
  std::optional<Instant> UnansweredSince;
};

} // namespace balsamlatch::placement

#endif // BALSAMLATCH_PLACEMENT_SLOTHOLDER_H
