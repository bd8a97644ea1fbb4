/// \file
/// Orders of co-owners to the fleet. The tool sends them to an entry as a JSON
/// body with the owner's signature.

#ifndef BALSAMLATCH_WIRE_OWNERORDER_H
#define BALSAMLATCH_WIRE_OWNERORDER_H

#include "balsamlatch/Base/Clock.h"
#include "balsamlatch/Base/Ids.h"
#include "balsamlatch/Rules/Keys.h"
#include "balsamlatch/Rules/RuleSet.h"

#include <absl/status/statusor.h>
#include <compare>
#include <map>
#include <string>
#include <string_view>

namespace balsamlatch::wire {

/// Names, in lower case, of the HTTP header fields with the owner's public key
/// and signature, each in hexadecimal.
inline constexpr const char *OwnerKeyHeader = "balsamlatch-owner-key";
inline constexpr const char *OwnerSignatureHeader =
    "balsamlatch-owner-signature";

/// An order. Host and Pool are empty if the verb doesn't need them.
struct OwnerOrder {
  /// "drain", "return", "move", "halt" or "resume".
  std::string Verb;
  HostName Host;
  PoolName Pool;
  /// The entry that the order is sent to; other entries refuse it.
  EntryName Entry;
  /// The owner's calendar time.
  WallTime SentAt{};
  /// Random digits that distinguish equal orders sent at the same time.
  std::string Nonce;

  auto operator<=>(const OwnerOrder &) const = default;
};

std::string encodeOrder(const OwnerOrder &Order);

/// Returns InvalidArgument with the name of the missing or invalid member.
absl::StatusOr<OwnerOrder> decodeOrder(std::string_view Body);

Signature signOrder(std::string_view Body, const PrivateKey &Key);

/// Verifies the orders that this entry receives. Not thread safe.
class OwnerOrderChecker {
public:
  /// Largest accepted difference between the owner's and this entry's clock.
  static constexpr Duration MaxClockSkew = std::chrono::seconds(60);

  explicit OwnerOrderChecker(EntryName Entry) : LocalEntry(std::move(Entry)) {}

  /// Returns the owner who signed the order. Unauthenticated: the key isn't
  /// that of a co-owner, or the signature, entry or time is wrong.
  /// AlreadyExists: the order is a replay.
  absl::StatusOr<OwnerName>
  check(std::string_view Body, const OwnerOrder &Order, std::string_view KeyHex,
        std::string_view SignatureHex, const RuleSet &Rules, WallTime Now);

private:
  EntryName LocalEntry;
  // Signature and time of each accepted order whose time is within
  // MaxClockSkew. Older ones are refused by their time.
  std::map<std::string, WallTime> AcceptedOrders;
};

} // namespace balsamlatch::wire

#endif // BALSAMLATCH_WIRE_OWNERORDER_H
