/// \file
/// Claims on idempotency keys in the store, so that a non-idempotent request
/// runs at most once, whichever entry its caller repeats it through. A state
/// machine without I/O: it emits store calls and receives their replies.

#ifndef BALSAMLATCH_PLACEMENT_CLAIMMANAGER_H
#define BALSAMLATCH_PLACEMENT_CLAIMMANAGER_H

#include "balsamlatch/Placement/ClaimShard.h"
#include "balsamlatch/Placement/Events.h"
#include "balsamlatch/Platform/Store.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace balsamlatch::placement {

struct ClaimOptions {
  /// Prefix of the store keys of the shards.
  std::string KeyPrefix = "claims/";
  /// Number of shards; must be the same in every entry.
  std::uint32_t ShardCount = 8;
  std::size_t MaxShardBytes = 500'000;
  /// How long a key is remembered after the last instant at which its request
  /// may run.
  Duration RepeatWindow = std::chrono::minutes(10);
  /// Largest difference between the wall clocks of two entries.
  Duration ClockSkew = std::chrono::minutes(1);
  /// Limit on the store calls for claims, per second.
  double CallsPerSecond = 50;
  Duration CallTimeout = std::chrono::milliseconds(500);
  /// Outcomes are written after this delay unless a claim of the same shard is
  /// written earlier.
  Duration OutcomeDelay = std::chrono::seconds(2);
};

/// A store call that the embedding program makes; it passes the reply back with
/// the ticket.
struct ClaimStoreCall {
  std::uint64_t Ticket = 0;
  StoreRequest Request;
  /// After this time the embedding program replies DeadlineExceeded.
  Duration Timeout{};
};

using ClaimAction = std::variant<ClaimStoreCall, ClaimSettled>;

/// Monotonic and wall-clock time, read together.
struct ClaimTime {
  Instant Now{};
  WallTime Wall{};
};

/// Not thread safe.
///
/// A claim holds the dispatch deadline of its request. It outlives that
/// deadline by the longest run, which is at most as long as the time to the
/// deadline, plus the repeat window and the clock skew. So no entry can win the
/// key again while the first request may still start or run.
class ClaimManager {
public:
  explicit ClaimManager(ClaimOptions Options);

  std::vector<ClaimAction> claim(const ClaimKey &KeyClaim, ClaimTime Time);

  std::vector<ClaimAction> replied(std::uint64_t Ticket,
                                   const StoreReply &Reply, ClaimTime Time);

  /// Records the outcome of a request that won its claim. NotRun releases the
  /// key.
  std::vector<ClaimAction> ended(const RequestId &Id, Outcome FinalOutcome,
                                 ClaimTime Time);

  /// Call every TickPeriod.
  std::vector<ClaimAction> tick(ClaimTime Time);

  /// Number of claims that wait for the store.
  std::size_t pendingClaims() const { return PendingClaims.size(); }
  /// Number of store calls made since the start.
  std::uint64_t callCount() const { return LastTicket; }

private:
  struct PendingClaim {
    ClaimRecord Record;
    std::string Digest;
    std::uint32_t ShardIndex = 0;
    Instant Deadline{};
    // Set while a write that contains the claim may have taken effect.
    bool MayBeWritten = false;
    /// Value of MayBeWritten before the write in flight.
    bool WasMaybeWritten = false;
  };
  struct ShardState {
    // Invariant: the value that the store held at Version, if IsContentKnown.
    ClaimShard Content;
    std::uint64_t Version = 0;
    bool IsContentKnown = false;
    // Invariant: ticket of the only call in flight; 0 if there is none.
    std::uint64_t InFlightTicket = 0;
    // Text of the write in flight; empty for a read.
    std::string InFlightText;
    Instant RetryTime{};
    unsigned FailureCount = 0;
    std::set<RequestId> ClaimIds;
    // Outcomes to write. NotRun, which also stands for an expired claim,
    // removes the claim.
    std::map<RequestId, Outcome> PendingOutcomes;
    Instant OutcomesDue = Instant::max();
  };

  void startCallIfDue(std::uint32_t Index);
  void startDueCalls();
  void sendCall(std::uint32_t Index, StoreRequest Request);
  void writeShard(std::uint32_t Index);
  bool updateContent(ShardState &State, const StoreReply &Reply);
  void settleClaims(ShardState &State);
  void applyOutcomes(ShardState &State);
  void settleClaim(const RequestId &Id, ClaimResult Result,
                   std::optional<Outcome> PriorOutcome = std::nullopt);
  void expireClaims();
  bool takeCallToken();
  std::string shardKey(std::uint32_t Index) const;

  const ClaimOptions Options;
  ClaimTime CurrentTime;
  std::vector<ShardState> Shards;
  std::unordered_map<RequestId, PendingClaim> PendingClaims;
  // Claims whose outcome is not recorded yet, with the digest of their key.
  struct WonClaim {
    std::string Digest;
    std::uint32_t ShardIndex = 0;
  };
  std::unordered_map<RequestId, WonClaim> WonClaims;
  std::set<std::pair<Instant, RequestId>> ClaimDeadlines;
  std::unordered_map<std::uint64_t, std::uint32_t> ShardByTicket;
  std::uint64_t LastTicket = 0;
  std::uint32_t NextShard = 0;
  double CallTokens = 0;
  Instant LastRefill{};
  std::vector<ClaimAction> Actions;
};

} // namespace balsamlatch::placement

#endif // BALSAMLATCH_PLACEMENT_CLAIMMANAGER_H
