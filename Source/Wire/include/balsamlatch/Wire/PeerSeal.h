/// \file
/// Message authentication and replay protection for the batches between
/// entries: an HMAC over sender, receiver, incarnation, sequence, time and
/// body.

#ifndef BALSAMLATCH_WIRE_PEERSEAL_H
#define BALSAMLATCH_WIRE_PEERSEAL_H

#include "balsamlatch/Base/Clock.h"
#include "balsamlatch/Base/Ids.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace balsamlatch::wire {

/// Authentication data of a batch, sent in one HTTP header field.
struct Seal {
  EntryName From;
  EntryName To;
  std::uint64_t Incarnation = 0;
  std::uint64_t Sequence = 0;
  /// Time by the sender's clock.
  WallTime SentAt{};
  /// HMAC-SHA256, in hexadecimal.
  std::string Digest;

  auto operator<=>(const Seal &) const = default;
};

/// Returns "from=... to=... incarnation=... sequence=... sent=... digest=..."
std::string formatSeal(const Seal &Header);
absl::StatusOr<Seal> parseSeal(std::string_view Text);

/// Minimum length of the secret that all entries share.
inline constexpr std::size_t MinSecretBytes = 32;

/// Authenticates the batches that this entry sends. Not thread safe.
class Sealer {
public:
  Sealer(EntryName Self, std::uint64_t Incarnation, std::string Secret);

  Seal seal(const EntryName &To, std::string_view Body, WallTime Now);

private:
  EntryName Self;
  std::uint64_t Incarnation;
  std::string Secret;
  std::uint64_t NextSequence = 1;
};

/// Verifies the batches that this entry receives. Not thread safe.
class SealChecker {
public:
  /// Largest accepted difference between the sender's and this entry's clock.
  static constexpr Duration MaxClockSkew = std::chrono::seconds(30);

  SealChecker(EntryName Self, std::string Secret);

  /// Unauthenticated: wrong receiver, digest or time. AlreadyExists: a replay,
  /// a sequence older than the replay window, or an older incarnation.
  absl::Status check(const Seal &Header, std::string_view Body, WallTime Now);

private:
  struct ReplayWindow {
    std::uint64_t Incarnation = 0;
    std::uint64_t HighestSequence = 0;
    /// Bit i is set if sequence HighestSequence - i was accepted.
    std::uint64_t ReceivedBits = 0;
  };

  absl::Status checkReplay(const Seal &Header);

  EntryName Self;
  std::string Secret;
  // Invariant: only senders of a batch with a valid digest have a window, so
  // that forged batches can't fill the map.
  std::map<EntryName, ReplayWindow> ReplayWindows;
};

} // namespace balsamlatch::wire

#endif // BALSAMLATCH_WIRE_PEERSEAL_H
