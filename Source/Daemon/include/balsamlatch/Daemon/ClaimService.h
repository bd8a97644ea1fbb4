/// \file
/// Claims on idempotency keys: makes the store calls of the claim manager and
/// enforces their timeouts. Runs on the store loop.

#ifndef BALSAMLATCH_DAEMON_CLAIMSERVICE_H
#define BALSAMLATCH_DAEMON_CLAIMSERVICE_H

#include "balsamlatch/Base/Clock.h"
#include "balsamlatch/Base/EventLoop.h"
#include "balsamlatch/Daemon/DaemonStatus.h"
#include "balsamlatch/Placement/ClaimManager.h"
#include "balsamlatch/Platform/Store.h"

#include <cstdint>
#include <functional>
#include <map>
#include <variant>
#include <vector>

namespace balsamlatch::daemon {

/// The outcome of a request that asked for a claim.
struct ClaimEnd {
  RequestId Id;
  placement::Outcome Result = placement::Outcome::Unknown;
};

/// Runs the claim manager against the store.
class ClaimService {
public:
  using Input = std::variant<placement::ClaimKey, ClaimEnd>;

  /// \p OnSettled is called on the store loop and must deliver each result.
  ClaimService(EventLoop &StoreLoop, placement::ClaimOptions Options,
               Store &Backend, const Clock &TimeSource, DaemonStatus &Status,
               std::function<void(placement::ClaimSettled)> OnSettled);

  void start();

  /// Queues an input; returns false if the queue is full. Thread safe.
  bool tryPost(Input Request) { return Inbox.tryPost(std::move(Request)); }

  std::size_t ringFill() const { return Inbox.size(); }
  std::uint64_t ringRefusals() const { return Inbox.refusals(); }

private:
  void handleInput(const Input &Request);
  void execute(std::vector<placement::ClaimAction> Actions);
  void call(placement::ClaimStoreCall Call);
  void handleReply(std::uint64_t Ticket, const StoreReply &Reply);
  void tick();
  placement::ClaimTime currentTime() const;

  EventLoop &StoreLoop;
  Store &Backend;
  const Clock &TimeSource;
  DaemonStatus &Status;
  std::function<void(placement::ClaimSettled)> OnSettled;
  placement::ClaimManager Keeper;
  // Store calls without a reply, by ticket, with their deadline.
  std::map<std::uint64_t, Instant> PendingCalls;
  Mailbox<Input> Inbox;
};

} // namespace balsamlatch::daemon

#endif // BALSAMLATCH_DAEMON_CLAIMSERVICE_H
