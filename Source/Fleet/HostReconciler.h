/// \file
/// Carries each operation in hand one step further: gives the platform's
/// orders, waits for the confirmations, and drafts the next state.

#ifndef BALSAMLATCH_FLEET_HOSTRECONCILER_H
#define BALSAMLATCH_FLEET_HOSTRECONCILER_H

#include "Draft.h"
#include "FleetObservations.h"
#include "OrderTracker.h"
#include "balsamlatch/Fleet/Budget.h"

#include <functional>
#include <map>

namespace balsamlatch::fleet {

/// One round over the hosts. Orders follow the ledger as it is written, never
/// the draft: intent comes first.
class HostSteps {
public:
  /// A host that does not come back from a reboot in this time is lost.
  static constexpr Duration ReturnWait = std::chrono::minutes(15);
  static constexpr Duration Probation = std::chrono::seconds(20);

  struct Context {
    /// Names this controller in the identifiers of its repairs.
    const std::string &Self;
    Facts &Observed;
    OrderBook &Orders;
    Instant Now;
    WallTime Wall;
    std::function<Ticket()> NewTicket;
    std::vector<FleetAction> &Out;
  };

  HostSteps(Draft &Drafted, Context Surroundings)
      : Next(Drafted), Around(std::move(Surroundings)) {}

  /// Steps one host. Returns why it waits; an empty reason: it does not.
  Hindrance step(const HostName &Host);

private:
  Hindrance stepLeaving(const HostName &Host, const HostRecord &Record);
  Hindrance stepDrained(const HostName &Host, const HostRecord &Record);
  Hindrance stepMaintenance(const HostName &Host, const HostRecord &Record);
  Hindrance stepProbation(const HostName &Host);
  Hindrance stepFailed(const HostName &Host, const HostRecord &Record);
  Hindrance stepInService(const HostName &Host);
  Hindrance stepMove(const HostName &Host, const HostRecord &Record);
  Hindrance recall(const HostName &Host, const HostRecord &Record);

  /// Whether the platform has carried out the order of the operation in hand.
  bool ordered(HostOrderKind Kind, const HostName &Host, const Operation &Hand);
  /// Whether the platform has the host in the pool.
  bool assigned(const HostName &Host, const Operation &Hand,
                const PoolName &Pool);
  /// Gives the pool's place of the host that was replaced.
  void endReplacement(const HostRecord &Healthy);
  Hindrance waitForOrder(HostOrderKind Kind, const HostName &Host,
                         const Operation &Hand) const;
  /// Gives Return and waits until the worker says that it accepts tasks.
  Hindrance waitForReturn(const HostName &Host, const Operation &Hand);
  /// Why the host is not surely idle and out of use; empty: it is.
  Hindrance waitForIdle(const HostName &Host, const HostRecord &Record);
  /// Repeats an order that the worker's report shows undone.
  void repair(HostOrderKind Kind, const HostName &Host);
  void finish(const HostName &Host, HostChange Change, const char *Reason);

  Draft &Next;
  Context Around;
};

/// The platform's identifier of one order of an operation.
std::string orderId(const std::string &Operation, HostOrderKind Kind);

} // namespace balsamlatch::fleet

#endif // BALSAMLATCH_FLEET_HOSTRECONCILER_H
