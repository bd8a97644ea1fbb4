/// \file
/// The platform's orders that this controller has given: which are in flight,
/// which are settled, and when one is due again. An order is repeated under
/// the same operation identifier until the platform says that it is done.

#ifndef BALSAMLATCH_FLEET_ORDERTRACKER_H
#define BALSAMLATCH_FLEET_ORDERTRACKER_H

#include "balsamlatch/Fleet/Controller.h"

#include <absl/status/status.h>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace balsamlatch::fleet {

class OrderBook {
public:
  /// Pause before an order is repeated.
  static constexpr Duration RepeatPause = std::chrono::seconds(2);
  /// After this long without a reply the answer counts as lost.
  static constexpr Duration ReplyWait = std::chrono::seconds(5);

  /// Whether the platform has carried the order out. When it has not, and the
  /// order is due, adds it to \p Out.
  bool settle(const HostOrder &Order, Instant Now, Ticket Of,
              std::vector<FleetAction> &Out);

  bool settled(const std::string &Operation) const;
  /// When the platform said that the order is done; must be settled.
  Instant settledAt(const std::string &Operation) const;
  /// The platform's last refusal; OK: none.
  absl::Status refusal(const std::string &Operation) const;

  void replied(const OrderReplied &Reply, Instant Now);

  /// Drops the orders of hosts that have no operation in hand.
  void keepOnly(const std::set<HostName> &Hosts);

private:
  struct Entry {
    HostName Host;
    bool Done = false;
    std::optional<Ticket> InFlight;
    Instant At{};
    Instant NextTry{};
    absl::Status Last;
  };

  std::map<std::string, Entry> Orders;
};

} // namespace balsamlatch::fleet

#endif // BALSAMLATCH_FLEET_ORDERTRACKER_H
