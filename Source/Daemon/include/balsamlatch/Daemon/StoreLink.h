/// \file
/// The daemon's calls to the platform: counted, bounded in number, and with
/// the replies on the thread that asked. Runs on the store loop.

#ifndef BALSAMLATCH_DAEMON_STORELINK_H
#define BALSAMLATCH_DAEMON_STORELINK_H

#include "balsamlatch/Base/EventLoop.h"
#include "balsamlatch/Daemon/Board.h"
#include "balsamlatch/Platform/HostList.h"
#include "balsamlatch/Platform/Store.h"

#include <atomic>
#include <cstddef>
#include <functional>

namespace balsamlatch::daemon {

/// A store that counts its calls and refuses those beyond its bound as
/// Unavailable, which certainly had no effect. Thread safe; callbacks run on
/// the store loop.
class CountedStore final : public Store {
public:
  CountedStore(EventLoop &StoreLoop, Store &Backend, Board &Shown);

  void submit(StoreRequest Request, Callback Done) override;

private:
  void forward(StoreRequest Request, Callback Done);

  EventLoop &StoreLoop;
  Store &Backend;
  Board &Shown;
  std::atomic<std::size_t> Open = 0;
};

/// Asks the platform for its list of hosts again and again, and hands on each
/// newer one.
class ListingPoll {
public:
  ListingPoll(EventLoop &StoreLoop, HostPlatform &Platform,
              std::function<void(HostListing)> Seen);

  void start();

private:
  void ask();
  void take(absl::StatusOr<HostListing> Listing);

  EventLoop &StoreLoop;
  HostPlatform &Platform;
  std::function<void(HostListing)> Seen;
  /// Generation of the last listing; 0: none yet.
  std::uint64_t Generation = 0;
  // Invariant: at most one question is open.
  bool Open = false;
};

} // namespace balsamlatch::daemon

#endif // BALSAMLATCH_DAEMON_STORELINK_H
