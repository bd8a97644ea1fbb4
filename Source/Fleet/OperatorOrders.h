/// \file
/// The queue of the owners' orders. Each order is drafted on the latest ledger
/// until it is written or refused. Every controller may take orders; the
/// ledger's compare-and-swap guarantees the budgets.

#ifndef BALSAMLATCH_FLEET_OPERATORORDERS_H
#define BALSAMLATCH_FLEET_OPERATORORDERS_H

#include "Draft.h"
#include "balsamlatch/Fleet/Budget.h"

#include <vector>

namespace balsamlatch::fleet {

/// Owners' orders that aren't answered yet.
class OperatorOrders {
public:
  /// How long an order waits for the store before it is answered with an error.
  static constexpr Duration StoreTimeout = std::chrono::seconds(10);

  explicit OperatorOrders(std::string OperationPrefix)
      : IdPrefix(std::move(OperationPrefix)) {}

  void enqueue(const OwnerOrderReceived &Request, Instant Now);
  bool empty() const { return PendingOrders.empty(); }

  /// Drafts every order that is possible, and answers the others.
  void draftAll(Draft &NextLedger, const RuleSet *Rules,
                const RequiredHostCounts &RequiredHosts, WallTime Wall,
                std::vector<FleetAction> &Actions);

  /// The last draft was written: answers its orders.
  void confirmWritten(std::vector<FleetAction> &Actions);
  /// The last draft wasn't written: its orders are drafted again.
  void resetDrafted();

  /// Answers the orders whose StoreTimeout has passed.
  void expire(Instant Now, std::vector<FleetAction> &Actions);

private:
  struct Order {
    OwnerOrderReceived Request;
    std::string OperationId;
    Instant EnqueuedAt{};
    bool InDraft = false;
    /// Whether a draft with this order may have been written.
    bool MayBeWritten = false;
  };

  /// OK if the order is in the draft or already in the ledger.
  absl::Status draftOrder(const Order &PendingOrder, Draft &NextLedger,
                          const RuleSet *Rules,
                          const RequiredHostCounts &RequiredHosts,
                          WallTime Wall) const;
  absl::Status beginHostOperation(const Order &PendingOrder, OperationKind Kind,
                                  Draft &NextLedger, const RuleSet *Rules,
                                  const RequiredHostCounts &RequiredHosts,
                                  WallTime Wall) const;

  std::string IdPrefix;
  std::uint64_t RequestCount = 0;
  std::vector<Order> PendingOrders;
};

} // namespace balsamlatch::fleet

#endif // BALSAMLATCH_FLEET_OPERATORORDERS_H
