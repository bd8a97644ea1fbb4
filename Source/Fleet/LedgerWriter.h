/// \file
/// Writes the ledger: one compare-and-swap in flight, and a lost answer is
/// settled by reading back and looking for the writer's token.

#ifndef BALSAMLATCH_FLEET_LEDGERWRITER_H
#define BALSAMLATCH_FLEET_LEDGERWRITER_H

#include "balsamlatch/Base/Clock.h"
#include "balsamlatch/Fleet/Ledger.h"
#include "balsamlatch/Platform/Store.h"

#include <optional>
#include <string>

namespace balsamlatch::fleet {

/// Not thread safe. Takes replies in any order; those that don't belong to the
/// request in flight are the caller's to drop.
class LedgerWriter {
public:
  enum class Outcome {
    /// The write took effect.
    Written,
    /// Another writer was first; nothing was written.
    Conflict,
    /// The store did not take the request; nothing was written.
    NotWritten,
    /// No answer: read back before anything else is written.
    Unsettled
  };

  /// Pause after a fault of the store, doubled up to the longest.
  static constexpr Duration ShortestPause = std::chrono::milliseconds(250);
  static constexpr Duration LongestPause = std::chrono::seconds(4);
  /// After this long without a reply the answer counts as lost.
  static constexpr Duration ReplyWait = std::chrono::seconds(5);

  LedgerWriter(std::string StoreKey, std::string TokenPrefix)
      : Key(std::move(StoreKey)), Prefix(std::move(TokenPrefix)) {}

  /// Whether a new request may be made now.
  bool ready(Instant Now) const;
  /// The token of the last write.
  const std::string &token() const { return Token; }
  bool unsettled() const { return Unsettled; }
  /// Whether the request in flight is a write.
  bool swapping() const { return SentAt && SwapInFlight; }

  /// Makes the write of \p Next over \p Expected, with a new token.
  StoreSwap swap(Ledger Next, std::uint64_t Expected, Instant Now);

  /// Makes the read that settles a lost answer or learns the ledger.
  StoreRead read(Instant Now);

  Outcome swapReplied(const StoreReply &Reply, Instant Now);

  /// Written or Conflict once the read settles what was unsettled; NotWritten
  /// when the ledger is still at the expected version.
  Outcome readReplied(const StoreReply &Reply, Instant Now);

  /// Gives up on a request that got no reply at all. Returns whether it did.
  bool expire(Instant Now);

private:
  void pause(Instant Now);

  std::string Key;
  std::string Prefix;
  std::uint64_t Count = 0;
  // Invariant: at most one request in flight.
  std::optional<Instant> SentAt;
  bool SwapInFlight = false;
  bool Unsettled = false;
  std::string Token;
  std::uint64_t ExpectedVersion = 0;
  Instant NotBefore{};
  Duration Pause = ShortestPause;
};

} // namespace balsamlatch::fleet

#endif // BALSAMLATCH_FLEET_LEDGERWRITER_H
