/// \file
/// Tracks the orders that this controller has sent to the platform. An order is
/// sent again under the same operation identifier until the platform confirms
/// that it is carried out.

#ifndef BALSAMLATCH_FLEET_ORDERTRACKER_H
#define BALSAMLATCH_FLEET_ORDERTRACKER_H

#include "balsamlatch/Fleet/Controller.h"

#include <absl/status/status.h>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace balsamlatch::fleet {

/// The state of each order, by operation identifier.
class OrderTracker {
public:
  /// Delay between a failed reply and the next attempt.
  static constexpr Duration RetryDelay = std::chrono::seconds(2);
  /// A reply that takes longer than this counts as lost.
  static constexpr Duration ReplyTimeout = std::chrono::seconds(5);

  /// Returns whether the platform has carried out the order. If not, and an
  /// attempt is due, adds the order to \p Actions.
  bool ensureCompleted(const HostOrder &Order, Instant Now, Ticket OrderTicket,
                       std::vector<FleetAction> &Actions);

  bool completed(const std::string &OperationId) const;
  /// When the platform confirmed the order, which must be completed.
  Instant completedAt(const std::string &OperationId) const;
  /// The platform's last answer to the order; OK if there is none.
  absl::Status lastStatus(const std::string &OperationId) const;

  void recordReply(const HostOrderReplyReceived &Reply, Instant Now);

  /// Drops the orders of all other hosts.
  void retainHosts(const std::set<HostName> &Hosts);

private:
  struct OrderState {
    HostName Host;
    bool IsCompleted = false;
    std::optional<Ticket> InFlight;
    Instant UpdatedAt{};
    Instant NextAttempt{};
    absl::Status LastStatus;
  };

  std::map<std::string, OrderState> Orders;
};

} // namespace balsamlatch::fleet

#endif // BALSAMLATCH_FLEET_ORDERTRACKER_H
