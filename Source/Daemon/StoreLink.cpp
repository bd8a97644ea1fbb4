/// \file
/// Calls to the store and the host list.

#include "balsamlatch/Daemon/StoreLink.h"

#include <utility>

namespace balsamlatch::daemon {

namespace {

constexpr std::size_t MaxOpenCalls = 1024;
constexpr Duration ListingPeriod = std::chrono::seconds(1);

} // namespace

CountedStore::CountedStore(EventLoop &Loop, Store &Client, Board &Standing)
    : StoreLoop(Loop), Backend(Client), Shown(Standing) {}

void CountedStore::submit(StoreRequest Request, Callback Done) {
  StoreLoop.post(
      [this, Asked = std::move(Request), Tell = std::move(Done)]() mutable {
        forward(std::move(Asked), std::move(Tell));
      });
}

void CountedStore::forward(StoreRequest Request, Callback Done) {
  if (Open >= MaxOpenCalls) {
    ++Shown.Counters.StoreFaults;
    Done({absl::UnavailableError("too many open store calls"), {}});
    return;
  }
  ++Open;
  ++Shown.Counters.StoreCalls;
  Backend.submit(std::move(Request),
                 [this, Tell = std::move(Done)](StoreReply Reply) {
                   --Open;
                   if (absl::IsUnavailable(Reply.Status) ||
                       absl::IsDeadlineExceeded(Reply.Status)) {
                     ++Shown.Counters.StoreFaults;
                   }
                   Tell(std::move(Reply));
                 });
}

ListingPoll::ListingPoll(EventLoop &Loop, HostPlatform &Hosts,
                         std::function<void(HostListing)> Tell)
    : StoreLoop(Loop), Platform(Hosts), Seen(std::move(Tell)) {}

void ListingPoll::start() {
  StoreLoop.post([this] { ask(); });
  StoreLoop.every(ListingPeriod, [this] { ask(); });
}

void ListingPoll::ask() {
  if (Open) {
    return;
  }
  Open = true;
  Platform.list(Generation, [this](absl::StatusOr<HostListing> Listing) {
    StoreLoop.post([this, Taken = std::move(Listing)]() mutable {
      Open = false;
      take(std::move(Taken));
    });
  });
}

void ListingPoll::take(absl::StatusOr<HostListing> Listing) {
  if (Listing.ok() && Listing->Generation > Generation) {
    Generation = Listing->Generation;
    Seen(*std::move(Listing));
  }
}

} // namespace balsamlatch::daemon
