/// \file
/// Writes the ledger with at most one request in flight. If the reply to a
/// write is lost, the ledger is read back and the writer's token in it shows
/// whether the write took effect.

#ifndef BALSAMLATCH_FLEET_LEDGERWRITER_H
#define BALSAMLATCH_FLEET_LEDGERWRITER_H

#include "balsamlatch/Base/Clock.h"
#include "balsamlatch/Fleet/Ledger.h"
#include "balsamlatch/Platform/Store.h"

#include <optional>
#include <string>

namespace balsamlatch::fleet {

/// Not thread safe. The caller drops replies that don't belong to the request
/// in flight.
class LedgerWriter {
public:
  enum class Outcome {
    /// The write took effect.
    Written,
    /// Another writer was first; nothing was written.
    Conflict,
    /// The store didn't accept the request; nothing was written.
    NotWritten,
    /// No reply: the ledger must be read before the next write.
    Unknown
  };

  /// Delay after a store error or a lost reply, doubled with each further one
  /// up to the maximum.
  static constexpr Duration MinRetryDelay = std::chrono::milliseconds(250);
  static constexpr Duration MaxRetryDelay = std::chrono::seconds(4);
  /// A reply that takes longer than this counts as lost.
  static constexpr Duration ReplyTimeout = std::chrono::seconds(5);

  LedgerWriter(std::string StoreKey, std::string TokenPrefix)
      : Key(std::move(StoreKey)), Prefix(std::move(TokenPrefix)) {}

  /// Whether a request may be sent now.
  bool ready(Instant Now) const;
  /// The token of the last write.
  const std::string &token() const { return Token; }
  bool outcomeUnknown() const { return OutcomeUnknown; }
  /// Whether the request in flight is a write.
  bool swapInFlight() const { return SentAt && SwapInFlight; }

  /// Returns the write of \p NextLedger over \p BaseVersion, with a new token.
  StoreSwap makeSwap(Ledger NextLedger, std::uint64_t BaseVersion, Instant Now);

  /// Returns the read that settles an unknown outcome or fetches the ledger.
  StoreRead makeRead(Instant Now);

  Outcome handleSwapReply(const StoreReply &Reply, Instant Now);

  /// Written or Conflict if the read settles an unknown outcome; NotWritten if
  /// the ledger is still at the expected version or no outcome was unknown.
  Outcome handleReadReply(const StoreReply &Reply, Instant Now);

  /// Gives up on a request whose ReplyTimeout has passed. Returns whether it
  /// did.
  bool expire(Instant Now);

private:
  void backOff(Instant Now);

  std::string Key;
  std::string Prefix;
  std::uint64_t SwapCount = 0;
  // Invariant: at most one request in flight.
  std::optional<Instant> SentAt;
  bool SwapInFlight = false;
  bool OutcomeUnknown = false;
  std::string Token;
  std::uint64_t ExpectedVersion = 0;
  Instant NextRequestTime{};
  Duration RetryDelay = MinRetryDelay;
};

} // namespace balsamlatch::fleet

#endif // BALSAMLATCH_FLEET_LEDGERWRITER_H
