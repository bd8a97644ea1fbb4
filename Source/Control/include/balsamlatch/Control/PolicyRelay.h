/// \file
/// Distributes queries to the policy service over all entry processes. The
/// service handles the calls of one host sequentially, and a decision takes
/// much longer than a call to another entry; a leader that sent all queries
/// itself could place only a few steps per second.

#ifndef BALSAMLATCH_CONTROL_POLICYRELAY_H
#define BALSAMLATCH_CONTROL_POLICYRELAY_H

#include "balsamlatch/Control/EntryRegistry.h"
#include "balsamlatch/Control/Ports.h"
#include "balsamlatch/Http/Client.h"
#include "balsamlatch/Http/Server.h"

#include <map>

namespace balsamlatch::control {

/// Path under which an entry queries the policy service for the leader, for
/// POST.
inline constexpr std::string_view PermitPath = "/permits";

class PolicyRelay final : public PolicyPort {
public:
  /// \p LocalAdapter queries the service from this host.
  PolicyRelay(const Clock &TimeSource, PolicyPort &LocalAdapter,
              http::Client &Client);

  /// Adds a query slot for each new entry, and updates the addresses of known
  /// ones.
  void setOtherEntries(const std::vector<EntryRecord> &Entries);
  std::size_t slots() const override;

  void ask(const dispatch::PermitQuery &Query, ReplyCallback Callback) override;
  /// Handles a query that a leader on another entry has forwarded.
  void serve(const http::Exchange &Exchange);

private:
  struct QuerySlot {
    EntryRecord Entry;
    bool InUse = false;
    /// Not used before this time, after a failed query.
    Instant BackoffUntil{};
  };

  QuerySlot *findFreeSlot();
  void queryEntry(QuerySlot &Slot, const dispatch::PermitQuery &Query,
                  ReplyCallback Callback);

  const Clock &Time;
  PolicyPort &LocalPolicies;
  http::Client &PeerClient;
  std::map<std::string, QuerySlot> Slots;
};

std::string encodeQuery(const dispatch::PermitQuery &Query);
absl::StatusOr<dispatch::PermitQuery> decodeQuery(std::string_view Text);
http::Response
encodePermits(const absl::StatusOr<dispatch::PermitReply> &Reply);
absl::StatusOr<dispatch::PermitReply>
decodePermits(const http::Response &Message);

} // namespace balsamlatch::control

#endif // BALSAMLATCH_CONTROL_POLICYRELAY_H
