/// \file
/// Renewal of the controllers' lease.

#include "LeaseHolder.h"

namespace balsamlatch::fleet {

std::optional<LeaseAcquire> LeaseHolder::due(Instant Now, bool Candidate) {
  if (SentAt && Now - *SentAt < ReplyWait) {
    return std::nullopt;
  }
  const Duration Period = Candidate || holds(Now) ? RenewPeriod : SeldomPeriod;
  if (LastTry && Now < *LastTry + Period) {
    return std::nullopt;
  }
  SentAt = Now;
  LastTry = Now;
  return LeaseAcquire{Lease, Holder, TimeToLive};
}

void LeaseHolder::replied(const StoreReply &Reply) {
  if (!SentAt) {
    return;
  }
  if (Reply.Status.ok() && Reply.Entry.Value == Holder) {
    Until = *SentAt + TimeToLive;
  } else if (absl::IsAborted(Reply.Status)) {
    Until = Instant{};
  }
  SentAt.reset();
}

} // namespace balsamlatch::fleet
