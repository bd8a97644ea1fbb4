/// \file
/// Interfaces to the external services that the leader uses besides the store:
/// workers, the platform's hosts and the placement policy service.

#ifndef BALSAMLATCH_CONTROL_PORTS_H
#define BALSAMLATCH_CONTROL_PORTS_H

#include "balsamlatch/Dispatch/Hosts.h"
#include "balsamlatch/Dispatch/Orders.h"
#include "balsamlatch/Dispatch/Permits.h"

#include <functional>

namespace balsamlatch::control {

/// Sends orders to workers. Callbacks run once, on the caller's event loop.
class WorkerPort {
public:
  using ReplyCallback = std::function<void(dispatch::OrderReply)>;
  using RenewCallback =
      std::function<void(dispatch::OrderOutcome, dispatch::RenewReport)>;

  virtual ~WorkerPort() = default;
  virtual void renew(const dispatch::RenewOrder &Order,
                     RenewCallback Callback) = 0;
  virtual void start(const dispatch::StartOrder &Order,
                     ReplyCallback Callback) = 0;
  virtual void stop(const dispatch::StopOrder &Order,
                    ReplyCallback Callback) = 0;
  virtual void pace(const dispatch::PaceOrder &Order,
                    ReplyCallback Callback) = 0;
};

/// Queries the service that decides on placement policies.
class PolicyPort {
public:
  using ReplyCallback =
      std::function<void(absl::StatusOr<dispatch::PermitReply>)>;

  virtual ~PolicyPort() = default;
  /// Number of queries that can be in flight at a time.
  virtual std::size_t slots() const { return 1; }
  virtual void ask(const dispatch::PermitQuery &Query,
                   ReplyCallback Callback) = 0;
};

enum class HostOutcome {
  Done,
  /// The host is not up, or is leaving; the order had no effect.
  Busy,
  /// A newer leader has ordered the host; the order had no effect.
  Fenced,
  /// The order doesn't apply to the host; it had no effect.
  Invalid,
  /// Rate limit, or the platform is unreachable; the order had no effect.
  Unavailable,
  /// No reply; the order may have been carried out.
  Unknown,
};

/// Identifies the leader in orders about hosts.
struct LeaderIdentity {
  std::string Name;
  dispatch::FencingToken Token;

  auto operator<=>(const LeaderIdentity &) const = default;
};

/// Lists, moves and maintains hosts. An order ends everything that runs on the
/// host.
class HostPort {
public:
  using ListCallback =
      std::function<void(absl::StatusOr<std::vector<dispatch::HostRecord>>)>;
  using ReplyCallback = std::function<void(HostOutcome)>;

  virtual ~HostPort() = default;
  virtual void list(ListCallback Callback) = 0;
  virtual void move(const LeaderIdentity &Leader, const HostName &Host,
                    const PoolName &Pool, ReplyCallback Callback) = 0;
  virtual void maintain(const LeaderIdentity &Leader, const HostName &Host,
                        std::uint64_t Wave, ReplyCallback Callback) = 0;
};

} // namespace balsamlatch::control

#endif // BALSAMLATCH_CONTROL_PORTS_H
