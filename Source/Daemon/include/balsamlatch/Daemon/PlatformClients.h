/// \file
/// Clients of the platform: a store with a limit on open calls and a poller of
/// the host list. Both run on the store loop.

#ifndef BALSAMLATCH_DAEMON_PLATFORMCLIENTS_H
#define BALSAMLATCH_DAEMON_PLATFORMCLIENTS_H

#include "balsamlatch/Base/EventLoop.h"
#include "balsamlatch/Daemon/DaemonStatus.h"
#include "balsamlatch/Platform/HostList.h"
#include "balsamlatch/Platform/Store.h"

#include <atomic>
#include <cstddef>
#include <functional>

namespace balsamlatch::daemon {

/// A store that counts its calls and limits how many are open. A call beyond
/// the limit fails as Unavailable without any effect. submit() is thread safe;
/// callbacks run on the store loop.
class LimitedStore final : public Store {
public:
  LimitedStore(EventLoop &StoreLoop, Store &Backend, DaemonStatus &Status);

  void submit(StoreRequest Request, Callback OnReply) override;

private:
  void forward(StoreRequest Request, Callback OnReply);

  EventLoop &StoreLoop;
  Store &Backend;
  DaemonStatus &Status;
  std::atomic<std::size_t> OpenCalls = 0;
};

/// Polls the platform's host list and reports each newer generation.
class HostListPoller {
public:
  HostListPoller(EventLoop &StoreLoop, HostPlatform &Platform,
                 std::function<void(HostListing)> OnListing);

  void start();

private:
  void poll();
  void handleListing(absl::StatusOr<HostListing> Listing);

  EventLoop &StoreLoop;
  HostPlatform &Platform;
  std::function<void(HostListing)> OnListing;
  /// Generation of the last listing; 0 before the first.
  std::uint64_t LastGeneration = 0;
  // Whether a request is open. Invariant: at most one is.
  bool IsPolling = false;
};

} // namespace balsamlatch::daemon

#endif // BALSAMLATCH_DAEMON_PLATFORMCLIENTS_H
