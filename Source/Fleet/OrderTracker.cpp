/// \file
/// Repeats orders to the platform until they are carried out.

#include "OrderTracker.h"

#include <algorithm>

namespace balsamlatch::fleet {

bool OrderTracker::ensureCompleted(const HostOrder &Order, Instant Now,
                                   Ticket OrderTicket,
                                   std::vector<FleetAction> &Actions) {
  OrderState &State = Orders[Order.Operation];
  State.Host = Order.Host;
  if (State.IsCompleted) {
    return true;
  }
  const bool IsWaiting = State.InFlight && Now - State.UpdatedAt < ReplyTimeout;
  if (!IsWaiting && Now >= State.NextAttempt) {
    State.InFlight = OrderTicket;
    State.UpdatedAt = Now;
    Actions.emplace_back(SendHostOrder{OrderTicket, Order});
  }
  return false;
}

bool OrderTracker::completed(const std::string &OperationId) const {
  const auto Position = Orders.find(OperationId);
  return Position != Orders.end() && Position->second.IsCompleted;
}

Instant OrderTracker::completedAt(const std::string &OperationId) const {
  return Orders.at(OperationId).UpdatedAt;
}

absl::Status OrderTracker::lastStatus(const std::string &OperationId) const {
  const auto Position = Orders.find(OperationId);
  return Position == Orders.end() ? absl::OkStatus()
                                  : Position->second.LastStatus;
}

void OrderTracker::recordReply(const HostOrderReplyReceived &Reply,
                               Instant Now) {
  const auto Position =
      std::find_if(Orders.begin(), Orders.end(), [&](const auto &Item) {
        return Item.second.InFlight == Reply.Of;
      });
  if (Position == Orders.end()) {
    return;
  }
  OrderState &State = Position->second;
  State.InFlight.reset();
  State.LastStatus = Reply.Status;
  State.IsCompleted = Reply.Status.ok();
  State.UpdatedAt = Now;
  State.NextAttempt = Now + RetryDelay;
}

void OrderTracker::retainHosts(const std::set<HostName> &Hosts) {
  std::erase_if(Orders, [&](const auto &Item) {
    return !Hosts.contains(Item.second.Host);
  });
}

} // namespace balsamlatch::fleet
