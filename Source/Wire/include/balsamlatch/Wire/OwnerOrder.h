/// \file
/// Orders of co-owners to the fleet, as the tool sends them to an entry: a
/// JSON body and the owner's signature on it.

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

/// Header fields that go with the body, by lower-case name.
inline constexpr const char *OwnerKeyHeader = "balsamlatch-owner-key";
inline constexpr const char *OwnerSignatureHeader =
    "balsamlatch-owner-signature";

/// What an owner orders. Host and Pool are empty where the verb needs none.
struct OwnerOrder {
  /// "drain", "return", "move", "halt" or "resume".
  std::string Verb;
  HostName Host;
  PoolName Pool;
  /// The entry that is asked; another one refuses the order.
  EntryName Entry;
  /// The owner's calendar time.
  WallTime SentAt{};
  /// Makes the same order at the same time another one; random digits.
  std::string Nonce;

  auto operator<=>(const OwnerOrder &) const = default;
};

std::string encodeOrder(const OwnerOrder &Order);

/// InvalidArgument names the member at fault.
absl::StatusOr<OwnerOrder> decodeOrder(std::string_view Body);

Signature signOrder(std::string_view Body, const PrivateKey &Key);

/// Checks orders that come to this entry. Not thread safe.
class OwnerOrderChecker {
public:
  /// Largest difference between the owner's and this entry's calendar time.
  static constexpr Duration MostSkew = std::chrono::seconds(60);

  explicit OwnerOrderChecker(EntryName Self) : Entry(std::move(Self)) {}

  /// The owner whose valid signature the order has. Unauthenticated: the key
  /// is no owner's, or signature, entry or time are wrong. AlreadyExists: a
  /// replay.
  absl::StatusOr<OwnerName> check(std::string_view Body,
                                  const OwnerOrder &Order,
                                  std::string_view KeyDigits,
                                  std::string_view SignatureDigits,
                                  const RuleSet &Rules, WallTime Now);

private:
  EntryName Entry;
  // Invariant: orders with a valid signature whose time is within the skew.
  std::map<std::string, WallTime> Seen;
};

} // namespace balsamlatch::wire

#endif // BALSAMLATCH_WIRE_OWNERORDER_H
