/// \file
/// A controller's side of the controller lease. The lease avoids duplicate
/// work; no guarantee depends on it. A holder that was paused sees by its own
/// clock that the lease may have expired and stops planning until it is
/// renewed.

#ifndef BALSAMLATCH_FLEET_LEASEHOLDER_H
#define BALSAMLATCH_FLEET_LEASEHOLDER_H

#include "balsamlatch/Base/Clock.h"
#include "balsamlatch/Platform/Store.h"

#include <optional>
#include <string>

namespace balsamlatch::fleet {

/// Requests and renews one lease for one holder.
class LeaseHolder {
public:
  static constexpr Duration TimeToLive = std::chrono::seconds(6);
  static constexpr Duration RenewPeriod = TimeToLive / 3;
  /// Request period of entries that aren't candidates, so that the lease is
  /// taken even when no candidate reaches the store.
  static constexpr Duration NonCandidatePeriod = std::chrono::seconds(30);
  /// A reply that takes longer than this counts as lost.
  static constexpr Duration ReplyTimeout = std::chrono::seconds(4);

  LeaseHolder(std::string LeaseName, std::string HolderName)
      : Lease(std::move(LeaseName)), Holder(std::move(HolderName)) {}

  /// The request that is due at \p Now, if any. Only candidates and the holder
  /// ask every RenewPeriod, so that the number of store calls doesn't grow with
  /// the number of entries.
  std::optional<LeaseAcquire> nextRequest(Instant Now, bool IsCandidate);

  void handleReply(const StoreReply &Reply);

  /// Whether the lease is certainly held: the time to live is counted from the
  /// sending of the granted request.
  bool holds(Instant Now) const { return Now < ValidUntil; }

private:
  std::string Lease;
  std::string Holder;
  std::optional<Instant> SentAt;
  std::optional<Instant> LastAttempt;
  // Invariant: at most TimeToLive after the last granted request was sent.
  Instant ValidUntil{};
};

} // namespace balsamlatch::fleet

#endif // BALSAMLATCH_FLEET_LEASEHOLDER_H
