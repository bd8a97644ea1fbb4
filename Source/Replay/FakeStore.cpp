/// \file
/// Reads and swaps of the fake store.

#include "FakeStore.h"

#include <utility>

namespace balsamlatch::replay {

namespace {

constexpr Duration OneWay = std::chrono::milliseconds(2);
/// A slow store carries a call out this long after its caller gave up.
constexpr Duration SlowBy = std::chrono::milliseconds(300);

} // namespace

void FakeStore::submit(const StoreRequest &Request, Duration Timeout,
                       const std::function<void(StoreReply)> &Done) {
  const auto GiveUp = [Done] {
    Done({absl::DeadlineExceededError("no answer"), {}});
  };
  switch (Mode) {
  case StoreMode::Down:
    Time.after(Timeout, GiveUp);
    return;
  case StoreMode::LosesAnswers:
    Time.after(OneWay, [this, Request] { apply(Request); });
    Time.after(Timeout, GiveUp);
    return;
  case StoreMode::Slow:
    Time.after(Timeout + SlowBy, [this, Request] { apply(Request); });
    Time.after(Timeout, GiveUp);
    return;
  case StoreMode::Sound:
    Time.after(OneWay, [this, Request, Done] {
      Time.after(OneWay, [Reply = apply(Request), Done] { Done(Reply); });
    });
    return;
  }
}

StoreReply FakeStore::apply(const StoreRequest &Request) {
  if (const auto *Swap = std::get_if<StoreSwap>(&Request)) {
    StoreEntry &Entry = Entries[Swap->Key];
    if (Entry.Version != Swap->ExpectedVersion) {
      return {absl::AbortedError("another version"), Entry};
    }
    Entry = {Entry.Version + 1, Swap->Value};
    return {absl::OkStatus(), Entry};
  }
  if (const auto *Read = std::get_if<StoreRead>(&Request)) {
    return {absl::OkStatus(), Entries[Read->Key]};
  }
  return {absl::UnimplementedError("not used by claims"), {}};
}

} // namespace balsamlatch::replay
