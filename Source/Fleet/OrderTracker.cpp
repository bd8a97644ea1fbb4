/// \file
/// Repeating of the platform's orders until they are done.

#include "OrderTracker.h"

#include <algorithm>

namespace balsamlatch::fleet {

bool OrderBook::settle(const HostOrder &Order, Instant Now, Ticket Of,
                       std::vector<FleetAction> &Out) {
  Entry &Known = Orders[Order.Operation];
  Known.Host = Order.Host;
  if (Known.Done) {
    return true;
  }
  const bool Waiting = Known.InFlight && Now - Known.At < ReplyWait;
  if (!Waiting && Now >= Known.NextTry) {
    Known.InFlight = Of;
    Known.At = Now;
    Out.emplace_back(GiveOrder{Of, Order});
  }
  return false;
}

bool OrderBook::settled(const std::string &Operation) const {
  const auto Found = Orders.find(Operation);
  return Found != Orders.end() && Found->second.Done;
}

Instant OrderBook::settledAt(const std::string &Operation) const {
  return Orders.at(Operation).At;
}

absl::Status OrderBook::refusal(const std::string &Operation) const {
  const auto Found = Orders.find(Operation);
  return Found == Orders.end() ? absl::OkStatus() : Found->second.Last;
}

void OrderBook::replied(const OrderReplied &Reply, Instant Now) {
  const auto Found =
      std::find_if(Orders.begin(), Orders.end(), [&](const auto &Item) {
        return Item.second.InFlight == Reply.Of;
      });
  if (Found == Orders.end()) {
    return;
  }
  Entry &Known = Found->second;
  Known.InFlight.reset();
  Known.Last = Reply.Status;
  Known.Done = Reply.Status.ok();
  Known.At = Now;
  Known.NextTry = Now + RepeatPause;
}

void OrderBook::keepOnly(const std::set<HostName> &Hosts) {
  std::erase_if(Orders, [&](const auto &Item) {
    return !Hosts.contains(Item.second.Host);
  });
}

} // namespace balsamlatch::fleet
