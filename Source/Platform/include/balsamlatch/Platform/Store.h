/// \file
/// The platform's key-value store: compare-and-swap, leases and watches.
/// Requests and replies are values, so that pure state machines can emit and
/// consume them; a Store carries them out.

#ifndef BALSAMLATCH_PLATFORM_STORE_H
#define BALSAMLATCH_PLATFORM_STORE_H

#include "balsamlatch/Base/Clock.h"

#include <absl/status/status.h>
#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <variant>

namespace balsamlatch {

/// Largest value that the store holds, in bytes.
inline constexpr std::size_t MaxStoreValueBytes = 1'000'000;

/// A value and its version. Version 0 means that the key is absent. The
/// version of a key rises with each write and never falls.
struct StoreEntry {
  std::uint64_t Version = 0;
  std::string Value;

  bool present() const { return Version != 0; }
  auto operator<=>(const StoreEntry &) const = default;
};

/// Reads one key.
struct StoreRead {
  std::string Key;

  auto operator<=>(const StoreRead &) const = default;
};

/// Writes the value if the key still has the expected version; 0 expects the
/// key to be absent.
struct StoreSwap {
  std::string Key;
  std::uint64_t ExpectedVersion = 0;
  std::string Value;

  auto operator<=>(const StoreSwap &) const = default;
};

/// Waits until the key's version is greater than the one given, or the wait
/// is over; replies with the entry as it then is.
struct StoreWatch {
  std::string Key;
  std::uint64_t AfterVersion = 0;
  Duration Wait{};

  auto operator<=>(const StoreWatch &) const = default;
};

/// Takes or renews the named lease for the holder. The reply's entry has the
/// holder as its value and the lease's fencing token as its version; the token
/// rises each time that the holder changes.
struct LeaseAcquire {
  std::string Lease;
  std::string Holder;
  Duration TimeToLive{};

  auto operator<=>(const LeaseAcquire &) const = default;
};

/// Gives the lease up, if the holder still has it.
struct LeaseRelease {
  std::string Lease;
  std::string Holder;

  auto operator<=>(const LeaseRelease &) const = default;
};

using StoreRequest =
    std::variant<StoreRead, StoreSwap, StoreWatch, LeaseAcquire, LeaseRelease>;

/// The store's answer.
///
/// Status is
/// - OK: done; Entry is the key's present entry;
/// - Aborted: the version didn't match or the lease is held by another; Entry
///   is the present entry, nothing was written;
/// - Unavailable: the request certainly had no effect;
/// - DeadlineExceeded: no answer; a write may or may not have taken effect.
struct StoreReply {
  absl::Status Status;
  StoreEntry Entry;
};

/// Carries out requests. The callback runs once, on the store's own thread
/// unless the implementation says otherwise.
class Store {
public:
  using Callback = std::function<void(StoreReply)>;

  virtual ~Store() = default;

  virtual void submit(StoreRequest Request, Callback Done) = 0;
};

} // namespace balsamlatch

#endif // BALSAMLATCH_PLATFORM_STORE_H
