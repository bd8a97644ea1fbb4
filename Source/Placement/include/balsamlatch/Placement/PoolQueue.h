/// \file
/// The requests that wait for a slot of one pool. Prompt requests are ordered
/// by the latest start that still meets their deadline. Patient requests join
/// the prompt order once they have aged. Teams within their slot quota go
/// before teams over it.

#ifndef BALSAMLATCH_PLACEMENT_POOLQUEUE_H
#define BALSAMLATCH_PLACEMENT_POOLQUEUE_H

#include "balsamlatch/Base/Clock.h"
#include "balsamlatch/Base/Ids.h"
#include "balsamlatch/Rules/RuleSet.h"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>

namespace balsamlatch::placement {

/// Number of a request within one engine, in order of arrival.
using RequestKey = Number<struct RequestKeyTag>;

/// A request that waits for a slot.
struct QueuedRequest {
  RequestKey Key;
  TeamName Team;
  JobClass Class = JobClass::Prompt;
  /// Latest start that can still meet the deadline.
  Instant LatestStart{};
  /// From this instant on, a patient request is ordered among the prompt ones.
  Instant AgingTime{};
  bool MaySpill = false;

  auto operator<=>(const QueuedRequest &) const = default;
};

/// Not thread safe.
class PoolQueue {
public:
  /// Total slots of the pool. A team without a quota may hold an equal share of
  /// them, divided among the active teams, while other teams wait.
  void setSlots(std::uint32_t Slots) { PoolSlots = Slots; }
  void setQuota(const TeamName &Name, std::optional<std::uint32_t> Slots);

  void push(const QueuedRequest &Waiter);
  /// Returns false if the request isn't queued here.
  bool remove(RequestKey Key);

  /// The request to start next, or null if the queue is empty.
  const QueuedRequest *next(Instant Now);
  /// The next request in prompt order, aged patient requests included.
  const QueuedRequest *nextUrgent(Instant Now);
  /// The next prompt request that may run on the spare pool.
  const QueuedRequest *nextSpill() const { return head(Spill); }
  /// The next patient request that hasn't aged.
  const QueuedRequest *nextPatient(Instant Now);

  /// Whether the request is queued here as a patient request that hasn't aged.
  bool isUnaged(RequestKey Key) const;

  /// Counts the slots that each team holds.
  void acquireSlot(const TeamName &Name, JobClass Class);
  void releaseSlot(const TeamName &Name);

  std::size_t size() const { return Items.size(); }
  bool empty() const { return Items.empty(); }
  std::uint32_t promptCount() const { return PromptCount; }
  std::uint32_t patientCount() const {
    return static_cast<std::uint32_t>(Items.size()) - PromptCount;
  }
  /// Requests in prompt order, aged patient requests included.
  std::uint32_t urgentCount() const {
    return static_cast<std::uint32_t>(Items.size() - AgingQueue.size());
  }
  /// Patient requests that haven't aged.
  std::uint32_t unagedCount() const {
    return static_cast<std::uint32_t>(AgingQueue.size());
  }
  /// Prompt requests that may run on the spare pool.
  std::uint32_t spillableCount() const { return SpillableCount; }
  /// Latest start of the most urgent prompt request.
  std::optional<Instant> earliestLatestStart() const;

private:
  enum Lane { Spill, NoSpill, Patient, LaneCount };

  using Order = std::pair<Instant, RequestKey>;
  struct Rank {
    bool IsOverQuota = false;
    Order Head;
    TeamName Team;

    auto operator<=>(const Rank &) const = default;
  };
  struct TeamState {
    std::set<Order> Requests[LaneCount];
    // Invariant: a copy of the team's element in Ranks, set while the lane has
    // requests of the team.
    std::optional<Rank> LaneRank[LaneCount];
    std::uint32_t SlotsInUse = 0;
    std::optional<std::uint32_t> Quota;

    bool isActive() const;
  };
  struct Item {
    QueuedRequest Waiter;
    Lane CurrentLane = NoSpill;
  };

  static Lane laneOf(const QueuedRequest &Waiter);
  void updateRanks(const TeamName &Name, TeamState &State);
  void ageRequests(Instant Now);
  bool isOverQuota(const TeamState &State) const;
  const QueuedRequest *head(Lane LaneIndex) const;
  TeamState &teamState(const TeamName &Name);
  void eraseIfIdle(const TeamName &Name);

  std::uint32_t PoolSlots = 0;
  std::uint32_t ActiveTeamCount = 0;
  std::uint32_t PromptCount = 0;
  std::uint32_t SpillableCount = 0;
  std::uint32_t PromptStartsInRow = 0;
  std::unordered_map<RequestKey, Item> Items;
  std::map<TeamName, TeamState> Teams;
  // Invariant: one element for each team with requests in the lane; the first
  // one is served next.
  std::set<Rank> Ranks[LaneCount];
  // Invariant: exactly the requests of the Patient lane, by aging time.
  std::set<Order> AgingQueue;
};

} // namespace balsamlatch::placement

#endif // BALSAMLATCH_PLACEMENT_POOLQUEUE_H
