/// \file
/// The requests that wait for a slot of one pool. Prompt work goes first, by
/// the latest instant at which it can start; patient work ages into the prompt
/// order; teams within their quota go before teams beyond it.

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

/// A request that waits.
struct Waiting {
  RequestKey Key;
  TeamName Team;
  JobClass Class = JobClass::Prompt;
  /// Latest start that can still meet the deadline.
  Instant LatestStart{};
  /// From this instant on, patient work is ordered among prompt work.
  Instant AgesAt{};
  bool MaySpill = false;

  auto operator<=>(const Waiting &) const = default;
};

/// Not thread safe.
class PoolQueue {
public:
  /// Slots that a team may hold while other teams wait; without one, a team
  /// may hold its equal share of \p Slots among the teams that are active.
  void setSlots(std::uint32_t Slots) { PoolSlots = Slots; }
  void setQuota(const TeamName &Team, std::optional<std::uint32_t> Slots);

  void push(const Waiting &Item);
  /// False if the request doesn't wait here.
  bool remove(RequestKey Key);

  /// The request to start next, or null.
  const Waiting *next(Instant Now);
  /// The next prompt request, aged patient ones included.
  const Waiting *nextUrgent(Instant Now);
  /// The next prompt request that may run on the spare pool.
  const Waiting *nextSpill() const { return head(Spill); }
  /// The next patient request that hasn't aged.
  const Waiting *nextPatient(Instant Now);

  /// Whether the request waits here as patient work that hasn't aged.
  bool waitsUnaged(RequestKey Key) const;

  /// A request got a slot; a request of the team gave its slot back.
  void started(const TeamName &Name, JobClass Class);
  void ended(const TeamName &Name);

  std::size_t size() const { return Items.size(); }
  bool empty() const { return Items.empty(); }
  std::uint32_t prompt() const { return Prompt; }
  std::uint32_t patient() const {
    return static_cast<std::uint32_t>(Items.size()) - Prompt;
  }
  /// Requests in prompt order, aged patient ones included.
  std::uint32_t urgent() const {
    return static_cast<std::uint32_t>(Items.size() - Ageing.size());
  }
  /// Patient requests that haven't aged.
  std::uint32_t unaged() const {
    return static_cast<std::uint32_t>(Ageing.size());
  }
  /// Prompt requests that may run on the spare pool.
  std::uint32_t spillable() const { return Spillable; }
  /// Latest start of the most urgent prompt request.
  std::optional<Instant> earliestLatestStart() const;

private:
  enum Lane { Spill, Fixed, Patient, LaneCount };

  using Order = std::pair<Instant, RequestKey>;
  struct Rank {
    bool BeyondQuota = false;
    Order Head;
    TeamName Team;

    auto operator<=>(const Rank &) const = default;
  };
  struct Team {
    std::set<Order> Waits[LaneCount];
    // Invariant: the team's entry in Ranks, while the lane isn't empty.
    std::optional<Rank> Ranked[LaneCount];
    std::uint32_t InUse = 0;
    std::optional<std::uint32_t> Quota;

    bool active() const;
  };
  struct Item {
    Waiting What;
    Lane In = Fixed;
  };

  static Lane laneOf(const Waiting &What);
  void rank(const TeamName &Name, Team &T);
  void age(Instant Now);
  bool beyondQuota(const Team &T) const;
  const Waiting *head(Lane In) const;
  Team &teamFor(const TeamName &Name);
  void forgetIfIdle(const TeamName &Name);

  std::uint32_t PoolSlots = 0;
  std::uint32_t ActiveTeams = 0;
  std::uint32_t Prompt = 0;
  std::uint32_t Spillable = 0;
  std::uint32_t PromptInRow = 0;
  std::unordered_map<RequestKey, Item> Items;
  std::map<TeamName, Team> Teams;
  // Invariant: one rank for each team with waiting requests in the lane.
  std::set<Rank> Ranks[LaneCount];
  // Invariant: holds exactly the requests of the Patient lane.
  std::set<Order> Ageing;
};

} // namespace balsamlatch::placement

#endif // BALSAMLATCH_PLACEMENT_POOLQUEUE_H
