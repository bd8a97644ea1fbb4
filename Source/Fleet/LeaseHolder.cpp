/// \file
/// Requesting and renewal of the controller lease.

#include "LeaseHolder.h"

namespace balsamlatch::fleet {

std::optional<LeaseAcquire> LeaseHolder::nextRequest(Instant Now,
                                                     bool IsCandidate) {
  if (SentAt && Now - *SentAt < ReplyTimeout) {
    return std::nullopt;
  }
  const Duration Period =
      IsCandidate || holds(Now) ? RenewPeriod : NonCandidatePeriod;
  if (LastAttempt && Now < *LastAttempt + Period) {
    return std::nullopt;
  }
  SentAt = Now;
  LastAttempt = Now;
  return LeaseAcquire{Lease, Holder, TimeToLive};
}

void LeaseHolder::handleReply(const StoreReply &Reply) {
  if (!SentAt) {
    return;
  }
  if (Reply.Status.ok() && Reply.Entry.Value == Holder) {
    ValidUntil = *SentAt + TimeToLive;
  } else if (absl::IsAborted(Reply.Status)) {
    ValidUntil = Instant{};
  }
  SentAt.reset();
}

} // namespace balsamlatch::fleet
