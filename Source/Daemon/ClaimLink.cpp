/// \file
/// Drives the claim keeper.

#include "balsamlatch/Daemon/ClaimLink.h"

#include <absl/status/status.h>
#include <utility>

namespace balsamlatch::daemon {

namespace {

constexpr std::size_t InboxCapacity = 32'768;

} // namespace

ClaimLink::ClaimLink(EventLoop &Loop, placement::ClaimOptions Options,
                     Store &Client, const Clock &Time, Board &Standing,
                     std::function<void(placement::ClaimSettled)> Tell)
    : StoreLoop(Loop), Backend(Client), TimeSource(Time), Shown(Standing),
      Settled(std::move(Tell)), Keeper(std::move(Options)),
      Inbox(Loop, InboxCapacity, [this](const Input &Asked) { take(Asked); }) {}

void ClaimLink::start() {
  StoreLoop.every(placement::TickPeriod, [this] { tick(); });
}

void ClaimLink::take(const Input &Asked) {
  if (const auto *Key = std::get_if<placement::ClaimKey>(&Asked)) {
    carryOut(Keeper.claim(*Key, time()));
  } else {
    const auto &Ended = std::get<ClaimEnd>(Asked);
    carryOut(Keeper.ended(Ended.Id, Ended.End, time()));
  }
}

void ClaimLink::carryOut(std::vector<placement::ClaimAction> Actions) {
  for (placement::ClaimAction &Wanted : Actions) {
    if (auto *Call = std::get_if<placement::ClaimStoreCall>(&Wanted)) {
      call(std::move(*Call));
      continue;
    }
    auto &Told = std::get<placement::ClaimSettled>(Wanted);
    switch (Told.Result) {
    case placement::ClaimResult::Won:
      ++Shown.Counters.ClaimsWon;
      break;
    case placement::ClaimResult::Taken:
    case placement::ClaimResult::OtherBody:
      ++Shown.Counters.ClaimsTaken;
      break;
    case placement::ClaimResult::Unavailable:
      ++Shown.Counters.ClaimsUnavailable;
      break;
    }
    Settled(std::move(Told));
  }
}

void ClaimLink::call(placement::ClaimStoreCall Call) {
  const std::uint64_t Ticket = Call.Ticket;
  Calls[Ticket] = TimeSource.now() + Call.Timeout;
  Backend.submit(std::move(Call.Request), [this, Ticket](StoreReply Reply) {
    StoreLoop.post(
        [this, Ticket, Answer = std::move(Reply)] { replied(Ticket, Answer); });
  });
}

void ClaimLink::replied(std::uint64_t Ticket, const StoreReply &Reply) {
  if (Calls.erase(Ticket) > 0) {
    carryOut(Keeper.replied(Ticket, Reply, time()));
  }
}

void ClaimLink::tick() {
  const Instant Now = TimeSource.now();
  std::vector<std::uint64_t> Late;
  for (const auto &[Ticket, Bound] : Calls) {
    if (Now >= Bound) {
      Late.push_back(Ticket);
    }
  }
  for (const std::uint64_t Ticket : Late) {
    replied(Ticket,
            {absl::DeadlineExceededError("the store did not answer"), {}});
  }
  carryOut(Keeper.tick(time()));
}

placement::ClaimTime ClaimLink::time() const {
  return {TimeSource.now(), TimeSource.wallNow()};
}

} // namespace balsamlatch::daemon
