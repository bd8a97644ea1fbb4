/// \file
/// Passes requests, store replies and timeouts to the claim manager.

#include "balsamlatch/Daemon/ClaimService.h"

#include <absl/status/status.h>
#include <utility>

namespace balsamlatch::daemon {

namespace {

constexpr std::size_t InboxCapacity = 32'768;

} // namespace

ClaimService::ClaimService(
    EventLoop &Loop, placement::ClaimOptions Options, Store &Client,
    const Clock &Time, DaemonStatus &SharedStatus,
    std::function<void(placement::ClaimSettled)> SettledCallback)
    : StoreLoop(Loop), Backend(Client), TimeSource(Time), Status(SharedStatus),
      OnSettled(std::move(SettledCallback)), Keeper(std::move(Options)),
      Inbox(Loop, InboxCapacity,
            [this](const Input &Request) { handleInput(Request); }) {}

void ClaimService::start() {
  StoreLoop.every(placement::TickPeriod, [this] { tick(); });
}

void ClaimService::handleInput(const Input &Request) {
  if (const auto *Key = std::get_if<placement::ClaimKey>(&Request)) {
    execute(Keeper.claim(*Key, currentTime()));
  } else {
    const auto &Completion = std::get<ClaimEnd>(Request);
    execute(Keeper.ended(Completion.Id, Completion.Result, currentTime()));
  }
}

void ClaimService::execute(std::vector<placement::ClaimAction> Actions) {
  for (placement::ClaimAction &Action : Actions) {
    if (auto *Call = std::get_if<placement::ClaimStoreCall>(&Action)) {
      call(std::move(*Call));
      continue;
    }
    auto &Settlement = std::get<placement::ClaimSettled>(Action);
    switch (Settlement.Result) {
    case placement::ClaimResult::Won:
      ++Status.Counters.ClaimsWon;
      break;
    case placement::ClaimResult::Taken:
    case placement::ClaimResult::BodyMismatch:
      ++Status.Counters.ClaimsTaken;
      break;
    case placement::ClaimResult::Unavailable:
      ++Status.Counters.ClaimsUnavailable;
      break;
    }
    OnSettled(std::move(Settlement));
  }
}

void ClaimService::call(placement::ClaimStoreCall Call) {
  const std::uint64_t Ticket = Call.Ticket;
  PendingCalls[Ticket] = TimeSource.now() + Call.Timeout;
  Backend.submit(std::move(Call.Request), [this, Ticket](StoreReply Reply) {
    StoreLoop.post([this, Ticket, Answer = std::move(Reply)] {
      handleReply(Ticket, Answer);
    });
  });
}

void ClaimService::handleReply(std::uint64_t Ticket, const StoreReply &Reply) {
  if (PendingCalls.erase(Ticket) > 0) {
    execute(Keeper.replied(Ticket, Reply, currentTime()));
  }
}

void ClaimService::tick() {
  const Instant Now = TimeSource.now();
  std::vector<std::uint64_t> ExpiredCalls;
  for (const auto &[Ticket, Deadline] : PendingCalls) {
    if (Now >= Deadline) {
      ExpiredCalls.push_back(Ticket);
    }
  }
  for (const std::uint64_t Ticket : ExpiredCalls) {
    handleReply(Ticket,
                {absl::DeadlineExceededError("the store did not answer"), {}});
  }
  execute(Keeper.tick(currentTime()));
}

placement::ClaimTime ClaimService::currentTime() const {
  return {TimeSource.now(), TimeSource.wallNow()};
}

} // namespace balsamlatch::daemon
