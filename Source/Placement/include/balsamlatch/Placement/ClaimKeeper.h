/// \file
/// Claims on idempotency keys in the store, so that a non-idempotent request
/// runs at most once whichever entries its caller repeats it through. A state
/// machine without I/O: it emits store calls and is told their replies.

#ifndef BALSAMLATCH_PLACEMENT_CLAIMKEEPER_H
#define BALSAMLATCH_PLACEMENT_CLAIMKEEPER_H

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
  /// Prefix of the shards' keys in the store.
  std::string KeyPrefix = "claims/";
  /// Must be the same in every entry.
  std::uint32_t Shards = 8;
  std::size_t MaxShardBytes = 500'000;
  /// How long after its last possible run a key is remembered.
  Duration RepeatWindow = std::chrono::minutes(10);
  /// Most difference between the calendar clocks of two entries.
  Duration ClockSkew = std::chrono::minutes(1);
  /// Store calls a second that this entry makes for claims at most.
  double CallsPerSecond = 50;
  Duration CallTimeout = std::chrono::milliseconds(500);
  /// Ends of requests wait this long for a claim to be written along with.
  Duration EndDelay = std::chrono::seconds(2);
};

/// A call that the shell makes; the reply is handed back with the ticket.
struct ClaimStoreCall {
  std::uint64_t Ticket = 0;
  StoreRequest Request;
  /// After this time the shell replies DeadlineExceeded.
  Duration Timeout{};
};

using ClaimAction = std::variant<ClaimStoreCall, ClaimSettled>;

/// Now and the calendar time, read together.
struct ClaimTime {
  Instant Now{};
  WallTime Wall{};
};

/// Not thread safe.
///
/// A claim line holds the last instant at which its request may be
/// dispatched. The line outlives that instant by the longest run, which is no
/// longer than the deadline, plus the repeat window and the clock skew, so no
/// entry can win the key again while the first request may still start or run.
class ClaimKeeper {
public:
  explicit ClaimKeeper(ClaimOptions Options);

  std::vector<ClaimAction> claim(const ClaimKey &Wanted, ClaimTime At);

  std::vector<ClaimAction> replied(std::uint64_t Ticket,
                                   const StoreReply &Reply, ClaimTime At);

  /// How a request that won its claim ended. NotRun gives the key free.
  std::vector<ClaimAction> ended(const RequestId &Id, Outcome End,
                                 ClaimTime At);

  /// Call every TickPeriod.
  std::vector<ClaimAction> tick(ClaimTime At);

  /// Claims that wait for the store.
  std::size_t waiting() const { return Waits.size(); }
  /// Store calls made since the start.
  std::uint64_t calls() const { return LastTicket; }

private:
  struct Wait {
    ClaimLine Line;
    std::string Digest;
    std::uint32_t Shard = 0;
    Instant GiveUp{};
    // Set while a write with the line may have taken effect.
    bool MayBeWritten = false;
    /// MayBeWritten before the write in flight.
    bool WrittenEarlier = false;
  };
  struct Shard {
    // Invariant: what the store held at Version, if Known.
    ClaimShard Content;
    std::uint64_t Version = 0;
    bool Known = false;
    // Invariant: the ticket of the only call in flight; 0: none.
    std::uint64_t InFlight = 0;
    // The text of the write in flight; empty: a read.
    std::string Writing;
    Instant RetryAt{};
    unsigned Faults = 0;
    std::set<RequestId> Claims;
    // Ends to write; NotRun and given up claims remove their line.
    std::map<RequestId, Outcome> Ends;
    Instant EndsDue = Instant::max();
  };

  void kick(std::uint32_t Index);
  void kickAll();
  void call(std::uint32_t Index, StoreRequest Request);
  void write(std::uint32_t Index);
  bool takeContent(Shard &S, const StoreReply &Reply);
  void settleFromContent(Shard &S);
  void applyEnds(Shard &S);
  void settle(const RequestId &Id, ClaimResult Result,
              std::optional<Outcome> First = std::nullopt);
  void giveUpLate();
  bool takeCall();
  std::string shardKey(std::uint32_t Index) const;

  const ClaimOptions Options;
  ClaimTime Time;
  std::vector<Shard> Shards;
  std::unordered_map<RequestId, Wait> Waits;
  // Claims won and not ended, with the digest of their key.
  struct Held {
    std::string Digest;
    std::uint32_t Shard = 0;
  };
  std::unordered_map<RequestId, Held> Won;
  std::set<std::pair<Instant, RequestId>> GiveUps;
  std::unordered_map<std::uint64_t, std::uint32_t> Tickets;
  std::uint64_t LastTicket = 0;
  std::uint32_t NextShard = 0;
  double Calls = 0;
  Instant CallsAt{};
  std::vector<ClaimAction> Out;
};

} // namespace balsamlatch::placement

#endif // BALSAMLATCH_PLACEMENT_CLAIMKEEPER_H
