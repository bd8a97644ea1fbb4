/// \file
/// What the control of a fleet needs of its surroundings, besides the store:
/// workers that take orders, the hosts that they run on, and placement
/// policies.

#ifndef BALSAMLATCH_CONTROL_PORTS_H
#define BALSAMLATCH_CONTROL_PORTS_H

#include "balsamlatch/Dispatch/Hosts.h"
#include "balsamlatch/Dispatch/Orders.h"
#include "balsamlatch/Dispatch/Permits.h"

#include <functional>

namespace balsamlatch::control {

/// Carries orders to workers. Callbacks run once, on the caller's event loop.
class WorkerPort {
public:
  using Done = std::function<void(dispatch::OrderOutcome)>;
  using HoldDone =
      std::function<void(dispatch::OrderOutcome, dispatch::HoldReport)>;

  virtual ~WorkerPort() = default;
  virtual void hold(const dispatch::HoldOrder &Order, HoldDone Answered) = 0;
  virtual void start(const dispatch::StartOrder &Order, Done Answered) = 0;
  virtual void stop(const dispatch::StopOrder &Order, Done Answered) = 0;
  virtual void pace(const dispatch::PaceOrder &Order, Done Answered) = 0;
};

/// Asks the service that decides for placement policies.
class PolicyPort {
public:
  using Done = std::function<void(absl::StatusOr<dispatch::PermitReply>)>;

  virtual ~PolicyPort() = default;
  /// How many questions are answered side by side.
  virtual std::size_t slots() const { return 1; }
  virtual void ask(const dispatch::PermitQuery &Query, Done Answered) = 0;
};

enum class HostOutcome {
  Done,
  /// Not up, or leaving; nothing was done.
  Busy,
  /// A later holder has ordered the host; nothing was done.
  Fenced,
  /// Makes no sense for the host; nothing was done.
  Invalid,
  /// Too many calls, or the platform is away; nothing was done.
  Unavailable,
  /// No answer: it may have been done.
  Unknown,
};

/// Identifies the holder in orders about hosts.
struct HolderIdentity {
  std::string Name;
  dispatch::FencingToken Token;

  auto operator<=>(const HolderIdentity &) const = default;
};

/// Moves and maintains hosts. All that runs on an ordered host ends.
class HostPort {
public:
  using Listed =
      std::function<void(absl::StatusOr<std::vector<dispatch::HostRecord>>)>;
  using Done = std::function<void(HostOutcome)>;

  virtual ~HostPort() = default;
  virtual void list(Listed Answered) = 0;
  virtual void move(const HolderIdentity &By, const HostName &Host,
                    const PoolName &To, Done Answered) = 0;
  virtual void maintain(const HolderIdentity &By, const HostName &Host,
                        std::uint64_t Wave, Done Answered) = 0;
};

} // namespace balsamlatch::control

#endif // BALSAMLATCH_CONTROL_PORTS_H
