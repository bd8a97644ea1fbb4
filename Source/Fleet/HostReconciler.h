/// \file
/// Reconciles each host with its operation in the ledger: sends the platform's
/// orders, waits for confirmations, and drafts the next state.

#ifndef BALSAMLATCH_FLEET_HOSTRECONCILER_H
#define BALSAMLATCH_FLEET_HOSTRECONCILER_H

#include "Draft.h"
#include "FleetObservations.h"
#include "OrderTracker.h"
#include "balsamlatch/Fleet/Budget.h"

#include <functional>
#include <map>

namespace balsamlatch::fleet {

/// One reconciliation pass over the hosts. Orders are sent only for what a
/// written ledger version says, never for a draft, so that an order's intent is
/// always stored before it is carried out.
class HostReconciler {
public:
  /// A host that isn't back from its reboot after this time is recorded as
  /// lost.
  static constexpr Duration RebootTimeout = std::chrono::minutes(15);
  static constexpr Duration ProbationPeriod = std::chrono::seconds(20);

  struct ReconcileContext {
    /// Prefix of the identifiers of reissued orders.
    const std::string &ControllerId;
    FleetObservations &Observations;
    OrderTracker &Orders;
    Instant Now;
    WallTime Wall;
    std::function<Ticket()> NewTicket;
    std::vector<FleetAction> &Actions;
  };

  HostReconciler(Draft &TargetDraft, ReconcileContext InitialContext)
      : NextLedger(TargetDraft), Context(std::move(InitialContext)) {}

  /// Advances one host by at most one state. Returns what it is waiting for;
  /// the reason is empty if it isn't waiting.
  Blocker reconcile(const HostName &Host);

private:
  Blocker reconcileLeaving(const HostName &Host, const HostRecord &Record);
  Blocker reconcileDrained(const HostName &Host, const HostRecord &Record);
  Blocker reconcileMaintenance(const HostName &Host, const HostRecord &Record);
  Blocker reconcileProbation(const HostName &Host);
  Blocker reconcileFailed(const HostName &Host, const HostRecord &Record);
  Blocker reconcileInService(const HostName &Host);
  Blocker reconcileMove(const HostName &Host, const HostRecord &Record);
  Blocker recall(const HostName &Host, const HostRecord &Record);

  /// Sends the order until the platform has carried it out; returns whether it
  /// has.
  bool ensureOrder(HostOrderKind Kind, const HostName &Host,
                   const Operation &Op);
  /// Sends the assignment until the platform has the host in the pool; returns
  /// whether it has.
  bool ensureAssigned(const HostName &Host, const Operation &Op,
                      const PoolName &Pool);
  /// Moves the failed host that was replaced to the pool that its replacement
  /// left.
  void completeReplacement(const HostRecord &Replacement);
  Blocker orderBlocker(HostOrderKind Kind, const HostName &Host,
                       const Operation &Op) const;
  /// Sends Return until the worker reports that it accepts tasks. The reason is
  /// empty once it does.
  Blocker ensureReturned(const HostName &Host, const Operation &Op);
  /// Why the host isn't confirmed idle and unused by every entry; the reason is
  /// empty if it is.
  Blocker ensureIdle(const HostName &Host, const HostRecord &Record);
  /// Sends an order again whose effect the worker's report doesn't show.
  void reissueOrder(HostOrderKind Kind, const HostName &Host);
  void applyChange(const HostName &Host, HostChange Change, const char *Reason);

  Draft &NextLedger;
  ReconcileContext Context;
};

/// Identifier under which the platform knows one order of an operation.
std::string orderId(const std::string &OperationId, HostOrderKind Kind);

} // namespace balsamlatch::fleet

#endif // BALSAMLATCH_FLEET_HOSTRECONCILER_H
