/// \file
/// Authentication of batches between entries: a keyed digest over sender,
/// receiver, time, sequence and body; replays are refused.

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

/// What goes with a batch's body, as HTTP header fields.
struct Seal {
  EntryName From;
  EntryName To;
  std::uint64_t Incarnation = 0;
  std::uint64_t Sequence = 0;
  /// The sender's calendar time.
  WallTime SentAt{};
  /// HMAC-SHA256 in hexadecimal.
  std::string Digest;

  auto operator<=>(const Seal &) const = default;
};

/// "from=... to=... incarnation=... sequence=... sent=... digest=..."
std::string formatSeal(const Seal &Value);
absl::StatusOr<Seal> parseSeal(std::string_view Text);

/// Shared secret of the entries, at least 32 bytes.
inline constexpr std::size_t LeastSecretBytes = 32;

/// Seals what this entry sends. Not thread safe.
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

/// Checks what this entry receives. Not thread safe.
class SealChecker {
public:
  /// Largest difference between the sender's and this entry's calendar time.
  static constexpr Duration MostSkew = std::chrono::seconds(30);

  SealChecker(EntryName Self, std::string Secret);

  /// Unauthenticated: wrong receiver, digest or time. AlreadyExists: a replay,
  /// or older than the window of sequences.
  absl::Status check(const Seal &Value, std::string_view Body, WallTime Now);

private:
  struct Window {
    std::uint64_t Incarnation = 0;
    std::uint64_t Highest = 0;
    /// Bit i: sequence Highest - i was seen.
    std::uint64_t Seen = 0;
  };

  absl::Status admit(const Seal &Value);

  EntryName Self;
  std::string Secret;
  // Invariant: only senders with a valid digest have a window.
  std::map<EntryName, Window> Windows;
};

} // namespace balsamlatch::wire

#endif // BALSAMLATCH_WIRE_PEERSEAL_H
