/// \file
/// The owners' orders: each is drafted on the newest ledger until it is
/// written or refused. Any controller may take one; the ledger's
/// compare-and-swap keeps the promises.

#ifndef BALSAMLATCH_FLEET_OPERATORORDERS_H
#define BALSAMLATCH_FLEET_OPERATORORDERS_H

#include "Draft.h"
#include "balsamlatch/Fleet/Budget.h"

#include <vector>

namespace balsamlatch::fleet {

class OperatorOrders {
public:
  /// How long an order waits for the store before it is answered.
  static constexpr Duration StoreWait = std::chrono::seconds(10);

  explicit OperatorOrders(std::string OperationPrefix)
      : Prefix(std::move(OperationPrefix)) {}

  void take(const OperatorAsked &Asked, Instant Now);
  bool empty() const { return Waiting.empty(); }

  /// Drafts the orders that are possible and answers those that are not.
  void apply(Draft &Next, const RuleSet *Rules, const HostsNeeded &Needed,
             WallTime Wall, std::vector<FleetAction> &Out);

  /// The last draft was written: its orders are answered.
  void written(std::vector<FleetAction> &Out);
  /// The last draft was not written; its orders are drafted anew.
  void notWritten();

  /// Answers the orders that have waited for the store for too long.
  void expire(Instant Now, std::vector<FleetAction> &Out);

private:
  struct Order {
    OperatorAsked Asked;
    std::string Operation;
    Instant Since{};
    bool Drafted = false;
    /// A draft with this order may have been written.
    bool Tried = false;
  };

  /// OK: the order stands in the draft, or stood in the ledger already.
  absl::Status draft(const Order &Given, Draft &Next, const RuleSet *Rules,
                     const HostsNeeded &Needed, WallTime Wall) const;
  absl::Status begin(const Order &Given, OperationKind Kind, Draft &Next,
                     const RuleSet *Rules, const HostsNeeded &Needed,
                     WallTime Wall) const;

  std::string Prefix;
  std::uint64_t Count = 0;
  std::vector<Order> Waiting;
};

} // namespace balsamlatch::fleet

#endif // BALSAMLATCH_FLEET_OPERATORORDERS_H
