/// \file
/// Compare-and-swap of the ledger and the settling of lost answers.

#include "LedgerWriter.h"

#include <algorithm>

namespace balsamlatch::fleet {

bool LedgerWriter::ready(Instant Now) const {
  return !SentAt && Now >= NotBefore;
}

StoreSwap LedgerWriter::swap(Ledger Next, std::uint64_t Expected, Instant Now) {
  Token = Prefix + "-" + std::to_string(++Count);
  Next.WriterToken = Token;
  ExpectedVersion = Expected;
  SentAt = Now;
  SwapInFlight = true;
  return StoreSwap{Key, Expected, encodeLedger(Next)};
}

StoreRead LedgerWriter::read(Instant Now) {
  SentAt = Now;
  SwapInFlight = false;
  return StoreRead{Key};
}

LedgerWriter::Outcome LedgerWriter::swapReplied(const StoreReply &Reply,
                                                Instant Now) {
  SentAt.reset();
  if (Reply.Status.ok()) {
    Pause = ShortestPause;
    return Outcome::Written;
  }
  if (absl::IsAborted(Reply.Status)) {
    Pause = ShortestPause;
    return Outcome::Conflict;
  }
  pause(Now);
  if (absl::IsUnavailable(Reply.Status)) {
    return Outcome::NotWritten;
  }
  Unsettled = true;
  return Outcome::Unsettled;
}

LedgerWriter::Outcome LedgerWriter::readReplied(const StoreReply &Reply,
                                                Instant Now) {
  SentAt.reset();
  if (!Reply.Status.ok()) {
    pause(Now);
    return Unsettled ? Outcome::Unsettled : Outcome::NotWritten;
  }
  Pause = ShortestPause;
  const bool WasUnsettled = Unsettled;
  Unsettled = false;
  // A write that is still on its way loses against the next swap, or wins and
  // makes that one a conflict: both expect the same version.
  if (!WasUnsettled || Reply.Entry.Version == ExpectedVersion) {
    return Outcome::NotWritten;
  }
  const absl::StatusOr<Ledger> Present = decodeLedger(Reply.Entry.Value);
  return Present.ok() && Present->WriterToken == Token ? Outcome::Written
                                                       : Outcome::Conflict;
}

bool LedgerWriter::expire(Instant Now) {
  if (!SentAt || Now - *SentAt < ReplyWait) {
    return false;
  }
  SentAt.reset();
  Unsettled = Unsettled || SwapInFlight;
  pause(Now);
  return true;
}

void LedgerWriter::pause(Instant Now) {
  NotBefore = Now + Pause;
  Pause = std::min(Pause * 2, LongestPause);
}

} // namespace balsamlatch::fleet
