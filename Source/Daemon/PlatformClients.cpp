/// \file
/// Limits store calls and polls the host list.

#include "balsamlatch/Daemon/PlatformClients.h"

#include <utility>

namespace balsamlatch::daemon {

namespace {

constexpr std::size_t MaxOpenCalls = 1024;
constexpr Duration ListingPeriod = std::chrono::seconds(1);

} // namespace

LimitedStore::LimitedStore(EventLoop &Loop, Store &Client,
                           DaemonStatus &SharedStatus)
    : StoreLoop(Loop), Backend(Client), Status(SharedStatus) {}

void LimitedStore::submit(StoreRequest Request, Callback OnReply) {
  StoreLoop.post([this, StoreCall = std::move(Request),
                  Handler = std::move(OnReply)]() mutable {
    forward(std::move(StoreCall), std::move(Handler));
  });
}

void LimitedStore::forward(StoreRequest Request, Callback OnReply) {
  if (OpenCalls >= MaxOpenCalls) {
    ++Status.Counters.StoreFaults;
    OnReply({absl::UnavailableError("too many open store calls"), {}});
    return;
  }
  ++OpenCalls;
  ++Status.Counters.StoreCalls;
  Backend.submit(std::move(Request),
                 [this, Handler = std::move(OnReply)](StoreReply Reply) {
                   --OpenCalls;
                   if (absl::IsUnavailable(Reply.Status) ||
                       absl::IsDeadlineExceeded(Reply.Status)) {
                     ++Status.Counters.StoreFaults;
                   }
                   Handler(std::move(Reply));
                 });
}

HostListPoller::HostListPoller(EventLoop &Loop, HostPlatform &HostSource,
                               std::function<void(HostListing)> ListingHandler)
    : StoreLoop(Loop), Platform(HostSource),
      OnListing(std::move(ListingHandler)) {}

void HostListPoller::start() {
  StoreLoop.post([this] { poll(); });
  StoreLoop.every(ListingPeriod, [this] { poll(); });
}

void HostListPoller::poll() {
  if (IsPolling) {
    return;
  }
  IsPolling = true;
  Platform.list(LastGeneration, [this](absl::StatusOr<HostListing> Listing) {
    StoreLoop.post([this, Result = std::move(Listing)]() mutable {
      IsPolling = false;
      handleListing(std::move(Result));
    });
  });
}

void HostListPoller::handleListing(absl::StatusOr<HostListing> Listing) {
  if (Listing.ok() && Listing->Generation > LastGeneration) {
    LastGeneration = Listing->Generation;
    OnListing(*std::move(Listing));
  }
}

} // namespace balsamlatch::daemon
