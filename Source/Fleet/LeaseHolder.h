/// \file
/// The holder's side of the controllers' lease. The lease saves work and is no
/// part of any promise: a holder that was paused finds by its own clock that
/// the lease may have run out and stops planning until it is renewed.

#ifndef BALSAMLATCH_FLEET_LEASEHOLDER_H
#define BALSAMLATCH_FLEET_LEASEHOLDER_H

#include "balsamlatch/Base/Clock.h"
#include "balsamlatch/Platform/Store.h"

#include <optional>
#include <string>

namespace balsamlatch::fleet {

class LeaseHolder {
public:
  static constexpr Duration TimeToLive = std::chrono::seconds(6);
  static constexpr Duration RenewPeriod = TimeToLive / 3;
  /// An entry that is no candidate tries this seldom, so that the lease is
  /// taken even when no candidate reaches the store.
  static constexpr Duration SeldomPeriod = std::chrono::seconds(30);
  /// How long an unanswered request is waited for.
  static constexpr Duration ReplyWait = std::chrono::seconds(4);

  LeaseHolder(std::string LeaseName, std::string HolderName)
      : Lease(std::move(LeaseName)), Holder(std::move(HolderName)) {}

  /// The request that is due at \p Now, if any. Only candidates and the holder
  /// ask every RenewPeriod, so that store calls don't grow with the entries.
  std::optional<LeaseAcquire> due(Instant Now, bool Candidate);

  void replied(const StoreReply &Reply);

  /// Whether the lease surely holds: counted from the moment at which the
  /// request that was granted was sent.
  bool holds(Instant Now) const { return Now < Until; }

private:
  std::string Lease;
  std::string Holder;
  std::optional<Instant> SentAt;
  std::optional<Instant> LastTry;
  // Invariant: at most TimeToLive after a request that was granted was sent.
  Instant Until{};
};

} // namespace balsamlatch::fleet

#endif // BALSAMLATCH_FLEET_LEASEHOLDER_H
