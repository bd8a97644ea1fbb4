/// \file
/// Claims on idempotency keys, on the store loop: the keeper's calls to the
/// store and their time bounds.

#ifndef BALSAMLATCH_DAEMON_CLAIMLINK_H
#define BALSAMLATCH_DAEMON_CLAIMLINK_H

#include "balsamlatch/Base/Clock.h"
#include "balsamlatch/Base/EventLoop.h"
#include "balsamlatch/Daemon/Board.h"
#include "balsamlatch/Placement/ClaimKeeper.h"
#include "balsamlatch/Platform/Store.h"

#include <cstdint>
#include <functional>
#include <map>
#include <variant>
#include <vector>

namespace balsamlatch::daemon {

/// How a request that asked for a claim ended.
struct ClaimEnd {
  RequestId Id;
  placement::Outcome End = placement::Outcome::Unknown;
};

class ClaimLink {
public:
  using Input = std::variant<placement::ClaimKey, ClaimEnd>;

  /// \p Settled is called on the store loop and must not be lost.
  ClaimLink(EventLoop &StoreLoop, placement::ClaimOptions Options,
            Store &Backend, const Clock &TimeSource, Board &Shown,
            std::function<void(placement::ClaimSettled)> Settled);

  void start();

  /// Hands over unless full. Thread safe.
  bool tryPost(Input Asked) { return Inbox.tryPost(std::move(Asked)); }

  std::size_t ringFill() const { return Inbox.size(); }
  std::uint64_t ringRefusals() const { return Inbox.refusals(); }

private:
  void take(const Input &Asked);
  void carryOut(std::vector<placement::ClaimAction> Actions);
  void call(placement::ClaimStoreCall Call);
  void replied(std::uint64_t Ticket, const StoreReply &Reply);
  void tick();
  placement::ClaimTime time() const;

  EventLoop &StoreLoop;
  Store &Backend;
  const Clock &TimeSource;
  Board &Shown;
  std::function<void(placement::ClaimSettled)> Settled;
  placement::ClaimKeeper Keeper;
  // Calls without a reply, with the time at which they count as lost.
  std::map<std::uint64_t, Instant> Calls;
  Mailbox<Input> Inbox;
};

} // namespace balsamlatch::daemon

#endif // BALSAMLATCH_DAEMON_CLAIMLINK_H
