/// \file
/// Compare-and-swap of the ledger, and recovery from lost replies.

#include "LedgerWriter.h"

#include <algorithm>

namespace balsamlatch::fleet {

bool LedgerWriter::ready(Instant Now) const {
  return !SentAt && Now >= NextRequestTime;
}

StoreSwap LedgerWriter::makeSwap(Ledger NextLedger, std::uint64_t BaseVersion,
                                 Instant Now) {
  Token = Prefix + "-" + std::to_string(++SwapCount);
  NextLedger.WriterToken = Token;
  ExpectedVersion = BaseVersion;
  SentAt = Now;
  SwapInFlight = true;
  return StoreSwap{Key, BaseVersion, encodeLedger(NextLedger)};
}

StoreRead LedgerWriter::makeRead(Instant Now) {
  SentAt = Now;
  SwapInFlight = false;
  return StoreRead{Key};
}

LedgerWriter::Outcome LedgerWriter::handleSwapReply(const StoreReply &Reply,
                                                    Instant Now) {
  SentAt.reset();
  if (Reply.Status.ok()) {
    RetryDelay = MinRetryDelay;
    return Outcome::Written;
  }
  if (absl::IsAborted(Reply.Status)) {
    RetryDelay = MinRetryDelay;
    return Outcome::Conflict;
  }
  backOff(Now);
  if (absl::IsUnavailable(Reply.Status)) {
    return Outcome::NotWritten;
  }
  OutcomeUnknown = true;
  return Outcome::Unknown;
}

LedgerWriter::Outcome LedgerWriter::handleReadReply(const StoreReply &Reply,
                                                    Instant Now) {
  SentAt.reset();
  if (!Reply.Status.ok()) {
    backOff(Now);
    return OutcomeUnknown ? Outcome::Unknown : Outcome::NotWritten;
  }
  RetryDelay = MinRetryDelay;
  const bool WasUnknown = OutcomeUnknown;
  OutcomeUnknown = false;
  // A write that is still in transit either loses against the next swap or
  // makes that one a conflict, because both expect the same version.
  if (!WasUnknown || Reply.Entry.Version == ExpectedVersion) {
    return Outcome::NotWritten;
  }
  const absl::StatusOr<Ledger> StoredLedger = decodeLedger(Reply.Entry.Value);
  return StoredLedger.ok() && StoredLedger->WriterToken == Token
             ? Outcome::Written
             : Outcome::Conflict;
}

bool LedgerWriter::expire(Instant Now) {
  if (!SentAt || Now - *SentAt < ReplyTimeout) {
    return false;
  }
  SentAt.reset();
  OutcomeUnknown = OutcomeUnknown || SwapInFlight;
  backOff(Now);
  return true;
}

void LedgerWriter::backOff(Instant Now) {
  NextRequestTime = Now + RetryDelay;
  RetryDelay = std::min(RetryDelay * 2, MaxRetryDelay);
}

} // namespace balsamlatch::fleet
