/// \file
/// The value of one claim shard in the store: a text with one line per claim.

#ifndef BALSAMLATCH_PLACEMENT_CLAIMSHARD_H
#define BALSAMLATCH_PLACEMENT_CLAIMSHARD_H

#include "balsamlatch/Base/Clock.h"
#include "balsamlatch/Base/Ids.h"
#include "balsamlatch/Placement/Events.h"

#include <absl/status/statusor.h>
#include <compare>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace balsamlatch::placement {

/// One claim. The identifier of the request that holds it marks its writer.
struct ClaimRecord {
  RequestId Holder;
  std::string BodyDigest;
  /// The holder starts no attempt from this time on.
  WallTime DispatchDeadline{};
  /// The claim is removed after this time.
  WallTime Expires{};
  std::optional<Outcome> FinalOutcome;

  auto operator<=>(const ClaimRecord &) const = default;
};

/// The claims of one shard, by the digest of their key.
struct ClaimShard {
  std::map<std::string, ClaimRecord> Claims;

  /// Text form for the store. Digests and request identifiers must not contain
  /// spaces.
  std::string print() const;

  void removeExpired(WallTime Now);

  bool operator==(const ClaimShard &) const = default;
};

/// Parses the text form. An InvalidArgument error names the faulty line.
absl::StatusOr<ClaimShard> parseClaimShard(std::string_view Text);

/// Digest of a key: the first 16 bytes of its SHA-256 as 32 hexadecimal digits.
std::string claimDigest(std::string_view Key);

} // namespace balsamlatch::placement

#endif // BALSAMLATCH_PLACEMENT_CLAIMSHARD_H
